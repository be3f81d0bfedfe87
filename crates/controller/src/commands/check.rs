//! `dahliaroad check`: prints every fault of the platform's or the operator's file.

use std::path::Path;
use std::process::ExitCode;

use dahliaroad_config::ZoneFileConfig;

use super::{REJECTED_EXIT_CODE, print_error, print_line};
use crate::operator_file;
use crate::startup::StartupConfiguration;

/// Prints a line for each fault of a file, or one line if the file has no fault.
pub fn check(path: &Path) -> ExitCode {
    let faults = find_faults(path);
    faults.iter().for_each(print_error);
    if faults.is_empty() {
        // A failed print is ignored, because the exit code reports the result too.
        let _ = print_line(format_args!("{}: no fault found", path.display()));
        return ExitCode::SUCCESS;
    }
    ExitCode::from(REJECTED_EXIT_CODE)
}

/// Returns a line for each fault of the file and of the zone files that it names.
fn find_faults(path: &Path) -> Vec<String> {
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(error) => return vec![format!("{}: {error}", path.display())],
    };
    // The platform's file is JSON, the operator's XML.
    if text.trim_start().starts_with('{') {
        return match StartupConfiguration::parse(text.as_bytes()) {
            Ok(_) => Vec::new(),
            Err(error) => vec![format!("{}: {error}", path.display())],
        };
    }
    match operator_file::read(Some(path)) {
        Ok(config) => config.zone_files.iter().flat_map(zone_file_faults).collect(),
        Err(error) => error.lines(),
    }
}

/// Returns the faults of a zone file that the operator's file names. A controller would not learn of the endpoints in a zone
/// file that cannot be read.
fn zone_file_faults(zone: &ZoneFileConfig) -> Vec<String> {
    match dahliaroad_dns::load_zone(&zone.apex, Path::new(&zone.path)) {
        Ok(_) => Vec::new(),
        Err(faults) => faults.iter().map(|fault| fault.to_string()).collect(),
    }
}
