//! The configuration of a controller process.

use std::net::SocketAddr;

use serde_json::{Value, json};

use super::arguments::Arguments;

/// The names of the zones.
pub const ZONES: [&str; 3] = ["a", "b", "c"];
/// The names of the traffic classes, as in `demo/controller.json`.
pub const CLASSES: [&str; 2] = ["lookup", "entry"];
/// The names of the kinds of endpoints.
pub const KINDS: [&str; 2] = ["m1", "m2"];

/// The addresses of one process's peers.
pub struct Peers {
    /// The address of the fake discovery.
    pub discovery: SocketAddr,
    /// The address of the fake relay.
    pub relay: SocketAddr,
}

/// Returns the configuration of the process with this index: the demo's configuration, with the sizes of the options
/// and these peers.
pub fn configuration(arguments: &Arguments, index: u32, peers: &Peers) -> Value {
    let mut configuration: Value = serde_json::from_str(include_str!("../../../../demo/controller.json"))
        .expect("demo/controller.json is valid JSON");
    let number = arguments.first_number + index;
    let seed = arguments.seed.wrapping_add(u64::from(number));
    configuration["name"] = json!(format!("p{number}"));
    configuration["listen"] = json!("127.0.0.1:0");
    configuration["discovery"] = json!(peers.discovery);
    configuration["store"]["address"] = json!(peers.relay);
    configuration["seed"] = json!(format!("{seed:016x}"));
    if let Some(fields) = configuration.as_object_mut() {
        // Without known endpoints, the controller fetches the complete list.
        fields.remove("known");
    }
    let settings = &mut configuration["settings"];
    settings["balancers"] = json!(arguments.controllers());
    settings["me"] = json!(number);
    settings["zones"] = json!(ZONES);
    settings["models"] = json!(KINDS);
    settings["domain"]["proxy_count"] = json!(arguments.proxies);
    configuration
}
