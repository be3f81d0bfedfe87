//! Start times that a source gives and later omits, as the start is long ago or a field got lost. The omission alone proves
//! neither an earlier process nor a later one.

use std::time::Duration;

use dahliaroad_membership::*;

use crate::{Harness, NOW, changes, entry, running_update, snapshot, update};

/// The minimum age at which discovery omits a start time.
const OMITTED_AFTER: Duration = Duration::from_secs(17);
/// A start that is long ago at `NOW`, in milliseconds.
const LONG_AGO_MS: u64 = 40_000;
/// A start shortly before `NOW`, in milliseconds.
const RECENT_MS: u64 = 99_000;
const OMITTED: u64 = 0;

/// A membership whose only source is discovery, and the entry of its only endpoint, `a`.
struct Discovery {
    membership: Membership,
    source: SourceId,
    now: Duration,
}

impl Discovery {
    fn new() -> Discovery {
        let mut membership = Membership::new(TombstoneLimits::default());
        let settings =
            SourceSettings { start_omitted_after: OMITTED_AFTER, ..SourceSettings::direct("discovery") };
        let source = membership.add_source(settings);
        Discovery { membership, source, now: NOW }
    }

    /// Applies a complete list and returns the published state of `a`.
    fn list(
        &mut self,
        epoch: u32,
        revision: u64,
        started_ms: u64,
        state: ServingState,
    ) -> Option<ServingState> {
        self.apply(snapshot(epoch, revision, vec![listed(revision, started_ms, state)]))
    }

    /// Applies a change of `a` and returns its published state.
    fn change(
        &mut self,
        epoch: u32,
        revision: u64,
        started_ms: u64,
        state: ServingState,
    ) -> Option<ServingState> {
        self.apply(changes(epoch, revision, revision, vec![listed(revision, started_ms, state)]))
    }

    fn remove(&mut self, epoch: u32, revision: u64) {
        let removed = update("a", revision, EntryState::Removed);
        assert_eq!(self.apply(changes(epoch, revision, revision, vec![removed])), None);
    }

    fn apply(&mut self, message: SourceMessage) -> Option<ServingState> {
        let changes = self.membership.apply(self.now, self.source, message).changes.unwrap();
        changes.entries.last().unwrap().entry.as_ref().map(|entry| entry.serving_state)
    }

    fn start(&self) -> Option<Duration> {
        self.membership.entries().next().unwrap().1.incarnation.started
    }
}

fn listed(revision: u64, started_ms: u64, state: ServingState) -> EntryUpdate {
    update("a", revision, EntryState::Listed(entry(started_ms, 0, state)))
}

/// Discovery lists an endpoint with its start, and later without it as long ago. Its drain was ignored as that of an
/// earlier process, and callers were sent to an endpoint that was about to end.
#[test]
fn a_drain_without_the_start_that_was_given_before_counts() {
    for state in [ServingState::Running, ServingState::Draining] {
        for is_complete in [false, true] {
            for started_ms in [LONG_AGO_MS, RECENT_MS] {
                let mut discovery = Discovery::new();
                discovery.list(1, 5, started_ms, ServingState::Running);
                let published = match is_complete {
                    true => discovery.list(1, 6, OMITTED, state),
                    false => discovery.change(1, 6, OMITTED, state),
                };
                assert_eq!(published, Some(state));
                // The process is the same, so it stays as cold as it is.
                assert_eq!(discovery.start(), Some(Duration::from_millis(started_ms)));
                assert_eq!(discovery.membership.counts.stale, 0);
            }
        }
    }
}

/// Discovery begins its history anew at a lower version, and lists a drain of an endpoint whose start is long ago by then.
#[test]
fn a_drain_without_the_given_start_counts_in_a_new_history() {
    let mut discovery = Discovery::new();
    discovery.list(1, 5, LONG_AGO_MS, ServingState::Running);
    assert_eq!(discovery.list(2, 1, OMITTED, ServingState::Draining), Some(ServingState::Draining));
}

/// A lagging agent lists the process before the known one, whose start was long ago, as running or draining. The known
/// process has just started: it stays cold, and keeps running.
#[test]
fn an_older_list_without_a_start_changes_nothing_for_a_process_that_just_started() {
    for state in [ServingState::Running, ServingState::Draining] {
        let mut discovery = Discovery::new();
        discovery.list(1, 5, OMITTED, ServingState::Running);
        discovery.change(1, 7, RECENT_MS, ServingState::Running);
        assert_eq!(discovery.list(2, 4, OMITTED, state), Some(ServingState::Running));
        assert_eq!(discovery.change(2, 5, OMITTED, state), Some(ServingState::Running));
        assert_eq!(discovery.start(), Some(Duration::from_millis(RECENT_MS)));
        assert_eq!(discovery.membership.counts.superseded, 2);
    }
}

