//! Runs the program's asynchronous work on one thread.

use std::io;
use std::time::Duration;

use tokio::task::LocalSet;

/// Runs `work` to completion. Tasks that are still running then are dropped without waiting for them.
pub fn run_on_one_thread<T, E: From<io::Error>>(work: impl Future<Output = Result<T, E>>) -> Result<T, E> {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build()?;
    let result = LocalSet::new().block_on(&runtime, work);
    runtime.shutdown_timeout(Duration::ZERO);
    result
}
