//! The numbers that the module knows endpoints by.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use dahliaroad::interface::EndpointId;

use crate::counters;

/// The numbers that endpoints' names stand under, and where each listens.
#[derive(Default)]
pub struct Roster {
    numbers: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
    dials: Vec<Option<SocketAddr>>,
    /// Numbers that were given back.
    free: BTreeSet<u32>,
}

impl Roster {
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.numbers.get(name).copied().map(EndpointId)
    }

    pub fn list(&mut self, name: &str, dial: Option<SocketAddr>) -> EndpointId {
        let number = self.find(name).unwrap_or_else(|| {
            let (number, name) = (self.free.pop_first(), Arc::<str>::from(name));
            let number = number.unwrap_or(self.names.len() as u32);
            self.names.resize(self.names.len().max(number as usize + 1), name.clone());
            self.dials.resize(self.names.len(), None);
            self.names[number as usize] = name.clone();
            self.numbers.insert(name, number);
            EndpointId(number)
        });
        self.dials[number.0 as usize] = dial.or(self.dials[number.0 as usize]);
        number
    }

    pub fn give_back(&mut self, endpoint: EndpointId) {
        counters::GIVEN_BACK.add(1);
        self.numbers.remove(&self.names[endpoint.0 as usize]);
        self.dials[endpoint.0 as usize] = None;
        self.free.insert(endpoint.0);
    }

    pub fn dial(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.dials[endpoint.0 as usize]
    }

    pub fn name(&self, endpoint: EndpointId) -> Arc<str> {
        self.names[endpoint.0 as usize].clone()
    }
}
