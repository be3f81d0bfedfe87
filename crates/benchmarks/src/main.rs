//! Benchmarks, separate from the tests. Each sub-command runs one benchmark, and prints its sizes and the machine
//! together with its figures.

mod allocator;
mod controller_process;
mod decisions;
mod machine;
mod output;
mod processes;
mod processor;
mod registry;
mod simulated_fleet;
mod units;

use std::error::Error;
use std::process::ExitCode;
use std::time::Duration;

use clap::error::ErrorKind;
use clap::{Parser, Subcommand};
use tokio::task::LocalSet;

#[global_allocator]
static ALLOCATOR: allocator::CountingAllocator = allocator::CountingAllocator;

/// The exit code for options that cannot be parsed or measured.
const INVALID_OPTIONS: u8 = 2;

/// The command line.
#[derive(Parser)]
#[command(
    about = "Measures the controller against fakes on loopback, and its decision module alone; build in release mode"
)]
struct CommandLine {
    #[command(subcommand)]
    benchmark: Benchmark,
}

/// The benchmarks. A sub-command whose name differs from the variant's name is mapped here.
#[derive(Subcommand)]
enum Benchmark {
    /// Latency from a change in the registry to the order at the relay, and recovery after a broken connection
    Registry(registry::Arguments),
    /// Processor time and memory of the decision module alone, varying one size at a time
    #[command(name = "module")]
    Decisions(decisions::Arguments),
    /// Many controllers without sockets in one process: the cost of each, and its latency after changes
    #[command(name = "hollow")]
    SimulatedFleet(simulated_fleet::Arguments),
    /// Start-up time, memory, processor time and bytes of real controller processes, by the length of the list
    #[command(name = "process")]
    Processes(processes::Arguments),
}

fn main() -> ExitCode {
    let command_line = match CommandLine::try_parse() {
        Ok(command_line) => command_line,
        Err(error) if is_help(error.kind()) => error.exit(),
        Err(error) => return report_parse_error(&error),
    };
    let measured = match command_line.benchmark {
        Benchmark::Registry(arguments) => run_on_one_thread(registry::measure(arguments)),
        Benchmark::Decisions(arguments) => decisions::measure(&arguments),
        Benchmark::SimulatedFleet(arguments) => simulated_fleet::measure(arguments),
        Benchmark::Processes(arguments) => run_on_one_thread(processes::measure(arguments)),
    };
    match measured {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliaroad-benchmarks: {error}");
            if has_invalid_options(&*error) { ExitCode::from(INVALID_OPTIONS) } else { ExitCode::FAILURE }
        }
    }
}

/// Whether the error means that the benchmark's options cannot be measured.
fn has_invalid_options(error: &(dyn Error + 'static)) -> bool {
    error.is::<decisions::InvalidArguments>()
        || error.is::<processes::InvalidArguments>()
        || error.is::<simulated_fleet::InvalidSetting>()
}

/// Whether clap's error is the help or version text. That text is printed unchanged: the user requested it, or gave
/// no sub-command.
fn is_help(kind: ErrorKind) -> bool {
    use ErrorKind::{DisplayHelp, DisplayHelpOnMissingArgumentOrSubcommand, DisplayVersion};
    matches!(kind, DisplayHelp | DisplayVersion | DisplayHelpOnMissingArgumentOrSubcommand)
}

/// Prints why options cannot be parsed, in one line as for options that cannot be measured.
fn report_parse_error(error: &clap::Error) -> ExitCode {
    let text = error.to_string();
    let line = text.lines().next().unwrap_or_default();
    eprintln!("dahliaroad-benchmarks: {}", line.trim_start_matches("error: "));
    ExitCode::from(INVALID_OPTIONS)
}

/// Runs a benchmark that uses fakes, on one thread. The tasks of the fakes end with the benchmark.
fn run_on_one_thread(
    benchmark: impl Future<Output = Result<(), Box<dyn Error>>>,
) -> Result<(), Box<dyn Error>> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let measured = LocalSet::new().block_on(&runtime, benchmark);
    runtime.shutdown_timeout(Duration::ZERO);
    measured
}
