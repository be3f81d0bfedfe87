//! One source: its position in its history, and whether a message of it is new.

use std::time::Duration;

use crate::message::{SourceMessage, SourcePosition};
use crate::settings::SourceSettings;

/// A source, by its place among those that were added.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SourceId(pub u16);

/// Whether a message was accepted, by its place in the source's history.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Freshness {
    /// It was.
    Accepted,
    /// Left out: it is older than what is known, or known already.
    Stale,
    /// Left out: something between what is known and the message is missing. The source has to send a snapshot.
    Gap,
}

/// The state of a source.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceState {
    /// Its name.
    pub name: String,
    /// Its position in its history; `None` before its first snapshot.
    pub position: Option<SourcePosition>,
    /// When it last sent a message. Silence is neither an empty list nor an endpoint's end.
    pub last_message_at: Option<Duration>,
    /// The number of names that it lists.
    pub listed: usize,
}

#[derive(Debug)]
pub(crate) struct Source {
    pub settings: SourceSettings,
    pub position: Option<SourcePosition>,
    pub last_message_at: Option<Duration>,
    /// The number of names that it lists.
    pub listed: usize,
}

impl Source {
    pub fn new(settings: SourceSettings) -> Source {
        Source { settings, position: None, last_message_at: None, listed: 0 }
    }

    /// Whether its messages are handed on as they come.
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

    /// Judges a message by its place in the source's history. The changes of a direct source need not follow each other: its
    /// versions have gaps. Those of a later epoch are taken in too: they are a complete list that could not be read in full.
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
