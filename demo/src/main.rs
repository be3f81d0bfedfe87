//! `dahliaroad-demo CONFIGURATION`: runs discovery, the relay, a collector in each zone and six endpoints for one
//! controller instance, at the addresses in the instance's configuration. It reads commands from standard input.

mod commands;
mod configuration;

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use commands::{Command, HELP, NextStep, Tables, print_tables};
use configuration::Configuration;
use dahliaroad_demo::{Collector, Fleet};
use tokio::io::{AsyncBufReadExt, BufReader, stdin};
use tokio::task::LocalSet;
use tokio::time::{MissedTickBehavior, interval};

const ENDPOINTS: usize = 6;
const PROXIES: u32 = 4;
/// Requests per second that each proxy receives.
const PROXY_RATE: f64 = 10.0;
/// Capacity of the first endpoint in requests per second. Each further endpoint has [`CAPACITY_STEP`] more.
const FIRST_CAPACITY: f64 = 20.0;
const CAPACITY_STEP: f64 = 5.0;
const REPORT_INTERVAL: Duration = Duration::from_secs(1);

async fn start(configuration: &Configuration) -> Result<Fleet, Box<dyn Error>> {
    let Configuration { discovery, relay, zones, kinds, .. } = configuration;
    let classes: Vec<&str> = configuration.classes.iter().map(String::as_str).collect();
    let fleet = Fleet::start(*discovery, *relay, &classes).await?;
    for index in 0..ENDPOINTS {
        let zone = &zones[index % zones.len()];
        let kind = &kinds[index % kinds.len()];
        let capacity = FIRST_CAPACITY + CAPACITY_STEP * index as f64;
        fleet.start_endpoint(&format!("e{index}"), zone, kind, capacity).await?;
    }
    for node in 0..PROXIES {
        fleet.world.join(node, &zones[node as usize % zones.len()], PROXY_RATE);
    }
    Ok(fleet)
}

/// Sends the collectors' reports once a second. Prints whether the controller instance can be reached and which endpoints
/// the tables have, whenever either changes.
struct Reporter {
    collector: Collector,
    connected: bool,
    printed_tables: Tables,
}

impl Reporter {
    async fn report_second(&mut self, fleet: &Fleet) {
        let connected = self.collector.report_second().await.is_ok();
        if connected != self.connected {
            self.connected = connected;
            println!("{}", if connected { "the pilot is there" } else { "no pilot is there" });
        }
        let tables = fleet.world.tables.borrow();
        if self.is_outdated(&tables) {
            print_tables(&tables);
            self.printed_tables = tables.clone();
        }
    }

    /// Whether a table's endpoints have changed since the tables were printed. Changed weights alone do not count.
    fn is_outdated(&self, tables: &Tables) -> bool {
        tables.iter().any(|(table, weights)| {
            let printed = self.printed_tables.get(table);
            printed.is_none_or(|printed| !printed.keys().eq(weights.keys()))
        })
    }
}

async fn serve(path: &str) -> Result<(), Box<dyn Error>> {
    let configuration = Configuration::read(path)?;
    let fleet = start(&configuration).await?;
    println!("a toy fleet: endpoints e0 to e5, proxies 0 to 3; {HELP}");
    let collector = Collector::new(fleet.world.clone(), configuration.controller()?);
    let mut reporter = Reporter { collector, connected: true, printed_tables: Tables::new() };
    let mut lines = BufReader::new(stdin()).lines();
    let mut reads_commands = true;
    let mut seconds = interval(REPORT_INTERVAL);
    seconds.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            line = lines.next_line(), if reads_commands => match line? {
                Some(line) => match Command::parse(&line).run(&fleet).await {
                    Ok(NextStep::Continue) => {}
                    Ok(NextStep::Quit) => return Ok(()),
                    Err(error) => println!("{error}"),
                },
                // Without a terminal, standard input ends at once. The demo then serves until it is killed.
                None => reads_commands = false,
            },
            _ = seconds.tick() => reporter.report_second(&fleet).await,
        }
    }
}

fn main() -> ExitCode {
    let Some(path) = std::env::args().nth(1) else {
        eprintln!("usage: dahliaroad-demo CONFIGURATION");
        return ExitCode::FAILURE;
    };
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let served = runtime.map_err(Into::into).and_then(|runtime| {
        let served = LocalSet::new().block_on(&runtime, serve(&path));
        // The thread that reads standard input may be blocked, so the shutdown does not wait for it.
        runtime.shutdown_timeout(Duration::ZERO);
        served
    });
    match served {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliaroad-demo: {error}");
            ExitCode::FAILURE
        }
    }
}
