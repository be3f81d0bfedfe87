//! The names and numbers of the deployment's zones, classes and proxies, as peers use them.

use dahliaroad::{ClassId, ZoneId};

/// The maximum length of an endpoint's name from any peer. An order must fit into one call together with the name that it
/// contains.
pub const MAX_ENDPOINT_NAME_BYTES: usize = 256;

/// The names that a peer's message may contain. A message with any other name belongs to another deployment.
pub struct KnownNames {
    /// The names of the zones, in the order of their ids.
    pub zones: Vec<String>,
    /// The names of the classes, in the order of their ids.
    pub classes: Vec<String>,
    /// The number of proxies. Proxies are numbered from 0 to this number minus 1.
    pub proxies: u32,
}

impl KnownNames {
    /// Returns the id of the zone with this name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        position(&self.zones, name).map(ZoneId)
    }

    /// Returns the id of the class with this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        position(&self.classes, name).map(ClassId)
    }

    /// Whether the deployment has a proxy with this number.
    pub fn has_proxy(&self, proxy: u32) -> bool {
        proxy < self.proxies
    }
}

fn position(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|known| known == name).map(|position| position as u32)
}
