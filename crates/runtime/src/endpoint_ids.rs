//! The assigner's ids of endpoints.

use std::cell::Cell;
use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use dahliaroad::EndpointId;

use crate::counters;

/// The state of an id.
struct Record {
    name: Arc<str>,
    address: Option<SocketAddr>,
    /// Start time of the process, since 1970; `None` if unknown.
    started: Option<Duration>,
    /// Changes whenever the id passes to another process, and when it is released.
    generation: Rc<Cell<u64>>,
}

impl Record {
    fn begin_generation(&self) {
        self.generation.set(self.generation.get() + 1);
    }
}

/// The process that had an endpoint's id at a certain time.
#[derive(Clone, Debug)]
pub struct EndpointProcess {
    generation: u64,
    current_generation: Rc<Cell<u64>>,
}

impl EndpointProcess {
    /// The generation of the id at that time.
    pub fn generation(&self) -> u64 {
        self.generation
    }

    /// Whether the process is no longer listed, or another one has the id.
    pub fn has_ended(&self) -> bool {
        self.current_generation.get() != self.generation
    }
}

/// Assigns ids to the names of endpoints and keeps the address of each. Released ids are reused, the lowest first. The ids
/// thus stay dense, as the assigner keeps its endpoints in arrays.
#[derive(Default)]
pub struct EndpointIds {
    by_name: HashMap<Arc<str>, EndpointId>,
    records: Vec<Record>,
    released: BTreeSet<u32>,
}

impl EndpointIds {
    /// Returns the id of a name, if it has one.
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    /// Returns the id of a name; assigns one if it has none. If `address` or `started` is `None`, the known one stays: sources
    /// omit a start that is long ago. A different address or start time means another process, and so another generation.
    pub fn assign(
        &mut self,
        name: &str,
        address: Option<SocketAddr>,
        started: Option<Duration>,
    ) -> EndpointId {
        let endpoint = self.find(name).unwrap_or_else(|| self.assign_new(name));
        let record = &mut self.records[endpoint.0 as usize];
        let address = address.or(record.address);
        let started = started.or(record.started);
        if record.address != address || record.started != started {
            record.begin_generation();
        }
        record.address = address;
        record.started = started;
        endpoint
    }

    fn assign_new(&mut self, name: &str) -> EndpointId {
        let name = Arc::<str>::from(name);
        let endpoint = match self.released.pop_first() {
            Some(index) => EndpointId(index),
            None => self.push_record(&name),
        };
        self.records[endpoint.0 as usize].name = name.clone();
        self.by_name.insert(name, endpoint);
        endpoint
    }

    fn push_record(&mut self, name: &Arc<str>) -> EndpointId {
        self.records.push(Record {
            name: name.clone(),
            address: None,
            started: None,
            generation: Rc::default(),
        });
        EndpointId(self.records.len() as u32 - 1)
    }

    /// Notes that the endpoint's process is no longer listed: whatever is listed under the name next may be another one.
    /// Panics if the id was never assigned.
    pub fn process_ended(&mut self, endpoint: EndpointId) {
        let record = &mut self.records[endpoint.0 as usize];
        record.started = None;
        record.begin_generation();
    }

    /// Releases the id of an endpoint; it may then be assigned to another name. Panics if the id was never assigned.
    pub fn release(&mut self, endpoint: EndpointId) {
        counters::RELEASED_ENDPOINT_IDS.add(1);
        let record = &mut self.records[endpoint.0 as usize];
        record.address = None;
        record.started = None;
        record.begin_generation();
        self.by_name.remove(&record.name);
        self.released.insert(endpoint.0);
    }

    /// Returns the address on which the endpoint listens; `None` if no source gave one. Panics if the id was never assigned.
    pub fn address(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.records[endpoint.0 as usize].address
    }

    /// Returns the name that has the id, or the last one that had it. Panics if the id was never assigned.
    pub fn name(&self, endpoint: EndpointId) -> Arc<str> {
        self.records[endpoint.0 as usize].name.clone()
    }

    /// Returns the generation of the id. The generation changes with each process that has the id, so that the result of a
    /// health check is never attributed to a later process. Panics if the id was never assigned.
    pub fn generation(&self, endpoint: EndpointId) -> u64 {
        self.records[endpoint.0 as usize].generation.get()
    }

    /// Returns the process that has the id now. Panics if the id was never assigned.
    pub fn process(&self, endpoint: EndpointId) -> EndpointProcess {
        let current_generation = self.records[endpoint.0 as usize].generation.clone();
        EndpointProcess { generation: current_generation.get(), current_generation }
    }
}
