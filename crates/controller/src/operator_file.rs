//! Reads the operator's file from disk, and formats its faults.

use std::fmt;
use std::io;
use std::path::{Path, PathBuf};

use dahliaroad_config::{Fault, OperatorConfig};

/// Why the operator's file cannot be used. `Display` writes one line; [`OperatorFileError::lines`] returns a line for each
/// fault.
#[derive(Debug, thiserror::Error)]
pub enum OperatorFileError {
    /// The file could not be read.
    Unreadable { path: PathBuf, reason: io::Error },
    /// The file has faults. The list is complete.
    Invalid { path: PathBuf, faults: Vec<Fault> },
}

impl OperatorFileError {
    /// Returns a line for each fault. Each line begins with the path of the file.
    pub fn lines(&self) -> Vec<String> {
        match self {
            OperatorFileError::Unreadable { path, reason } => vec![format!("{}: {reason}", path.display())],
            OperatorFileError::Invalid { path, faults } => {
                faults.iter().map(|fault| format!("{}: {fault}", path.display())).collect()
            }
        }
    }
}

impl fmt::Display for OperatorFileError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.lines().join("; "))
    }
}

/// Reads and checks the operator's file. Returns the defaults if `path` is `None`.
pub fn read(path: Option<&Path>) -> Result<OperatorConfig, OperatorFileError> {
    let Some(path) = path else { return Ok(OperatorConfig::default()) };
    let unreadable = |reason| OperatorFileError::Unreadable { path: path.to_owned(), reason };
    let text = std::fs::read_to_string(path).map_err(unreadable)?;
    let invalid = |faults| OperatorFileError::Invalid { path: path.to_owned(), faults };
    dahliaroad_config::parse(&text).map_err(invalid)
}
