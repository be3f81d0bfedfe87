//! The options of the command `process`. An option whose name differs from the field's name is mapped here.

use std::fmt;
use std::ops::RangeInclusive;
use std::path::PathBuf;

use clap::Args;
use thiserror::Error;

/// The allowed numbers of controller processes: a few dozen, because all of them run on this machine.
const PROCESSES: RangeInclusive<u32> = 1..=48;
/// The allowed lengths of the list: a controller reads a list of at most 8 MiB.
const ENDPOINTS: RangeInclusive<usize> = 1..=60_000;
/// The most list entries of all processes together: each entry may cost a process some KB.
const MAX_ENTRIES: usize = 1_200_000;
const PROXIES: RangeInclusive<u32> = 1..=4096;
const REQUESTS: RangeInclusive<f64> = 0.0..=1000.0;
const CHANGES: RangeInclusive<f64> = 0.1..=1000.0;
const SECONDS: RangeInclusive<f64> = 0.5..=60.0;
const RUNS: RangeInclusive<usize> = 1..=20;

/// The parsed options, before they are checked.
#[derive(Args, Clone, Debug)]
pub struct Arguments {
    /// Number of entries of the list; several sizes are measured one after the other
    #[arg(long, value_delimiter = ',', default_value = "100,1000,10000,22500,50000")]
    pub endpoints: Vec<usize>,
    /// Controller processes that run at a time
    #[arg(long, default_value_t = 1)]
    pub processes: u32,
    /// Controllers in the settings, including those that do not run here; by default the number of processes
    #[arg(id = "balancers", long = "balancers", value_name = "BALANCERS")]
    controllers: Option<u32>,
    /// The number of the first process among the controllers of the settings
    #[arg(id = "me", long = "me", value_name = "ME", default_value_t = 0)]
    pub first_number: u32,
    /// Proxies joined to each process
    #[arg(long, default_value_t = 100)]
    pub proxies: u32,
    /// Requests a second of each proxy
    #[arg(long, default_value_t = 5.0)]
    pub requests: f64,
    /// Changes of the list a second, alternately a drain and a restart
    #[arg(long, default_value_t = 10.0)]
    pub changes: f64,
    /// Measured seconds of each phase
    #[arg(long, default_value_t = 5.0)]
    pub seconds: f64,
    /// Seed of the list's entries and of their changes
    #[arg(long, default_value_t = 1)]
    pub seed: u64,
    /// Number of runs of each size
    #[arg(long, default_value_t = 1)]
    pub runs: usize,
    /// At the end of each run, kill all processes and start them again simultaneously
    #[arg(long)]
    pub restart: bool,
    /// Controller program to measure; several programs are measured in turn
    #[arg(id = "program", long = "program", value_name = "PROGRAM")]
    pub programs: Vec<PathBuf>,
    /// File to write all figures to, as JSON
    #[arg(long)]
    pub json: Option<PathBuf>,
}

/// Options that cannot be measured.
#[derive(Debug, Error)]
pub enum InvalidArguments {
    /// A number out of its bounds.
    #[error("--{option} {value}: must be between {least} and {most}")]
    OutOfRange {
        /// The option without its dashes.
        option: &'static str,
        /// The given value.
        value: String,
        /// The smallest allowed value.
        least: String,
        /// The largest allowed value.
        most: String,
    },
    /// A process has a number beyond the last controller of the settings.
    #[error(
        "--me {first}: the last of {processes} processes has a number beyond the last of {controllers} controllers"
    )]
    PastLastController {
        /// The number of the first process.
        first: u32,
        /// The number of processes that run here.
        processes: u32,
        /// The number of controllers in the settings.
        controllers: u32,
    },
    /// No length of the list is given.
    #[error("--endpoints needs at least one size")]
    NoEndpoints,
    /// More list entries than all processes together may hold.
    #[error("{entries} entries in all processes together: at most {most} are allowed")]
    TooManyEntries {
        /// The given number of entries in all processes.
        entries: usize,
        /// The largest allowed number.
        most: usize,
    },
    /// A program that does not exist.
    #[error("--program {}: no such file", path.display())]
    NoSuchProgram {
        /// The given path.
        path: PathBuf,
    },
}

fn check_range<T: PartialOrd + fmt::Display>(
    option: &'static str,
    value: T,
    range: RangeInclusive<T>,
) -> Result<(), InvalidArguments> {
    if range.contains(&value) {
        return Ok(());
    }
    Err(InvalidArguments::OutOfRange {
        option,
        value: value.to_string(),
        least: range.start().to_string(),
        most: range.end().to_string(),
    })
}

impl Arguments {
    /// Returns the number of controllers in the settings.
    pub fn controllers(&self) -> u32 {
        self.controllers.unwrap_or(self.processes)
    }

    /// Checks all options before a process is started.
    pub fn check(&self) -> Result<(), InvalidArguments> {
        check_range("processes", self.processes, PROCESSES)?;
        check_range("balancers", self.controllers(), 1..=u32::MAX)?;
        if u64::from(self.first_number) + u64::from(self.processes) > u64::from(self.controllers()) {
            return Err(InvalidArguments::PastLastController {
                first: self.first_number,
                processes: self.processes,
                controllers: self.controllers(),
            });
        }
        self.check_endpoints()?;
        check_range("proxies", self.proxies, PROXIES)?;
        check_range("requests", self.requests, REQUESTS)?;
        check_range("changes", self.changes, CHANGES)?;
        check_range("seconds", self.seconds, SECONDS)?;
        check_range("runs", self.runs, RUNS)?;
        match self.programs.iter().find(|program| !program.is_file()) {
            Some(missing) => Err(InvalidArguments::NoSuchProgram { path: missing.clone() }),
            None => Ok(()),
        }
    }

    fn check_endpoints(&self) -> Result<(), InvalidArguments> {
        if self.endpoints.is_empty() {
            return Err(InvalidArguments::NoEndpoints);
        }
        for endpoints in &self.endpoints {
            check_range("endpoints", *endpoints, ENDPOINTS)?;
            let entries = endpoints * self.processes as usize;
            if entries > MAX_ENTRIES {
                return Err(InvalidArguments::TooManyEntries { entries, most: MAX_ENTRIES });
            }
        }
        Ok(())
    }
}
