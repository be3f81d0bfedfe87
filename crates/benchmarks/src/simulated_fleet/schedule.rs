//! The schedule of a service's events, drawn before the run from the seed alone.

use std::time::Duration;

use rand::Rng;
use rand_chacha::ChaCha8Rng;

use super::endpoint_list::EndpointIndex;
use super::fleet::{Endpoint, START, ServiceFleet};
use super::fleet_event::{FleetEvent, ScheduledEvent};
use super::scenario::Scenario;
use super::settings::Settings;
use super::sizes::Service;

/// An ordinary day of 200,000 machines: its length in seconds, the number of machines, and the number of events of
/// each kind.
const DAY_SECONDS: f64 = 86_400.0;
const DAY_MACHINES: f64 = 200_000.0;
const DAY_FAILURES: f64 = 410.0;
const DAY_RESTARTS: f64 = 13_000.0;
const DAY_RECONFIGURATIONS: f64 = 25_000.0;

/// The virtual seconds of start-up, before the first event and before the measurement.
pub const START_UP_SECONDS: u64 = 10;
/// The time from the beginning of a planned stop to its end.
const DRAIN_DURATION: Duration = Duration::from_secs(5);
/// The time from the end of a planned stop to the next start.
const STOPPED_DURATION: Duration = Duration::from_secs(15);
/// The time from a failure until discovery removes the endpoint.
const FAILURE_DETECTION: Duration = Duration::from_secs(10);
/// The time from a failure until the endpoint starts again.
const REPAIR_DURATION: Duration = Duration::from_secs(60);
/// Endpoints that fail together start again within this many seconds of each other.
const RECOVERY_SPREAD_SECONDS: f64 = 5.0;

/// The period of a scenario's outage: the middle third of the measured time.
struct Outage {
    begin: Duration,
    end: Duration,
}

impl Outage {
    fn of(settings: &Settings) -> Outage {
        let measured = START + Duration::from_secs(START_UP_SECONDS);
        let third = Duration::from_secs(settings.seconds) / 3;
        Outage { begin: measured + third, end: measured + third * 2 }
    }
}

/// The events of one service while they are collected.
struct Schedule<'a> {
    settings: &'a Settings,
    service: &'a Service,
    fleet: &'a ServiceFleet,
    random: &'a mut ChaCha8Rng,
    events: Vec<ScheduledEvent>,
}

/// Returns all events of a service, in the order of time. `shared_random` has the same state for all services, so
/// that they lose the same zone and rack. `random` is specific to the service.
pub fn schedule(
    settings: &Settings,
    service: &Service,
    fleet: &ServiceFleet,
    shared_random: &mut ChaCha8Rng,
    random: &mut ChaCha8Rng,
) -> Vec<ScheduledEvent> {
    let mut schedule = Schedule { settings, service, fleet, random, events: Vec::new() };
    schedule.add_ordinary_day();
    let lost_zone = shared_random.random_range(0..settings.zones);
    let lost_zone = service.zones.iter().position(|zone| zone.number == lost_zone);
    schedule.add_scenario(lost_zone);
    let mut events = schedule.events;
    // The sort is stable: events with the same time keep the order in which they were scheduled.
    events.sort_by_key(|scheduled| scheduled.at);
    events
}

