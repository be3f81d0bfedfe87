//! The simulation of one service: its endpoints, its controllers and the virtual clock.

use std::sync::{PoisonError, RwLock};
use std::time::Duration;

use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

use super::controller::{ControllerFigures, Environment, SimulatedController};
use super::deployment::deployment;
use super::endpoint_list::{ListChange, ListedState};
use super::fleet::{START, ServiceFleet};
use super::fleet_event::{FleetEvent, ScheduledEvent};
use super::relay::Proxy;
use super::schedule::{START_UP_SECONDS, schedule};
use super::settings::Settings;
use super::sizes::Service;

/// The interval of the virtual clock after which all controllers of one service wait for each other.
const TICK: Duration = Duration::from_millis(100);
const TICKS_PER_SECOND: u64 = 10;
/// The streams of random numbers: one for all services together, one for each service, and one for each controller.
const SHARED_STREAM: u64 = 0;
const SERVICE_STREAM: u64 = 1;
const CONTROLLER_STREAM: u64 = 1 << 32;
/// The side of a split between regions that discovery runs on.
const DISCOVERY_SIDE: usize = 0;

/// The numbers of controllers that hold each endpoint of one zone in a table, over the endpoints that run.
#[derive(Clone, Copy, Debug)]
pub struct ZoneHolders {
    /// The mean number of controllers.
    pub mean: f64,
    /// The largest number of controllers that hold one endpoint.
    pub most: usize,
    /// The smallest number of controllers that hold one endpoint.
    pub least: usize,
}

/// The figures of one service.
pub struct ServiceFigures {
    /// The service.
    pub service: Service,
    /// The figures of the controllers that were run.
    pub controllers: Vec<ControllerFigures>,
    /// The holders of each zone that has endpoints that run.
    pub holders: Vec<ZoneHolders>,
    /// The number of changes of discovery's list.
    pub changes: usize,
}

/// The state of a running service.
struct ServiceRun<'a> {
    service: &'a Service,
    fleet: ServiceFleet,
    controllers: Vec<SimulatedController>,
    loads: Vec<f64>,
    changes: usize,
}

fn random_stream(settings: &Settings, stream: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(settings.seed);
    random.set_stream(stream);
    random
}

/// Runs a service from start to end. `memory_lock` is held for reading during each step, and for writing while memory
/// is counted, because the count covers the whole process.
pub fn run(settings: &Settings, service: &Service, memory_lock: &RwLock<()>) -> ServiceFigures {
    let mut shared_random = random_stream(settings, SHARED_STREAM);
    let mut random = random_stream(settings, SERVICE_STREAM + service.number as u64);
    let mut run = ServiceRun::new(settings, service);
    let events = schedule(settings, service, &run.fleet, &mut shared_random, &mut random);
    let mut events = events.into_iter().peekable();
    for tick in 1..=(START_UP_SECONDS + settings.seconds) * TICKS_PER_SECOND {
        let _step_guard = memory_lock.read().unwrap_or_else(PoisonError::into_inner);
        let until = START + TICK * tick as u32;
        let mut due = Vec::new();
        while let Some(next) = events.next_if(|scheduled| scheduled.at <= until) {
            due.push(next);
        }
        run.apply_events(&due);
        run.step(until, tick % TICKS_PER_SECOND == 0);
        if tick == START_UP_SECONDS * TICKS_PER_SECOND {
            run.controllers.iter_mut().for_each(SimulatedController::begin_measuring);
        }
    }
    run.finish(memory_lock)
}

