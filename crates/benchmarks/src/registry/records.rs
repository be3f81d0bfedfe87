//! The records of endpoints in the registry and in the zone file.

use std::fmt::Write;
use std::io;
use std::path::PathBuf;

use dahliaroad_demo::World;
use serde_json::json;

/// The state of an endpoint that accepts requests, in discovery's format.
const ACTIVE: &str = "active";

/// Returns the registry's key of an endpoint.
pub fn key(name: &str) -> String {
    format!("fleet/{name}")
}

fn state(health: &str) -> &'static str {
    if health == ACTIVE { "running" } else { "draining" }
}

/// Returns the registry's value of an endpoint.
pub fn value(world: &World, name: &str) -> String {
    let endpoints = world.endpoints.borrow();
    let endpoint = &endpoints[name];
    let value = json!({
        "address": endpoint.address,
        "zone": endpoint.zone,
        "kind": endpoint.kind,
        "weight": endpoint.capacity,
        "state": state(endpoint.health),
        "started_ms": endpoint.started_ms,
    });
    value.to_string()
}

/// A zone file of all endpoints. Each write replaces the whole file. Dropping the value removes the file.
pub struct ZoneFile {
    path: PathBuf,
    serial: u32,
}

impl ZoneFile {
    /// Creates the path of a file that is not written yet.
    pub fn new() -> ZoneFile {
        let name = format!("dahliaroad-benchmarks-{}.zone", std::process::id());
        ZoneFile { path: std::env::temp_dir().join(name), serial: 0 }
    }

    /// Returns the path of the file.
    pub fn path(&self) -> &PathBuf {
        &self.path
    }

    /// Writes all endpoints under the next serial number.
    pub fn write(&mut self, world: &World) -> io::Result<()> {
        self.serial += 1;
        let new = self.path.with_extension("new");
        std::fs::write(&new, zone_text(world, self.serial))?;
        std::fs::rename(&new, &self.path)
    }
}

impl Drop for ZoneFile {
    fn drop(&mut self) {
        // The error is ignored, because most measurements write no zone file.
        let _ = std::fs::remove_file(&self.path);
    }
}

fn zone_text(world: &World, serial: u32) -> String {
    let mut text = format!("$TTL 60\n@ SOA ns hostmaster {serial} 3600 600 86400 60\n");
    for (name, endpoint) in world.endpoints.borrow().iter() {
        let ip = endpoint.address.ip();
        let port = endpoint.address.port();
        let zone = &endpoint.zone;
        let kind = &endpoint.kind;
        let state = state(endpoint.health);
        let started = endpoint.started_ms;
        // Writing to a string cannot fail.
        let _ = writeln!(text, "_ledger._tcp SRV 0 20 {port} {name}\n{name} A {ip}");
        let _ = writeln!(text, "{name} TXT zone={zone} kind={kind} state={state} started_ms={started}");
    }
    text
}
