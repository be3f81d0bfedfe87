//! Generated histories of a changing store. Its messages arrive late, twice or not at all, and the store is sometimes
//! restored from a backup. The tests compare the published changes with the messages that the membership received.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dahliaroad::ZoneId;
use dahliaroad_membership::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// A process, identified by its endpoint name and its start time in milliseconds.
type Process = (Arc<str>, u64);

#[derive(Clone, Debug)]
enum Event {
    /// A process starts under the name. If the name is already listed, `new_key` makes the store remove its key and create
    /// a new one; otherwise the store overwrites the key.
    Start {
        name: u8,
        new_key: bool,
    },
    Drain(u8),
    Delete(u8),
    /// The entry of a process loses its start time, which the membership has received before.
    LoseStart(u8),
    /// Sends one message with all changes since the last accepted message, except the latest `held_back` revisions.
    Send {
        held_back: u8,
    },
    /// Sends an earlier message again.
    Repeat(u8),
    Snapshot,
    /// Restores the state of the store from the given number of revisions ago, under a new epoch.
    Restore(u8),
    PassTime(u16),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..6u8, any::<bool>()).prop_map(|(name, new_key)| Event::Start { name, new_key }),
        2 => (0..6u8).prop_map(Event::Drain),
        2 => (0..6u8).prop_map(Event::Delete),
        1 => (0..6u8).prop_map(Event::LoseStart),
        4 => (0..4u8).prop_map(|held_back| Event::Send { held_back }),
        1 => any::<u8>().prop_map(Event::Repeat),
        1 => Just(Event::Snapshot),
        1 => (1..20u8).prop_map(Event::Restore),
        2 => (1..5000u16).prop_map(Event::PassTime),
    ]
}

/// A store with its complete history.
#[derive(Default)]
struct Store {
    log: Vec<EntryUpdate>,
    states: Vec<BTreeMap<Arc<str>, EntryUpdate>>,
    epoch: u32,
}

impl Store {
    fn current(&self) -> BTreeMap<Arc<str>, EntryUpdate> {
        self.states.last().cloned().unwrap_or_default()
    }

    fn revision(&self) -> u64 {
        self.log.len() as u64
    }

    fn put(&mut self, name: &Arc<str>, state: EntryState) {
        let update = EntryUpdate { name: name.clone(), revision: Revision(self.revision() + 1), state };
        let mut listed = self.current();
        match update.state {
            EntryState::Removed => drop(listed.remove(name)),
            _ => drop(listed.insert(name.clone(), update.clone())),
        }
        self.log.push(update);
        self.states.push(listed);
    }

    fn snapshot(&self) -> SourceMessage {
        let entries = self.current().into_values().collect();
        SourceMessage::Snapshot { epoch: Epoch(self.epoch), revision: Revision(self.revision()), entries }
    }
}

fn entry(update: &EntryUpdate) -> Option<&Entry> {
    match &update.state {
        EntryState::Listed(entry) => Some(entry),
        _ => None,
    }
}

fn endpoint_name(number: u8) -> Arc<str> {
    format!("e{number}").into()
}

/// Returns the process of an entry. Its weight is the start time in milliseconds, as the entry may lose the start itself.
fn process(name: &Arc<str>, entry: &Entry) -> Process {
    (name.clone(), entry.weight as u64)
}

struct Simulation {
    membership: Membership,
    source: SourceId,
    store: Store,
    known_position: Option<SourcePosition>,
    messages: Vec<SourceMessage>,
    now: Duration,
    last_start_ms: u64,
    /// Processes that an accepted message listed with their start times.
    given_starts: BTreeSet<Process>,
    /// Processes that drained, were removed or were replaced according to the accepted messages.
    ended: BTreeSet<Process>,
    listed: BTreeMap<Arc<str>, Entry>,
    published: BTreeMap<Arc<str>, Entry>,
}

const MAX_TOMBSTONES: usize = 10_000;

impl Simulation {
    fn new() -> Simulation {
        let mut membership = Membership::new(TombstoneLimits {
            max_count: MAX_TOMBSTONES,
            retention: Duration::from_secs(1 << 30),
        });
        let source = membership.add_source(SourceSettings::new("store"));
        Simulation {
            membership,
            source,
            store: Store { epoch: 1, ..Store::default() },
            known_position: None,
            messages: Vec::new(),
            now: Duration::from_secs(10),
            last_start_ms: 1,
            given_starts: BTreeSet::new(),
            ended: BTreeSet::new(),
            listed: BTreeMap::new(),
            published: BTreeMap::new(),
        }
    }

    fn apply(&mut self, message: SourceMessage) -> Freshness {
        let freshness = self.membership.apply(self.now, self.source, message.clone()).freshness;
        if freshness == Freshness::Accepted {
            self.record(&message);
        }
        self.messages.push(message);
        freshness
    }

