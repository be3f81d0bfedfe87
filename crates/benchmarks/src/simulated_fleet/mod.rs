//! Many controllers without sockets in one process, with a model of discovery, collectors and the relay.
//!
//! Each controller has the program's membership, table of ids and decision module. The bytes of each message on the
//! wire are counted, but no message is written, read or parsed. Services are independent of each other: a few of them
//! run at a time, one after the other, and only running services use memory.

mod arguments;
mod capacity;
mod collectors;
mod controller;
mod deployment;
mod endpoint_list;
mod events;
mod fleet;
mod fleet_event;
mod message_sizes;
mod reactions;
mod relay;
mod report;
mod scenario;
mod schedule;
mod service;
mod settings;
mod sizes;

use std::error::Error;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Mutex, PoisonError, RwLock};
use std::time::Instant;

use crate::allocator::{peak_bytes, reset_peak};
use crate::machine::Machine;
use crate::output::write_file;

pub use arguments::Arguments;
pub use settings::InvalidSetting;

use report::Report;
use service::ServiceFigures;
use settings::Settings;
use sizes::Service;

/// Returns the bytes of memory that a run may use: half of the machine's memory.
fn budget_bytes(machine: &Machine) -> u64 {
    (machine.memory_mb << 20) / 2
}

/// Checks the options, runs all services and prints the figures.
///
/// # Errors
///
/// Fails with [`InvalidSetting`] for options that cannot be simulated, before any service runs, or if the file of
/// figures cannot be written.
pub fn measure(arguments: Arguments) -> Result<(), Box<dyn Error>> {
    let machine = Machine::read();
    let settings = arguments.check()?;
    let mut services = sizes::services(&settings);
    capacity::limit_controllers(&settings, &mut services, budget_bytes(&machine))?;
    reset_peak();
    let begun = Instant::now();
    let figures = run_all(&settings, &services);
    let report = Report {
        settings: &settings,
        machine: &machine,
        services: &figures,
        elapsed: begun.elapsed(),
        peak_bytes: peak_bytes(),
    };
    print!("{report}");
    if let Some(path) = &settings.json {
        write_file(path, &format!("{:#}\n", report.json()))?;
    }
    Ok(())
}

/// The figures of a service, and its index in the order of services.
struct FinishedService {
    index: usize,
    figures: ServiceFigures,
}

/// Runs the services on several threads, the largest first. Returns their figures in the order of `services`.
fn run_all(settings: &Settings, services: &[Service]) -> Vec<ServiceFigures> {
    let next = AtomicUsize::new(0);
    let memory_lock = RwLock::new(());
    let finished: Mutex<Vec<FinishedService>> = Mutex::new(Vec::new());
    let run_services = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(service) = services.get(index) else { return };
            let figures = service::run(settings, service, &memory_lock);
            finished.lock().unwrap_or_else(PoisonError::into_inner).push(FinishedService { index, figures });
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..settings.threads.min(services.len()) {
            scope.spawn(run_services);
        }
    });
    let mut finished = finished.into_inner().unwrap_or_else(PoisonError::into_inner);
    finished.sort_by_key(|finished| finished.index);
    finished.into_iter().map(|finished| finished.figures).collect()
}
