//! A controller process that reads one source, with the demo's relay and discovery, and fakes of the registries.

use std::collections::BTreeSet;
use std::net::{Ipv4Addr, SocketAddr};
use std::rc::Rc;
use std::time::Duration;

use dahliaroad_demo::{Fleet, World};
use dahliaroad_fakes::{FaultyLink, Store, consul, etcd};
use serde_json::{Value, json};
use tokio::time::timeout;

use super::arguments::{Arguments, Source};
use super::error::{RegistryError, WAIT_TIMEOUT};
use super::observations::Observations;
use super::operator_file::operator_file;
use super::records::{ZoneFile, key, value};
use crate::controller_process::ControllerProcess;

const LOOPBACK: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);
/// The address of all endpoints. No server listens there: no request is made, and only suspected endpoints are
/// checked.
const CLOSED_ADDRESS: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 1);
const CLASSES: [&str; 2] = ["lookup", "entry"];
const ZONES: [&str; 2] = ["east", "west"];
const KIND: &str = "large";
/// The capacity of an endpoint, in requests a second.
const CAPACITY: f64 = 20.0;
const PROXIES: u32 = 4;
/// The requests a second that reach each proxy, for each endpoint of the list.
const REQUESTS_PER_ENDPOINT: f64 = 2.0;
/// How often the relay's requests are read if no change is notified.
const OBSERVE_INTERVAL: Duration = Duration::from_millis(1);

/// The controller's peers, and their observations of the controller's orders.
pub struct Deployment {
    fleet: Rc<Fleet>,
    /// The store that the registries serve.
    pub store: Store,
    /// The link between the controller and the registry.
    pub link: FaultyLink,
    source: Source,
    zone_file: ZoneFile,
    /// The observations of orders at the relay.
    pub observations: Observations,
}

impl Deployment {
    /// Starts all peers and the controller, and waits until all endpoints are in tables.
    pub async fn start(arguments: &Arguments) -> Result<(Deployment, ControllerProcess), RegistryError> {
        let configuration = read_configuration(arguments)?;
        let fleet = Rc::new(start_fleet(arguments.endpoints).await?);
        let store = Store::new(1);
        if arguments.source.is_registry() {
            put_all_endpoints(&store, &fleet.world);
        }
        let server = match arguments.source {
            Source::BlockingRead => consul::serve(store.clone(), 0, LOOPBACK).await?,
            _ => etcd::serve(store.clone(), 0, LOOPBACK, usize::MAX).await?,
        };
        let link = FaultyLink::to(server).await?;
        let mut zone_file = ZoneFile::new();
        if arguments.source == Source::ZoneFile {
            zone_file.write(&fleet.world)?;
        }
        let operator_file = operator_file(arguments.source, link.address, zone_file.path());
        let configuration = with_peers(configuration, &fleet);
        let controller = ControllerProcess::start(&configuration, operator_file.as_deref())?;
        let observations = Observations::new()?;
        let source = arguments.source;
        let mut deployment = Deployment { fleet, store, link, source, zone_file, observations };
        let endpoints = arguments.endpoints;
        let all_in_tables = |deployment: &Deployment| deployment.endpoints_in_tables().len() >= endpoints;
        deployment.wait_until("all endpoints are in tables", all_in_tables).await?;
        Ok((deployment, controller))
    }

    fn world(&self) -> &World {
        &self.fleet.world
    }

    /// Returns the names of all endpoints, in order.
    pub fn endpoint_names(&self) -> Vec<String> {
        self.world().endpoints.borrow().keys().cloned().collect()
    }

    /// Drains an endpoint, and publishes the drain at the source.
    pub fn drain(&mut self, name: &str) {
        self.world().set_health(name, "leaving");
        self.publish(name, true);
    }

    /// Starts an endpoint again under its name, and publishes the start at the source.
    pub fn restart(&mut self, name: &str) {
        self.relist(name);
        self.publish(name, false);
    }

