//! Return of processes after a drain, a removal, a restored backup or the replacement of a registry.

use std::time::Duration;

use dahliaroad_membership::*;

use crate::{Harness, NOW, changes, entry, running_update, snapshot, update};

/// An endpoint drains, and its entry is overwritten, or removed and registered again, with the same start time. It is the
/// same process, which is about to end, so requests sent to it would be lost.
#[test]
fn only_a_new_incarnation_ends_a_drain() {
    let mut harness = Harness::new(1);
    harness.apply(NOW, snapshot(1, 10, vec![running_update("a", 500, 2)]));
    harness.take_states(NOW);
    let drained = update("a", 11, EntryState::Listed(entry(500, 2, ServingState::Draining)));
    harness.apply(NOW, changes(1, 10, 11, vec![drained]));
    assert_eq!(harness.take_states(NOW), [("a".into(), Some(ServingState::Draining))]);
    // After an overwrite, or a removal and a new registration, it is still the same process.
    harness.apply(
        NOW,
        changes(1, 11, 12, vec![update("a", 12, EntryState::Listed(entry(500, 2, ServingState::Running)))]),
    );
    harness.apply(
        NOW,
        changes(1, 12, 14, vec![update("a", 13, EntryState::Removed), running_update("a", 500, 14)]),
    );
    assert_eq!(harness.running_names(), [""; 0]);
    harness.apply(
        NOW,
        changes(1, 14, 15, vec![update("a", 15, EntryState::Listed(entry(900, 14, ServingState::Running)))]),
    );
    assert_eq!(harness.running_names(), ["a"]);
}

/// A source reports a start time that it did not report before, or omits one that it reported. Only the former proves a new
/// process.
#[test]
fn a_newly_reported_start_time_proves_a_new_incarnation_and_an_omitted_one_does_not() {
    let mut harness = Harness::new(1);
    let listed = |revision, started, serving_state| {
        update("a", revision, EntryState::Listed(entry(started, 2, serving_state)))
    };
    harness.apply(NOW, snapshot(1, 10, vec![listed(2, 0, ServingState::Draining)]));
    harness.apply(NOW, changes(1, 10, 11, vec![listed(11, 500, ServingState::Running)]));
    assert_eq!(harness.running_names(), ["a"]);
    harness.apply(NOW, changes(1, 11, 12, vec![listed(12, 500, ServingState::Draining)]));
    harness.apply(NOW, changes(1, 12, 13, vec![listed(13, 0, ServingState::Running)]));
    assert_eq!(harness.running_names(), [""; 0]);
}

/// A registry's entry is overwritten with the start of the process before, as by a stale writer. The process that it names
/// has ended.
#[test]
fn an_entry_with_an_earlier_start_than_the_known_one_lists_no_running_endpoint() {
    let mut harness = Harness::new(1);
    harness.apply(NOW, snapshot(1, 9, vec![running_update("a", 500, 2)]));
    let known = update("a", 10, EntryState::Listed(entry(900, 2, ServingState::Running)));
    harness.apply(NOW, changes(1, 9, 10, vec![known]));
    assert_eq!(harness.running_names(), ["a"]);
    let earlier = update("a", 11, EntryState::Listed(entry(500, 2, ServingState::Running)));
    harness.apply(NOW, changes(1, 10, 11, vec![earlier]));
    assert_eq!(harness.running_names(), [""; 0]);
}

/// An entry expires while its process runs, and the process registers again with the same start time. It was never drained,
/// so it returns.
#[test]
fn an_undrained_endpoint_returns_once_it_is_registered_again() {
    let mut harness = Harness::new(1);
    harness.apply(NOW, snapshot(1, 10, vec![running_update("a", 500, 2)]));
    harness.apply(NOW, changes(1, 10, 11, vec![update("a", 11, EntryState::Removed)]));
    harness.apply(NOW, changes(1, 11, 12, vec![running_update("a", 500, 12)]));
    assert_eq!(harness.running_names(), ["a"]);
}

