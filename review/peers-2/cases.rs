//! The cases: each one's deployment, and what happens in it.

use std::thread::sleep;
use std::time::Duration;

use crate::peers::Shared;
use crate::site::{Class, Site};
use crate::world::{Cold, Condition, World};

/// The slowest start that the settings allow.
const SLOW: Cold = Cold { from: 0.15, warm_ms: 17_000.0, power: 1.0 };
/// The fastest start of the deployment's machines.
const FAST: Cold = Cold { from: 0.47, warm_ms: 7000.0, power: 1.0 };
/// How far the wall clock is stepped back: an hour.
const STEP_BACK_MS: f64 = 3_600_000.0;
/// The endpoints' capacity, in seconds of work a second.
pub const CAPACITY: f64 = 3.0;

pub struct Case {
    /// The word with which the breaks of the case's rule begin.
    pub rule: &'static str,
    pub site: Site,
    /// Name, zone, and how long ago it started if that is recent.
    pub endpoints: Vec<(String, usize, Option<f64>)>,
    /// Zone, and requests per second by class.
    pub proxies: Vec<(usize, Vec<f64>)>,
    /// Proxies that are joined to another pilot when the run begins.
    pub elsewhere: Vec<usize>,
    /// An endpoint that discovery has not listed yet when the run begins.
    pub unlisted: Option<usize>,
    pub script: fn(&Play),
}

pub struct Play<'a> {
    pub world: &'a Shared,
    pub trouble: bool,
    pub index: &'a dyn Fn(&str) -> usize,
    pub zone_file: &'a str,
}

impl Play<'_> {
    fn wait(&self, seconds: f64) {
        sleep(Duration::from_secs_f64(seconds));
    }

    fn note(&self, text: &str) {
        self.world.lock().unwrap().note(text);
    }

    fn set(&self, names: &[&str], condition: Condition) {
        let mut world = self.world.lock().unwrap();
        for name in names {
            world.endpoints[(self.index)(name)].condition = condition;
            world.note(format!("{name} is now {condition:?}"));
        }
    }

    /// Lists the endpoints in a new state. The pilot is told at once, as it watches the list.
    fn list(&self, names: &[&str], health: &'static str) {
        let indices: Vec<usize> = names.iter().map(|name| (self.index)(name)).collect();
        self.world.lock().unwrap().publish(&indices, health);
    }

    /// The processes start at the time that the wall clock shows now.
    fn restart(&self, names: &[&str], clock_offset_ms: f64, cold: Cold) {
        let mut world = self.world.lock().unwrap();
        let born = world.wall() + clock_offset_ms;
        for name in names {
            let index = (self.index)(name);
            world.restart(index, cold);
            world.endpoints[index].born_ms = born;
        }
    }

    /// Replaces the zone file by one that has these endpoints, with the next serial.
    fn write_zone(&self, serial: u32, names: &[&str]) {
        let mut world = self.world.lock().unwrap();
        let text = zone_text(&world, serial, &names.iter().map(|name| (self.index)(name)).collect::<Vec<_>>());
        std::fs::write(format!("{}.new", self.zone_file), text).unwrap();
        std::fs::rename(format!("{}.new", self.zone_file), self.zone_file).unwrap();
        world.note(format!("the zone file has serial {serial}, and {}", names.join(", ")));
    }

    /// By how much a time is changed that a stepped clock shows.
    fn clock_offset(&self) -> f64 {
        if !self.trouble {
            return 0.0;
        }
        self.note("the wall clock is stepped back by an hour");
        -STEP_BACK_MS
    }
}

pub fn find(name: &str) -> Option<Case> {
    match name {
        "zone-returns" => Some(zone_returns()),
        "drain-after-step" => Some(drain_after_step()),
        "joins-after-loss" => Some(joins_after_loss()),
        "idle-zone" => Some(idle_zone()),
        "all-leave" => Some(all_leave()),
        "late-list" => Some(late_list()),
        _ => None,
    }
}

/// almaty-ledger at its first size: 16 nodes and 12 forwarders in four halls, 120 calls a second, at 0.6 of what the nodes
/// can do. The nodes are a0 to a3, b0 to b3, c0 to c3 and d0 to d3.
fn almaty(rule: &'static str, own_zone: bool, script: fn(&Play)) -> Case {
    let class = |name| Class { name, own_zone, work: 0.24 };
    let site = Site {
        zones: vec!["hall-a", "hall-b", "hall-c", "hall-d"],
        classes: vec![class("tax-check"), class("post-entry")],
        proxies: 12,
        pilots: 1,
        grace_ms: 3000.0,
        blackhole_ms: 6800.0,
        warm_up_ms: 17_000.0,
        start_capacity: 0.15,
        fall_multiple: 3.0,
        tip_after_ms: 1500.0,
        messages: 12,
        cross_zone: 0.12,
        admit: "rps",
        ejects: 0,
        lines_per_s: 11_400.0,
        per_message: 6.0,
        standing: 12,
        second_field: "q",
    };
    let name = |zone: usize, at: usize| format!("{}{at}", ["a", "b", "c", "d"][zone]);
    let endpoints = (0..4).flat_map(|zone| (0..4).map(move |at| (name(zone, at), zone, None))).collect();
    let proxies = (0..12).map(|at| (at % 4, vec![5.0, 5.0])).collect();
    Case { rule, site, endpoints, proxies, elsewhere: Vec::new(), unlisted: None, script }
}

