//! Generated histories of discovery's list: late, old, truncated, repeated, out of order, restarted. In every history, a
//! process that was listed as draining never receives requests again, and a process that runs in the last message is
//! listed.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dahliaroad::ZoneId;
use dahliaroad_membership::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A listed process.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Process {
    /// The start time in seconds.
    started: u64,
    serving_state: ServingState,
}

/// Processes by name.
type Listed = BTreeMap<Arc<str>, Process>;

#[derive(Clone, Debug)]
enum Event {
    Start(u8),
    Drain(u8),
    Leave(u8),
    /// The current complete list.
    Snapshot,
    /// The complete list as it was the given number of changes ago, from another agent.
    OldSnapshot(u8),
    /// The current complete list, cut off after the given number of entries.
    Truncated(u8),
    /// The changes since the given number of versions ago. The membership may know some of them already.
    Changes(u8),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..8u8).prop_map(Event::Start),
        3 => (0..8u8).prop_map(Event::Drain),
        2 => (0..8u8).prop_map(Event::Leave),
        2 => Just(Event::Snapshot),
        2 => (1..12u8).prop_map(Event::OldSnapshot),
        1 => (0..8u8).prop_map(Event::Truncated),
        4 => (1..6u8).prop_map(Event::Changes),
    ]
}

fn listed(name: &Arc<str>, revision: u64, process: Process) -> EntryUpdate {
    let Process { started, serving_state } = process;
    let incarnation = Incarnation { started: Some(Duration::from_secs(started)), created: Revision(0) };
    let entry = Entry {
        incarnation,
        cold_since: None,
        address: None,
        zone: ZoneId(0),
        kind: 0,
        weight: 1.0,
        serving_state,
    };
    EntryUpdate { name: name.clone(), revision: Revision(revision), state: EntryState::Listed(entry) }
}

/// A model of discovery with all its versions, and a membership that reads from a series of faulty agents.
struct Simulation {
    versions: Vec<Listed>,
    membership: Membership,
    source: SourceId,
    epoch: u32,
    known_version: u64,
    published: Listed,
    drained: BTreeSet<(Arc<str>, u64)>,
}

impl Simulation {
    fn new() -> Simulation {
        let mut membership = Membership::new(TombstoneLimits::default());
        let source = membership.add_source(SourceSettings::direct("discovery"));
        Simulation {
            versions: vec![Listed::new()],
            membership,
            source,
            epoch: 0,
            known_version: 0,
            published: Listed::new(),
            drained: BTreeSet::new(),
        }
    }

    fn current(&self) -> Listed {
        self.versions.last().cloned().unwrap_or_default()
    }

    fn change(&mut self, number: u8, edit: impl Fn(&mut Listed, Arc<str>, u64)) {
        let mut list = self.current();
        let start = self.versions.len() as u64;
        edit(&mut list, format!("s{number}").into(), start);
        self.versions.push(list);
    }

    /// Applies a list in the way of the discovery watch: a version that goes backwards begins a new epoch.
    fn apply(&mut self, version: u64, complete: bool, entries: Vec<EntryUpdate>) {
        if version < self.known_version && !complete {
            return;
        }
        self.epoch += u32::from(version < self.known_version);
        let epoch = Epoch(self.epoch);
        let revision = Revision(version);
        self.record_drains(&entries);
        let running: BTreeSet<Arc<str>> =
            entries.iter().filter(|update| is_running(update)).map(|update| update.name.clone()).collect();
        let message = if complete {
            SourceMessage::Snapshot { epoch, revision, entries }
        } else {
            SourceMessage::Changes { epoch, after: revision, revision, entries }
        };
        let applied = self.membership.apply(Duration::from_secs(1), self.source, message);
        assert_eq!(applied.freshness, Freshness::Accepted);
        self.known_version = version;
        self.apply_published(applied.changes.expect("the message of a direct source is published at once"));
        self.check(&running);
    }