/// A restored backup lists endpoints that have since ended. If they returned, proxies would send requests to addresses
/// where nothing listens.
#[test]
fn a_restored_backup_does_not_restore_ended_endpoints() {
    let mut harness = Harness::new(1);
    harness.apply(
        NOW,
        snapshot(
            1,
            10,
            vec![running_update("a", 0, 2), running_update("b", 700, 3), running_update("c", 700, 4)],
        ),
    );
    harness.apply(
        NOW,
        changes(1, 10, 12, vec![update("a", 11, EntryState::Removed), update("b", 12, EntryState::Removed)]),
    );
    harness.apply(NOW, changes(1, 12, 13, vec![running_update("b", 800, 13)]));
    harness.take_states(NOW);
    harness.apply(
        NOW,
        snapshot(
            2,
            10,
            vec![running_update("a", 0, 2), running_update("b", 700, 3), running_update("c", 700, 4)],
        ),
    );
    assert_eq!(harness.running_names(), ["c"]);
    assert_eq!(harness.membership.counts.blocked, 2);
    // The endpoints return when they are registered again after the restore.
    harness.apply(NOW, changes(2, 10, 12, vec![running_update("a", 0, 11), running_update("b", 900, 12)]));
    assert_eq!(harness.running_names(), ["a", "b", "c"]);
}

/// The registry is replaced by an empty one, in which all endpoints register again at lower revisions than before. If the
/// revisions were compared with those of the old history, every endpoint would count as ended.
#[test]
fn endpoints_registered_in_a_replacement_registry_run_despite_lower_revisions() {
    let mut harness = Harness::new(1);
    harness.apply(NOW, snapshot(1, 100, vec![running_update("a", 0, 50), running_update("b", 0, 60)]));
    harness.take_states(NOW);
    // These revisions are lower, but they cannot be compared with those of the other history.
    harness.apply(NOW, snapshot(2, 5, vec![running_update("a", 0, 2), running_update("b", 0, 3)]));
    assert_eq!(harness.running_names(), ["a", "b"]);
}

/// A backup lists an ended endpoint for longer than its tombstone is kept. The endpoint must not return when the tombstone
/// is discarded.
#[test]
fn a_blocked_listing_stays_blocked_after_its_tombstone_is_discarded() {
    let mut harness = Harness::new(1);
    harness.apply(NOW, snapshot(1, 10, vec![running_update("a", 0, 2)]));
    harness.apply(NOW, changes(1, 10, 11, vec![update("a", 11, EntryState::Removed)]));
    harness.apply(NOW, snapshot(2, 10, vec![running_update("a", 0, 2)]));
    let long_after = NOW + TombstoneLimits::default().retention * 2;
    harness.apply(long_after, snapshot(2, 11, vec![running_update("a", 0, 2)]));
    assert_eq!(harness.membership.tombstone_count(), 0);
    harness.apply(long_after, snapshot(2, 12, vec![running_update("a", 0, 2)]));
    assert_eq!(harness.running_names(), [""; 0]);
}

/// A process restarts between two messages. If only the newer state were published, the assigner would mistake the new
/// process for the warm one that it replaced.
#[test]
fn a_removal_and_a_registration_in_one_message_publish_an_end_and_a_start() {
    let mut harness = Harness::new(1);
    harness.apply(NOW, snapshot(1, 10, vec![running_update("a", 0, 2)]));
    harness.take_states(NOW);
    let later = NOW + Duration::from_secs(1);
    harness.apply(
        later,
        changes(1, 10, 12, vec![update("a", 11, EntryState::Removed), running_update("a", 0, 12)]),
    );
    assert_eq!(harness.take_states(later), [("a".into(), None), ("a".into(), Some(ServingState::Running))]);
}

/// A health check of the source fails and passes again. The same process returns, which it could not after a drain.
#[test]
fn an_endpoint_out_of_rotation_returns_in_the_same_incarnation() {
    let mut harness = Harness::new(1);
    harness.apply(NOW, snapshot(1, 10, vec![running_update("a", 0, 2)]));
    harness.take_states(NOW);
    harness.apply(
        NOW,
        changes(
            1,
            10,
            11,
            vec![update("a", 11, EntryState::Listed(entry(0, 2, ServingState::OutOfRotation)))],
        ),
    );
    assert_eq!(harness.take_states(NOW), [("a".into(), Some(ServingState::OutOfRotation))]);
    let later = NOW + Duration::from_secs(5);
    harness.apply(
        later,
        changes(1, 11, 12, vec![update("a", 12, EntryState::Listed(entry(0, 2, ServingState::Running)))]),
    );
    assert_eq!(harness.take_states(later), [("a".into(), Some(ServingState::Running))]);
}
