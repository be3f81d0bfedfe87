//! The `serve` command: reads the configuration files, starts the controller's tasks, and runs them until shutdown.

mod controller;
mod listen;
mod tasks;

use std::io;
use std::net::SocketAddr;
use std::process::ExitCode;

use dahliaroad_config::OperatorConfig;
use dahliaroad_membership::{Membership, SourceSettings};
use tokio::task::JoinError;

use crate::arguments::Arguments;
use crate::counters;
use crate::executor::run_on_one_thread;
use crate::logging::{self, LogFormat};
use crate::operator_file;
use crate::reload::Reloader;
use crate::signals::Signals;
use crate::sources::{self, SourceError, Sources};
use crate::startup::StartupConfiguration;
use controller::{Controller, ControllerParts};
use listen::listen;

/// Why the controller ended without a shutdown signal.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    /// The system could not provide a thread, socket or signal handler.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The listen address could not be bound.
    #[error("{address}: {reason}")]
    Listen { address: SocketAddr, reason: io::Error },
    /// A source that the operator's file names cannot be followed.
    #[error(transparent)]
    Source(#[from] SourceError),
    /// A task panicked.
    #[error("{task}: {reason}")]
    TaskPanicked { task: String, reason: JoinError },
    /// A task ended, although tasks run until the controller shuts down.
    #[error("task ended unexpectedly: {task}")]
    TaskEnded { task: String },
}

/// Runs a controller until it receives a shutdown signal. Returns a failure code, and logs the reason, if it cannot start or
/// a task ends.
pub fn run(arguments: &Arguments) -> ExitCode {
    let _flush_guard = logging::open();
    match run_on_one_thread(read_files_and_serve(arguments)) {
        Ok(exit) => exit,
        Err(error) => {
            logging::write_line(format_args!("dahliaroad: {error}"));
            ExitCode::FAILURE
        }
    }
}

async fn read_files_and_serve(arguments: &Arguments) -> Result<ExitCode, ServeError> {
    // The handlers are installed before any file is read, so that a signal received during the read is kept.
    let mut signals = Signals::install()?;
    let operator_config = match operator_file::read(arguments.options.as_deref()) {
        Ok(operator_config) => operator_config,
        Err(error) => {
            for line in error.lines() {
                logging::write_line(format_args!("dahliaroad: options: {line}"));
            }
            return Ok(ExitCode::FAILURE);
        }
    };
    let default_format = if operator_config.log_json { LogFormat::Json } else { LogFormat::Text };
    logging::start(arguments.log.unwrap_or(default_format));
    let configuration = match StartupConfiguration::read(arguments.config.as_deref()) {
        Ok(configuration) => configuration,
        Err(error) => {
            logging::write_line(format_args!("dahliaroad: configuration: {error}"));
            return Ok(ExitCode::FAILURE);
        }
    };
    let result = serve(configuration, &operator_config, arguments, &mut signals).await;
    counters::LOG_LINES_DROPPED.set(logging::dropped_lines());
    tracing::info!("{}", counters::line());
    result.map(|()| ExitCode::SUCCESS)
}

async fn serve(
    configuration: StartupConfiguration,
    operator_config: &OperatorConfig,
    arguments: &Arguments,
    signals: &mut Signals,
) -> Result<(), ServeError> {
    let mut membership = Membership::new(sources::tombstone_limits(&operator_config.membership));
    let follows_discovery = !operator_config.without_discovery;
    let discovery_settings = SourceSettings {
        // Discovery omits a start that is long ago: while a process is cold, its start is not.
        start_omitted_after: configuration.settings.deployment.warm_up,
        ..SourceSettings::direct("discovery")
    };
    let discovery_source = follows_discovery.then(|| membership.add_source(discovery_settings));
    let Sources { followers, members } = Sources::add(operator_config, &mut membership)?;
    let listener = tokio::select! {
        biased;
        () = signals.shutdown() => return Ok(()),
        listener = listen(configuration.listen, configuration.random) => listener?,
    };
    // Programs that start a controller parse its address from the last word of this line.
    tracing::info!("{} listens on {}", configuration.name, listener.local_addr()?);
    let reloader = Reloader::new(&configuration, arguments, members);
    let parts =
        ControllerParts { configuration, reloader, membership, discovery_source, followers, listener };
    Controller::start(parts).await.run(signals).await
}