    fn record_drains(&mut self, entries: &[EntryUpdate]) {
        for update in entries {
            if let EntryState::Listed(Entry { serving_state: ServingState::Draining, incarnation, .. }) =
                &update.state
            {
                self.drained.insert((update.name.clone(), incarnation.started.unwrap_or_default().as_secs()));
            }
        }
    }

    /// Applies changes as the assigner does.
    fn apply_published(&mut self, changes: Changes) {
        if changes.complete {
            self.published.clear();
        }
        for Change { name, entry } in changes.entries {
            match entry {
                Some(entry) => {
                    let started = entry.incarnation.started.unwrap_or_default().as_secs();
                    let serving_state = entry.serving_state;
                    self.published.insert(name, Process { started, serving_state });
                }
                None => {
                    self.published.remove(&name);
                }
            }
        }
    }

    /// Checks that no drained process runs, and that the processes that ran in the last message are listed unless drained.
    fn check(&self, last_running: &BTreeSet<Arc<str>>) {
        for (name, Process { started, serving_state }) in &self.published {
            let drained = self.drained.contains(&(name.clone(), *started));
            assert!(
                !(drained && *serving_state == ServingState::Running),
                "drained process {name} with start {started} runs again"
            );
        }
        for name in last_running {
            let drained = self.drained.iter().any(|(drained_name, _)| drained_name == name);
            assert!(
                drained || self.published.contains_key(name),
                "{name} is listed and was never drained, but is missing"
            );
        }
    }

    fn step(&mut self, event: Event) {
        let newest = self.versions.len() as u64 - 1;
        let complete = |version: u64, list: &Listed| -> Vec<EntryUpdate> {
            list.iter().map(|(name, process)| listed(name, version, *process)).collect()
        };
        match event {
            Event::Start(number) => self.change(number, |list, name, start| {
                list.insert(name, Process { started: start, serving_state: ServingState::Running });
            }),
            Event::Drain(number) => self.change(number, |list, name, _| {
                list.entry(name).and_modify(|process| process.serving_state = ServingState::Draining);
            }),
            Event::Leave(number) => self.change(number, |list, name, _| {
                list.remove(&name);
            }),
            Event::Snapshot => self.apply(newest, true, complete(newest, &self.current())),
            Event::OldSnapshot(back) => {
                let version = newest.saturating_sub(u64::from(back));
                self.apply(version, true, complete(version, &self.versions[version as usize]));
            }
            Event::Truncated(kept) => {
                let mut part = complete(newest, &self.current());
                part.truncate(usize::from(kept));
                self.apply(newest, true, part);
            }
            Event::Changes(back) => {
                let old = &self.versions[newest.saturating_sub(u64::from(back)) as usize];
                let current = self.current();
                let mut entries: Vec<EntryUpdate> = current
                    .iter()
                    .filter(|(name, process)| old.get(*name) != Some(process))
                    .map(|(name, process)| listed(name, newest, *process))
                    .collect();
                let gone = old.keys().filter(|name| !current.contains_key(*name));
                entries.extend(gone.map(|name| EntryUpdate {
                    name: name.clone(),
                    revision: Revision(newest),
                    state: EntryState::Removed,
                }));
                self.apply(newest, false, entries);
            }
        }
    }
}

fn is_running(update: &EntryUpdate) -> bool {
    matches!(&update.state, EntryState::Listed(entry) if entry.serving_state == ServingState::Running)
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(29), failure_persistence: None, ..ProptestConfig::default() })]

    /// Discovery agents fail over, lag and truncate lists. A draining process must get no new requests, and a running
    /// process must not be missing.
    #[test]
    fn drained_processes_stay_drained_and_running_ones_stay_listed_in_any_history(
        events in prop::collection::vec(event(), 1..80)
    ) {
        let mut simulation = Simulation::new();
        events.into_iter().for_each(|event| simulation.step(event));
    }
}
