//! Everything at once: signals in series, crowds of connections, restarts, all proxies leaving and returning, a relay out of reach,
//! moves of peers, a log that nobody reads, while endpoints drain, go and come back. What a story of one failure cannot show is
//! that two of them cross.

#[path = "../harness/mod.rs"]
mod harness;

mod history;
mod judge;
mod playback;

use harness::run_scenario;
use history::History;
use playback::play_all;

/// Histories that run at one time, each with a controller of its own.
const SIDE_BY_SIDE: usize = 12;
/// The seeds that are played without `DAHLIAROAD_SOAK_SEEDS`.
const SEEDS: std::ops::Range<u64> = 0..24;

/// `DAHLIAROAD_SOAK_SEEDS=100..150` plays those instead.
fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("DAHLIAROAD_SOAK_SEEDS") else { return SEEDS.collect() };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    (first.parse().expect("a seed")..end.parse().expect("a seed")).collect()
}

/// No drain outlasts its grace, no joined proxy is without an endpoint, no proxy gets more messages than it may, a restarted
/// controller is ready within ten seconds, none stands still or ends unasked or with another code than 0, and memory and descriptors are few at
/// the end.
#[test]
fn the_rules_hold_while_troubles_cross() {
    let mut bad = Vec::new();
    for some in seeds().chunks(SIDE_BY_SIDE) {
        let histories: Vec<History> = some.iter().copied().map(History::generate).collect();
        run_scenario(async {
            for played in play_all(histories).await {
                println!("seed {}: {}", played.history.seed, played.verdict);
                if !played.verdict.is_good() {
                    bad.push(played);
                }
            }
        });
    }
    for played in &bad {
        let seed = played.history.seed;
        println!("seed {seed} is bad: {}\n{:#?}", played.verdict, played.history.events);
        println!("{}", played.log.join("\n"));
        println!(
            "again by: DAHLIAROAD_SOAK_SEEDS={seed}..{} cargo test --package dahliaroad-controller --test soak",
            seed + 1
        );
    }
    let seeds: Vec<u64> = bad.iter().map(|played| played.history.seed).collect();
    assert!(bad.is_empty(), "bad seeds: {seeds:?}");
}
