//! Lists and watches of discovery, and the answers and moves between them.

use std::time::Duration;

use dahliaroad_demo::Fleet;
use serde_json::{Value, json};
use tokio::time::timeout;

use crate::harness::scripted_discovery::{ListRequest, ScriptedDiscovery};
use crate::harness::scripted_relay::{CommitCall, ScriptedRelay, WatchStream};
use crate::harness::{ControllerProcess, configuration, run_scenario, start_fleet};
use crate::{apply_bindings, start_controller};

/// A controller of this scripted agent, which has asked for what comes after the list it knows.
async fn start_watching_controller(
    relay: &ScriptedRelay,
    agent: &ScriptedDiscovery,
    fleet: &Fleet,
) -> (ControllerProcess, WatchStream, ListRequest, u64) {
    let discovery = agent.address;
    let at_agent = move |all: &mut Value| all["discovery"] = json!(discovery);
    let controller = start_controller(relay, fleet, at_agent).await;
    let stream = relay.accept_subscription().await;
    stream.start_keepalives();
    stream.hello(0).await;
    apply_bindings(relay, &stream, &[0]).await;
    let (seq, request) = (fleet.world.list_version.get(), agent.next_request().await);
    assert!(request.is_watch_after(seq));
    (controller, stream, request, seq)
}

/// The fleet's list, with entries changed.
fn list(fleet: &Fleet, seq: u64, change: impl Fn(&mut Value)) -> Value {
    let mut list = fleet.world.list(None);
    list["seq"] = json!(seq);
    list["hosts"].as_array_mut().unwrap().iter_mut().for_each(change);
    list
}

/// Changes alone: these entries of a list.
fn changes(mut list: Value, names: &[&str]) -> Value {
    list["whole"] = json!(false);
    list["hosts"].as_array_mut().unwrap().retain(|host| names.iter().any(|name| host["host"] == **name));
    list
}

fn leaving(name: &str) -> impl Fn(&mut Value) {
    move |host| {
        if host["host"] == name {
            host["health"] = json!("leaving");
        }
    }
}

fn takes_out(name: &'static str) -> impl Fn(&CommitCall) -> bool {
    move |call| call.has(json!({"verb": "share", "endpoint": name, "w": 0.0}))
}

/// An entry of the endpoint list cannot be read. In a complete list its endpoint counted as removed; in changes its drain was
/// never heard of again.
#[test]
fn an_unreadable_entry_keeps_what_was_known_and_is_asked_for_again() {
    run_scenario(async {
        let (fleet, relay, agent) =
            (start_fleet(6).await, ScriptedRelay::listen().await, ScriptedDiscovery::listen().await);
        let (controller, stream, request, seq) = start_watching_controller(&relay, &agent, &fleet).await;
        // In changes: the version moves on, and the entry was a drain.
        let spoil = |key: &'static str| {
            move |host: &mut Value| {
                if host["host"] == "e0" {
                    host[key] = json!([7]);
                }
            }
        };
        request.answer(&changes(list(&fleet, seq + 1, spoil("site")), &["e0"])).await;
        let mut again = agent.next_request().await;
        while !again.is_for_complete_list() {
            assert!(again.is_watch_after(seq + 1));
            again.answer(&changes(list(&fleet, seq + 1, |_| {}), &[])).await;
            again = agent.next_request().await;
        }
        again.answer(&list(&fleet, seq + 1, leaving("e0"))).await;
        relay.apply(&relay.next_call_with(&stream, &[0], takes_out("e0")).await, &stream, &[0]).await;
        // In a whole list: neither is the entry gone, nor, where not even a name can be read, anybody.
        for (key, at) in [("site", seq + 2), ("host", seq + 3)] {
            let request = agent.next_request().await;
            let list = list(&fleet, at, |host| {
                leaving("e0")(host);
                if host["host"] == "e2" {
                    host[key] = json!(7);
                }
            });
            request.answer(&list).await;
        }
        // Something that shows that the lists were heard: a drain behind them.
        let request = agent.next_request().await;
        let last = list(&fleet, seq + 4, |host| {
            leaving("e0")(host);
            leaving("e4")(host);
        });
        request.answer(&changes(last, &["e4"])).await;
        let call =
            relay.next_call_with(&stream, &[0], |call| takes_out("e4")(call) || takes_out("e2")(call)).await;
        assert!(!takes_out("e2")(&call));
        assert_eq!(controller.counter("inputs refused").await, 3);
    });
}

