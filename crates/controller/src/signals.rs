//! The signals that the program handles from its start on.

use std::io;

use tokio::signal::unix::{Signal, SignalKind, signal};

/// The request that a signal makes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Request {
    /// SIGTERM or SIGINT: end the program.
    Shutdown,
    /// SIGUSR1: log the counters.
    LogCounters,
    /// SIGHUP: reload the configuration files.
    Reload,
}

/// Handlers of all signals. A signal that arrives while none is awaited is kept until the next wait.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
    user1: Signal,
    hangup: Signal,
}

impl Signals {
    /// Installs the handlers. Before this call, the signals' default action applies, which ends the program.
    pub fn install() -> io::Result<Signals> {
        Ok(Signals {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
            user1: signal(SignalKind::user_defined1())?,
            hangup: signal(SignalKind::hangup())?,
        })
    }

    /// Waits for the next request. A shutdown takes precedence over other requests.
    pub async fn next(&mut self) -> Request {
        tokio::select! {
            biased;
            _ = self.terminate.recv() => Request::Shutdown,
            _ = self.interrupt.recv() => Request::Shutdown,
            _ = self.user1.recv() => Request::LogCounters,
            _ = self.hangup.recv() => Request::Reload,
        }
    }

    /// Waits for a shutdown request and leaves other signals pending.
    pub async fn shutdown(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}
