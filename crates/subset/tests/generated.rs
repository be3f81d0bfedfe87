//! Generated histories of lists. The state that updates give the assigner is compared with a subset that is computed from the
//! list alone, by sorting.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use dahliaroad::ZoneId;
use dahliaroad_membership::{Change, Changes, Entry, Incarnation, Revision, ServingState};
use dahliaroad_subset::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const NAME_COUNT: u8 = 60;
const ZONE_COUNT: u8 = 3;
const SETTINGS: SubsetSettings =
    SubsetSettings { controller_index: 3, controllers: 20, size: 8, warm_up: Duration::from_secs(10) };

#[derive(Clone, Debug)]
enum Event {
    /// A process starts. A process that is listed under this name ends; `end_listed` says whether its removal is among the
    /// changes.
    Start {
        name: u8,
        zone: u8,
        end_listed: bool,
        start_known: bool,
    },
    Drain(u8),
    TakeOutOfRotation(u8),
    Delete(u8),
    /// The weight of a listed process changes.
    ChangeWeight(u8),
    RemoveZone(u8),
    StartZone(u8),
}

#[derive(Clone, Debug)]
enum Step {
    /// Applies all events in one batch: as the complete list, or as changes.
    Apply {
        events: Vec<Event>,
        complete: bool,
    },
    PassTime(u16),
    /// Sets the ejected endpoints to those steered ones whose bit is set.
    Eject(u64),
    /// The assigner releases the id of an endpoint that it does not steer, if there is one.
    ReleaseId,
    RestartController,
}

