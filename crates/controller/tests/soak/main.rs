//! Combined disturbances: series of signals, crowds of connections, restarts, all proxies leaving and
//! returning, an unreachable relay, moves of peers and an unread log, while endpoints drain, leave and
//! return. Tests of a single failure cannot show races between two of them.

#[path = "../harness/mod.rs"]
mod harness;

mod history;
mod playback;
mod rule_monitor;

use harness::{run_scenario, seeds};
use history::History;
use playback::play_all;

/// Histories that are played in parallel, each with its own controller.
const PARALLEL_HISTORIES: usize = 12;
/// The seeds played without `DAHLIAROAD_SOAK_SEEDS`.
const SEEDS: std::ops::Range<u64> = 0..24;

/// No proxy holds a drained or removed endpoint, and no joined proxy is without an endpoint, for longer than the
/// drain grace and some slack. No proxy gets more messages than its limit. A restarted controller is ready
/// within ten seconds; no controller stalls, ends unrequested, or exits with a code other than 0. At the end
/// memory and descriptors are within their bounds.
#[test]
fn the_rules_hold_during_combined_disturbances() {
    let mut failed = Vec::new();
    for batch in seeds("DAHLIAROAD_SOAK_SEEDS", SEEDS).chunks(PARALLEL_HISTORIES) {
        let histories: Vec<History> = batch.iter().copied().map(History::generate).collect();
        run_scenario(async {
            for played in play_all(histories).await {
                println!("seed {}: {}", played.history.seed, played.findings);
                if !played.findings.keeps_limits() {
                    failed.push(played);
                }
            }
        });
    }
    for played in &failed {
        let seed = played.history.seed;
        println!("seed {seed} is bad: {}\n{:#?}", played.findings, played.history.events);
        println!("{}", played.log.join("\n"));
        println!(
            "reproduce with: DAHLIAROAD_SOAK_SEEDS={seed}..{} cargo test --package dahliaroad-controller --test soak",
            seed + 1
        );
    }
    let seeds: Vec<u64> = failed.iter().map(|played| played.history.seed).collect();
    assert!(failed.is_empty(), "bad seeds: {seeds:?}");
}
