//! The commands beside serving: a file checked, two zone files compared, the fleet shown.

mod check;
mod compare_zones;
mod show_fleet;

use std::fmt::Display;
use std::io::{self, Write};

pub use check::check;
pub use compare_zones::compare_zones;
pub use show_fleet::show_fleet;

/// The exit code where what was asked for is wrong or rejected. A failure on the way is the usual 1.
const REJECTED_EXIT_CODE: u8 = 2;

/// Prints a line. An error where it cannot be written, as its reader has gone: `println!` would panic.
fn print_line(line: impl Display) -> io::Result<()> {
    writeln!(io::stdout(), "{line}")
}

/// Prints a line to standard error; it is lost where that has no reader.
fn print_error(line: impl Display) {
    let _ = writeln!(io::stderr(), "{line}");
}
