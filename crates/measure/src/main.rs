//! Measurements, kept out of the tests: each is one command, and prints its size beside its figures.

mod allocator;
mod machine;
mod module;
mod process;
mod processor;
mod registry;
mod sizes;

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use tokio::task::LocalSet;

use crate::sizes::SenselessSize;

#[global_allocator]
static ALLOCATOR: allocator::CountingAllocator = allocator::CountingAllocator;

/// How the command ends when it was asked for something senseless.
const SENSELESS: u8 = 2;

#[derive(Parser)]
#[command(
    about = "Measures the pilot against stand-ins on loopback, and its decision module alone; build in release form"
)]
struct Words {
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// From a change in the registry to the order at the relay, and back to the truth after a break
    Registry(registry::Words),
    /// Processor time and memory of the decision module alone, by one size at a time
    Module(module::Words),
}

fn main() -> ExitCode {
    let words = match Words::try_parse() {
        Ok(words) => words,
        Err(error) if error.use_stderr() => return refuse(error),
        Err(help) => help.exit(),
    };
    let measured = match words.what {
        What::Registry(words) => measure_registry(words),
        What::Module(words) => module::measure(&words),
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliaroad-measure: {error}");
            if error.is::<SenselessSize>() { ExitCode::from(SENSELESS) } else { ExitCode::FAILURE }
        }
    }
}

/// Words that cannot be read are told of in one line, as senseless sizes are.
fn refuse(error: clap::Error) -> ExitCode {
    let text = error.to_string();
    let line = text.lines().next().unwrap_or_default();
    eprintln!("dahliaroad-measure: {}", line.trim_start_matches("error: "));
    ExitCode::from(SENSELESS)
}

fn measure_registry(words: registry::Words) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let measured = LocalSet::new().block_on(&runtime, registry::measure(words));
    runtime.shutdown_timeout(Duration::ZERO);
    measured
}