/// All nodes of a hall are lost and return cold. The classes keep to the forwarder's hall.
fn zone_returns() -> Case {
    almaty("cold", true, |play| {
        play.wait(15.0);
        if !play.trouble {
            return play.wait(30.0);
        }
        let lost = ["d0", "d1", "d2", "d3"];
        play.set(&lost, Condition::Down);
        play.wait(1.5);
        play.list(&lost, "left");
        play.wait(12.0);
        play.restart(&lost, 0.0, SLOW);
        // The list tells of a start 0.65 to 2.3 s late.
        play.wait(0.7);
        play.list(&["d0"], "active");
        play.wait(1.5);
        play.list(&["d1", "d2", "d3"], "active");
        play.wait(15.0);
    })
}

/// A node that has started a minute ago dies and comes back, and drains later. The clock was stepped in between.
fn drain_after_step() -> Case {
    let mut case = almaty("drain", false, |play| {
        play.wait(8.0);
        let offset = play.clock_offset();
        // The node is back before the list has noticed its end: it is listed as running, with a fresh time.
        play.set(&["b1"], Condition::Down);
        play.wait(2.2);
        play.restart(&["b1"], offset, FAST);
        play.wait(0.7);
        play.list(&["b1"], "active");
        play.wait(22.0);
        play.set(&["b1"], Condition::Leaving);
        play.list(&["b1"], "leaving");
        play.wait(12.0);
        play.set(&["b1"], Condition::Down);
        play.list(&["b1"], "left");
        play.wait(3.0);
    });
    case.endpoints[5].2 = Some(60_000.0);
    case
}

/// All nodes of a hall are lost while its forwarders are idle; later their clients call.
fn idle_zone() -> Case {
    let mut case = almaty("bare", false, |play| {
        play.wait(10.0);
        let lost = ["d0", "d1", "d2", "d3"];
        if play.trouble {
            play.set(&lost, Condition::Down);
            play.wait(1.5);
            play.list(&lost, "left");
        }
        play.wait(14.0);
        for proxy in [3, 7, 11] {
            play.world.lock().unwrap().proxies[proxy].rates = vec![1.0, 1.0];
        }
        play.note("the clients in hall-d call");
        play.wait(8.0);
    });
    for (_, rates) in case.proxies.iter_mut().filter(|(zone, _)| *zone == 3) {
        *rates = vec![0.0, 0.0];
    }
    case
}

/// All nodes are listed as leaving; without the trouble, three.
fn all_leave() -> Case {
    almaty("drain", false, |play| {
        play.wait(10.0);
        let names: Vec<String> = play.world.lock().unwrap().endpoints.iter().map(|e| e.name.clone()).collect();
        let all: Vec<&str> = names.iter().map(String::as_str).collect();
        let leaving = if play.trouble { &all[..] } else { &all[..3] };
        play.set(leaving, Condition::Leaving);
        play.list(leaving, "leaving");
        play.wait(12.0);
    })
}

/// All nodes of a hall are lost with its pilot, whose forwarders come to this one. The classes keep to the forwarder's hall.
fn joins_after_loss() -> Case {
    let mut case = almaty("drain", true, |play| {
        play.wait(12.0);
        let lost = ["d0", "d1", "d2", "d3"];
        if play.trouble {
            play.note("hall-d is lost: its nodes and its pilot");
            play.set(&lost, Condition::Down);
        }
        play.wait(1.5);
        if play.trouble {
            play.list(&lost, "left");
        }
        play.wait(0.6);
        for proxy in [3, 7, 11] {
            play.world.lock().unwrap().join(proxy, false);
        }
        play.note("the forwarders of hall-d join this pilot, and hold the tables of their former one");
        play.wait(15.0);
        if play.trouble {
            play.restart(&lost, 0.0, SLOW);
            play.wait(0.7);
            play.list(&lost, "active");
        }
        play.wait(3.0);
    });
    case.site.pilots = 2;
    case.elsewhere = vec![3, 7, 11];
    case
}

/// The text of a zone file with these endpoints.
pub fn zone_text(world: &World, serial: u32, endpoints: &[usize]) -> String {
    let mut text = format!("@ 60 SOA ns hostmaster {serial} 3600 600 86400 60\n");
    for &index in endpoints {
        let e = &world.endpoints[index];
        let (ip, port) = e.address.split_once(':').unwrap();
        let (name, zone) = (&e.name, world.site.zones[e.zone]);
        text += &format!("_ledger._tcp 60 SRV 0 1 {port} {name}\n{name} 60 A {ip}\n");
        text += &format!("{name} 60 TXT zone={zone} kind=type-a state=running\n");
    }
    text
}

/// A zone file has a new node before discovery lists it, and another node drains meanwhile.
fn late_list() -> Case {
    let mut case = almaty("drain", false, |play| {
        play.wait(14.0);
        play.set(&["b3"], Condition::Leaving);
        play.list(&["b3"], "leaving");
        play.wait(3.1);
        if !play.trouble {
            play.list(&["b9"], "active");
            play.wait(0.3);
        }
        play.write_zone(2, &["a0", "b9"]);
        play.wait(1.9);
        play.set(&["b2"], Condition::Leaving);
        play.list(&["b2"], "leaving");
        play.wait(0.3);
        if play.trouble {
            // Discovery tells of a new node up to 2.3 s late.
            play.list(&["b9"], "active");
        }
        play.wait(12.0);
    });
    case.endpoints.push(("b9".to_owned(), 1, None));
    case.unlisted = Some(16);
    case
}
