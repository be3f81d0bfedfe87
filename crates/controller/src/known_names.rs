//! The names and numbers by which peers may refer to parts of the deployment.

use dahliaroad::{ClassId, ZoneId};

/// The longest name of an endpoint that any peer may use. An order has to fit into one call with the name that it is about.
pub const MAX_ENDPOINT_NAME_BYTES: usize = 256;

/// What a peer's message may name; anything else is of another deployment.
pub struct KnownNames {
    /// In the order of their ids.
    pub zones: Vec<String>,
    /// In the order of their ids.
    pub classes: Vec<String>,
    /// Proxies are numbered from 0 to this, less 1.
    pub proxies: u32,
}

impl KnownNames {
    /// The zone of this name.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        position(&self.zones, name).map(ZoneId)
    }

    /// The class of this name.
    pub fn class(&self, name: &str) -> Option<ClassId> {
        position(&self.classes, name).map(ClassId)
    }

    /// Whether the deployment has a proxy of this number.
    pub fn has_proxy(&self, proxy: u32) -> bool {
        proxy < self.proxies
    }
}

fn position(names: &[String], name: &str) -> Option<u32> {
    names.iter().position(|known| known == name).map(|position| position as u32)
}