fn event() -> impl Strategy<Value = Event> {
    let start = (0..NAME_COUNT, 0..ZONE_COUNT, any::<bool>(), any::<bool>());
    prop_oneof![
        12 => start.prop_map(|(name, zone, end_listed, start_known)| Event::Start { name, zone, end_listed, start_known }),
        3 => (0..NAME_COUNT).prop_map(Event::Drain),
        2 => (0..NAME_COUNT).prop_map(Event::TakeOutOfRotation),
        3 => (0..NAME_COUNT).prop_map(Event::Delete),
        1 => (0..NAME_COUNT).prop_map(Event::ChangeWeight),
        1 => (0..ZONE_COUNT).prop_map(Event::RemoveZone),
        2 => (0..ZONE_COUNT).prop_map(Event::StartZone),
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let apply = (prop::collection::vec(event(), 0..8), prop::bool::weighted(0.2));
    prop_oneof![
        8 => apply.prop_map(|(events, complete)| Step::Apply { events, complete }),
        2 => (1..9000u16).prop_map(Step::PassTime),
        2 => any::<u64>().prop_map(Step::Eject),
        2 => any::<u64>().prop_map(|bits| Step::Eject(bits & bits.rotate_left(7) & bits.rotate_left(13))),
        1 => Just(Step::ReleaseId),
        1 => Just(Step::RestartController),
    ]
}

fn name(number: u8) -> Arc<str> {
    format!("e{number}").into()
}

/// The state of a name in the assigner.
#[derive(Clone, Debug, PartialEq)]
enum KnownState {
    Steered(Entry),
    /// The endpoint leaves its tables by planned migrations.
    Released(Incarnation),
    /// The endpoint is withdrawn from its tables at once.
    Ended,
}

struct Simulation {
    subset: Subset,
    ranking: Ranking,
    listed: BTreeMap<Arc<str>, Entry>,
    assigner: BTreeMap<Arc<str>, KnownState>,
    ejected: BTreeSet<Arc<str>>,
    now: Duration,
    incarnations: u64,
}

impl Simulation {
    fn new() -> Simulation {
        Simulation {
            subset: Subset::new(SETTINGS),
            ranking: Ranking::new(SETTINGS.controller_index, SETTINGS.controllers),
            listed: BTreeMap::new(),
            assigner: BTreeMap::new(),
            ejected: BTreeSet::new(),
            now: Duration::from_secs(100),
            incarnations: 0,
        }
    }

    fn start(&mut self, zone: u8, start_known: bool) -> Entry {
        self.incarnations += 1;
        let started = start_known.then_some(self.now);
        let incarnation = Incarnation { started, created: Revision(self.incarnations) };
        let zone = ZoneId(zone.into());
        Entry {
            incarnation,
            cold_since: None,
            address: None,
            zone,
            kind: 0,
            weight: 1.0,
            serving_state: ServingState::Running,
        }
    }

    /// Applies an event to the list. Returns the changes of names in order.
    fn list_event(&mut self, event: &Event) -> Vec<Change> {
        let set = |simulation: &mut Simulation, number: u8, serving_state| {
            let entry = simulation.listed.get_mut(&name(number));
            let changed = entry.map(|entry| entry.serving_state = serving_state).is_some();
            if changed { vec![simulation.change(&name(number))] } else { Vec::new() }
        };
        match *event {
            Event::Start { name: number, zone, end_listed, start_known } => {
                let ended = self.listed.remove(&name(number)).filter(|_| end_listed);
                let entry = self.start(zone, start_known);
                self.listed.insert(name(number), entry);
                let end = ended.map(|_| Change { name: name(number), entry: None });
                end.into_iter().chain([self.change(&name(number))]).collect()
            }
            Event::Drain(number) => set(self, number, ServingState::Draining),
            Event::TakeOutOfRotation(number) => {
                let running = |entry: &Entry| entry.serving_state == ServingState::Running;
                let runs = self.listed.get(&name(number)).is_some_and(running);
                set(self, number, if runs { ServingState::OutOfRotation } else { ServingState::Running })
            }
            Event::Delete(number) => {
                self.listed.remove(&name(number));
                vec![self.change(&name(number))]
            }
            Event::ChangeWeight(number) => {
                let Some(entry) = self.listed.get_mut(&name(number)) else { return Vec::new() };
                entry.weight += 1.0;
                vec![self.change(&name(number))]
            }
            Event::RemoveZone(zone) => {
                let lost = |entry: &Entry| entry.zone.0 == u32::from(zone);
                let lost = self.listed.iter().filter(|(_, entry)| lost(entry));
                let lost: Vec<Arc<str>> = lost.map(|(name, _)| name.clone()).collect();
                self.listed.retain(|name, _| !lost.contains(name));
                lost.iter().map(|name| self.change(name)).collect()
            }
            Event::StartZone(zone) => {
                let numbers = (0..NAME_COUNT).filter(|number| number % ZONE_COUNT == zone);
                let missing: Vec<u8> =
                    numbers.filter(|number| !self.listed.contains_key(&name(*number))).collect();
                for number in &missing {
                    let entry = self.start(zone, true);
                    self.listed.insert(name(*number), entry);
                }
                missing.iter().map(|number| self.change(&name(*number))).collect()
            }
        }
    }

    fn change(&self, name: &Arc<str>) -> Change {
        Change { name: name.clone(), entry: self.listed.get(name).cloned() }
    }

    fn complete_list(&self) -> Changes {
        Changes { complete: true, entries: self.listed.keys().map(|name| self.change(name)).collect() }
    }

    /// Applies updates as the assigner does.
    fn receive(&mut self, updates: Option<UpdateBatch>) {
        let Some(UpdateBatch { complete, entries, .. }) = updates else { return };
        let named: BTreeSet<&Arc<str>> = entries.iter().map(|update| &update.name).collect();
        let unnamed = self.assigner.iter_mut().filter(|(name, _)| complete && !named.contains(name));
        unnamed.for_each(|(_, known)| *known = KnownState::Ended);
        for SubsetUpdate { name, state } in entries {
            let before = self.assigner.get(&name).cloned();
            let known = match state {
                SubsetState::Listed(entry) if entry.serving_state == ServingState::Running => {
                    KnownState::Steered(entry)
                }
                SubsetState::Listed(_) => KnownState::Ended,
                SubsetState::Removed if before.is_none() => continue,
                SubsetState::Removed => KnownState::Ended,
                SubsetState::Released => match before.expect("only a known endpoint is released") {
                    KnownState::Steered(entry) => KnownState::Released(entry.incarnation),
                    known => known,
                },
            };
            self.assigner.insert(name, known);
        }
    }

    fn step(&mut self, step: &Step) {
        match step {
            Step::Apply { events, complete } => {
                let changes: Vec<Change> = events.iter().flat_map(|event| self.list_event(event)).collect();
                let list = if *complete {
                    self.complete_list()
                } else {
                    Changes { complete: false, entries: changes }
                };
                let updates = self.subset.apply(self.now, list);
                self.receive(updates);
            }
            Step::PassTime(ms) => {
                self.now += Duration::from_millis((*ms).into());
                let updates = self.subset.advance(self.now);
                self.receive(updates);
            }
            Step::Eject(bits) => {
                let steered =
                    self.assigner.iter().filter(|(_, known)| matches!(known, KnownState::Steered(_)));
                let picked = steered.enumerate().filter(|(index, _)| bits >> (index % 64) & 1 == 1);
                self.ejected = picked.map(|(_, (name, _))| name.clone()).collect();
                self.apply_ejections();
            }
            Step::ReleaseId => {
                let not_steered =
                    self.assigner.iter().find(|(_, known)| !matches!(known, KnownState::Steered(_)));
                // A draining endpoint is still listed, so its id is not released.
                let name = not_steered
                    .map(|(name, _)| name.clone())
                    .filter(|name| self.is_unlisted_or_running(name));
                if let Some(name) = name {
                    self.assigner.remove(&name);
                    self.subset.remove_released(&name);
                }
            }
            Step::RestartController => {
                self.subset = Subset::new(SETTINGS);
                self.assigner.clear();
                self.ejected.clear();
                let updates = self.subset.apply(self.now, self.complete_list());
                self.receive(updates);
            }
        }
        // The runtime does the same in each turn.
        self.apply_ejections();
        let updates = self.subset.advance(self.now);
        self.receive(updates);
    }

    fn is_unlisted_or_running(&self, name: &Arc<str>) -> bool {
        self.listed.get(name).is_none_or(|entry| entry.serving_state == ServingState::Running)
    }

    fn apply_ejections(&mut self) {
        self.ejected.retain(|name| matches!(self.assigner.get(name), Some(KnownState::Steered(_))));
        let updates = self.subset.set_ejected(self.ejected.iter().map(|name| &**name));
        self.receive(updates);
    }

    fn ready(&self) -> Vec<(&Arc<str>, &Entry)> {
        let mut ready: Vec<_> =
            self.listed.iter().filter(|(_, entry)| entry.serving_state == ServingState::Running).collect();
        ready.sort_by_key(|(name, _)| self.ranking.preference(name));
        ready
    }

    fn is_warm(&self, entry: &Entry) -> bool {
        entry.incarnation.started.is_none_or(|at| at + SETTINGS.warm_up <= self.now)
    }

    /// Computes the subset by its definition from the list, the controller's order, the warm-up and the ejected endpoints.
    fn expected(&self) -> BTreeSet<Arc<str>> {
        let ready = self.ready();
        let size =
            SETTINGS.size.max((ready.len() * MIN_CONTROLLERS_PER_ENDPOINT).div_ceil(SETTINGS.controllers));
        let ejected = ready.iter().filter(|(name, _)| self.ejected.contains(*name));
        let replaced: BTreeSet<Arc<str>> = ejected.take(size / 2).map(|(name, _)| (*name).clone()).collect();
        let counted: Vec<_> = ready.into_iter().filter(|(name, _)| !replaced.contains(*name)).collect();
        let warm = || counted.iter().filter(|(_, entry)| self.is_warm(entry));
        let mut steered = replaced.clone();
        steered.extend(counted.iter().take(size).map(|(name, _)| (*name).clone()));
        steered.extend(warm().take(size / WARM_DIVISOR).map(|(name, _)| (*name).clone()));
        for zone in 0..u32::from(ZONE_COUNT) {
            let in_zone = counted.iter().filter(|(_, entry)| entry.zone.0 == zone);
            steered.extend(in_zone.take(MIN_READY_PER_ZONE).map(|(name, _)| (*name).clone()));
            let in_zone = warm().filter(|(_, entry)| entry.zone.0 == zone);
            steered.extend(in_zone.take(MIN_WARM_PER_ZONE).map(|(name, _)| (*name).clone()));
        }
        steered
    }

    fn check(&self) -> Result<(), TestCaseError> {
        let steered = self.assigner.iter().filter_map(|(name, known)| match known {
            KnownState::Steered(entry) => Some((name.clone(), entry)),
            _ => None,
        });
        let steered: BTreeMap<Arc<str>, &Entry> = steered.collect();
        let expected = self.expected();
        prop_assert_eq!(steered.keys().cloned().collect::<BTreeSet<_>>(), expected.clone());
        prop_assert_eq!(self.subset.steered_count(), expected.len());
        prop_assert_eq!(self.subset.steered_names().cloned().collect::<BTreeSet<_>>(), expected);
        for (name, entry) in &steered {
            prop_assert_eq!(self.listed.get(name), Some(*entry));
        }
        // A planned migration requires that the same process is still running.
        for (name, known) in &self.assigner {
            if let KnownState::Released(incarnation) = known {
                let entry = self.listed.get(name);
                let runs_on = |entry: &Entry| {
                    entry.serving_state == ServingState::Running && entry.incarnation == *incarnation
                };
                prop_assert!(
                    entry.is_some_and(runs_on),
                    "{} has ended, but is moved by a planned migration",
                    name
                );
            }
        }
        self.check_bounds(&steered)
    }

    fn check_bounds(&self, steered: &BTreeMap<Arc<str>, &Entry>) -> Result<(), TestCaseError> {
        let ready = self.ready();
        let size = self.subset.target_size();
        let count = self.subset.steered_count();
        let minimums = usize::from(ZONE_COUNT) * (MIN_READY_PER_ZONE + MIN_WARM_PER_ZONE);
        prop_assert!(count <= size * 2 + minimums, "{count} steered of {size}");
        prop_assert!(
            !self.ejected.is_empty() || count <= size * 3 / 2 + minimums,
            "{count} steered of {size}"
        );
        let counts = |name: &Arc<str>| !self.ejected.contains(name);
        let warm = ready.iter().filter(|(name, entry)| counts(name) && self.is_warm(entry)).count();
        let warm_steered = steered.iter().filter(|(name, entry)| counts(name) && self.is_warm(entry)).count();
        let few_ejected = self.ejected.len() <= size / 2;
        prop_assert!(
            !few_ejected || warm_steered >= warm.min(size / WARM_DIVISOR),
            "{warm_steered} warm of {warm}"
        );
        let known = self.listed.len() + self.assigner.len();
        prop_assert!(self.subset.name_count() <= known, "{} names of {known}", self.subset.name_count());
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 400, rng_seed: RngSeed::Fixed(12), ..ProptestConfig::default() })]

    /// If the subset depended on the order of changes, a restarted controller would steer a different one than before.
    #[test]
    fn the_subset_after_changes_depends_only_on_the_list(steps in prop::collection::vec(step(), 1..60)) {
        let mut simulation = Simulation::new();
        for step in &steps {
            simulation.step(step);
            simulation.check()?;
        }
    }

    /// Names are added and removed for months. Any state that was kept for each of them would accumulate.
    #[test]
    fn no_state_is_kept_for_names_that_are_removed_and_released(steps in prop::collection::vec(step(), 1..60)) {
        let mut simulation = Simulation::new();
        steps.iter().for_each(|step| simulation.step(step));
        simulation.listed.clear();
        simulation.step(&Step::Apply { events: Vec::new(), complete: true });
        let known: Vec<Arc<str>> = simulation.assigner.keys().cloned().collect();
        known.iter().for_each(|name| simulation.subset.remove_released(name));
        let subset = &simulation.subset;
        prop_assert_eq!((subset.name_count(), subset.steered_count(), subset.ready_count()), (0, 0, 0));
    }

    /// Deployments that need no subset must get the same decisions as without one.
    #[test]
    fn a_list_that_is_steered_in_full_is_passed_through_unchanged(steps in prop::collection::vec(step(), 1..60)) {
        // With eight controllers or fewer, every list is steered in full.
        let mut simulation = Simulation::new();
        let mut subset = Subset::new(SubsetSettings { controllers: MIN_CONTROLLERS_PER_ENDPOINT, ..SETTINGS });
        for step in &steps {
            let (events, complete) = match step {
                Step::Apply { events, complete } => (events, *complete),
                Step::PassTime(ms) => {
                    simulation.now += Duration::from_millis((*ms).into());
                    prop_assert_eq!(subset.advance(simulation.now), None);
                    continue;
                }
                _ => continue,
            };
            let changes: Vec<Change> = events.iter().flat_map(|event| simulation.list_event(event)).collect();
            let list = if complete { simulation.complete_list() } else { Changes { complete, entries: changes } };
            let updates = subset.apply(simulation.now, list.clone()).expect("a list");
            prop_assert_eq!(updates.complete, complete);
            prop_assert_eq!(updates.entries.len(), list.entries.len());
            for (update, change) in updates.entries.into_iter().zip(list.entries) {
                prop_assert_eq!(update.name, change.name);
                prop_assert_eq!(update.state, change.entry.map_or(SubsetState::Removed, SubsetState::Listed));
            }
        }
    }
}