impl ServiceRun<'_> {
    fn new<'a>(settings: &'a Settings, service: &'a Service) -> ServiceRun<'a> {
        let proxies = service.controllers * settings.proxies_per_controller;
        let fleet = ServiceFleet::new(service, proxies as f64 * settings.requests_per_proxy);
        let controllers = (0..service.controllers_run).map(|index| controller(settings, service, index));
        let controllers = controllers.collect();
        ServiceRun { service, fleet, controllers, loads: Vec::new(), changes: 0 }
    }

    /// Applies the due events. List changes with the same time are sent together.
    fn apply_events(&mut self, due: &[ScheduledEvent]) {
        for simultaneous in due.chunk_by(|one, next| one.at == next.at) {
            let mut changes: Vec<ListChange> = Vec::new();
            for scheduled in simultaneous {
                changes.extend(self.fleet.apply(scheduled.at, scheduled.event));
                self.apply_to_controllers(scheduled);
            }
            if !changes.is_empty() {
                self.changes += changes.len();
                self.controllers.iter_mut().for_each(|controller| controller.send_changes(&changes));
            }
        }
    }

    fn apply_to_controllers(&mut self, &ScheduledEvent { at, event }: &ScheduledEvent) {
        match event {
            FleetEvent::SplitRegions => self.set_regions_split(at, true),
            FleetEvent::RejoinRegions => self.set_regions_split(at, false),
            _ => {}
        }
        for controller in &mut self.controllers {
            match event {
                FleetEvent::Fail(index) => controller.record_failure(at, index),
                FleetEvent::LoseZone(zone) => controller.lose_zone(at, zone),
                FleetEvent::RestoreZone(zone) => controller.restore_zone(at, zone),
                FleetEvent::RestartControllers => controller.restart(at),
                _ => {}
            }
        }
    }

    fn set_regions_split(&mut self, at: Duration, split: bool) {
        self.fleet.regions_split = split;
        for controller in &mut self.controllers {
            if self.fleet.split_side(controller.zone()) != DISCOVERY_SIDE {
                controller.set_discovery_unreachable(at, split);
            }
        }
    }

    fn step(&mut self, until: Duration, second_ends: bool) {
        self.loads.resize(self.fleet.endpoints.len(), 0.0);
        if second_ends {
            self.loads.fill(0.0);
            self.controllers.iter_mut().for_each(|controller| controller.send_collector_reports(until));
        }
        for controller in &mut self.controllers {
            let mut environment = Environment { fleet: &self.fleet, loads: &mut self.loads };
            controller.step(until, &mut environment);
        }
        // The load from a sample of controllers is not the endpoint's whole load. In a sampled service, each endpoint
        // keeps its even part of the demand.
        if second_ends && self.service.controllers_run == self.service.controllers {
            for (endpoint, load) in self.fleet.endpoints.iter_mut().zip(&self.loads) {
                endpoint.load = *load;
            }
        }
    }

    /// Returns the numbers of controllers that hold each endpoint, by zone.
    fn holders(&self) -> Vec<ZoneHolders> {
        let mut holders = vec![0; self.fleet.endpoints.len()];
        for controller in &self.controllers {
            for endpoint in controller.relay.endpoints() {
                holders[endpoint] += 1;
            }
        }
        let zones = 0..self.service.zones.len();
        zones.filter_map(|zone| self.zone_holders(zone, &holders)).collect()
    }

    /// Returns the holders of one zone, or `None` if no endpoint of the zone runs.
    fn zone_holders(&self, zone: usize, holders: &[usize]) -> Option<ZoneHolders> {
        let mut counts = Vec::new();
        for (endpoint, count) in self.fleet.endpoints.iter().zip(holders) {
            let runs = endpoint.alive && endpoint.listed == ListedState::Running;
            if endpoint.zone == zone && runs {
                counts.push(*count);
            }
        }
        let most = *counts.iter().max()?;
        let least = *counts.iter().min()?;
        let mean = counts.iter().sum::<usize>() as f64 / counts.len() as f64;
        Some(ZoneHolders { mean, most, least })
    }

    fn finish(self, memory_lock: &RwLock<()>) -> ServiceFigures {
        let holders = self.holders();
        let _count_guard = memory_lock.write().unwrap_or_else(PoisonError::into_inner);
        let controllers = self.controllers.into_iter().map(SimulatedController::finish).collect();
        ServiceFigures { service: self.service.clone(), controllers, holders, changes: self.changes }
    }
}

/// Creates one of the controllers that are run. They are spread evenly over all of the service's controllers.
fn controller(settings: &Settings, service: &Service, index: usize) -> SimulatedController {
    let number = index * service.controllers / service.controllers_run;
    let stream = CONTROLLER_STREAM * (service.number as u64 + 1) + number as u64;
    let proxies = proxies_of(settings, service, number);
    let zone = number % service.zones.len();
    let deployment = deployment(settings, service, number);
    SimulatedController::new(deployment, zone, proxies, START, random_stream(settings, stream))
}

/// Returns the proxies of one controller. They are in its own zone and in zones that have no controller of their own.
fn proxies_of(settings: &Settings, service: &Service, controller: usize) -> Vec<Proxy> {
    let zones: Vec<usize> = if service.controllers >= service.zones.len() {
        vec![controller % service.zones.len()]
    } else {
        (controller..service.zones.len()).step_by(service.controllers).collect()
    };
    let proxy = |index: usize| Proxy {
        number: (controller * settings.proxies_per_controller + index) as u32,
        zone: zones[index % zones.len()],
        rate: settings.requests_per_proxy,
        joined: false,
        binding: None,
        unserved: None,
    };
    (0..settings.proxies_per_controller).map(proxy).collect()
}
