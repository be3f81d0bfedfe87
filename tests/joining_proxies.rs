//! Proxies that join, in generated histories: each is sent the tables of its zone within the drain grace, also where they
//! are empty, and none is without an endpoint while a warm one may serve it.

// Only a part of the harness and of the model is used here.
#[allow(dead_code)]
mod harness;
#[allow(dead_code)]
mod two_table_fleet;

use std::time::Duration;

use dahliaroad::*;
use harness::MS;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use two_table_fleet::{ENDPOINTS, Fleet, MAX_MESSAGES, PROXIES, TICK, ZONES, most_in_window};

/// The limits of the rules wait this long if the relay breaks off the watch stream.
const WATCH_BREAK_GRACE: Duration = Duration::from_secs(4);

const SEEDS: std::ops::Range<u64> = 0..60;
/// Proxies of one table were bound anew one after the other, and the withdrawal of an ended endpoint was spaced after each.
const REGRESSION_SEEDS: [u64; 1] = [299];

/// Zones are lost together with the controllers of their proxies, and return cold or were never gone; orders are paused,
/// the watch stream breaks, and proxies join and leave. A proxy that joined a zone without endpoints kept the tables of its
/// former controller until the zone was back.
#[test]
fn whoever_joins_is_sent_true_tables_in_time() {
    for seed in SEEDS.chain(REGRESSION_SEEDS) {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::with_classes([seed % 2 == 0, true]);
        fleet.advance(12 * 1000 * MS);
        for _ in 0..20 {
            play_event(&mut fleet, &mut random);
            fleet.advance(TICK * random.random_range(1..30));
        }
        fleet.advance(12 * 1000 * MS);
        let messages = most_in_window(&fleet.messages);
        assert!(messages <= MAX_MESSAGES, "seed {seed}: {messages} messages");
        let bound = (0..PROXIES).filter(|proxy| fleet.bindings.contains_key(&(*proxy, 0))).count();
        assert_eq!(bound, fleet.joined.len(), "seed {seed}");
    }
}

fn play_event(fleet: &mut Fleet, random: &mut ChaCha8Rng) {
    let zone = random.random_range(0..ZONES);
    let proxies: Vec<u32> = (0..PROXIES).filter(|_| random.random_bool(0.3)).collect();
    let endpoints: Vec<u32> = (0..ENDPOINTS).filter(|endpoint| endpoint % ZONES == zone).collect();
    match random.random_range(0..8) {
        0 => fleet.list(&endpoints, EndpointState::Removed, None),
        1 => fleet.list(&endpoints, EndpointState::Draining, None),
        // The process was never gone, or it has just started.
        2 => fleet.list(&endpoints[..3], EndpointState::Running, None),
        3 => fleet.return_cold(&endpoints),
        4 => proxies.iter().for_each(|proxy| fleet.leave(*proxy)),
        5 => proxies.iter().for_each(|proxy| fleet.join(*proxy)),
        6 => fleet.break_watch_stream(&proxies, WATCH_BREAK_GRACE),
        _ => {
            fleet.pause();
            fleet.advance(TICK * random.random_range(1..40));
            fleet.resume();
        }
    }
}
