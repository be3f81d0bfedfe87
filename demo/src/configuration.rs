//! Reads the configuration of a controller instance, which gives the addresses of its peers.

use std::error::Error;
use std::net::SocketAddr;

use serde_json::Value;

/// The parts of a configuration that the demo uses.
pub struct Configuration {
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
    pub classes: Vec<String>,
    file: Value,
}

impl Configuration {
    pub fn read(path: &str) -> Result<Configuration, Box<dyn Error>> {
        let file: Value = serde_json::from_slice(&std::fs::read(path)?)?;
        let settings = &file["settings"];
        let zones = strings(&settings["zones"]);
        let kinds = strings(&settings["models"]);
        if zones.is_empty() || kinds.is_empty() {
            return Err("the configuration names no zones or no models".into());
        }
        Ok(Configuration {
            discovery: address(&file["discovery"])?,
            relay: address(&file["store"]["address"])?,
            zones,
            kinds,
            classes: class_names(&settings["classes"]),
            file,
        })
    }

    /// Returns the address at which the controller instance listens for collectors.
    pub fn controller(&self) -> Result<SocketAddr, Box<dyn Error>> {
        address(&self.file["listen"])
    }
}

fn address(text: &Value) -> Result<SocketAddr, Box<dyn Error>> {
    let text = text.as_str().ok_or("an address is missing in the configuration")?;
    Ok(text.parse()?)
}

fn strings(list: &Value) -> Vec<String> {
    list.as_array().into_iter().flatten().filter_map(Value::as_str).map(str::to_owned).collect()
}

fn class_names(classes: &Value) -> Vec<String> {
    let classes = classes.as_array().into_iter().flatten();
    classes.filter_map(|class| class["name"].as_str()).map(str::to_owned).collect()
}
