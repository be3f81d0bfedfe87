//! Decides whether an entry describes the process that its source already lists under the name, a later process or an
//! earlier one, and what the entry takes over from the known listing.

use std::sync::Arc;
use std::time::Duration;

use crate::listings::Listing;
use crate::serving_state::ServingState;
use crate::start_time::StartOrder;

/// Which process a new listing describes, compared with the known listing of the same source and name.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Succession {
    /// The process that is known.
    Same,
    /// A later process.
    Later,
    /// An earlier process: the new listing comes from an outdated list.
    Earlier,
}

impl Listing {
    /// Returns which process `new` describes. All start times come from the same clock, so a later start belongs to a later
    /// process. A start time that the source omits after it has given one belongs to the same process, as time alone
    /// explains the omission, unless `new` may come from an outdated list and the known process started too recently.
    pub fn succession(&self, now: Duration, new: &Listing) -> Succession {
        let (known, listed) = (self.entry.incarnation, new.entry.incarnation);
        // Revisions of one epoch are ordered, and older ones are ignored before. Those of two epochs cannot be compared.
        let is_newer = self.epoch == new.epoch;
        let is_registered_again = is_newer && known.created != listed.created;
        match new.start_time().compare(self.start_time()) {
            _ if known == listed => Succession::Same,
            _ if self.has_impossible_start(now) => Succession::Later,
            StartOrder::Earlier if listed.started.is_some() || !is_newer => Succession::Earlier,
            _ if is_registered_again => Succession::Later,
            StartOrder::Earlier => Succession::Same,
            // In another history of a registry, an entry at another address may be of an ended process.
            StartOrder::Unknown if known.started.is_some() => {
                let may_have_ended = !is_newer && known.tells_creation();
                let has_moved = new.entry.address != self.entry.address;
                if may_have_ended && has_moved { Succession::Later } else { Succession::Same }
            }
            // The known process may have been listed with its start time before this controller learnt of it.
            StartOrder::Unknown
                if listed.started.is_some()
                    && !is_newer
                    && (self.is_draining() || known.created == listed.created) =>
            {
                Succession::Same
            }
            StartOrder::Unknown | StartOrder::Same | StartOrder::Later => Succession::Later,
        }
    }

    /// Whether the start time is in the future. It cannot be true, so any other one corrects it.
    pub fn has_impossible_start(&self, now: Duration) -> bool {
        self.entry.incarnation.started > Some(now)
    }

    /// Takes over what is known of the same process: its start time, that it drains, and that it has ended.
    pub fn inherit(&mut self, known: &Listing) {
        self.inherit_start(known);
        self.blocked = known.blocked;
        self.started_by = known.started_by;
        if known.is_draining() && !self.is_draining() {
            Arc::make_mut(&mut self.entry).serving_state = ServingState::Draining;
        }
    }

    /// Takes over the known start time if the entry has none.
    pub fn inherit_start(&mut self, known: &Listing) {
        let known_start = known.entry.incarnation.started;
        if self.entry.incarnation.started.is_none() && known_start.is_some() {
            Arc::make_mut(&mut self.entry).incarnation.started = known_start;
        }
    }

    pub fn is_draining(&self) -> bool {
        self.entry.serving_state == ServingState::Draining
    }
}
