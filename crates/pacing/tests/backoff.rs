//! Backoff: how attempts of many clients spread, how long delays become, and that success ends them.

use std::collections::BTreeMap;
use std::time::Duration;

use dahliaroad_pacing::Backoff;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

const MS: Duration = Duration::from_millis(1);
const OUTAGE: Duration = Duration::from_secs(20);

fn rng(seed: u64) -> ChaCha8Rng {
    ChaCha8Rng::seed_from_u64(seed)
}

fn equal_jitter(seed: u64) -> Backoff {
    Backoff::equal_jitter(50 * MS, 800 * MS, rng(seed))
}

fn decorrelated_jitter(seed: u64) -> Backoff {
    Backoff::decorrelated_jitter(50 * MS, 800 * MS, rng(seed))
}

/// The attempts of many clients during an outage.
struct Attempts {
    /// Attempts by hundredth of a second.
    by_time: BTreeMap<u128, usize>,
    /// The most attempts of one client.
    most: usize,
}

fn attempts_in_outage(clients: u64) -> Attempts {
    let mut by_time = BTreeMap::new();
    let mut most = 0;
    for seed in 0..clients {
        let mut backoff = equal_jitter(seed);
        let mut at = backoff.next_delay();
        let mut attempts = 0;
        while at < OUTAGE {
            *by_time.entry(at.as_millis() / 10).or_insert(0) += 1;
            attempts += 1;
            at += backoff.next_delay();
        }
        most = most.max(attempts);
    }
    Attempts { by_time, most }
}

/// Five clients, or 350, lose a server at the same moment. Without jitter all of them would come back at the same times
/// and overload it at each of them. With equal jitter their attempts spread out, and each makes few.
#[test]
fn clients_that_lost_a_server_at_once_do_not_come_back_in_step() {
    for clients in [5, 350] {
        let Attempts { by_time, most } = attempts_in_outage(clients);
        // Four short delays, then each of 400 ms at the least.
        assert!(most <= 4 + OUTAGE.as_millis() as usize / 400, "{most} attempts");
        let late = by_time.range(100..).map(|(_, attempts)| *attempts).max().unwrap_or(0);
        assert!(late <= 2.max(clients as usize / 10), "{late} of {clients} within 10 ms");
    }
}

/// A client backs off until its delays are the longest, then succeeds. The next failure begins with a short delay again.
#[test]
fn success_ends_a_backoff_with_equal_jitter() {
    let mut backoff = equal_jitter(1);
    (0..9).for_each(|_| assert!(backoff.next_delay() <= 800 * MS));
    assert!(backoff.next_delay() >= 400 * MS);
    backoff.reset();
    assert!(backoff.next_delay() <= 50 * MS);
}

/// The same with decorrelated jitter, whose delays are never below half of the initial one, nor above the maximum.
#[test]
fn success_ends_a_backoff_with_decorrelated_jitter() {
    for seed in 0..100 {
        let mut backoff = decorrelated_jitter(seed);
        let delays: Vec<Duration> = (0..50).map(|_| backoff.next_delay()).collect();
        assert!(delays.iter().all(|delay| (25 * MS..=800 * MS).contains(delay)), "{delays:?}");
        assert!(delays.contains(&(800 * MS)), "{delays:?}");
        backoff.reset();
        assert!(backoff.next_delay() <= 150 * MS);
    }
}

/// An owner passes the longest span that there is, or one near it. Delays are long then, and drawing them must not panic.
#[test]
fn the_longest_span_as_a_limit_makes_long_delays_and_no_panic() {
    for longest in [Duration::MAX, Duration::MAX - Duration::from_secs(1), Duration::from_secs(u64::MAX / 2)]
    {
        for mut backoff in [
            Backoff::equal_jitter(longest, longest, rng(1)),
            Backoff::decorrelated_jitter(longest, longest, rng(1)),
            Backoff::decorrelated_jitter(MS, longest, rng(1)),
        ] {
            let delays: Vec<Duration> = (0..100).map(|_| backoff.next_delay()).collect();
            assert!(delays[99] > 600 * Duration::from_secs(1), "{delays:?}");
            assert!(delays.iter().all(|delay| *delay <= dahliaroad_pacing::MAX_WAIT), "{delays:?}");
        }
    }
}
