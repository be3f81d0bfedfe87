//! State of one source: its position in its history, and the check whether a message is new.

use std::time::Duration;

use crate::message::{SourceMessage, SourcePosition};
use crate::settings::SourceSettings;

/// Identifies a source by its index in the order in which the sources were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u16);

/// Whether a message was accepted, judged by its position in the source's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// The message was accepted.
    Accepted,
    /// The message was ignored: it is older than the known position, or already known.
    Stale,
    /// The message was ignored: changes between the known position and the message are missing. The source has to send a
    /// snapshot.
    Gap,
}

/// The state of a source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceState {
    /// The name of the source.
    pub name: String,
    /// The source's position in its history; `None` before its first accepted message.
    pub position: Option<SourcePosition>,
    /// When the source last sent a message. A silent source is not treated as an empty list, and its silence ends no
    /// endpoint.
    pub last_message_at: Option<Duration>,
    /// The number of names that the source lists.
    pub listed: usize,
}

#[derive(Debug)]
pub(crate) struct Source {
    pub settings: SourceSettings,
    pub position: Option<SourcePosition>,
    pub last_message_at: Option<Duration>,
    /// The number of names that the source lists.
    pub listed: usize,
}

impl Source {
    pub fn new(settings: SourceSettings) -> Source {
        Source { settings, position: None, last_message_at: None, listed: 0 }
    }

    /// Whether each message of the source is published at once.
    pub fn is_direct(&self) -> bool {
        self.settings.pacing.is_none()
    }

    pub fn state(&self) -> SourceState {
        SourceState {
            name: self.settings.name.clone(),
            position: self.position,
            last_message_at: self.last_message_at,
            listed: self.listed,
        }
    }

    /// Judges a message by its position in the source's history. The changes of a direct source need not be contiguous,
    /// because its revisions have gaps. A direct source may also begin a later epoch with changes: it sends them in place of
    /// a snapshot if it could not read its complete list in full.
    pub fn freshness(&self, message: &SourceMessage) -> Freshness {
        let new = message.position();
        match (message, self.position) {
            (_, Some(known)) if new.epoch < known.epoch => Freshness::Stale,
            (_, Some(known)) if new.epoch == known.epoch && new.revision < known.revision => Freshness::Stale,
            (SourceMessage::Snapshot { .. }, _) => Freshness::Accepted,
            (SourceMessage::Changes { .. }, _) if self.is_direct() => Freshness::Accepted,
            (_, Some(known)) if new.epoch > known.epoch => Freshness::Gap,
            (SourceMessage::Changes { .. }, Some(known)) if new.revision == known.revision => {
                Freshness::Stale
            }
            (SourceMessage::Changes { after, .. }, Some(known)) if *after <= known.revision => {
                Freshness::Accepted
            }
            (SourceMessage::Progress { .. }, Some(_)) => Freshness::Accepted,
            _ => Freshness::Gap,
        }
    }
}
