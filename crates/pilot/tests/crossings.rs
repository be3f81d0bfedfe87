//! Two events that cross, forced into the worse order: a story for each that went wrong. Peers are scripted word by
//! word, so nothing here waits for luck. `docs/crossings.md` has the orders that were harmless too.

mod stage;

use std::collections::BTreeSet;

use serde_json::{Value, json};
use stage::script::{Call, News, Relay};
use stage::*;
use toyfleet::Fleet;

/// A pilot whose relay is the story's own.
async fn at(relay: &Relay, fleet: &Fleet, change: impl Fn(&mut Value)) -> Pilot {
    let mut all = configuration(fleet, fleet.world.list(None));
    all["store"]["address"] = json!(relay.address);
    change(&mut all);
    Pilot::start(all).await
}

/// Such a pilot, which hears of these proxies and has bound them all.
async fn bound_to(relay: &Relay, fleet: &Fleet, nodes: &[u32], change: impl Fn(&mut Value)) -> (Pilot, News) {
    let pilot = at(relay, fleet, change).await;
    let news = relay.subscribed().await;
    news.live();
    for node in nodes {
        news.hello(*node).await;
    }
    let mut waiting: BTreeSet<u32> = nodes.iter().copied().collect();
    while !waiting.is_empty() {
        let call = relay.call().await;
        waiting.retain(|node| !call.has(binding(*node)));
        relay.carry_out(&call, &news, nodes).await;
    }
    (pilot, news)
}

fn binding(node: u32) -> Value {
    json!({"verb": "bind", "node": node})
}

/// What an order sets, whatever to.
fn target(op: &Value) -> String {
    let parts = ["verb", "cluster", "endpoint", "node", "for"].map(|part| op[part].to_string());
    parts.join(" ")
}

fn withdrawal(call: &Call) -> bool {
    call.has(json!({"verb": "share", "w": 0.0}))
}

/// What a call takes out of tables.
fn taken_out(call: &Call) -> BTreeSet<(u64, String)> {
    let out = call.ops().iter().filter(|op| op["verb"] == "share" && op["w"] == 0.0);
    out.map(|op| (op["cluster"].as_u64().unwrap(), op["endpoint"].as_str().unwrap().to_owned())).collect()
}

#[test]
fn a_confirmation_of_a_call_is_no_proof_of_the_next_one_that_carries_the_same_mark() {
    play(async {
        let (fleet, relay) = (fleet(0).await, Relay::listen().await);
        // Drains of so many lines take more than one call.
        let name = |place: u32| format!("e{place}-{}", "x".repeat(240));
        for place in 0..300 {
            fleet.world.add_endpoint(&name(place), zone(place), "large", 20.0, relay.address);
        }
        let wide = |all: &mut Value| {
            for channel in ["lines_per_s", "backlog"] {
                all["settings"]["domain"][channel] = json!(1e6);
            }
        };
        let (_pilot, news) = bound_to(&relay, &fleet, &[0, 1], wide).await;
        (0..260).for_each(|place| fleet.world.set_health(&name(place), "leaving"));
        let first = relay.call_with(&news, &[0, 1], |call| call.ops().len() > 100 && withdrawal(call)).await;
        first.take().await;
        let second = relay.call().await;
        let lost = taken_out(&second);
        assert!(!lost.is_empty() && lost.is_disjoint(&taken_out(&first)));
        news.ack(0, first.stamp().unwrap()).await;
        // Heard, as news and calls are read in turn by one thread: a word of its own shows it.
        second.wire.break_off().await;
        let again = relay.call_with(&news, &[0, 1], withdrawal).await;
        assert!(taken_out(&again).is_superset(&lost));
    });
}

