//! The message budget of proxies that use two tables: one class may be served anywhere, the other in the proxy's own
//! zone. What is ordered for both tables at one time reaches a proxy as one message.

// Only a part of the harness and of the model is used here.
#[allow(dead_code)]
mod harness;
#[allow(dead_code)]
mod two_table_fleet;

use dahliaroad::*;
use harness::MS;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use two_table_fleet::{
    Demand, ENDPOINTS, Fleet, MAX_ADMISSION_MESSAGES, MAX_MESSAGES, TICK, ZONES, most_in_window,
};

/// Six in ten endpoints are replaced within 7 s. Each drained endpoint had to leave two tables of the same proxies. The
/// withdrawal from the second was spaced after that from the first, although both go in one message.
#[test]
fn withdrawals_from_two_tables_at_one_time_are_one_message() {
    let mut fleet = Fleet::new();
    fleet.advance(20 * 1000 * MS);
    let of_zone = |zone: u32| (0..ENDPOINTS).filter(move |endpoint| endpoint % ZONES == zone);
    let drained: Vec<u32> =
        of_zone(0).zip(of_zone(1)).flat_map(|(a, b)| [a, b]).chain(of_zone(2).take(2)).collect();
    for (position, &endpoint) in drained.iter().enumerate() {
        fleet.list(&[endpoint], EndpointState::Draining, None);
        fleet.advance(500 * MS);
        if position >= 3 {
            // The successor starts 1.5 s after its predecessor began to drain.
            let successor = ENDPOINTS + 4 * position as u32 + drained[position - 3] % ZONES;
            fleet.return_cold(&[successor]);
        }
    }
    fleet.advance(15 * 1000 * MS);
    assert!(most_in_window(&fleet.messages) <= MAX_MESSAGES, "{}", most_in_window(&fleet.messages));
}

/// A zone is lost and returns cold, so that limits of admission use up to 9 of a proxy's 12 messages, while one or more
/// endpoints of any zone drain at one instant. Neither a drain may wait for the messages, nor may there be too many.
#[test]
fn drains_from_two_tables_beside_the_limits_of_cold_endpoints_hold_within_the_message_limit() {
    let (mut most_messages, mut most_limits) = (0, 0);
    for seed in 0..60 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut fleet = Fleet::new();
        let draw =
            |_| Demand { surge: random.random_range(0.5..2.0), anywhere: random.random_range(0.2..0.8) };
        fleet.demands = (0..7).map(draw).collect();
        fleet.advance(15 * 1000 * MS);
        let zone = random.random_range(0..ZONES);
        let lost: Vec<u32> = (0..ENDPOINTS).filter(|endpoint| endpoint % ZONES == zone).collect();
        fleet.list(&lost, EndpointState::Removed, None);
        fleet.advance(TICK * random.random_range(20..100));
        fleet.return_cold(&lost[..1]);
        fleet.advance(TICK * random.random_range(1..20));
        fleet.return_cold(&lost[1..]);
        // In half of the histories the limits have changed for some seconds before the first drain.
        fleet.advance(TICK * random.random_range(0..2) * 85);
        let limits = most_in_window(&fleet.admission_messages);
        for _ in 0..random.random_range(8..20) {
            fleet.advance(TICK * random.random_range(1..18));
            let count = random.random_range(1..4);
            let mut running: Vec<u32> = fleet.running.keys().copied().collect();
            if running.len() > 12 {
                let draw = |_| running.swap_remove(random.random_range(0..running.len()));
                let drained: Vec<u32> = (0..count).map(draw).collect();
                fleet.list(&drained, EndpointState::Draining, None);
            }
            let returning: Vec<u32> =
                fleet.ended.keys().copied().filter(|_| random.random_bool(0.2)).collect();
            fleet.return_cold(&returning);
        }
        fleet.advance(5 * 1000 * MS);
        let messages = most_in_window(&fleet.messages);
        assert!(messages <= MAX_MESSAGES, "seed {seed}: {messages} messages");
        most_messages = most_messages.max(messages);
        most_limits = most_limits.max(limits);
    }
    // The histories do come near the limit, and the limits of cold endpoints do use their part of it.
    assert!(most_messages >= MAX_MESSAGES - 1, "{most_messages}");
    assert!(most_limits >= MAX_ADMISSION_MESSAGES, "{most_limits}");
}
