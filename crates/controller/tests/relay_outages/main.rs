//! Guards against drains delayed by repeated calls. A relay was silent for four seconds, and the controller
//! sent the same call again and again. No attempt could be known not to have been applied, so each counted as
//! a message to every proxy. Eleven repeats, from 7.685 s to 11.920 s of the log (`relay: a call is repeated:
//! timed out`), and the call itself used up the twelve messages that a proxy may get in ten seconds. The
//! relay was back at most 0.7 s after the last repeat. Two drains announced 1.4 s after the last repeat
//! (10.989 s of the run, 13.353 s of the log) had to wait until the first repeat was ten seconds old, at
//! 17.685 s of the log: 4.3 s after their announcement, where the grace is three seconds.

#[path = "../harness/mod.rs"]
mod harness;

mod findings;
mod history;
mod playback;
mod table_monitor;
mod unread_calls;

use std::time::Duration;

use findings::Findings;
use harness::{run_scenario, seeds};
use history::History;
use playback::{PlayedHistory, play_all};

/// Histories that are played in parallel, each with its own controller.
const PARALLEL_HISTORIES: usize = 12;
/// The seeds played without `DAHLIAROAD_OUTAGE_SEEDS`, four of each kind of history.
const SEEDS: std::ops::Range<u64> = 0..20;

/// Seeds that failed once, even after the repair.
const REGRESSION_SEEDS: [u64; 1] = [1049];

/// The relay goes silent, breaks calls and answers, or rejects calls, while endpoints drain, leave and
/// return. No drain may exceed the grace, counted from the relay's return, and no proxy may get more messages
/// than its limit.
#[test]
fn drains_and_messages_keep_their_limits_through_silences_and_broken_calls_of_the_relay() {
    let seeds = seeds("DAHLIAROAD_OUTAGE_SEEDS", SEEDS.chain(REGRESSION_SEEDS));
    let histories = seeds.into_iter().map(History::generate);
    assert_limits_kept(histories.collect());
}

/// The watch stream breaks in a silence and is subscribed again while a late call may already be in flight.
/// The late call sets the weight of an endpoint that has ended since.
#[test]
fn a_call_that_arrives_up_to_1_3_s_after_a_silence_that_ended_the_watch_stream_is_corrected() {
    let after = (200..1400).step_by(100).map(Duration::from_millis);
    assert_limits_kept(after.map(History::with_late_weights).collect());
}

fn assert_limits_kept(mut histories: Vec<History>) {
    let mut failed = Vec::new();
    while !histories.is_empty() {
        let batch = histories.split_off(histories.len().saturating_sub(PARALLEL_HISTORIES));
        run_scenario(async {
            for played in play_all(batch).await {
                println!("{}", summary(&played));
                if !played.findings.keeps_limits() {
                    failed.push(played);
                }
            }
        });
    }
    let summaries: Vec<String> = failed.iter().map(summary).collect();
    let first = failed
        .first()
        .map(|PlayedHistory { history, findings }| format!("{history:?}\n{}", findings.log.join("\n")));
    assert!(failed.is_empty(), "{}\n{}", summaries.join("\n"), first.unwrap_or_default());
}

fn summary(PlayedHistory { history, findings }: &PlayedHistory) -> String {
    let Findings { longest_drain, left_by_first_call, most_messages, .. } = findings;
    let Findings { held_at_the_end, stranded_at_the_end, .. } = findings;
    format!(
        "seed {} ({:?}): drain in a table {:.2} s, left by the first call {left_by_first_call:?}, {most_messages} messages, \
         held at the end {held_at_the_end:?}, {stranded_at_the_end} stranded",
        history.seed,
        history.kind,
        longest_drain.as_secs_f64()
    )
}
