//! Processes take their starts from wall clocks that are stepped forward or back. The start of a later process may then be
//! earlier than that of the process before, or in the future.

use std::time::Duration;

use dahliaroad_membership::*;

use crate::{changes, entry, snapshot, update};

/// The time that the controller's clock shows.
const NOW: Duration = Duration::from_secs(10_000);
const NOW_MS: u64 = 10_000_000;
const HOUR_MS: u64 = 3_600_000;
const WARM_UP: Duration = Duration::from_secs(17);
const SECOND: Duration = Duration::from_secs(1);
const RUNNING: Option<ServingState> = Some(ServingState::Running);
const DRAINING: Option<ServingState> = Some(ServingState::Draining);

/// A membership with one source, whose policy the test chooses, and the endpoint `a`.
struct List {
    membership: Membership,
    source: SourceId,
    now: Duration,
}

impl List {
    fn new(settings: SourceSettings) -> List {
        let mut membership = Membership::new(TombstoneLimits::default());
        let source = membership.add_source(settings);
        List { membership, source, now: NOW }
    }

    /// Lists the platform's discovery, which lists a name from the beginning.
    fn discovery() -> List {
        List::new(SourceSettings { start_omitted_after: WARM_UP, ..SourceSettings::direct("discovery") })
    }

    fn snapshot(&mut self, epoch: u32, revision: u64, started_ms: u64, state: ServingState) {
        self.apply(snapshot(epoch, revision, vec![listed(revision, started_ms, state)]));
    }

    fn change(&mut self, epoch: u32, revision: u64, started_ms: u64, state: ServingState) {
        self.apply(changes(epoch, revision - 1, revision, vec![listed(revision, started_ms, state)]));
    }

    fn remove(&mut self, epoch: u32, revision: u64) {
        self.apply(changes(epoch, revision - 1, revision, vec![update("a", revision, EntryState::Removed)]));
    }

    fn apply(&mut self, message: SourceMessage) {
        let applied = self.membership.apply(self.now, self.source, message);
        assert_eq!(applied.freshness, Freshness::Accepted);
    }

    fn entry(&self) -> Option<Entry> {
        self.membership.entries().next().map(|(_, entry)| entry)
    }

    fn state(&self) -> Option<ServingState> {
        self.entry().map(|entry| entry.serving_state)
    }

    /// How long the endpoint is taken to have run; `None` if that is unknown or long.
    fn age(&self) -> Option<Duration> {
        let started_at = self.entry().expect("the endpoint is listed").started_at();
        started_at.map(|at| self.now.checked_sub(at).expect("the start is not in the future"))
    }
}

fn listed(revision: u64, started_ms: u64, state: ServingState) -> EntryUpdate {
    update("a", revision, EntryState::Listed(entry(started_ms, 2, state)))
}

/// All sources whose entries have a start, by how their names may return.
fn sources() -> [SourceSettings; 3] {
    let always = SourceSettings { return_policy: ReturnPolicy::Always, ..SourceSettings::direct("always") };
    [SourceSettings::direct("discovery"), SourceSettings::new("registry"), always]
}

/// The starts of a process before a step of the clock and of the one after it, as their clocks showed them.
const STARTS_MS: [[u64; 2]; 4] = [
    // Back by an hour, with a process that started a minute ago, and with one whose start is omitted.
    [NOW_MS - 60_000, NOW_MS - HOUR_MS],
    [0, NOW_MS - HOUR_MS],
    // Back by ten seconds.
    [NOW_MS - 3_000, NOW_MS - 10_000],
    // Forward by an hour.
    [NOW_MS - 60_000, NOW_MS + HOUR_MS],
];

/// An endpoint restarts after a step of the clock, and later drains. Its start was earlier than the known one, so it passed
/// for an earlier process: the drain was ignored, and proxies sent to it until it was listed as gone.
#[test]
fn a_drain_counts_after_a_restart_at_a_stepped_clock() {
    for settings in sources() {
        for [before_ms, after_ms] in STARTS_MS {
            for is_complete in [false, true] {
                let mut list = List::new(settings.clone());
                list.snapshot(1, 5, before_ms, ServingState::Running);
                let apply = if is_complete { List::snapshot } else { List::change };
                apply(&mut list, 1, 6, after_ms, ServingState::Running);
                assert_eq!(list.state(), RUNNING, "{}: {before_ms} {after_ms}", settings.name);
                list.now += 22 * SECOND;
                apply(&mut list, 1, 7, after_ms, ServingState::Draining);
                assert_eq!(list.state(), DRAINING, "{}: {before_ms} {after_ms}", settings.name);
                assert_eq!(list.membership.counts.superseded, 0);
            }
        }
    }
}

/// The restarted process is cold. With the start that its clock showed it looked warm, or stayed cold for an hour.
#[test]
fn a_process_that_restarts_at_a_stepped_clock_is_cold_from_the_time_it_is_listed() {
    for settings in sources() {
        for [before_ms, after_ms] in STARTS_MS {
            let mut list = List::new(settings.clone());
            list.snapshot(1, 5, before_ms, ServingState::Running);
            list.change(1, 6, after_ms, ServingState::Running);
            assert_eq!(list.age(), Some(Duration::ZERO), "{}: {before_ms} {after_ms}", settings.name);
            list.now += 3 * SECOND;
            list.change(1, 7, after_ms, ServingState::Running);
            assert_eq!(list.age(), Some(3 * SECOND), "{}: {before_ms} {after_ms}", settings.name);
        }
    }
}

