//! The liveness of a watch and its updates of an incomplete revision.

use std::time::Duration;

use dahliaroad_membership::{EntryUpdate, Revision};

use super::limits::FollowerLimits;
use super::messages::RegistryRequest;

/// Whether a watch is known to be alive.
#[derive(Clone, Copy, Default, PartialEq)]
enum Liveness {
    /// The watch has sent a message, or has just been created.
    #[default]
    Alive,
    /// The watch has been silent too long. Its progress is requested next.
    Idle,
    /// The progress has been requested, and no message has arrived since.
    ProgressRequested,
}

/// State of a watch that has been created.
#[derive(Default)]
pub(super) struct WatchState {
    /// Updates of an incomplete revision, and the updates before it in the same batch.
    pending: Vec<EntryUpdate>,
    liveness: Liveness,
}

impl WatchState {
    /// Returns the next request of the watch and its timeout.
    pub fn request(&mut self, limits: &FollowerLimits) -> (RegistryRequest, Duration) {
        match self.liveness {
            Liveness::Alive => (RegistryRequest::ReceiveUpdates, limits.progress_after),
            Liveness::Idle => {
                self.liveness = Liveness::ProgressRequested;
                (RegistryRequest::RequestProgress, limits.request_timeout)
            }
            Liveness::ProgressRequested => (RegistryRequest::ReceiveUpdates, limits.request_timeout),
        }
    }

    /// Handles a timeout. A watch without updates is silent, so its progress is requested before it counts as failed.
    /// Returns whether the timeout is tolerated.
    pub fn tolerate_timeout(&mut self) -> bool {
        let tolerates = self.liveness == Liveness::Alive;
        if tolerates {
            self.liveness = Liveness::Idle;
        }
        tolerates
    }

    /// Records that the watch has sent a message.
    pub fn mark_alive(&mut self) {
        self.liveness = Liveness::Alive;
    }

    /// Whether updates of an incomplete revision are pending.
    pub fn has_pending(&self) -> bool {
        !self.pending.is_empty()
    }

    /// Adds a batch. Once the last revision is complete, returns all pending updates with revisions after `after`;
    /// otherwise returns none.
    pub fn add(&mut self, entries: Vec<EntryUpdate>, partial: bool, after: Revision) -> Vec<EntryUpdate> {
        self.mark_alive();
        self.pending.extend(entries);
        if partial {
            return Vec::new();
        }
        self.pending.drain(..).filter(|update| update.revision > after).collect()
    }
}
