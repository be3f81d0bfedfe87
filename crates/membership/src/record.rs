//! Per-name state of the membership.

use std::sync::Arc;
use std::time::Duration;

use crate::listings::Listings;
use crate::message::Entry;
use crate::pacing::{FlapHistory, Pacing};

/// The state of one name. There is one record per endpoint, so data that few endpoints need is boxed.
#[derive(Default, Debug)]
pub(crate) struct Record {
    pub listings: Listings,
    /// The last published entry; `None` if the name is not published.
    pub published: Option<Arc<Entry>>,
    /// Set only for a name whose endpoint has ended in a paced source.
    pub flap_history: Option<Box<FlapHistory>>,
}

impl Record {
    /// Returns the earliest time at which the name may return.
    pub fn delayed_until(&self) -> Duration {
        self.flap_history.as_ref().map_or(Duration::ZERO, |history| history.delayed_until)
    }

    pub fn is_stable(&self, now: Duration, pacing: &Pacing) -> bool {
        self.flap_history.as_ref().is_none_or(|history| history.is_stable(now, pacing))
    }
}

/// Returns the entry if its endpoint may receive requests.
pub(crate) fn running(entry: &Option<Arc<Entry>>) -> Option<&Arc<Entry>> {
    entry.as_ref().filter(|entry| entry.is_running())
}
