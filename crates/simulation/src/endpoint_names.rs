//! Maps endpoint names, which the simulator's protocol uses, to endpoint numbers, which the assigner uses.

use std::collections::HashMap;

use dahliaroad::EndpointId;

/// The endpoints that one instance has received in events, numbered in the order of their first event.
#[derive(Default)]
pub struct EndpointNames {
    names: Vec<String>,
    ids: HashMap<String, EndpointId>,
}

impl EndpointNames {
    /// Returns the number of an endpoint. A new name gets the next number.
    pub fn number(&mut self, name: &str) -> EndpointId {
        if let Some(&id) = self.ids.get(name) {
            return id;
        }
        let id = EndpointId(self.names.len() as u32);
        self.names.push(name.to_owned());
        self.ids.insert(name.to_owned(), id);
        id
    }

    /// Returns the name of an endpoint. Panics if no endpoint has this number.
    pub fn name(&self, id: EndpointId) -> &str {
        &self.names[id.0 as usize]
    }
}
