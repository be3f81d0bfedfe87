//! The cost of real controller processes at the size of a large service: time until ready, time to the first table,
//! memory, processor time and bytes, for lists of several lengths. Discovery, relays and collectors are fakes on
//! loopback.

mod arguments;
mod collectors;
mod configuration;
mod controllers;
mod discovery;
mod endpoint_list;
mod entries;
mod relay;
mod report;
mod run;
mod traffic;

use std::error::Error;
use std::path::PathBuf;

use thiserror::Error;

pub use arguments::{Arguments, InvalidArguments};
use report::SizeRuns;

use crate::controller_process::program;
use crate::machine::Machine;

/// The error if some runs gave no figures. The cause of each is printed with the figures of its size.
#[derive(Debug, Error)]
#[error("{count} runs failed; the causes are printed with the figures")]
struct FailedRuns {
    count: usize,
}

/// Measures one length of the list. Each run measures all programs in turn, so that other load on the machine affects
/// all programs equally.
async fn measure_size(arguments: &Arguments, programs: &[PathBuf], endpoints: usize) -> Vec<SizeRuns> {
    let size = |program: &PathBuf| SizeRuns {
        program: program.display().to_string(),
        endpoints,
        runs: Vec::new(),
        failed: Vec::new(),
    };
    let mut sizes: Vec<SizeRuns> = programs.iter().map(size).collect();
    for _ in 0..arguments.runs {
        for (size, program) in sizes.iter_mut().zip(programs) {
            match run::run(arguments, endpoints, program).await {
                Ok(figures) => size.runs.push(figures),
                Err(error) => size.failed.push(error.to_string()),
            }
        }
    }
    sizes
}

/// Measures the requested sizes, and prints the figures.
///
/// # Errors
///
/// Fails with [`InvalidArguments`] before a process is started, if the program is not built, if runs failed, or if
/// the file of figures cannot be written.
pub async fn measure(arguments: Arguments) -> Result<(), Box<dyn Error>> {
    arguments.check()?;
    let programs = if arguments.programs.is_empty() { vec![program()?] } else { arguments.programs.clone() };
    let machine = serde_json::to_value(Machine::read())?;
    println!("machine: {machine}");
    println!("plan: {}", report::plan(&arguments));
    let mut sizes = Vec::new();
    for endpoints in &arguments.endpoints {
        for size in measure_size(&arguments, &programs, *endpoints).await {
            size.print();
            sizes.push(size);
        }
    }
    if let Some(path) = &arguments.json {
        report::write(path, &machine, &arguments, &sizes)?;
    }
    let count = sizes.iter().map(|size| size.failed.len()).sum::<usize>();
    if count > 0 {
        return Err(FailedRuns { count }.into());
    }
    Ok(())
}
