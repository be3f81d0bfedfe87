//! Measurements, kept out of the tests: each is one command, and prints its size beside its figures.

mod allocator;
mod machine;
mod module;
mod process;
mod process_scale;
mod processor;
mod registry;
mod sizes;

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use clap::error::ErrorKind;
use clap::{Parser, Subcommand};
use tokio::task::LocalSet;

#[global_allocator]
static ALLOCATOR: allocator::CountingAllocator = allocator::CountingAllocator;

/// Of what makes no sense to measure, and of a command line that cannot be read.
const REFUSED: u8 = 2;

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
    /// What real pilot processes need in time, memory, processor time and bytes, by the length of the list
    Process(process_scale::Words),
    /// Processor time and memory of the decision module alone, by one size at a time
    Module(module::Words),
}

fn main() -> ExitCode {
    let words = match Words::try_parse() {
        Ok(words) => words,
        Err(error) if is_help(error.kind()) => error.exit(),
        Err(error) => return refuse(&error),
    };
    let measured = match words.what {
        What::Registry(words) => on_runtime(registry::measure(words)),
        What::Process(words) => on_runtime(process_scale::measure(words)),
        What::Module(words) => module::measure(&words),
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliaroad-measure: {error}");
            let refused = error.is::<sizes::SenselessSize>() || error.is::<process_scale::Refused>();
            if refused { ExitCode::from(REFUSED) } else { ExitCode::FAILURE }
        }
    }
}

/// What was asked for, or is missing so far that help says most, is told of in full.
fn is_help(kind: ErrorKind) -> bool {
    use ErrorKind::{DisplayHelp, DisplayHelpOnMissingArgumentOrSubcommand, DisplayVersion};
    matches!(kind, DisplayHelp | DisplayVersion | DisplayHelpOnMissingArgumentOrSubcommand)
}

/// A command line that cannot be read is told of in one line, as senseless sizes are.
fn refuse(error: &clap::Error) -> ExitCode {
    let text = error.to_string();
    let line = text.lines().next().unwrap_or_default();
    eprintln!("dahliaroad-measure: {}", line.trim_start_matches("error: "));
    ExitCode::from(REFUSED)
}

/// Runs what is measured on sockets, on this thread.
fn on_runtime(measured: impl Future<Output = Result<(), Box<dyn Error>>>) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let measured = LocalSet::new().block_on(&runtime, measured);
    runtime.shutdown_timeout(Duration::ZERO);
    measured
}
