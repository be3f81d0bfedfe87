//! The program as a controller: reads its files, starts its tasks, and runs them until it is told to end.

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

/// Why the program ended though nobody asked for it.
#[derive(Debug, thiserror::Error)]
enum ServeError {
    /// The system gave no thread, socket or signal handler.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The listening address could not be bound.
    #[error("{address}: {reason}")]
    Listen { address: SocketAddr, reason: io::Error },
    /// A source of the operator's file cannot be followed.
    #[error(transparent)]
    Source(#[from] SourceError),
    /// A task panicked.
    #[error("{task}: {reason}")]
    TaskPanicked { task: String, reason: JoinError },
    /// No task ever ends by itself.
    #[error("a task ended: {task}")]
    TaskEnded { task: String },
}

/// Serves until the program is told to end.
pub fn run(arguments: &Arguments) -> ExitCode {
    let _flushed_at_the_end = logging::open();
    match run_on_one_thread(read_files_and_serve(arguments)) {
        Ok(exit) => exit,
        Err(error) => {
            logging::write_line(format_args!("dahliaroad: {error}"));
            ExitCode::FAILURE
        }
    }
}

async fn read_files_and_serve(arguments: &Arguments) -> Result<ExitCode, ServeError> {
    // Before any file is read, so that a signal that comes meanwhile is kept.
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
    let discovery_source =
        follows_discovery.then(|| membership.add_source(SourceSettings::direct("discovery")));
    let Sources { followers, members } = Sources::add(operator_config, &mut membership)?;
    let listener = tokio::select! {
        biased;
        () = signals.shutdown() => return Ok(()),
        listener = listen(configuration.listen, configuration.random) => listener?,
    };
    // Programs that start a controller read its address from the last word of this line.
    tracing::info!("{} listens on {}", configuration.name, listener.local_addr()?);
    let reloader = Reloader::new(&configuration, arguments, members);
    let parts =
        ControllerParts { configuration, reloader, membership, discovery_source, followers, listener };
    Controller::start(parts).await.run(signals).await
}
