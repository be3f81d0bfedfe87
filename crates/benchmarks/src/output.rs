//! Output files of figures.

use std::io;
use std::path::{Path, PathBuf};

use thiserror::Error;

/// An error while writing a file.
#[derive(Debug, Error)]
#[error("{}: cannot write the file: {source}", path.display())]
pub struct WriteError {
    path: PathBuf,
    source: io::Error,
}

/// Writes a file, and replaces an existing one.
pub fn write_file(path: &Path, text: &str) -> Result<(), WriteError> {
    std::fs::write(path, text).map_err(|source| WriteError { path: path.to_owned(), source })
}
