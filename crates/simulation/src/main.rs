//! Runs controller instances in a simulation. The program reads batches of events as JSON lines from standard input and
//! writes the resulting actions to standard output. An input error ends the program; one line on standard error names the
//! error.

mod actions;
mod endpoint_names;
mod error;
mod events;
mod instance;
mod instances;
mod session;

use std::io;
use std::process::ExitCode;

fn main() -> ExitCode {
    match session::run(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("dahliaroad-simulation: {error}");
            ExitCode::FAILURE
        }
    }
}
