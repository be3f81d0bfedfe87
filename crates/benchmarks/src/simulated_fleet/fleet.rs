//! The endpoints of one service: their actual state, and their state in discovery's list.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use super::endpoint_list::{
    EndpointIndex, ListChange, ListChangeKind, ListedEndpoint, ListedState, NamedEndpoint,
};
use super::fleet_event::FleetEvent;
use super::sizes::{Service, Zone};

/// The start time of the virtual clock. It is long enough after 1970 that endpoints started earlier have warmed up.
pub const START: Duration = Duration::from_secs(1_000_000);
/// The number of machines in one rack.
const RACK_SIZE: usize = 40;
/// The total capacity of all endpoints, divided by the demand.
const HEADROOM: f64 = 2.0;
/// The weight of an endpoint that was not reconfigured.
const DEFAULT_WEIGHT: f64 = 1.0;
/// The number of sides of a split between regions. It separates regions with odd numbers from regions with even
/// numbers.
const SPLIT_SIDES: usize = 2;

/// The actual state of an endpoint.
#[derive(Clone, Debug)]
pub struct Endpoint {
    /// The name in discovery's list.
    pub name: Arc<str>,
    /// The zone's index among the service's zones.
    pub zone: usize,
    /// The rack's number within the zone.
    pub rack: usize,
    /// The weight that the endpoint's owner configured.
    pub weight: f64,
    /// When the endpoint's process started; `None` if it started long before the run.
    pub started: Option<Duration>,
    /// The state in discovery's list.
    pub listed: ListedState,
    /// Whether the process runs and can be reached from its own region.
    pub alive: bool,
    /// The endpoint's capacity, in requests a second.
    pub capacity: f64,
    /// The requests that reached the endpoint in the last second.
    pub load: f64,
}

/// A service's endpoints, and whether its regions can reach each other.
pub struct ServiceFleet {
    /// The service's zones.
    pub zones: Vec<Zone>,
    /// The names of the zones, in the order of `zones`.
    pub zone_names: Vec<String>,
    /// All current and former endpoints.
    pub endpoints: Vec<Endpoint>,
    indices: BTreeMap<Arc<str>, EndpointIndex>,
    /// The revision of discovery's list.
    pub revision: u64,
    /// Whether regions with odd numbers cannot reach regions with even numbers.
    pub regions_split: bool,
    endpoint_capacity: f64,
}

impl ServiceFleet {
    /// Creates the initial endpoints of a service, spread evenly over its zones.
    pub fn new(service: &Service, requests_per_second: f64) -> ServiceFleet {
        let zone_names = service.zones.iter().map(|zone| format!("z{:03}", zone.number)).collect();
        let mut fleet = ServiceFleet {
            zones: service.zones.clone(),
            zone_names,
            endpoints: Vec::new(),
            indices: BTreeMap::new(),
            revision: 1,
            regions_split: false,
            endpoint_capacity: HEADROOM * requests_per_second / service.endpoints as f64,
        };
        for index in 0..service.endpoints {
            fleet.add(index % service.zones.len(), None);
        }
        fleet
    }

    /// Adds an endpoint that is listed as running.
    fn add(&mut self, zone: usize, started: Option<Duration>) {
        let index = self.endpoints.len();
        let name: Arc<str> = format!("s-{index:08x}").into();
        self.indices.insert(name.clone(), index);
        self.endpoints.push(Endpoint {
            name,
            zone,
            rack: index / self.zones.len() / RACK_SIZE,
            weight: DEFAULT_WEIGHT,
            started,
            listed: ListedState::Running,
            alive: true,
            capacity: self.endpoint_capacity,
            load: self.endpoint_capacity / HEADROOM,
        });
    }

    /// Returns the index of the endpoint with that name.
    pub fn find(&self, name: &str) -> Option<EndpointIndex> {
        self.indices.get(name).copied()
    }

    /// Returns the side of a split between regions that a zone is on.
    pub fn split_side(&self, zone: usize) -> usize {
        self.zones[zone].region % SPLIT_SIDES
    }