    /// Records which processes a message ends, computed independently of the membership.
    fn record(&mut self, message: &SourceMessage) {
        let entries = match message {
            SourceMessage::Snapshot { entries, .. } | SourceMessage::Changes { entries, .. } => entries,
            SourceMessage::Progress { .. } => return,
        };
        self.known_position = Some(message.position());
        if matches!(message, SourceMessage::Snapshot { .. }) {
            let named: BTreeSet<_> = entries.iter().map(|update| update.name.clone()).collect();
            let missing: Vec<_> = self.listed.keys().filter(|name| !named.contains(*name)).cloned().collect();
            missing.into_iter().for_each(|name| self.record_end(&name));
        }
        for update in entries {
            match entry(update) {
                Some(entry) => {
                    let old = self.listed.get(&update.name);
                    let same = old.is_some_and(|old| {
                        process(&update.name, old) == process(&update.name, entry)
                            && old.incarnation.created == entry.incarnation.created
                    });
                    if !same {
                        self.record_end(&update.name);
                    }
                    if entry.incarnation.started.is_some() {
                        self.given_starts.insert(process(&update.name, entry));
                    }
                    if entry.serving_state == ServingState::Draining {
                        self.ended.insert(process(&update.name, entry));
                    }
                    self.listed.insert(update.name.clone(), entry.clone());
                }
                None => self.record_end(&update.name),
            }
        }
    }

    fn record_end(&mut self, name: &Arc<str>) {
        if let Some(old) = self.listed.remove(name) {
            self.ended.insert(process(name, &old));
        }
    }

    /// Whether the process or a later one with its name has ended.
    fn has_ended(&self, (name, started): &Process) -> bool {
        let later = self.ended.range((name.clone(), *started)..).next();
        later.is_some_and(|(other, _)| other == name)
    }

