//! Follows the file of one zone. This state machine decides when the file is read, and whether its zone replaces the
//! known zone. Its inputs are file stamps and zones; its outputs are messages for the membership and errors.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use dahliaroad_membership::{Entry, EntryState, EntryUpdate, Epoch, Incarnation, Revision, SourceMessage};

use crate::record_problem::RecordProblem;
use crate::schema::{MappedZone, Schema, ZoneEndpoint};
use crate::serial::serial_distance;
use crate::zone::Zone;
use crate::zone_error::{ZoneFault, ZoneFileError};

/// The only epoch. The serials of accepted zones only increase, so no further epoch is needed.
const EPOCH: Epoch = Epoch(1);

/// Identifies a file's content by its metadata. A different file or a different content has a different stamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FileStamp {
    /// Number of the device.
    pub device: u64,
    /// Inode number of the file.
    pub inode: u64,
    /// Length in bytes.
    pub length: u64,
    /// Time of the last modification, since the start of 1970.
    pub changed: Duration,
}

/// What to do after a check of the file.
#[derive(Clone, Debug, PartialEq)]
pub enum FileAction {
    /// The file has changed: read it, and take its stamp again afterwards.
    Read,
    /// The zone is still current: report this message.
    Report(SourceMessage),
    /// Do nothing until the next check.
    Wait,
}

/// Counters of a zone follower.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ZoneStatistics {
    /// Zones that were accepted as newer than the known zone, the first one included.
    pub loaded: usize,
    /// Files that were rejected because of errors or their serial.
    pub rejected: usize,
    /// Reads that were discarded because the file changed while it was read.
    pub discarded_reads: usize,
    /// Checks that found no file.
    pub missing: usize,
}

/// Follows the file of one zone.
pub struct ZoneFollower {
    schema: Schema,
    /// Name of the source in the operator's file, for log lines.
    source: String,
    file: String,
    /// Stamp of the file content that was last accepted or rejected.
    stamp: Option<FileStamp>,
    /// The last accepted zone.
    zone: Option<Zone>,
    revision: Revision,
    /// For each listed name, the revision since which it has been listed without interruption.
    created: BTreeMap<String, Revision>,
    /// Whether the newest file content was rejected. While it is, no progress is reported and the known zone becomes
    /// stale.
    is_rejected: bool,
    /// Counters.
    pub statistics: ZoneStatistics,
}

impl ZoneFollower {
    /// Creates a follower of `file`, a name used only in errors and log lines. `source` is the configured name of the
    /// source, for log lines.
    pub fn new(schema: Schema, source: &str, file: &str) -> ZoneFollower {
        ZoneFollower {
            schema,
            source: source.to_owned(),
            file: file.to_owned(),
            stamp: None,
            zone: None,
            revision: Revision(0),
            created: BTreeMap::new(),
            is_rejected: false,
            statistics: ZoneStatistics::default(),
        }
    }

    /// Returns the name of the source, for log lines.
    pub(crate) fn source(&self) -> &str {
        &self.source
    }

    /// Returns the serial of the known zone.
    pub fn serial(&self) -> Option<u32> {
        self.zone.as_ref().map(|zone| zone.serial)
    }

    /// Handles a check of the file. A `stamp` of `None` means that the file does not exist, which changes nothing
    /// about the zone. Each check that finds an accepted file unchanged confirms that its zone is current.
    pub fn on_stamp(&mut self, stamp: Option<FileStamp>) -> FileAction {
        match stamp {
            None => {
                self.statistics.missing += 1;
                FileAction::Wait
            }
            Some(_) if self.stamp != stamp => FileAction::Read,
            Some(_) if self.is_rejected || self.zone.is_none() => FileAction::Wait,
            Some(_) => FileAction::Report(self.progress()),
        }
    }

    /// Handles a zone that was read, with the stamps of the file before and after reading. If they differ, the text may
    /// match neither version of the file, and the zone is not used.
    pub fn on_zone(
        &mut self,
        before: Option<FileStamp>,
        zone: Result<Zone, Vec<ZoneFileError>>,
        after: Option<FileStamp>,
    ) -> Result<Option<SourceMessage>, Vec<ZoneFileError>> {
        if before != after || before.is_none() {
            self.statistics.discarded_reads += 1;
            return Ok(None);
        }
        self.stamp = before;
        let message = zone.and_then(|zone| self.accept(zone));
        self.is_rejected = message.is_err();
        self.statistics.rejected += usize::from(self.is_rejected);
        message.map(Some)
    }

    /// Replaces the known zone if the serials allow it. Returns the message to report.
    fn accept(&mut self, zone: Zone) -> Result<SourceMessage, Vec<ZoneFileError>> {
        match &self.zone {
            Some(known) => {
                let is_newer = zone.follows(known).map_err(|error| self.rejection(error.into()))?;
                if !is_newer {
                    return Ok(self.progress());
                }
                // The revision keeps increasing when the serial wraps around.
                self.revision.0 += serial_distance(known.serial, zone.serial);
            }
            None => self.revision = Revision(u64::from(zone.serial) + 1),
        }
        self.statistics.loaded += 1;
        let message = self.snapshot(&zone);
        self.zone = Some(zone);
        Ok(message)
    }

    /// Returns the errors of a file that is rejected as a whole for `reason`.
    fn rejection(&self, reason: ZoneFault) -> Vec<ZoneFileError> {
        vec![ZoneFileError { file: self.file.clone(), line: 0, reason }]
    }

    fn progress(&self) -> SourceMessage {
        SourceMessage::Progress { epoch: EPOCH, revision: self.revision }
    }

    fn snapshot(&mut self, zone: &Zone) -> SourceMessage {
        let MappedZone { endpoints, problems } = self.schema.map(zone);
        self.log_problems(&problems);
        let unreadable: Vec<&str> = problems
            .iter()
            .filter(|problem| problem.reason.is_unreadable())
            .map(|problem| &*problem.owner)
            .collect();
        let names: BTreeSet<&str> = unreadable.iter().copied().collect();
        self.created.retain(|name, _| endpoints.contains_key(name) || names.contains(&**name));
        let revision = self.revision;
        let mut entries: Vec<EntryUpdate> = Vec::with_capacity(endpoints.len());
        for (name, endpoint) in endpoints {
            let created = *self.created.entry(name.clone()).or_insert(revision);
            let state = EntryState::Listed(entry(endpoint, created));
            entries.push(EntryUpdate { name: name.into(), revision, state });
        }
        entries.extend(unreadable.into_iter().map(|name| EntryUpdate {
            name: name.into(),
            revision,
            state: EntryState::Unreadable,
        }));
        SourceMessage::Snapshot { epoch: EPOCH, revision, entries }
    }

    fn log_problems(&self, problems: &[RecordProblem]) {
        for RecordProblem { owner, reason } in problems {
            tracing::warn!(
            source = self.source,
            file = self.file,
            owner,
            %reason,
            "zone: record not used as written"
            );
        }
    }
}

fn entry(endpoint: ZoneEndpoint, created: Revision) -> Entry {
    let ZoneEndpoint { address, zone, kind, weight, serving_state, started } = endpoint;
    Entry {
        incarnation: Incarnation { started, created },
        cold_since: None,
        address: Some(address),
        zone,
        kind,
        weight,
        serving_state,
    }
}
