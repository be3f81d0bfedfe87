//! The commands other than `serve`: `check`, `zone` and `fleet`.

mod check;
mod compare_zones;
mod show_fleet;

use std::fmt::Display;
use std::io::{self, Write};

pub use check::check;
pub use compare_zones::compare_zones;
pub use show_fleet::show_fleet;

/// The exit code if the input of a command is invalid or rejected. Other failures use the exit code 1.
const REJECTED_EXIT_CODE: u8 = 2;

/// Prints a line to standard output. Returns an error if its reader has closed it, where `println!` would panic.
fn print_line(line: impl Display) -> io::Result<()> {
    writeln!(io::stdout(), "{line}")
}

/// Prints a line to standard error. The line is lost if standard error has no reader.
fn print_error(line: impl Display) {
    let _ = writeln!(io::stderr(), "{line}");
}
