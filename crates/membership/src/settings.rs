//! Settings of the membership and its sources.

use std::time::Duration;

use dahliaroad::ZoneId;

use crate::pacing::Pacing;

/// The names of zones and machine kinds, indexed by number.
#[derive(Clone, Debug, Default)]
pub struct Topology {
    /// The names of zones, indexed by [`ZoneId`].
    pub zones: Vec<String>,
    /// The names of machine kinds, indexed by number.
    pub kinds: Vec<String>,
}

impl Topology {
    /// Returns the zone with this name; `None` if no zone has it.
    pub fn zone(&self, name: &str) -> Option<ZoneId> {
        self.zones.iter().position(|zone| zone == name).map(|index| ZoneId(index as u32))
    }

    /// Returns the number of the machine kind with this name. A missing or unknown name maps to one additional number after
    /// all known kinds.
    pub fn kind(&self, name: Option<&str>) -> u32 {
        let index = name.and_then(|name| self.kinds.iter().position(|kind| kind == name));
        index.unwrap_or(self.kinds.len()) as u32
    }
}

/// When a name may return after it was drained or removed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReturnPolicy {
    /// Always. For a source that drops and relists processes that keep running; its last message takes precedence.
    Always,
    /// Always, unless the source has listed this incarnation as draining. Such an incarnation receives no requests again,
    /// even if an older list has it as running.
    UnlessDrained,
    /// Only with a new incarnation.
    NewIncarnationOnly,
}

/// The settings of a source.
#[derive(Clone, Debug)]
pub struct SourceSettings {
    /// The name of the source, shown to operators.
    pub name: String,
    /// When names of the source may return.
    pub return_policy: ReturnPolicy,
    /// How fast changes are published. The pacing of the first paced source applies to all paced sources. `None` for a
    /// direct source: each of its messages is published at once, and gaps in its history are not detected.
    pub pacing: Option<Pacing>,
    /// How long after its start a process may be listed without its start time at the earliest; zero if the source may omit
    /// any start time. It decides whether an entry without a start time may describe a process whose start time is known,
    /// where the revisions do not tell which of the two is older.
    pub start_omitted_after: Duration,
}

impl SourceSettings {
    /// Creates the settings of a paced source whose names return only with a new incarnation.
    pub fn new(name: &str) -> SourceSettings {
        SourceSettings {
            name: name.to_owned(),
            return_policy: ReturnPolicy::NewIncarnationOnly,
            pacing: Some(Pacing::default()),
            start_omitted_after: Duration::ZERO,
        }
    }

    /// Creates the settings of a direct source whose names return unless they were drained, and which never omits a start
    /// time that it has given.
    pub fn direct(name: &str) -> SourceSettings {
        SourceSettings {
            name: name.to_owned(),
            return_policy: ReturnPolicy::UnlessDrained,
            pacing: None,
            start_omitted_after: Duration::MAX,
        }
    }
}

/// How many tombstones are kept, and for how long.
#[derive(Clone, Copy, Debug)]
pub struct TombstoneLimits {
    /// The maximum number of tombstones. Beyond it, the oldest are discarded.
    pub max_count: usize,
    /// How long each tombstone is kept: as long as a backup that still lists its name may be restored.
    pub retention: Duration,
}

impl Default for TombstoneLimits {
    fn default() -> TombstoneLimits {
        TombstoneLimits { max_count: 20_000, retention: Duration::from_secs(24 * 3600) }
    }
}