/// An endpoint drains once its start is long ago. A lagging agent lists it as it was before, with its start: whether this
/// controller knew the start or not, and whether the endpoint is still listed or gone, the process that drained stays out.
/// A process that started since runs.
#[test]
fn an_older_list_with_the_start_does_not_restore_a_process_that_drained_without_it() {
    for is_start_known in [false, true] {
        for is_removed in [false, true] {
            let mut discovery = Discovery::new();
            if is_start_known {
                discovery.list(1, 5, LONG_AGO_MS, ServingState::Running);
            }
            discovery.list(1, 6, OMITTED, ServingState::Running);
            discovery.change(1, 7, OMITTED, ServingState::Draining);
            if is_removed {
                discovery.remove(1, 8);
            }
            let expected = (!is_removed).then_some(ServingState::Draining);
            assert_eq!(discovery.list(2, 4, LONG_AGO_MS, ServingState::Running), expected);
            assert_eq!(discovery.change(2, 5, LONG_AGO_MS, ServingState::Running), expected);
            assert_eq!(discovery.list(3, 4, OMITTED, ServingState::Running), expected);
            assert_eq!(discovery.list(3, 9, RECENT_MS, ServingState::Running), Some(ServingState::Running));
        }
    }
}

/// An endpoint drains, and a later process has its name. Discovery drops that process from its list and lists it again, by
/// then without its start. The drain was of the process before, but the running one was taken for it and stayed out for good.
#[test]
fn a_later_process_relisted_without_its_start_is_not_taken_for_the_one_that_drained() {
    for (epoch, revision) in [(1, 10), (2, 1)] {
        let mut discovery = Discovery::new();
        discovery.list(1, 5, OMITTED, ServingState::Running);
        discovery.change(1, 6, OMITTED, ServingState::Draining);
        discovery.remove(1, 7);
        discovery.change(1, 8, LONG_AGO_MS, ServingState::Running);
        discovery.remove(1, 9);
        let relisted = discovery.list(epoch, revision, OMITTED, ServingState::Running);
        assert_eq!(relisted, Some(ServingState::Running));
    }
    // If the later process has just started, an entry without a start in another history is of the one that drained.
    let mut discovery = Discovery::new();
    discovery.list(1, 5, OMITTED, ServingState::Draining);
    discovery.change(1, 8, RECENT_MS, ServingState::Running);
    discovery.remove(1, 9);
    assert_eq!(discovery.list(2, 4, OMITTED, ServingState::Running), None);
}

/// A lagging agent tells the drain of the process before the known one, with or without its start. The known one is dropped,
/// and a still older list has the drained process running: it stays out.
#[test]
fn a_drain_of_the_process_before_the_known_one_holds_once_that_is_dropped() {
    for started_ms in [OMITTED, LONG_AGO_MS] {
        let mut discovery = Discovery::new();
        discovery.list(1, 7, RECENT_MS, ServingState::Running);
        assert_eq!(discovery.list(2, 5, started_ms, ServingState::Draining), Some(ServingState::Running));
        discovery.remove(2, 8);
        assert_eq!(discovery.list(3, 4, started_ms, ServingState::Running), None);
        assert_eq!(discovery.list(3, 7, RECENT_MS, ServingState::Running), Some(ServingState::Running));
    }
}

/// An older list tells the drain of a process that passes for another one that has drained before, so that its entry is
/// blocked. A still older list has the process running, with its start: it stays out.
#[test]
fn a_drain_in_a_blocked_entry_holds() {
    let mut discovery = Discovery::new();
    discovery.list(1, 4, OMITTED, ServingState::Draining);
    let second_started_ms = NOW.as_millis() as u64 + 1_000;
    discovery.now = NOW + Duration::from_secs(20);
    let third_started_ms = discovery.now.as_millis() as u64 - 1_000;
    discovery.change(1, 7, third_started_ms, ServingState::Running);
    discovery.remove(1, 8);
    assert_eq!(discovery.list(2, 6, OMITTED, ServingState::Draining), None);
    discovery.remove(2, 8);
    assert_eq!(discovery.list(3, 5, second_started_ms, ServingState::Running), None);
}

