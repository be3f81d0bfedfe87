//! Measurements, kept out of the tests: each is one command, and prints its size beside its figures.

mod allocator;
mod hollow;
mod process;
mod registry;

use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand};
use tokio::task::LocalSet;

#[global_allocator]
static ALLOCATOR: allocator::CountingAllocator = allocator::CountingAllocator;

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
    /// Many pilots without sockets in one process: what each costs, and how soon it follows changes
    Hollow(hollow::Arguments),
}

fn main() -> ExitCode {
    let words = Words::parse();
    if let What::Hollow(arguments) = words.what {
        return hollow::measure(arguments);
    }
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    let measured = runtime.map_err(Into::into).and_then(|runtime| {
        let measured = match words.what {
            What::Registry(words) => LocalSet::new().block_on(&runtime, registry::measure(words)),
            What::Hollow(_) => unreachable!("measured without a runtime"),
        };
        runtime.shutdown_timeout(Duration::ZERO);
        measured
    });
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliaroad-measure: {error}");
            ExitCode::FAILURE
        }
    }
}