/// An endpoint is lost, and returns cold after a step of the clock.
#[test]
fn a_process_that_returns_at_a_stepped_clock_is_cold() {
    for settings in sources() {
        for [before_ms, after_ms] in STARTS_MS {
            let mut list = List::new(settings.clone());
            list.snapshot(1, 5, before_ms, ServingState::Running);
            list.remove(1, 6);
            list.now += 8 * SECOND;
            let again = update("a", 7, EntryState::Listed(entry(after_ms, 7, ServingState::Running)));
            list.apply(changes(1, 6, 7, vec![again]));
            assert_eq!(list.state(), RUNNING, "{}: {before_ms} {after_ms}", settings.name);
            // A start that discovery omitted before may be that of a process which an operator has listed again.
            if before_ms > 0 || settings.pacing.is_none() {
                let age = list.age().expect("the process has just started");
                assert!(age < WARM_UP / 2, "{}: {before_ms} {after_ms} {age:?}", settings.name);
            }
        }
    }
}

/// The list drops a process that runs on, and has it again with the same start: it is as warm as it was.
#[test]
fn a_process_that_is_listed_again_with_its_start_keeps_its_age() {
    for settings in sources().into_iter().filter(|settings| settings.pacing.is_none()) {
        let mut list = List::new(settings.clone());
        list.snapshot(1, 5, NOW_MS - 60_000, ServingState::Running);
        list.remove(1, 6);
        list.now += 8 * SECOND;
        list.change(1, 7, NOW_MS - 60_000, ServingState::Running);
        assert_eq!(list.age(), Some(68 * SECOND), "{}", settings.name);
    }
}

/// A controller starts after the clock was stepped back: the starts of its first list are in the future.
#[test]
fn a_start_in_the_future_counts_from_the_time_it_is_listed() {
    for settings in sources() {
        let mut list = List::new(settings);
        list.snapshot(1, 5, NOW_MS + HOUR_MS, ServingState::Running);
        list.now += 20 * SECOND;
        list.change(1, 6, NOW_MS + HOUR_MS, ServingState::Running);
        assert_eq!(list.age(), Some(20 * SECOND));
        // The next process has a start that is true, and earlier.
        list.change(1, 7, NOW_MS + 20_000, ServingState::Running);
        assert_eq!((list.state(), list.age()), (RUNNING, Some(Duration::ZERO)));
        list.change(1, 8, NOW_MS + 20_000, ServingState::Draining);
        assert_eq!(list.state(), DRAINING);
    }
}

/// A drained process is replaced by one whose start is earlier. The tombstone of the drained one kept it out for good.
#[test]
fn a_process_after_a_drained_one_runs_although_its_start_is_earlier() {
    for settings in sources() {
        for is_removed in [false, true] {
            let mut list = List::new(settings.clone());
            list.snapshot(1, 5, NOW_MS - 60_000, ServingState::Running);
            list.change(1, 6, NOW_MS - 60_000, ServingState::Draining);
            match is_removed {
                true => list.remove(1, 7),
                false => list.change(1, 7, NOW_MS - 60_000, ServingState::Draining),
            }
            list.change(1, 8, NOW_MS - HOUR_MS, ServingState::Running);
            assert_eq!(list.state(), RUNNING, "{} {is_removed}", settings.name);
            // The drained process itself does not return.
            if settings.return_policy != ReturnPolicy::Always {
                list.change(1, 9, NOW_MS - 60_000, ServingState::Running);
                assert_ne!(list.state(), RUNNING, "{} {is_removed}", settings.name);
            }
        }
    }
}

/// A lagging agent has the process before the known one. The clock was stepped back between the two, so the start of the
/// known one is the earlier one, or looks long ago. It stays cold, and runs on.
#[test]
fn an_older_list_changes_nothing_for_a_process_that_just_started_at_a_stepped_clock() {
    for state in [ServingState::Running, ServingState::Draining] {
        for [before_ms, after_ms] in STARTS_MS {
            let mut list = List::discovery();
            list.snapshot(1, 5, before_ms, ServingState::Running);
            list.change(1, 7, after_ms, ServingState::Running);
            list.now += 2 * SECOND;
            list.snapshot(2, 4, before_ms, state);
            list.change(2, 5, before_ms, state);
            assert_eq!((list.state(), list.age()), (RUNNING, Some(2 * SECOND)), "{before_ms} {after_ms}");
        }
    }
}

/// Discovery begins its history anew, and lists a restarted process with an earlier start than the known one. As long as
/// the list may be outdated, the known one stays; later it cannot be, and the drain counts.
#[test]
fn an_earlier_start_in_a_new_history_counts_once_the_list_cannot_be_outdated() {
    for state in [ServingState::Running, ServingState::Draining] {
        let mut list = List::discovery();
        list.snapshot(1, 5, NOW_MS - 10_000, ServingState::Running);
        list.snapshot(2, 1, NOW_MS - HOUR_MS, state);
        assert_eq!(list.state(), RUNNING);
        list.now += WARM_UP;
        list.change(2, 2, NOW_MS - HOUR_MS, ServingState::Running);
        // If the older list told its drain, it is the process that drained.
        assert_eq!(list.state(), RUNNING.filter(|_| state == ServingState::Running));
        list.change(2, 3, NOW_MS - HOUR_MS, ServingState::Draining);
        assert_ne!(list.state(), RUNNING);
    }
}