    /// Lists an endpoint as newly started, with its previous address and zone.
    fn relist(&self, name: &str) {
        let endpoints = self.world().endpoints.borrow();
        let endpoint = &endpoints[name];
        let zone = endpoint.zone.clone();
        let kind = endpoint.kind.clone();
        let capacity = endpoint.capacity;
        let address = endpoint.address;
        // The borrow ends here, as adding an endpoint borrows the list again.
        drop(endpoints);
        self.world().add_endpoint(name, &zone, &kind, capacity, address);
    }

    /// Publishes a change at the source. Discovery reads the fleet's state itself.
    fn publish(&mut self, name: &str, drains: bool) {
        match self.source {
            Source::Discovery => {}
            Source::ZoneFile => {
                let written = self.zone_file.write(&self.fleet.world);
                written.unwrap_or_else(|error| eprintln!("cannot write the zone file: {error}"));
            }
            Source::Watch | Source::BlockingRead => {
                self.store.put(&key(name), &value(self.world(), name));
            }
        }
        self.observations.await_order(name, drains);
    }

    /// Records the requests that arrived at the relay.
    pub fn record_requests(&mut self) {
        self.observations.record_requests(&self.fleet.world);
    }

    /// Waits until a condition holds, and records the requests that arrive at the relay during the wait.
    /// `description` names the condition in the error of a timeout.
    pub async fn wait_until(
        &mut self,
        description: &'static str,
        condition: impl Fn(&Deployment) -> bool,
    ) -> Result<(), RegistryError> {
        let wait = async {
            loop {
                let fleet = self.fleet.clone();
                // Created before the requests are read, so that no change between the read and the wait is missed.
                let changed = fleet.world.state_changed.notified();
                self.record_requests();
                if condition(self) {
                    return;
                }
                let _ = timeout(OBSERVE_INTERVAL, changed).await;
            }
        };
        timeout(WAIT_TIMEOUT, wait).await.map_err(|_| RegistryError::Timeout { description })
    }

    /// Returns the names of the endpoints in all tables.
    pub fn endpoints_in_tables(&self) -> BTreeSet<String> {
        let tables = self.world().tables.borrow();
        tables.values().flat_map(|weights| weights.keys().cloned()).collect()
    }

    /// Whether no table has any of these endpoints.
    pub fn has_removed(&self, names: &[String]) -> bool {
        let tables = self.world().tables.borrow();
        !names.iter().any(|name| tables.values().any(|weights| weights.contains_key(name)))
    }
}

fn read_configuration(arguments: &Arguments) -> Result<Value, RegistryError> {
    let path = &arguments.configuration;
    let text =
        std::fs::read(path).map_err(|source| RegistryError::Configuration { path: path.clone(), source })?;
    Ok(serde_json::from_slice(&text)?)
}

/// Starts discovery and the relay, lists all endpoints and joins all proxies.
async fn start_fleet(endpoints: usize) -> Result<Fleet, RegistryError> {
    let fleet = Fleet::start(LOOPBACK, LOOPBACK, &CLASSES).await?;
    for index in 0..endpoints {
        let name = format!("e{index:05}");
        let zone = ZONES[index % ZONES.len()];
        fleet.world.add_endpoint(&name, zone, KIND, CAPACITY, CLOSED_ADDRESS);
    }
    for proxy in 0..PROXIES {
        let zone = ZONES[proxy as usize % ZONES.len()];
        fleet.world.join(proxy, zone, REQUESTS_PER_ENDPOINT * endpoints as f64);
    }
    Ok(fleet)
}

fn put_all_endpoints(store: &Store, world: &World) {
    let names: Vec<String> = world.endpoints.borrow().keys().cloned().collect();
    for name in &names {
        store.put(&key(name), &value(world, name));
    }
}

/// Returns the configuration with these peers. The limits on the messages and lines of a proxy are removed, because
/// they would delay changes and the benchmark measures the latency without them.
fn with_peers(mut configuration: Value, fleet: &Fleet) -> Value {
    configuration["listen"] = json!("127.0.0.1:0");
    configuration["discovery"] = json!(fleet.discovery.get());
    configuration["store"]["address"] = json!(fleet.relay.get());
    let domain = &mut configuration["settings"]["domain"];
    domain["pushes_allowed"] = json!(0);
    domain["lines_per_s"] = json!(1e9);
    domain["backlog"] = json!(1e9);
    configuration
}