/// The entry of a registry loses its start time while the endpoint runs, by a change or in a reread. The endpoint was
/// taken for gone, and callers no longer reached it.
#[test]
fn an_endpoint_runs_on_when_its_registry_entry_loses_the_start() {
    for is_complete in [false, true] {
        let mut harness = Harness::new(1);
        harness.apply(NOW, snapshot(1, 10, vec![running_update("a", RECENT_MS, 2)]));
        harness.take_states(NOW);
        let lost = update("a", 11, EntryState::Listed(entry(OMITTED, 2, ServingState::Running)));
        harness.apply(
            NOW,
            if is_complete { snapshot(1, 11, vec![lost]) } else { changes(1, 10, 11, vec![lost]) },
        );
        assert_eq!(harness.running_names(), ["a"]);
        assert_eq!(harness.take_states(NOW), [], "nothing changes for the endpoint");
        // The field is back: still the same process, until a later start is given.
        harness.apply(
            NOW,
            changes(
                1,
                11,
                12,
                vec![update("a", 12, EntryState::Listed(entry(RECENT_MS, 2, ServingState::Running)))],
            ),
        );
        assert_eq!(harness.take_states(NOW), []);
    }
}

/// A registry is replaced, and its endpoints register again without the start times that they gave before. They run; those
/// that drained stay out.
#[test]
fn endpoints_registered_without_their_start_in_a_replacement_registry_run_unless_drained() {
    for is_emptied_first in [false, true] {
        let mut harness = Harness::new(1);
        let draining = |revision, started_ms, created| {
            update("b", revision, EntryState::Listed(entry(started_ms, created, ServingState::Draining)))
        };
        harness.apply(
            NOW,
            snapshot(1, 100, vec![running_update("a", LONG_AGO_MS, 50), draining(60, LONG_AGO_MS, 50)]),
        );
        harness.take_states(NOW);
        if is_emptied_first {
            harness.apply(NOW, snapshot(2, 1, vec![]));
        }
        harness.apply(
            NOW,
            snapshot(2, 5, vec![running_update("a", OMITTED, 2), running_update("b", OMITTED, 3)]),
        );
        assert_eq!(harness.running_names(), ["a"]);
    }
}

/// A restored backup lists an endpoint as it was registered before it ended, with a start time that it no longer gave
/// at its end.
#[test]
fn a_restored_backup_with_the_start_does_not_restore_an_endpoint_that_ended_without_it() {
    for state in [ServingState::Running, ServingState::Draining] {
        let mut harness = Harness::new(1);
        harness
            .apply(NOW, snapshot(1, 10, vec![update("a", 9, EntryState::Listed(entry(OMITTED, 2, state)))]));
        harness.apply(NOW, changes(1, 10, 11, vec![update("a", 11, EntryState::Removed)]));
        harness.apply(NOW, snapshot(2, 8, vec![running_update("a", LONG_AGO_MS, 2)]));
        assert_eq!(harness.running_names(), [""; 0]);
        // A process that started after that is a new one.
        let later = NOW + Duration::from_secs(10);
        let started_ms = (NOW + Duration::from_secs(5)).as_millis() as u64;
        harness.apply(later, changes(2, 8, 9, vec![running_update("a", started_ms, 9)]));
        assert_eq!(harness.running_names(), ["a"]);
    }
}

/// Returns a registry in which an endpoint ended after this first entry, ran in another registration with a start, and ended
/// again.
fn registry_in_which_ended_twice(first: EntryUpdate) -> Harness {
    let mut harness = Harness::new(1);
    harness.apply(NOW, snapshot(1, 10, vec![first]));
    harness.apply(NOW, changes(1, 10, 11, vec![update("a", 11, EntryState::Removed)]));
    harness.apply(NOW, changes(1, 11, 12, vec![running_update("a", RECENT_MS, 12)]));
    assert_eq!(harness.running_names(), ["a"]);
    harness.apply(NOW, changes(1, 12, 13, vec![update("a", 13, EntryState::Removed)]));
    harness
}

/// An endpoint ends, registers again with its start, and ends again. A restored backup lists its first registration, which
/// had no start: nothing runs there.
#[test]
fn a_restored_backup_does_not_restore_the_registration_before_the_one_with_a_start() {
    let mut harness = registry_in_which_ended_twice(running_update("a", OMITTED, 2));
    harness.apply(NOW, snapshot(2, 10, vec![running_update("a", OMITTED, 2)]));
    assert_eq!(harness.running_names(), [""; 0]);
}