/// Discovery began anew, below the revision that is known, and its list has an entry of which not even the name can be read. All
/// that it said from then on was left out, drains included, for as long as the entry stayed.
#[test]
fn drains_are_heard_while_a_list_begun_anew_has_an_unreadable_entry() {
    run_scenario(async {
        let (fleet, relay, agent) =
            (start_fleet(6).await, ScriptedRelay::listen().await, ScriptedDiscovery::listen().await);
        let (controller, stream, request, seq) = start_watching_controller(&relay, &agent, &fleet).await;
        assert!(seq > 1);
        let spoilt_list = |seq, ended: &'static str| {
            list(&fleet, seq, move |host| {
                leaving(ended)(host);
                if host["host"] == "e2" {
                    host["host"] = json!(7);
                }
            })
        };
        // A drain in the list itself.
        request.answer(&spoilt_list(seq - 1, "e0")).await;
        relay.apply(&relay.next_call_with(&stream, &[0], takes_out("e0")).await, &stream, &[0]).await;
        // And one that is told later, while the complete list is asked for again and again.
        let mut request = agent.next_request().await;
        while request.is_for_complete_list() {
            request.answer(&spoilt_list(seq - 1, "e0")).await;
            request = agent.next_request().await;
        }
        assert!(request.is_watch_after(seq - 1));
        request.answer(&changes(list(&fleet, seq, leaving("e4")), &["e4"])).await;
        let call =
            relay.next_call_with(&stream, &[0], |call| takes_out("e4")(call) || takes_out("e2")(call)).await;
        assert!(!takes_out("e2")(&call));
        assert_eq!(controller.counter("gaps in what sources told").await, 0);
    });
}

/// The agent answers each watch at once and with nothing. Each answer reset the backoff, so that it was asked without end.
#[test]
fn an_agent_that_answers_at_once_with_nothing_is_not_asked_without_backoff() {
    run_scenario(async {
        let (fleet, relay, agent) =
            (start_fleet(4).await, ScriptedRelay::listen().await, ScriptedDiscovery::listen().await);
        let (controller, stream, request, seq) = start_watching_controller(&relay, &agent, &fleet).await;
        let nothing = changes(list(&fleet, seq, |_| {}), &[]);
        request.answer(&nothing).await;
        let mut asked = 0;
        // As long as it takes to be asked whether it is alive, again and again: far longer than answers take.
        for _ in 0..200 {
            controller.assert_alive().await;
            while let Ok(request) = timeout(Duration::from_millis(1), agent.next_request()).await {
                asked += 1;
                request.answer(&nothing).await;
            }
        }
        assert!(asked < 30, "asked {asked} times");
        // And the list is followed all the same.
        agent.next_request().await.answer(&changes(list(&fleet, seq + 1, leaving("e0")), &["e0"])).await;
        relay.next_call_with(&stream, &[0], takes_out("e0")).await;
    });
}

/// Discovery moves to an agent of another history that stands at the same version. A watch from that version told nothing; and
/// what the old agent wrote meanwhile was dropped.
#[test]
fn at_a_new_address_the_complete_list_is_asked_for_and_what_the_old_one_wrote_meanwhile_counts() {
    run_scenario(async {
        let (fleet, relay, agent) =
            (start_fleet(6).await, ScriptedRelay::listen().await, ScriptedDiscovery::listen().await);
        let (controller, stream, request, seq) = start_watching_controller(&relay, &agent, &fleet).await;
        let new = ScriptedDiscovery::listen().await;
        let mut all = configuration(&fleet, json!(null));
        (all["store"]["address"], all["discovery"]) = (json!(relay.address), json!(new.address));
        std::fs::write(&controller.configuration_file, all.to_string()).unwrap();
        controller.signal("-HUP");
        // The new agent's history is another one of the same length: only the whole of it shows what it tells.
        let first = new.next_request().await;
        assert!(first.is_for_complete_list(), "{}", first.path);
        request.answer(&changes(list(&fleet, seq + 1, leaving("e0")), &["e0"])).await;
        relay.apply(&relay.next_call_with(&stream, &[0], takes_out("e0")).await, &stream, &[0]).await;
        first.answer(&list(&fleet, seq + 1, leaving("e2"))).await;
        let call = relay.next_call_with(&stream, &[0], takes_out("e2")).await;
        assert!(!call.orders().iter().any(|op| op["endpoint"] == "e0" && op["w"] != 0.0));
        assert!(new.next_request().await.is_watch_after(seq + 1));
    });
}

/// The connection of a watch ends at any byte of its answer. Before the last byte nothing is told and the same is asked for
/// again; behind it all of it is told.
#[test]
fn a_watch_s_answer_cut_at_any_byte_tells_nothing_and_is_asked_for_again() {
    run_scenario(async {
        let (fleet, relay, agent) =
            (start_fleet(4).await, ScriptedRelay::listen().await, ScriptedDiscovery::listen().await);
        let (_pilot, stream, mut request, mut seq) = start_watching_controller(&relay, &agent, &fleet).await;
        let told = |seq| ListRequest::response_text(&changes(list(&fleet, seq + 1, leaving("e0")), &["e0"]));
        for cut in 0..told(seq).len() {
            assert!(request.is_watch_after(seq), "cut at {cut}: {}", request.path);
            request.connection.write(&told(seq).as_bytes()[..cut]).await;
            request.connection.break_off().await;
            request = agent.next_request().await;
            assert!(request.is_watch_after(seq), "cut at {cut}: {}", request.path);
            // It is followed all the same: something else changes between.
            request.answer(&changes(list(&fleet, seq + 1, |_| {}), &["e2"])).await;
            seq += 1;
            request = agent.next_request().await;
        }
        let told = told(seq);
        // Cut behind its last byte it was told.
        request.connection.write(told.as_bytes()).await;
        request.connection.break_off().await;
        relay.next_call_with(&stream, &[0], takes_out("e0")).await;
        assert!(agent.next_request().await.is_watch_after(seq + 1));
    });
}
