//! Plays one case of the review: the peers of one pilot and the disruption of the case, in real time on loopback addresses.
//!
//!     peers-2 CASE FOLDER ROOT TROUBLE RUN
//!
//! FOLDER is a folder of the case's own for temporary files; ROOT is the project's; RUN is the command of the deploy file.
//! The record goes to standard output. Exits with 1 if the rule was broken, 0 if it held, and 2 if the case couldn't run.

mod cases;
mod json;
mod orders;
mod peers;
mod proxies;
mod rules;
mod site;
mod world;

use std::process::exit;
use std::sync::{Arc, Mutex};
use std::thread::{sleep, spawn};
use std::time::Duration;

use cases::{Case, Play};
use peers::{Pilot, Shared};
use world::World;

/// If clients and endpoints stood still for this long, the machine was too busy for a verdict.
const LONGEST_STEP_MS: f64 = 1000.0;
/// The time between two steps of clients and endpoints.
const STEP: Duration = Duration::from_millis(10);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, folder, root, trouble, run] = &arguments[..] else { exit(2) };
    let Some(case) = cases::find(case) else { exit(2) };
    let trouble = trouble != "0";
    let world: Shared = Arc::new(Mutex::new(World::new(case.site.clone())));
    let names: Vec<String> = case.endpoints.iter().map(|endpoint| endpoint.0.clone()).collect();
    for (name, zone, started_ago) in &case.endpoints {
        let address = peers::health(&world, name);
        let mut world = world.lock().unwrap();
        let born = started_ago.map_or(0.0, |ago| world.wall() - ago);
        world.add_endpoint(name, *zone, cases::CAPACITY, address, born);
    }
    if let Some(index) = case.unlisted {
        let mut world = world.lock().unwrap();
        world.endpoints[index].listed = "left";
        world.endpoints[index].ever_listed = false;
    }
    for (zone, rates) in &case.proxies {
        world.lock().unwrap().add_proxy(*zone, rates.clone());
    }
    for proxy in (0..case.proxies.len()).filter(|proxy| !case.elsewhere.contains(proxy)) {
        world.lock().unwrap().join(proxy, true);
    }
    let discovery = peers::discovery(&world);
    let relay = peers::relay(&world);
    let pilot_address = peers::free_address();
    let config = format!("{folder}/config.json");
    let known = world.lock().unwrap().whole_list().to_string();
    let settings = case.site.settings();
    let text = format!(
        "{{\"name\":\"n0\",\"listen\":\"{pilot_address}\",\"discovery\":\"{discovery}\",\"seed\":\"8c1f30d27a5be964\",\
         \"limits\":{{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024}},\"store\":{{\"address\":\"{relay}\"}},\
         \"known\":{known},\"settings\":{settings}}}"
    );
    std::fs::write(&config, text).unwrap();
    let zone_file = format!("{folder}/fleet.zone");
    let options = format!("{folder}/options.xml");
    std::fs::write(&zone_file, cases::zone_text(&world.lock().unwrap(), 1, &[0])).unwrap();
    let xml = format!(
        "<dahliaroad xmlns=\"urn:dahliaroad:options:1\">\n  <sources discovery=\"on\">\n    <zone-file name=\"names\" \
         apex=\"fleet.example\" service=\"_ledger._tcp\" path=\"{zone_file}\"/>\n  </sources>\n</dahliaroad>\n"
    );
    std::fs::write(&options, xml).unwrap();
    let mut environment = vec![
        ("ROUTER_NAME", "n0"),
        ("ROUTER_LISTEN", pilot_address.as_str()),
        ("ROUTER_DISCOVERY", discovery.as_str()),
        ("ROUTER_CONFIG", config.as_str()),
    ];
    if case.unlisted.is_some() {
        environment.push(("DAHLIAROAD_OPTIONS", options.as_str()));
    }
    let log = format!("{folder}/pilot.log");
    let mut pilot = Pilot::start(root, folder, run, &environment, &log);
    if !peers::wait_alive(&pilot_address) {
        pilot.kill();
        println!("the pilot did not start; its log is {log}");
        exit(2);
    }
    {
        let mut world = world.lock().unwrap();
        world.first_alive = Some(world.now());
        world.note("the pilot answers");
    }
    peers::collectors(&world, &pilot_address);
    let on_step = world.clone();
    spawn(move || {
        let mut last = on_step.lock().unwrap().now();
        loop {
            sleep(STEP);
            let mut world = on_step.lock().unwrap();
            let now = world.now();
            world.deliver();
            world.work(now - last);
            world.longest_step = world.longest_step.max(now - last);
            last = now;
        }
    });
    let index = |name: &str| names.iter().position(|other| other == name).unwrap();
    (case.script)(&Play { world: &world, trouble, index: &index, zone_file: &zone_file });
    let crashed = pilot.has_ended();
    pilot.kill();
    report(&case, &world.lock().unwrap(), crashed)
}

fn report(case: &Case, world: &World, crashed: bool) -> ! {
    for line in &world.record {
        println!("{line}");
    }
    println!("\ncalls by endpoint, in each second of the run: sent/answered, and those that found no line:");
    let seconds = world.calls.keys().map(|(second, _)| *second).max().unwrap_or(0);
    let names: Vec<&str> = world.endpoints.iter().map(|endpoint| endpoint.name.as_str()).collect();
    println!("second {} no line", names.join(" "));
    for second in 0..=seconds {
        let calls = (0..names.len()).map(|index| {
            let of = |counts: &std::collections::BTreeMap<(u64, usize), u32>| counts.get(&(second, index)).copied().unwrap_or(0);
            format!("{}/{}", of(&world.calls), of(&world.answered))
        });
        let refused: u32 = world.refused.iter().filter(|((at, ..), _)| *at == second).map(|(_, count)| count).sum();
        println!("{second:6} {} {refused}", calls.collect::<Vec<_>>().join(" "));
    }
    println!("\nmessages to one proxy within 10 s, at most: {}", world.most_messages);
    println!("longest time without a line while an open, warm endpoint was listed: {:.0} ms", world.worst_bare);
    println!("latest call to an endpoint after the pilot was told that it leaves or is gone: {:.0} ms", world.worst_drain);
    println!("most work brought to a cold endpoint, by what it could do: {:.2}", world.worst_cold);
    let of_rule: Vec<&String> = world.broken.iter().filter(|text| text.starts_with(case.rule)).collect();
    println!("broken: {} times rule '{}', {} times any rule", of_rule.len(), case.rule, world.broken.len());
    if crashed {
        println!("the pilot ended by itself");
    }
    if world.longest_step > LONGEST_STEP_MS {
        println!("verdict: none, as the stand-ins stood still for {:.0} ms", world.longest_step);
        exit(2);
    }
    let failed = !of_rule.is_empty() || crashed;
    println!("verdict: {}", if failed { "BROKEN" } else { "held" });
    exit(i32::from(failed))
}
