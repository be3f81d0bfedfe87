//! Counters of received, sent and decided items. Each package declares its own counters with
//! [`counters!`](crate::counters!); the program prints all of them in one line.

use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

use dahliaroad_membership::Counts;

/// A count and the text that it is printed with.
pub struct Counter {
    text: &'static str,
    count: AtomicU64,
}

impl Counter {
    /// Creates a counter at zero. `text` names the counted items.
    pub const fn new(text: &'static str) -> Counter {
        Counter { text, count: AtomicU64::new(0) }
    }

    /// Adds `count`.
    pub fn add(&self, count: usize) {
        self.count.fetch_add(count as u64, Relaxed);
    }

    /// Replaces the count, for items that are counted elsewhere.
    pub fn set(&self, count: usize) {
        self.count.store(count as u64, Relaxed);
    }

    /// Raises the count to `count` if it is lower, to keep the highest value seen.
    pub fn raise(&self, count: usize) {
        self.count.fetch_max(count as u64, Relaxed);
    }

    /// Returns the current count.
    pub fn get(&self) -> u64 {
        self.count.load(Relaxed)
    }
}

/// Declares a static [`Counter`](crate::counters::Counter) for each name and printed text, and the list `ALL` of these
/// counters. The doc comment of a name describes the counted items in the terms of the code; the printed texts use the
/// operators' terms.
#[macro_export]
macro_rules! counters {
    ($($(#[$doc:meta])* $name:ident: $text:literal,)*) => {
        $(
            $(#[$doc])*
            #[doc = ""]
            #[doc = concat!("Printed as \"", $text, "\".")]
            pub static $name: $crate::counters::Counter = $crate::counters::Counter::new($text);
        )*
        /// All counters declared here, in the order in which they are printed.
        pub static ALL: &[&$crate::counters::Counter] = &[$(&$name,)*];
    };
}

counters! {
    /// Turns of the event loop, including turns without an input.
    TURNS: "turns of the decisions",
    /// The duration of the longest turn so far, in milliseconds, without the wait for inputs.
    LONGEST_TURN_MS: "milliseconds of the longest turn",
    /// Protocol lines that may wait in the channel now, as far as the proxies' acknowledgements show.
    UNACKNOWLEDGED_LINES: "lines not confirmed",
    /// The highest value of [`UNACKNOWLEDGED_LINES`] so far.
    MAX_UNACKNOWLEDGED_LINES: "most lines not confirmed",
    /// The longest time so far between an endpoint's end and the order that withdraws it from a table, in milliseconds.
    /// Includes endpoints that are not withdrawn yet.
    LONGEST_WITHDRAWAL_MS: "milliseconds that a withdrawal waited at most",
    /// Tables that have an ended endpoint to withdraw now, but whose orders cannot be sent as the relay is unreachable.
    WITHDRAWALS_UNREACHABLE: "tables whose withdrawals wait for the way to the proxies",
    /// Tables that have an ended endpoint to withdraw now, but wait for the message budget of a proxy.
    WITHDRAWALS_OVER_MESSAGE_BUDGET: "tables whose withdrawals wait for messages",
    /// Tables that have an ended endpoint to withdraw now, but wait for room in the channel.
    WITHDRAWALS_OVER_CHANNEL_BUDGET: "tables whose withdrawals wait for the channel",
    /// The lowest admission ratio of any class now, in thousandths.
    LOWEST_ADMISSION_PERMILLE: "thousandths of the class let in least",
    /// Tables in use whose entries are all cold now, so that their proxies admit no more than these can take.
    COLD_TABLES: "tables limited as all their endpoints are cold",
    /// Batches of endpoint updates that were passed to the assigner. A complete list is one batch. Each batch of changes is
    /// one, including those that the subset itself makes as time passes or endpoints are ejected.
    ENDPOINT_LISTS: "lists taken in",
    /// Endpoints that are listed as running now, in the subset or outside it.
    READY_ENDPOINTS: "endpoints listed as ready",
    /// Endpoints that the assigner steers now, including ejected ones.
    STEERED_ENDPOINTS: "endpoints held of them",
    /// Endpoints that were added to the subset. None are counted while the subset contains the whole list.
    SUBSET_ADDITIONS: "endpoints taken up into the subset",
    /// Endpoints that left the subset while they were running.
    SUBSET_RELEASES: "endpoints released as they ran",
    /// Endpoint ids that became free for other endpoints.
    RELEASED_ENDPOINT_IDS: "endpoints' numbers given back",
    /// Health checks that finished after their endpoint's id had passed to another process. They count as rejected.
    OUTDATED_HEALTH_CHECKS: "probes that their endpoint's life did not outlast",
    /// Messages of sources, and single entries of messages, that were ignored as older than the known state.
    STALE_UPDATES: "stale words of sources left out",
    /// Those of the stale entries that were ignored for their start alone, as of an earlier process than the known one.
    SUPERSEDED_ENTRIES: "entries left out for an earlier start",
    /// Messages of sources that were ignored as they did not follow the known revision; a snapshot is needed after each.
    SOURCE_GAPS: "gaps in what sources told",
    /// Listings that are not passed on, as a tombstone shows that their incarnation has ended. A repeated listing counts
    /// again.
    BLOCKED_LISTINGS: "listings of lives that were over",
    /// Listed entries that could not be read; the endpoint's known state stays.
    UNREADABLE_ENTRIES: "entries of sources that could not be read",
    /// Tombstones that were discarded because of their number or their age.
    DISCARDED_TOMBSTONES: "dead lives forgotten",
    /// Returns of endpoints that were delayed because the endpoint flapped.
    DELAYED_RETURNS: "returns held back as flapping",
}

/// Returns one line with the texts and counts of all given counters.
pub fn summary_line(groups: &[&[&Counter]]) -> String {
    let mut line = String::from("counters:");
    for counter in groups.iter().copied().flatten() {
        // Writing to a string cannot fail.
        let _ = write!(line, " {} {};", counter.text, counter.get());
    }
    line
}

/// Updates the counters of the sources' messages.
pub(crate) fn update_source_counters(counts: &Counts) {
    STALE_UPDATES.set(counts.stale);
    SUPERSEDED_ENTRIES.set(counts.superseded);
    SOURCE_GAPS.set(counts.gaps);
    BLOCKED_LISTINGS.set(counts.blocked);
    UNREADABLE_ENTRIES.set(counts.unreadable);
    DISCARDED_TOMBSTONES.set(counts.discarded_tombstones);
}