#[test]
fn a_proxy_that_leaves_while_its_binding_is_under_way_is_not_bound_by_what_is_sent_again() {
    play(async {
        let (fleet, relay) = (fleet(4).await, Relay::listen().await);
        let (pilot, news) = bound_to(&relay, &fleet, &[0], |_| {}).await;
        news.hello(2).await;
        let call = relay.call_with(&news, &[0], |call| call.has(binding(2))).await;
        news.bye(2).await;
        let left = pilot.count("proxies left").await;
        assert_eq!(left, 1);
        call.wire.break_off().await;
        let again = relay.call().await;
        assert!(!again.has(binding(2)) && again.stamp().is_some());
        // Come again, it is bound by an order of its own.
        again.take().await;
        news.hello(2).await;
        relay.call_with(&news, &[0], |call| call.has(binding(2))).await;
    });
}

#[test]
fn a_proxy_that_comes_and_leaves_at_once_is_not_bound() {
    play(async {
        let (fleet, relay) = (fleet(4).await, Relay::listen().await);
        let (pilot, news) = bound_to(&relay, &fleet, &[0], |_| {}).await;
        let bye = News::line("bye", json!({"node": 2}));
        let words = [News::hello_line(2), bye, News::hello_line(1)].concat();
        news.0.write(words.as_bytes()).await;
        let call = relay.call_with(&news, &[0], |call| call.has(binding(1)) || call.has(binding(2))).await;
        assert!(call.has(binding(1)) && !call.has(binding(2)));
        assert_eq!(pilot.count("calls answered short").await, 0);
    });
}

#[test]
fn a_line_that_the_relay_cannot_take_yet_is_sent_again_and_holds_nothing_up() {
    play(async {
        let (fleet, relay) = (fleet(4).await, Relay::listen().await);
        let pilot = at(&relay, &fleet, |_| {}).await;
        let news = relay.subscribed().await;
        news.live();
        news.hello(0).await;
        let new = json!({"verb": "share", "endpoint": "e3"});
        let first = relay.call_with(&news, &[0], |call| call.has(new.clone())).await;
        let place = first.ops().iter().position(|op| op["endpoint"] == "e3").unwrap();
        first.answer(place).await;
        // The rest follows at once, and the line once the relay has heard of the endpoint.
        let rest = relay.call().await;
        let targets = |ops: &[Value]| ops.iter().map(target).collect::<Vec<_>>();
        assert_eq!(targets(rest.ops()), targets(&first.ops()[place + 1..]));
        relay.carry_out(&rest, &news, &[0]).await;
        let again = relay.call_with(&news, &[0], |call| call.has(first.ops()[place].clone())).await;
        again.answer(0).await;
        relay.call_with(&news, &[0], |call| call.has(first.ops()[place].clone())).await;
        assert!(pilot.logged("stopped at"));
    });
}

#[test]
fn a_call_that_the_relay_could_not_read_costs_no_order_and_one_it_never_can_read_keeps_none_from_going() {
    play(async {
        let (fleet, relay) = (fleet(6).await, Relay::listen().await);
        let pilot = at(&relay, &fleet, |_| {}).await;
        let news = relay.subscribed().await;
        news.live();
        news.hello(0).await;
        let first = relay.call_with(&news, &[0], |call| call.has(binding(0))).await;
        let wanted: BTreeSet<String> = first.ops().iter().map(target).collect();
        let bad = first.ops().iter().find(|op| op["verb"] == "share").map(target).unwrap();
        first.refuse("SYNTAX").await;
        // One order is spoilt for long: the others go on without it.
        let mut stand = BTreeSet::new();
        while !wanted.iter().all(|target| stand.contains(target) || *target == bad) {
            let call = relay.call().await;
            let targets: Vec<String> = call.ops().iter().map(target).collect();
            if targets.contains(&bad) {
                call.refuse("SYNTAX").await;
            } else {
                relay.carry_out(&call, &news, &[0]).await;
                stand.extend(targets);
            }
        }
        // Nor is that one given up.
        let call = relay.call_with(&news, &[0], |call| call.ops().iter().any(|op| target(op) == bad)).await;
        call.take().await;
        assert!(pilot.logged("was not read"));
    });
}
