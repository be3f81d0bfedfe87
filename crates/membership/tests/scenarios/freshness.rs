//! Acceptance of messages: snapshots that remove names, stale, repeated and out-of-order messages, and silent sources.

use std::time::Duration;

use dahliaroad_membership::*;

use crate::{Harness, NOW, changes, entry, running_update, snapshot, update};

/// Endpoints are missing from a snapshot, and finally all of them are. If they stayed in the list, proxies would send
/// requests to servers that are gone. An empty list counts as a list.
#[test]
fn names_missing_from_a_snapshot_are_removed_at_once_even_if_the_snapshot_is_empty() {
    let mut harness = Harness::new(1);
    harness.apply(NOW, snapshot(1, 5, vec![running_update("a", 0, 2), running_update("b", 0, 3)]));
    assert_eq!(harness.take_states(NOW).len(), 2);
    harness.apply(NOW, snapshot(1, 9, vec![running_update("b", 0, 3)]));
    assert_eq!(harness.take_states(NOW), [("a".into(), None)]);
    harness.apply(NOW, snapshot(1, 10, vec![]));
    assert_eq!(harness.take_states(NOW), [("b".into(), None)]);
}

/// A registry is empty at startup. If nothing were published, the assigner would wait forever for a first list.
#[test]
fn an_empty_first_list_is_published() {
    let mut harness = Harness::new(1);
    assert_eq!(harness.membership.take_changes(NOW), None);
    harness.apply(NOW, snapshot(1, 1, vec![]));
    assert_eq!(harness.membership.take_changes(NOW), Some(Changes { complete: true, entries: vec![] }));
}

/// Messages arrive twice, late, from a lagging member, or after a gap. If they were accepted, old states would return or
/// changes would be lost without notice.
#[test]
fn stale_repeated_and_noncontiguous_messages_change_nothing() {
    let mut harness = Harness::new(1);
    assert_eq!(harness.apply(NOW, changes(1, 4, 5, vec![])), Freshness::Gap);
    harness.apply(NOW, snapshot(2, 10, vec![running_update("a", 0, 2)]));
    harness.take_states(NOW);
    for stale in
        [snapshot(2, 9, vec![]), snapshot(1, 99, vec![]), changes(2, 8, 10, vec![]), changes(2, 3, 9, vec![])]
    {
        assert_eq!(harness.apply(NOW, stale), Freshness::Stale);
    }
    for gap in [changes(2, 11, 12, vec![]), changes(3, 10, 11, vec![])] {
        assert_eq!(harness.apply(NOW, gap), Freshness::Gap);
    }
    assert_eq!(harness.running_names(), ["a"]);
}

/// A source is silent for an hour. Its endpoints stay listed, and operators can see the age of the list.
#[test]
fn a_silent_source_keeps_its_endpoints_and_the_age_of_its_list_is_known() {
    let mut harness = Harness::new(1);
    harness.apply(NOW, snapshot(1, 10, vec![running_update("a", 0, 2)]));
    harness.take_states(NOW);
    let later = NOW + Duration::from_secs(3600);
    assert_eq!(harness.take_states(later), []);
    assert_eq!(harness.membership.source_states()[0].last_message_at, Some(NOW));
    harness.apply(later, SourceMessage::Progress { epoch: Epoch(1), revision: Revision(12) });
    assert_eq!(harness.membership.source_states()[0].last_message_at, Some(later));
    assert_eq!(
        harness.apply(later, changes(1, 12, 13, vec![update("a", 13, EntryState::Removed)])),
        Freshness::Accepted
    );
    assert_eq!(harness.take_states(later), [("a".into(), None)]);
}

/// A snapshot is read in pages while the store changes, so that a page contains entries of later revisions. The
/// intermediate changes then arrive again; if they were applied, they would remove a running endpoint.
#[test]
fn a_snapshot_entry_newer_than_the_snapshot_revision_is_not_undone_by_older_changes() {
    let mut harness = Harness::new(1);
    harness.apply(NOW, snapshot(1, 10, vec![running_update("a", 0, 2)]));
    // The pages were read at different revisions; this entry is from a later one.
    harness.apply(NOW, snapshot(1, 100, vec![running_update("a", 0, 120)]));
    harness.apply(
        NOW,
        changes(1, 100, 120, vec![update("a", 105, EntryState::Removed), running_update("a", 0, 120)]),
    );
    assert_eq!(harness.running_names(), ["a"]);
}

/// One entry is malformed. The other entries are applied, and the last known entry of its name stays in effect.
#[test]
fn an_unreadable_entry_affects_no_other_entry() {
    let mut harness = Harness::new(1);
    harness
        .apply(NOW, snapshot(1, 10, vec![running_update("a", 0, 2), update("b", 3, EntryState::Unreadable)]));
    assert_eq!(harness.running_names(), ["a"]);
    // The last known entry stays in effect, both for changes and for a snapshot.
    harness.apply(NOW, changes(1, 10, 11, vec![update("a", 11, EntryState::Unreadable)]));
    harness.apply(NOW, snapshot(1, 12, vec![update("a", 11, EntryState::Unreadable)]));
    assert_eq!(harness.running_names(), ["a"]);
    assert_eq!(harness.membership.counts.unreadable, 3);
}

/// Discovery begins its history anew at a lower revision, and an entry of its first list cannot be read. The revision of the known
/// entry belongs to the old history: compared with it, every later change of the endpoint was older, its drain included.
#[test]
fn an_entry_kept_from_an_old_history_hides_no_drain_of_the_new_one() {
    let mut membership = Membership::new(TombstoneLimits::default());
    let source = membership.add_source(SourceSettings::direct("discovery"));
    membership.apply(NOW, source, snapshot(1, 100, vec![running_update("a", 0, 100)]));
    membership.apply(NOW, source, snapshot(2, 3, vec![update("a", 3, EntryState::Unreadable)]));
    let drained = update("a", 4, EntryState::Listed(entry(0, 100, ServingState::Draining)));
    membership.apply(NOW, source, changes(2, 3, 4, vec![drained]));
    assert_eq!(membership.entries().next().unwrap().1.serving_state, ServingState::Draining);
    membership.apply(NOW, source, changes(2, 4, 5, vec![update("a", 5, EntryState::Removed)]));
    assert_eq!(membership.entries().count(), 0);
}