/// An endpoint drains, and a later process has its name, with a start, and ends. A restored backup lists the drained one as it
/// was first registered, without a start: it stays out.
#[test]
fn a_restored_backup_does_not_restore_a_drained_endpoint_after_a_later_one_with_a_start() {
    let draining = update("a", 10, EntryState::Listed(entry(LONG_AGO_MS, 7, ServingState::Draining)));
    let mut harness = registry_in_which_ended_twice(draining);
    harness.apply(NOW, snapshot(2, 6, vec![running_update("a", OMITTED, 5)]));
    assert_eq!(harness.running_names(), [""; 0]);
}

/// A backup is restored from before a running endpoint's entry lost its start. It is the same registration, so the endpoint
/// runs on.
#[test]
fn an_endpoint_runs_on_when_a_restored_backup_still_has_its_start() {
    let mut harness = Harness::new(1);
    let running = |revision, started_ms| {
        update("a", revision, EntryState::Listed(entry(started_ms, 2, ServingState::Running)))
    };
    harness.apply(NOW, snapshot(1, 10, vec![running(10, OMITTED)]));
    harness.apply(NOW, snapshot(2, 8, vec![running(8, LONG_AGO_MS)]));
    assert_eq!(harness.running_names(), ["a"]);
}

/// A restored backup lists an endpoint without a start at the address of a process that has ended since. Nothing listens
/// there, whether the later process is still listed or not.
#[test]
fn a_restored_backup_without_the_start_does_not_bring_back_the_address_of_an_ended_process() {
    for created in [2, 5] {
        for is_removed in [false, true] {
            let mut harness = Harness::new(1);
            let running = |started_ms, created, port: u16| {
                let address = Some(([127, 0, 0, 1], port).into());
                let entry = Entry { address, ..entry(started_ms, created, ServingState::Running) };
                update("a", created, EntryState::Listed(entry))
            };
            harness.apply(NOW, snapshot(1, 10, vec![running(LONG_AGO_MS, created, 2)]));
            if is_removed {
                harness.apply(NOW, changes(1, 10, 11, vec![update("a", 11, EntryState::Removed)]));
            }
            harness.apply(NOW, snapshot(2, 3, vec![running(OMITTED, 2, 1)]));
            assert_eq!(harness.running_names(), [""; 0]);
        }
    }
}

/// Two sources list an endpoint, only one of them with its start. The other lists its drain and its end. The process that
/// drained must not return by the first one's entry.
#[test]
fn a_drain_by_a_source_without_the_start_holds_for_a_source_with_it() {
    let mut harness = Harness::new(2);
    let [first, second] = [harness.sources[0], harness.sources[1]];
    let draining = update("a", 6, EntryState::Listed(entry(OMITTED, 1, ServingState::Draining)));
    harness.membership.apply(NOW, first, snapshot(1, 5, vec![running_update("a", OMITTED, 1)]));
    harness.membership.apply(NOW, second, snapshot(1, 5, vec![running_update("a", LONG_AGO_MS, 1)]));
    harness.membership.apply(NOW, first, changes(1, 5, 6, vec![draining]));
    assert_eq!(harness.running_names(), [""; 0]);
    harness.membership.apply(NOW, first, changes(1, 6, 7, vec![update("a", 7, EntryState::Removed)]));
    assert_eq!(harness.running_names(), [""; 0]);
}

/// A source whose last message takes precedence omits a start that it gave. The process must not look warm for that.
#[test]
fn a_source_whose_names_always_return_keeps_the_start_that_it_gave() {
    let mut membership = Membership::new(TombstoneLimits::default());
    let settings =
        SourceSettings { return_policy: ReturnPolicy::Always, ..SourceSettings::direct("discovery") };
    let source = membership.add_source(settings);
    membership.apply(NOW, source, snapshot(1, 5, vec![listed(5, RECENT_MS, ServingState::Running)]));
    membership.apply(NOW, source, snapshot(2, 4, vec![listed(4, OMITTED, ServingState::Draining)]));
    let entry = membership.entries().next().unwrap().1;
    assert_eq!(entry.serving_state, ServingState::Draining);
    assert_eq!(entry.incarnation.started, Some(Duration::from_millis(RECENT_MS)));
}
