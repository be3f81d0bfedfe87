//! The errors of a measurement of a source.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use thiserror::Error;

use crate::controller_process::ProcessError;

/// The timeout of each wait. It is longer than any awaited condition takes.
pub const WAIT_TIMEOUT: Duration = Duration::from_secs(60);

/// An error of a measurement of a source.
#[derive(Debug, Error)]
pub enum RegistryError {
    /// The controller did not start, or its resource usage cannot be read.
    #[error(transparent)]
    Process(#[from] ProcessError),
    /// A fake cannot listen on its address, or a file cannot be written.
    #[error(transparent)]
    Fake(#[from] io::Error),
    /// The configuration cannot be read.
    #[error("{}: cannot read the configuration: {source}", path.display())]
    Configuration {
        /// The path of the configuration.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The configuration is not JSON.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// A histogram cannot be created with its bounds.
    #[error(transparent)]
    Histogram(#[from] hdrhistogram::CreationError),
    /// A condition did not hold within [`WAIT_TIMEOUT`].
    #[error("timeout after {WAIT_TIMEOUT:?} while waiting until {description}")]
    Timeout {
        /// The awaited condition.
        description: &'static str,
    },
}