impl Schedule<'_> {
    fn add(&mut self, at: Duration, event: FleetEvent) {
        self.events.push(ScheduledEvent { at, event });
    }

    /// Adds failures, restarts and configuration changes at an ordinary day's rates.
    fn add_ordinary_day(&mut self) {
        let machine_days_per_second = self.service.endpoints as f64 / DAY_MACHINES / DAY_SECONDS;
        let rate = machine_days_per_second * self.settings.change_factor;
        for at in self.random_times(DAY_FAILURES * rate) {
            let index = self.random_endpoint();
            self.add(at, FleetEvent::Fail(index));
            self.add(at + FAILURE_DETECTION, FleetEvent::RemoveFailed(index));
            self.add(at + REPAIR_DURATION, FleetEvent::Start(index));
        }
        for at in self.random_times(DAY_RESTARTS * rate) {
            let index = self.random_endpoint();
            let replaced = self.random.random::<bool>();
            let successor = if replaced { FleetEvent::Replace(index) } else { FleetEvent::Start(index) };
            self.add(at, FleetEvent::Drain(index));
            self.add(at + DRAIN_DURATION, FleetEvent::Stop(index));
            self.add(at + DRAIN_DURATION + STOPPED_DURATION, successor);
        }
        for at in self.random_times(DAY_RECONFIGURATIONS * rate) {
            let index = self.random_endpoint();
            self.add(at, FleetEvent::Reconfigure(index));
        }
    }

    fn random_endpoint(&mut self) -> EndpointIndex {
        self.random.random_range(0..self.service.endpoints)
    }

    /// Draws random times within the measured part of the run, at `rate` events a second.
    fn random_times(&mut self, rate: f64) -> Vec<Duration> {
        let measured = START + Duration::from_secs(START_UP_SECONDS);
        let mut times = Vec::new();
        let mut second = 0.0;
        loop {
            second -= (1.0 - self.random.random::<f64>()).ln() / rate;
            if second >= self.settings.seconds as f64 {
                return times;
            }
            let milliseconds = (second * 1000.0) as u64;
            times.push(measured + Duration::from_millis(milliseconds));
        }
    }

    /// Adds the events of the scenario to those of an ordinary day. `lost_zone` is the index of the lost zone among
    /// the service's zones.
    fn add_scenario(&mut self, lost_zone: Option<usize>) {
        let outage = Outage::of(self.settings);
        match self.settings.scenario {
            Scenario::Ordinary => {}
            Scenario::Rack => self.add_rack_loss(lost_zone, &outage),
            Scenario::Zone => {
                if let Some(zone) = lost_zone {
                    self.add_zone_loss(zone, &outage);
                }
            }
            Scenario::Regions => {
                self.add(outage.begin, FleetEvent::SplitRegions);
                self.add(outage.end, FleetEvent::RejoinRegions);
            }
            Scenario::Restart => {
                if self.service.number == 0 {
                    self.add(outage.begin, FleetEvent::RestartControllers);
                }
            }
        }
    }

    fn add_rack_loss(&mut self, lost_zone: Option<usize>, outage: &Outage) {
        // A small service has one rack in each zone.
        let racks = self.fleet.endpoints.iter().map(|endpoint| endpoint.rack + 1).max().unwrap_or(1);
        let rack = self.random.random_range(0..racks);
        let lost = self.endpoints_where(|endpoint| Some(endpoint.zone) == lost_zone && endpoint.rack == rack);
        self.add_endpoint_losses(&lost, outage);
    }

    fn add_zone_loss(&mut self, zone: usize, outage: &Outage) {
        let lost = self.endpoints_where(|endpoint| endpoint.zone == zone);
        self.add_endpoint_losses(&lost, outage);
        self.add(outage.begin, FleetEvent::LoseZone(zone));
        self.add(outage.end, FleetEvent::RestoreZone(zone));
    }

    fn endpoints_where(&self, is_lost: impl Fn(&Endpoint) -> bool) -> Vec<EndpointIndex> {
        let all = self.fleet.endpoints.iter().enumerate();
        all.filter(|(_, endpoint)| is_lost(endpoint)).map(|(index, _)| index).collect()
    }

    /// Adds the events of endpoints that fail at the same time and start again at about the same time.
    fn add_endpoint_losses(&mut self, lost: &[EndpointIndex], outage: &Outage) {
        for &index in lost {
            let delay_seconds = self.random.random::<f64>() * RECOVERY_SPREAD_SECONDS;
            let delay = Duration::from_millis((delay_seconds * 1000.0) as u64);
            self.add(outage.begin, FleetEvent::Fail(index));
            self.add(outage.begin + FAILURE_DETECTION, FleetEvent::RemoveFailed(index));
            self.add(outage.end + delay, FleetEvent::Start(index));
        }
    }
}
