//! The watch stream, and its notifications in pieces, unreadable or broken off.

use std::cell::Cell;
use std::rc::Rc;
use std::time::Duration;

use serde_json::json;
use tokio::time::sleep;

use crate::harness::scripted_relay::ScriptedRelay;
use crate::harness::{run_scenario, start_fleet};
use crate::{apply_bindings, binding_order, start_bound_controller};

/// The initial state of a new stream comes in pieces, with a lull and other notifications within it. What came behind the lull
/// counted as left, and was bound anew.
#[test]
fn the_initial_state_may_come_in_pieces_and_with_other_notifications_in_it() {
    run_scenario(async {
        let (fleet, relay) = (start_fleet(4).await, ScriptedRelay::listen().await);
        let (controller, stream) = start_bound_controller(&relay, &fleet, &[0, 1, 2], |_| {}).await;
        stream.connection.break_off().await;
        let stream = relay.accept_subscription().await;
        stream.hello(0).await;
        stream.keepalive().await;
        stream.ack(0, 1).await;
        stream.bye(3).await;
        // A lull within what stands, three times as long as once ended it.
        for _ in 0..20 {
            controller.assert_alive().await;
            sleep(Duration::from_millis(30)).await;
        }
        stream.hello(1).await;
        stream.keepalive().await;
        stream.hello(2).await;
        apply_bindings(&relay, &stream, &[0, 1, 2]).await;
        assert_eq!(controller.counter("proxies left").await, 0);
        // Two signs of life without a word between them end it.
        stream.keepalive().await;
        stream.keepalive().await;
        assert_eq!(controller.counter("proxies joined").await, 3);
    });
}

/// A hello and a bye cannot be read. They were left out for good, so that a proxy was never bound and another never left.
#[test]
fn an_unreadable_hello_or_bye_is_made_good_by_another_subscription() {
    run_scenario(async {
        let (fleet, relay) = (start_fleet(4).await, ScriptedRelay::listen().await);
        let (controller, stream) = start_bound_controller(&relay, &fleet, &[0, 1], |_| {}).await;
        for params in [json!({"node": 2, "locality": 7, "w": 10.0, "cold": true}), json!({"node": "?"})] {
            stream.notify(if params["w"].is_null() { "bye" } else { "hello" }, params).await;
        }
        // Who stands is told anew, on another connection: 1 has left, and 2 is there.
        let stream = relay.accept_subscription().await;
        stream.start_keepalives();
        stream.hello(0).await;
        stream.hello(2).await;
        apply_bindings(&relay, &stream, &[0, 2]).await;
        controller.wait_for_counter("proxies left", 1).await;
        assert_eq!(controller.counter("news lost").await, 0);
        assert_eq!(controller.counter("subscriptions anew after a spoilt word").await, 1);
    });
}

/// A notification cannot be read, and the attempts to subscribe anew fail. The stream that works was given up with the first of
/// them, and every proxy bound anew; it has to be followed until another one is there.
#[test]
fn a_subscription_anew_that_fails_costs_nothing_of_the_stream_that_works() {
    run_scenario(async {
        let (fleet, relay) = (start_fleet(4).await, ScriptedRelay::listen().await);
        let (controller, stream) = start_bound_controller(&relay, &fleet, &[0, 1], |_| {}).await;
        stream.start_keepalives();
        stream.notify("bye", json!({"node": "?"})).await;
        for proxy in [2, 3] {
            relay.break_off_subscription().await;
            stream.hello(proxy).await;
            apply_bindings(&relay, &stream, &[proxy]).await;
        }
        let stream = relay.accept_subscription().await;
        stream.start_keepalives();
        for proxy in 0..3 {
            stream.hello(proxy).await;
        }
        controller.wait_for_counter("proxies left", 1).await;
        assert_eq!(controller.counter("news lost").await, 0);
        assert_eq!(controller.counter("subscriptions anew after a spoilt word").await, 3);
    });
}

/// The watch stream breaks off each time its initial state is complete. Each break had the proxy bound anew at once: 14 messages
/// in 5 s, where 12 may go in 10.
#[test]
fn a_watch_stream_that_breaks_off_over_and_over_costs_no_proxy_more_messages_than_it_may_get() {
    run_scenario(async {
        let (fleet, relay) = (start_fleet(4).await, ScriptedRelay::listen().await);
        let (controller, mut stream) = start_bound_controller(&relay, &fleet, &[0], |_| {}).await;
        let (relay, bound) = (Rc::new(relay), Rc::new(Cell::new(1)));
        let (answering, counted) = (relay.clone(), bound.clone());
        tokio::task::spawn_local(async move {
            loop {
                let call = answering.next_call().await;
                counted.set(counted.get() + usize::from(call.has(binding_order(0))));
                call.accept().await;
            }
        });
        // Each time all that stands is told, and the controller has heard it, the connection breaks.
        for round in 0..14 {
            stream.connection.break_off().await;
            stream = relay.accept_subscription().await;
            stream.hello(0).await;
            controller.wait_for_counter("proxies bound anew after a break of news", round + 1).await;
        }
        // Seven seconds by its pauses; the settings let twelve messages go in ten.
        assert!(bound.get() <= 12, "bound {} times", bound.get());
    });
}
