//! Decides whether an entry describes the process that its source already lists under the name, a later process or an
//! earlier one, and what the entry takes over from the known listing.

use std::sync::Arc;

use crate::listings::Listing;
use crate::serving_state::ServingState;

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
    /// Returns which process `new` describes. Only revisions of one epoch show which of two entries is newer; start times do
    /// not, as wall clocks may be stepped.
    pub fn succession(&self, new: &Listing) -> Succession {
        if self.entry.incarnation == new.entry.incarnation {
            Succession::Same
        } else if self.epoch == new.epoch {
            self.succession_in_same_history(new)
        } else {
            self.succession_in_other_history(new)
        }
    }

    /// Revisions of one epoch are ordered, and older ones are ignored before, so `new` is the newer entry. A start time that
    /// the source omits after it has given one belongs to the same process, as time alone explains the omission.
    fn succession_in_same_history(&self, new: &Listing) -> Succession {
        let (known, listed) = (self.entry.incarnation, new.entry.incarnation);
        let omits_start = known.started.is_some() && listed.started.is_none();
        if omits_start && known.created == listed.created { Succession::Same } else { Succession::Later }
    }

    /// The list of another epoch may be outdated, but not by more than `new.started_by` allows for: it may describe an
    /// earlier process only if the known one started after that.
    fn succession_in_other_history(&self, new: &Listing) -> Succession {
        let (known, listed) = (self.entry.incarnation, new.entry.incarnation);
        let is_recent = self.started_after(new.started_by);
        match (known.started, listed.started) {
            (Some(_), Some(start)) if self.succeeds(start) => Succession::Earlier,
            (Some(known_start), Some(start)) if start < known_start && is_recent => Succession::Earlier,
            (Some(_), None) if is_recent => Succession::Earlier,
            // In another history of a registry, an entry at another address may be of an ended process.
            (Some(_), None) if known.tells_creation() && new.entry.address != self.entry.address => {
                Succession::Later
            }
            (Some(_), None) => Succession::Same,
            // The known process may have been listed with its start time before this controller learnt of it.
            (None, Some(start))
                if start <= self.started_by && (self.is_draining() || known.created == listed.created) =>
            {
                Succession::Same
            }
            _ => Succession::Later,
        }
    }

    /// Takes over what is known of the same process: its start time, that it drains, and that it has ended.
    pub fn inherit(&mut self, known: &Listing) {
        if known.entry.incarnation.started.is_some() {
            self.inherit_start(known);
        }
        self.blocked = known.blocked;
        self.started_by = known.started_by;
        if known.is_draining() && !self.is_draining() {
            Arc::make_mut(&mut self.entry).serving_state = ServingState::Draining;
        }
    }

    pub fn is_draining(&self) -> bool {
        self.entry.serving_state == ServingState::Draining
    }
}
