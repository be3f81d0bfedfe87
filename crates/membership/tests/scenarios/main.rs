//! Scenarios of the membership: one test for each difficult case of deciding which endpoints exist.

mod freshness;
mod incarnations;
mod omitted_starts;
mod pacing;
mod sources;
mod stepped_clocks;

use std::time::Duration;

use dahliaroad::ZoneId;
use dahliaroad_membership::*;

const NOW: Duration = Duration::from_secs(100);

fn entry(started_ms: u64, created: u64, serving_state: ServingState) -> Entry {
    let started = (started_ms > 0).then(|| Duration::from_millis(started_ms));
    let incarnation = Incarnation { started, created: Revision(created) };
    Entry {
        incarnation,
        cold_since: None,
        address: None,
        zone: ZoneId(0),
        kind: 0,
        weight: 1.0,
        serving_state,
    }
}

fn update(name: &str, revision: u64, state: EntryState) -> EntryUpdate {
    EntryUpdate { name: name.into(), revision: Revision(revision), state }
}

fn running_update(name: &str, started_ms: u64, created: u64) -> EntryUpdate {
    update(name, created, EntryState::Listed(entry(started_ms, created, ServingState::Running)))
}

fn snapshot(epoch: u32, revision: u64, entries: Vec<EntryUpdate>) -> SourceMessage {
    SourceMessage::Snapshot { epoch: Epoch(epoch), revision: Revision(revision), entries }
}

fn changes(epoch: u32, after: u64, revision: u64, entries: Vec<EntryUpdate>) -> SourceMessage {
    SourceMessage::Changes {
        epoch: Epoch(epoch),
        after: Revision(after),
        revision: Revision(revision),
        entries,
    }
}

struct Harness {
    membership: Membership,
    sources: Vec<SourceId>,
}

impl Harness {
    fn new(count: usize) -> Harness {
        let mut membership = Membership::new(TombstoneLimits::default());
        let sources = (0..count)
            .map(|index| membership.add_source(SourceSettings::new(&format!("s{index}"))))
            .collect();
        Harness { membership, sources }
    }

    fn apply(&mut self, now: Duration, message: SourceMessage) -> Freshness {
        self.membership.apply(now, self.sources[0], message).freshness
    }

    /// Takes the changes that are due at `now`, as pairs of name and serving state; `None` for an endpoint that is gone.
    fn take_states(&mut self, now: Duration) -> Vec<(String, Option<ServingState>)> {
        let entries = self.membership.take_changes(now).map(|changes| changes.entries).unwrap_or_default();
        entries
            .into_iter()
            .map(|change| (change.name.to_string(), change.entry.map(|entry| entry.serving_state)))
            .collect()
    }

    fn running_names(&self) -> Vec<String> {
        let running =
            self.membership.entries().filter(|(_, entry)| entry.serving_state == ServingState::Running);
        running.map(|(name, _)| name.to_string()).collect()
    }
}
