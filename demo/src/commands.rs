//! The commands that the demo reads from standard input.

use std::collections::BTreeMap;
use std::error::Error;
use std::net::SocketAddr;

use dahliaroad_demo::{EndpointState, Fleet, Weights};

pub const HELP: &str = "commands: kill NAME, hang NAME, fail NAME, start NAME, drain NAME, leave PROXY, join PROXY, \
move, tables, quit";

/// Weights by table number.
pub type Tables = BTreeMap<u32, Weights>;

/// What the demo does after a command.
pub enum NextStep {
    Continue,
    Quit,
}

/// A command: a verb and, for most verbs, the name of an endpoint or the number of a proxy.
pub struct Command<'a> {
    verb: &'a str,
    name: &'a str,
}

/// The properties that a restarted endpoint keeps.
struct KnownEndpoint {
    zone: String,
    kind: String,
    capacity: f64,
}

impl<'a> Command<'a> {
    pub fn parse(line: &'a str) -> Command<'a> {
        let line = line.trim();
        let (verb, name) = line.split_once(' ').unwrap_or((line, ""));
        Command { verb, name }
    }

    pub async fn run(&self, fleet: &Fleet) -> Result<NextStep, Box<dyn Error>> {
        let world = &fleet.world;
        match (self.verb, self.known_endpoint(fleet)) {
            ("kill", Some(_)) => {
                fleet.stop_endpoint(self.name);
                world.set_health(self.name, "left");
            }
            ("hang", Some(_)) => world.set_state(self.name, EndpointState::Hung),
            ("fail", Some(_)) => world.set_state(self.name, EndpointState::Failing),
            ("start", Some(KnownEndpoint { zone, kind, capacity })) => {
                fleet.start_endpoint(self.name, &zone, &kind, capacity).await?;
            }
            ("drain", Some(_)) => world.set_health(self.name, "leaving"),
            ("leave", _) => world.leave(self.name.parse()?),
            ("join", _) => self.join(fleet)?,
            ("move", _) => move_servers(fleet).await?,
            ("tables", _) => print_tables(&world.tables.borrow()),
            ("quit", _) => return Ok(NextStep::Quit),
            _ => println!("{HELP}"),
        }
        Ok(NextStep::Continue)
    }

    /// Returns the endpoint that the command names, if it exists.
    fn known_endpoint(&self, fleet: &Fleet) -> Option<KnownEndpoint> {
        let endpoints = fleet.world.endpoints.borrow();
        let endpoint = endpoints.get(self.name)?;
        Some(KnownEndpoint {
            zone: endpoint.zone.clone(),
            kind: endpoint.kind.clone(),
            capacity: endpoint.capacity,
        })
    }

    /// Joins a proxy that joined before, with the same zone and rate. Returns an error if the proxy is unknown.
    fn join(&self, fleet: &Fleet) -> Result<(), Box<dyn Error>> {
        let node = self.name.parse()?;
        let known = fleet.world.proxies.borrow().get(&node).cloned().ok_or("no such proxy")?;
        fleet.world.join(node, &known.zone, known.rate);
        Ok(())
    }
}

/// Moves discovery and the relay to free ports.
async fn move_servers(fleet: &Fleet) -> Result<(), Box<dyn Error>> {
    let any_port = |address: SocketAddr| SocketAddr::new(address.ip(), 0);
    fleet.move_to(any_port(fleet.discovery.get()), any_port(fleet.relay.get())).await?;
    let discovery = fleet.discovery.get();
    let relay = fleet.relay.get();
    println!("now discovery is at {discovery} and the relay (store) at {relay}");
    Ok(())
}

/// Prints the endpoints of each table with their share of the table's total weight.
pub fn print_tables(tables: &Tables) {
    for (table, weights) in tables {
        let total: f64 = weights.values().sum();
        let entries: Vec<String> =
            weights.iter().map(|(name, weight)| format!("{name} {:.0}%", 100.0 * weight / total)).collect();
        println!("table {table}: {}", entries.join(", "));
    }
}