    /// Whether the endpoint is alive and can be reached from a zone.
    pub fn is_reachable(&self, from_zone: usize, endpoint: EndpointIndex) -> bool {
        let endpoint = &self.endpoints[endpoint];
        let separated = self.regions_split && self.split_side(from_zone) != self.split_side(endpoint.zone);
        endpoint.alive && !separated
    }

    /// Returns the endpoint's current entry in discovery's list.
    fn listed(&self, index: EndpointIndex) -> ListedEndpoint {
        let Endpoint { zone, weight, started, listed, .. } = self.endpoints[index];
        ListedEndpoint { index, zone, weight, started, state: listed }
    }

    /// Returns a listed endpoint together with its name.
    pub fn named(&self, listed: ListedEndpoint) -> NamedEndpoint {
        let name = self.endpoints[listed.index].name.clone();
        NamedEndpoint { name, listed }
    }

    /// Returns discovery's current complete list.
    pub fn complete_list(&self) -> Vec<ListedEndpoint> {
        let all = (0..self.endpoints.len()).map(|index| self.listed(index));
        all.filter(|endpoint| endpoint.state != ListedState::Removed).collect()
    }

    /// Applies an event to the endpoints. Returns the change of discovery's list, if the list changes.
    pub fn apply(&mut self, at: Duration, event: FleetEvent) -> Option<ListChange> {
        let (index, kind) = match event {
            FleetEvent::Fail(index) => {
                self.endpoints[index].alive = false;
                return None;
            }
            FleetEvent::RemoveFailed(index) => (index, self.remove(index)?),
            FleetEvent::Drain(index) => (index, self.drain(index)?),
            FleetEvent::Stop(index) => (index, self.stop(index)?),
            FleetEvent::Start(index) => (index, self.start(at, index)?),
            FleetEvent::Replace(index) => {
                self.add(self.endpoints[index].zone, Some(at));
                (self.endpoints.len() - 1, ListChangeKind::Started)
            }
            FleetEvent::Reconfigure(index) => (index, self.reconfigure(index)?),
            FleetEvent::LoseZone(_)
            | FleetEvent::RestoreZone(_)
            | FleetEvent::SplitRegions
            | FleetEvent::RejoinRegions
            | FleetEvent::RestartControllers => return None,
        };
        self.revision += 1;
        Some(ListChange { at, revision: self.revision, kind, endpoint: self.listed(index) })
    }

    fn remove(&mut self, index: EndpointIndex) -> Option<ListChangeKind> {
        let endpoint = &mut self.endpoints[index];
        if endpoint.alive || endpoint.listed == ListedState::Removed {
            return None;
        }
        endpoint.listed = ListedState::Removed;
        Some(ListChangeKind::Removed)
    }

    fn drain(&mut self, index: EndpointIndex) -> Option<ListChangeKind> {
        let endpoint = &mut self.endpoints[index];
        if !endpoint.alive || endpoint.listed != ListedState::Running {
            return None;
        }
        endpoint.listed = ListedState::Draining;
        Some(ListChangeKind::Drained)
    }

    /// Ends a planned stop. If the planned stop could not begin, nothing happens.
    fn stop(&mut self, index: EndpointIndex) -> Option<ListChangeKind> {
        let endpoint = &mut self.endpoints[index];
        if endpoint.listed != ListedState::Draining {
            return None;
        }
        endpoint.alive = false;
        self.remove(index)
    }

    fn start(&mut self, at: Duration, index: EndpointIndex) -> Option<ListChangeKind> {
        let endpoint = &mut self.endpoints[index];
        if endpoint.alive {
            return None;
        }
        endpoint.alive = true;
        endpoint.started = Some(at);
        endpoint.listed = ListedState::Running;
        Some(ListChangeKind::Started)
    }

    fn reconfigure(&mut self, index: EndpointIndex) -> Option<ListChangeKind> {
        let endpoint = &mut self.endpoints[index];
        if endpoint.listed != ListedState::Running {
            return None;
        }
        let is_default = endpoint.weight == DEFAULT_WEIGHT;
        endpoint.weight = if is_default { DEFAULT_WEIGHT / 2.0 } else { DEFAULT_WEIGHT };
        Some(ListChangeKind::Reconfigured)
    }
}
