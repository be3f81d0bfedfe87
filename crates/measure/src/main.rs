//! Measurements, kept out of the tests: each is one command, and prints its size beside its figures.

mod process;
mod process_scale;
mod registry;

use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use tokio::task::LocalSet;

/// Of what makes no sense to measure, as of a command line that cannot be read.
const REFUSED: u8 = 2;

#[derive(Parser)]
#[command(
    about = "Measures the pilot against stand-ins on loopback; build the program first, in release form"
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
}

fn main() -> ExitCode {
    let words = Words::parse();
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let measured = runtime.map_err(Into::into).and_then(|runtime| {
        let measured = match words.what {
            What::Registry(words) => LocalSet::new().block_on(&runtime, registry::measure(words)),
            What::Process(words) => LocalSet::new().block_on(&runtime, process_scale::measure(words)),
        };
        runtime.shutdown_timeout(Duration::ZERO);
        measured
    });
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliaroad-measure: {error}");
            if error.is::<process_scale::Refused>() { ExitCode::from(REFUSED) } else { ExitCode::FAILURE }
        }
    }
}