    fn take_changes(&mut self) {
        while self.membership.next_change_at().is_some_and(|due| due <= self.now) {
            let Some(changes) = self.membership.take_changes(self.now) else { return };
            if changes.complete {
                self.published.clear();
            }
            for Change { name, entry } in changes.entries {
                let running = entry.as_ref().filter(|entry| entry.serving_state == ServingState::Running);
                let ended_process =
                    running.map(|entry| process(&name, entry)).filter(|process| self.has_ended(process));
                assert_eq!(ended_process, None, "an ended process was published as running");
                match entry {
                    Some(entry) => drop(self.published.insert(name, entry)),
                    None => drop(self.published.remove(&name)),
                }
            }
            // The end of a process is never published late.
            for (name, entry) in
                self.published.iter().filter(|(_, entry)| entry.serving_state == ServingState::Running)
            {
                assert!(
                    !self.has_ended(&process(name, entry)),
                    "ended process {name} is still published as running"
                );
            }
        }
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Start { name, new_key } => self.start(&endpoint_name(name), new_key),
            Event::Drain(name) => self.drain(&endpoint_name(name)),
            Event::Delete(name) => self.delete(&endpoint_name(name)),
            Event::LoseStart(name) => self.lose_start(&endpoint_name(name)),
            Event::Send { held_back } => self.send_changes(held_back),
            Event::Repeat(index) => self.repeat(index),
            Event::Snapshot => drop(self.apply(self.store.snapshot())),
            Event::Restore(back) => self.restore(back),
            Event::PassTime(ms) => self.now += Duration::from_millis(u64::from(ms)),
        }
        self.take_changes();
    }

    fn start(&mut self, name: &Arc<str>, new_key: bool) {
        let old = self.store.current().get(name).and_then(|update| entry(update).cloned());
        if new_key && old.is_some() {
            self.store.put(name, EntryState::Removed);
        }
        let created = Revision(self.store.revision() + 1);
        let created = old.filter(|_| !new_key).map_or(created, |old| old.incarnation.created);
        self.now += Duration::from_millis(1);
        self.last_start_ms = self.now.as_millis() as u64;
        let entry = Entry {
            incarnation: Incarnation { started: Some(Duration::from_millis(self.last_start_ms)), created },
            cold_since: None,
            // Each process has an address of its own.
            address: Some(([127, 0, 0, 1], self.last_start_ms as u16).into()),
            zone: ZoneId(0),
            kind: 0,
            weight: self.last_start_ms as f64,
            serving_state: ServingState::Running,
        };
        self.store.put(name, EntryState::Listed(entry));
    }

    fn lose_start(&mut self, name: &Arc<str>) {
        let listed = self.store.current();
        let Some(entry) = listed.get(name).and_then(entry) else { return };
        if !self.given_starts.contains(&process(name, entry)) {
            return;
        }
        let incarnation = Incarnation { started: None, ..entry.incarnation };
        self.store.put(name, EntryState::Listed(Entry { incarnation, ..entry.clone() }));
    }

    fn drain(&mut self, name: &Arc<str>) {
        let listed = self.store.current();
        let Some(entry) = listed.get(name).and_then(entry) else { return };
        let entry = Entry { serving_state: ServingState::Draining, ..entry.clone() };
        self.store.put(name, EntryState::Listed(entry));
    }

    fn delete(&mut self, name: &Arc<str>) {
        if self.store.current().contains_key(name) {
            self.store.put(name, EntryState::Removed);
        }
    }

    fn send_changes(&mut self, held_back: u8) {
        let epoch = Epoch(self.store.epoch);
        let latest = self.store.revision();
        let known = self.known_position.filter(|known| known.epoch == epoch);
        let after = known.map_or(0, |known| known.revision.0.min(latest));
        let until = latest - (latest - after).min(u64::from(held_back));
        let message = SourceMessage::Changes {
            epoch,
            after: Revision(after),
            revision: Revision(until),
            entries: self.store.log[after as usize..until as usize].to_vec(),
        };
        if self.apply(message) == Freshness::Gap {
            self.apply(self.store.snapshot());
        }
    }

    /// Sends an earlier message again. Only the latest snapshot may be accepted again.
    fn repeat(&mut self, index: u8) {
        if self.messages.is_empty() {
            return;
        }
        let message = self.messages[index as usize % self.messages.len()].clone();
        let is_snapshot = matches!(message, SourceMessage::Snapshot { .. });
        let latest_snapshot_again = is_snapshot && self.known_position == Some(message.position());
        let freshness = self.apply(message);
        assert!(latest_snapshot_again || freshness != Freshness::Accepted, "an old message was accepted");
    }

    fn restore(&mut self, back: u8) {
        let keep = self.store.log.len().saturating_sub(back as usize);
        self.store.log.truncate(keep);
        self.store.states.truncate(keep);
        self.store.epoch += 1;
        self.apply(self.store.snapshot());
    }

    /// Checks that all running processes, and no others, are published once the store no longer changes. A restored store
    /// may list ended processes as running; they must not be published.
    fn check_settled(&mut self) {
        self.apply(self.store.snapshot());
        self.now += Duration::from_secs(600);
        self.take_changes();
        let running: BTreeSet<_> = self
            .store
            .current()
            .values()
            .filter_map(|update| Some((update.name.clone(), entry(update)?.clone())))
            .filter(|(name, entry)| {
                entry.serving_state == ServingState::Running && !self.has_ended(&process(name, entry))
            })
            .map(|(name, entry)| process(&name, &entry))
            .collect();
        let published: BTreeSet<_> = self
            .published
            .iter()
            .filter(|(_, entry)| entry.serving_state == ServingState::Running)
            .map(|(name, entry)| process(name, entry))
            .collect();
        assert_eq!(published, running);
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(16),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// In whatever order messages arrive, no ended process is published again, and after the last snapshot all running
    /// processes are published.
    #[test]
    fn no_ended_process_returns_and_the_settled_list_equals_that_of_the_store(events in prop::collection::vec(event(), 1..120)) {
        let mut simulation = Simulation::new();
        events.into_iter().for_each(|event| simulation.step(event));
        simulation.check_settled();
    }

    /// Names are added and removed without end. If tombstones and records were never discarded, they would exhaust the
    /// memory.
    #[test]
    fn the_state_kept_for_ended_processes_is_bounded(names in 1..300u32, max_count in 1..60usize) {
        let mut membership = Membership::new(TombstoneLimits { max_count, retention: Duration::from_secs(60) });
        let source = membership.add_source(SourceSettings::new("store"));
        let update = |name: u32, revision: u64| {
            let incarnation = Incarnation { started: None, created: Revision(revision) };
            let serving_state = ServingState::Running;
            let entry = Entry { incarnation, cold_since: None, address: None, zone: ZoneId(0), kind: 0, weight: 1.0, serving_state };
            EntryUpdate { name: format!("e{name}").into(), revision: Revision(revision), state: EntryState::Listed(entry) }
        };
        let mut now = Duration::from_secs(1);
        for name in 0..names {
            let revision = u64::from(name) + 1;
            let message = SourceMessage::Snapshot { epoch: Epoch(1), revision: Revision(revision), entries: vec![update(name, revision)] };
            membership.apply(now, source, message);
            membership.take_changes(now);
            now += Duration::from_millis(100);
            prop_assert!(membership.tombstone_count() <= max_count);
        }
        now += Duration::from_secs(3600);
        membership.apply(now, source, SourceMessage::Snapshot { epoch: Epoch(1), revision: Revision(1 << 40), entries: vec![] });
        while membership.next_change_at().is_some_and(|due| due <= now) {
            membership.take_changes(now);
        }
        prop_assert!(membership.tombstone_count() <= 1, "{}", membership.tombstone_count());
        membership.take_changes(now + Duration::from_secs(3600));
        prop_assert_eq!(membership.name_count(), 0);
    }
}
