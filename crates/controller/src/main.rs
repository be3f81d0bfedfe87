//! The program `dahliaroad`: connects the decision logic of the package `dahliaroad` to the platform's discovery, relay,
//! collectors and endpoints over the network.

mod arguments;
mod collectors;
mod commands;
mod counters;
mod discovery;
mod executor;
mod health_checks;
mod known_names;
mod logging;
mod operator_file;
mod peer_address;
mod random;
mod relay;
mod reload;
mod serve;
mod signals;
mod sources;
mod startup;

use std::process::ExitCode;

use arguments::{Arguments, Command};

fn main() -> ExitCode {
    let arguments = Arguments::read();
    match &arguments.command {
        None | Some(Command::Serve) => serve::run(&arguments),
        Some(Command::Check { file }) => commands::check(file),
        Some(Command::Zone { old, new, apex, service }) => commands::compare_zones(old, new, apex, service),
        Some(Command::Fleet { follow, json, within }) => {
            commands::show_fleet(&arguments, *follow, *json, *within)
        }
    }
}
