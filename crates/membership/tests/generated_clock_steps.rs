//! Generated histories of discovery's list in which the processes' wall clock is stepped forward and back. In every history
//! a drain counts, a process that drained never runs again, one that did not is running, and none looks warmer than it is.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dahliaroad::ZoneId;
use dahliaroad_membership::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const WARM_UP: Duration = Duration::from_secs(17);
const SECOND: Duration = Duration::from_secs(1);
/// The longest time after which a change of the list reaches the controller. By this much a process may look older.
const LONGEST_DELAY: Duration = Duration::from_secs(6);
/// The time of the first version.
const BEGIN: Duration = Duration::from_secs(100_000);

#[derive(Clone, Copy, Debug, PartialEq)]
struct Process {
    /// Its number among all processes, which makes its listed start time unique.
    number: u64,
    started: Duration,
    /// Its start time as the wall clock showed it.
    listed_start: Duration,
    serving_state: ServingState,
}

type List = BTreeMap<Arc<str>, Process>;

#[derive(Clone, Debug)]
enum Event {
    Start(u8),
    Drain(u8),
    Leave(u8),
    Wait(u8),
    /// Steps the wall clock by this many seconds.
    Step(i64),
    Snapshot,
    Changes,
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0..4u8).prop_map(Event::Start),
        3 => (0..4u8).prop_map(Event::Drain),
        1 => (0..4u8).prop_map(Event::Leave),
        2 => (1..15u8).prop_map(Event::Wait),
        1 => prop_oneof![Just(-3600), Just(3600), -30..30i64].prop_map(Event::Step),
        2 => Just(Event::Snapshot),
        4 => Just(Event::Changes),
    ]
}

/// Discovery, and a membership that reads its list.
struct Simulation {
    now: Duration,
    /// By how many seconds the wall clock is ahead.
    clock_offset_seconds: i64,
    processes: u64,
    revision: u64,
    list: List,
    /// The list of the last message.
    known: List,
    known_at: Duration,
    membership: Membership,
    source: SourceId,
    drained: BTreeSet<u64>,
    /// When each process was listed first. The first list is not in it.
    appeared_at: BTreeMap<u64, Duration>,
}

impl Simulation {
    fn new() -> Simulation {
        let mut membership = Membership::new(TombstoneLimits::default());
        let settings = SourceSettings { start_omitted_after: WARM_UP, ..SourceSettings::direct("discovery") };
        let source = membership.add_source(settings);
        let mut simulation = Simulation {
            now: BEGIN,
            clock_offset_seconds: 0,
            processes: 0,
            revision: 1,
            list: List::new(),
            known: List::new(),
            known_at: BEGIN,
            membership,
            source,
            drained: BTreeSet::new(),
            appeared_at: BTreeMap::new(),
        };
        (0..4).for_each(|number| simulation.start(number));
        simulation.now += 60 * SECOND;
        simulation.read(true);
        simulation.appeared_at.clear();
        simulation
    }

    fn step(&mut self, event: Event) {
        match event {
            Event::Start(number) => self.start(number),
            Event::Drain(number) => {
                let process = self.list.entry(name(number));
                process.and_modify(|process| process.serving_state = ServingState::Draining);
            }
            Event::Leave(number) => {
                self.list.remove(&name(number));
            }
            Event::Wait(seconds) => (0..seconds).for_each(|_| self.pass_second()),
            Event::Step(seconds) => self.clock_offset_seconds += seconds,
            Event::Snapshot => self.read(true),
            Event::Changes => self.read(false),
        }
    }

    fn start(&mut self, number: u8) {
        self.processes += 1;
        let milliseconds = self.now.as_millis() as i64 + self.clock_offset_seconds * 1000;
        // One millisecond apart, two processes never show the same start.
        let listed_start = Duration::from_millis(milliseconds as u64 / 1000 * 1000 + self.processes);
        let process = Process {
            number: self.processes,
            started: self.now,
            listed_start,
            serving_state: ServingState::Running,
        };
        self.list.insert(name(number), process);
    }

    fn pass_second(&mut self) {
        self.now += SECOND;
        if self.now >= self.known_at + LONGEST_DELAY {
            self.read(false);
        }
    }

    /// Reads the complete list, or what has changed since the last message.
    fn read(&mut self, is_complete: bool) {
        self.revision += 1;
        let revision = Revision(self.revision);
        let is_sent =
            |(name, process): &(&Arc<str>, &Process)| is_complete || self.known.get(*name) != Some(*process);
        let mut entries: Vec<EntryUpdate> = self
            .list
            .iter()
            .filter(is_sent)
            .map(|(name, process)| listed(revision, name, *process))
            .collect();
        let epoch = Epoch(1);
        let message = if is_complete {
            SourceMessage::Snapshot { epoch, revision, entries }
        } else {
            let gone = self.known.keys().filter(|name| !self.list.contains_key(*name));
            let removed =
                |name: &Arc<str>| EntryUpdate { name: name.clone(), revision, state: EntryState::Removed };
            entries.extend(gone.map(removed));
            SourceMessage::Changes { epoch, after: revision, revision, entries }
        };
        let applied = self.membership.apply(self.now, self.source, message);
        assert_eq!(applied.freshness, Freshness::Accepted);
        self.known = self.list.clone();
        self.known_at = self.now;
        self.check();
    }

    fn check(&mut self) {
        let entries: BTreeMap<Arc<str>, Entry> = self.membership.entries().collect();
        for (name, process) in &self.known {
            if process.serving_state == ServingState::Draining {
                self.drained.insert(process.number);
            }
            let appeared_at = *self.appeared_at.entry(process.number).or_insert(self.now);
            let is_running = entries.get(name).is_some_and(Entry::is_running);
            assert_eq!(is_running, !self.drained.contains(&process.number), "{name}: {process:?}");
            if !is_running || process.number <= 4 {
                continue;
            }
            let started_at = entries[name].started_at().expect("the start is listed");
            assert!(
                started_at <= appeared_at,
                "{name} starts after it is listed: {started_at:?} {process:?}"
            );
            let looks_older = process.started.saturating_sub(started_at);
            assert!(looks_older <= LONGEST_DELAY, "{name} looks {looks_older:?} older: {process:?}");
        }
        assert_eq!(self.membership.counts.superseded, 0);
    }
}

fn listed(revision: Revision, name: &Arc<str>, process: Process) -> EntryUpdate {
    let incarnation = Incarnation { started: Some(process.listed_start), created: Revision(0) };
    let entry = Entry {
        incarnation,
        cold_since: None,
        address: None,
        zone: ZoneId(0),
        kind: 0,
        weight: 1.0,
        serving_state: process.serving_state,
    };
    EntryUpdate { name: name.clone(), revision, state: EntryState::Listed(entry) }
}

fn name(number: u8) -> Arc<str> {
    format!("s{number}").into()
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2000, rng_seed: RngSeed::Fixed(60), failure_persistence: None, ..ProptestConfig::default() })]

    /// Endpoints restart, drain and leave while the wall clock is stepped. Compared by their starts alone, a later process
    /// passed for an earlier one, and its drain was ignored.
    #[test]
    fn stepped_clocks_hide_no_drain_and_restore_and_warm_no_process_in_any_history(
        events in prop::collection::vec(event(), 1..120),
    ) {
        let mut simulation = Simulation::new();
        events.into_iter().for_each(|event| simulation.step(event));
    }
}
