//! Decodes discovery's JSON endpoint list into messages of a membership source.
//!
//! This module is the only place that maps the field names of the wire format to the terms of the code.

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use dahliaroad_membership::{
    Entry, EntryState, EntryUpdate, Epoch, Incarnation, Revision, ServingState, SourceMessage, Topology,
};
use serde::Deserialize;
use serde::de::IgnoredAny;
use serde_json::value::RawValue;

use crate::known_names::MAX_ENDPOINT_NAME_BYTES;
use crate::logging::escape_for_log;

/// The exclusive upper limit of weights and of start times in seconds in a valid list. It keeps their sums finite.
const MAX_NUMBER: f64 = 1e12;

/// The least average length of a list's elements in bytes. An entry with all its fields is longer, and memory is taken for
/// each element as for an entry.
const MIN_MEAN_ELEMENT_BYTES: usize = 32;
/// The number of elements that a list may have whatever their length.
const MAX_SHORT_ELEMENTS: usize = 1024;
/// The number of rejected entries of one list that are logged.
const MAX_LOGGED_ENTRIES: usize = 16;

/// One response of discovery: the complete endpoint list, or the changes since an earlier revision.
#[derive(Deserialize)]
pub struct EndpointList {
    #[serde(rename = "seq")]
    revision: u64,
    #[serde(rename = "whole")]
    complete: bool,
    #[serde(rename = "hosts")]
    entries: RawArray,
}

/// A JSON array whose elements are not decoded yet. Each element is decoded separately, so that an invalid element does not
/// affect the others.
#[derive(Deserialize)]
#[serde(try_from = "Box<RawValue>")]
struct RawArray {
    text: Box<RawValue>,
    length: usize,
}

impl TryFrom<Box<RawValue>> for RawArray {
    type Error = serde_json::Error;

    fn try_from(text: Box<RawValue>) -> Result<RawArray, serde_json::Error> {
        // `IgnoredAny` is zero-sized, so this count of the elements allocates nothing.
        let length = serde_json::from_str::<Vec<IgnoredAny>>(text.get())?.len();
        if length > MAX_SHORT_ELEMENTS.max(text.get().len() / MIN_MEAN_ELEMENT_BYTES) {
            return Err(serde::de::Error::custom(format_args!(
                "{length} elements are too short for entries"
            )));
        }
        Ok(RawArray { text, length })
    }
}

impl RawArray {
    fn elements(&self) -> serde_json::Result<Vec<&RawValue>> {
        serde_json::from_str(self.text.get())
    }
}

/// One entry of the list.
#[derive(Deserialize)]
struct ListEntry<'a> {
    #[serde(rename = "host", borrow)]
    name: Cow<'a, str>,
    #[serde(rename = "dial")]
    address: SocketAddr,
    #[serde(rename = "site", borrow)]
    zone: Cow<'a, str>,
    #[serde(rename = "class", borrow)]
    kind: Cow<'a, str>,
    #[serde(rename = "health", borrow)]
    state: Cow<'a, str>,
    #[serde(rename = "share")]
    weight: f64,
    /// Milliseconds since 1970; absent or 0 if the start time is not known.
    #[serde(rename = "born_ms")]
    started_ms: Option<f64>,
}

/// The name of an entry whose other fields cannot be decoded.
#[derive(Deserialize)]
struct EntryName<'a> {
    #[serde(rename = "host", borrow)]
    name: Cow<'a, str>,
}

/// A list decoded into a message for membership.
pub struct DecodedList {
    /// The snapshot or the changes.
    pub message: SourceMessage,
    /// The number of entries that could not be decoded.
    pub unreadable_entries: usize,
}

impl EndpointList {
    /// The revision from which a watch can continue. `None` for a list of changes, which is not a base for a watch.
    pub fn base_revision(&self) -> Option<u64> {
        self.complete.then_some(self.revision)
    }

    /// Whether the list contains every endpoint.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The revision of the endpoint list once this list has been applied.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether the list has no entry.
    pub fn is_empty(&self) -> bool {
        self.entries.length == 0
    }

    /// Whether the list is an empty list of changes.
    pub fn has_no_changes(&self) -> bool {
        !self.complete && self.is_empty()
    }

    /// Decodes the entries. An endpoint whose entry cannot be decoded keeps its last known state. If an entry's name cannot
    /// be read either, the result is a message of changes instead of a snapshot, so that no endpoint that is missing from
    /// the list counts as removed.
    pub fn decode(&self, topology: &Topology, epoch: Epoch) -> DecodedList {
        let revision = Revision(self.revision);
        let elements = self.entries.elements().unwrap_or_default();
        // The full capacity is allocated up front, because growing step by step would hold a large list twice at the last
        // step.
        let mut entries = Vec::with_capacity(elements.len());
        let mut rejected = 0;
        entries.extend(elements.iter().filter_map(|element| {
            self.decode_entry(element, topology).or_else(|| self.reject_entry(element, &mut rejected))
        }));
        let nameless = self.entries.length - entries.len();
        let unreadable = entries.iter().filter(|entry| entry.state == EntryState::Unreadable).count();
        let message = if self.complete && nameless == 0 {
            SourceMessage::Snapshot { epoch, revision, entries }
        } else {
            // The list does not name the revision that its changes follow, so their own revision stands in for it.
            // Membership does not check the changes of a direct source, like discovery, for gaps. The watch puts them in
            // order itself.
            SourceMessage::Changes { epoch, after: revision, revision, entries }
        };
        DecodedList { message, unreadable_entries: nameless + unreadable }
    }

    fn decode_entry(&self, element: &RawValue, topology: &Topology) -> Option<EntryUpdate> {
        let entry = serde_json::from_str::<ListEntry>(element.get()).ok();
        entry.and_then(|entry| entry.into_update(topology, self.revision))
    }

    /// Logs an entry that cannot be decoded, unless many of the list were logged before. Returns the update of an entry
    /// whose name can be read.
    fn reject_entry(&self, element: &RawValue, rejected: &mut usize) -> Option<EntryUpdate> {
        if *rejected < MAX_LOGGED_ENTRIES {
            let input = escape_for_log(element.get().as_bytes());
            tracing::warn!(
                revision = self.revision,
                %input,
                "discovery: list entry rejected; last known state kept"
            );
        }
        *rejected += 1;
        let EntryName { name } = serde_json::from_str(element.get()).ok()?;
        Some(EntryUpdate {
            name: Arc::from(&*name),
            revision: Revision(self.revision),
            state: EntryState::Unreadable,
        })
    }
}

impl ListEntry<'_> {
    /// Converts the entry to an update. Returns `None` for an unknown zone or state, a number out of range, or a name that
    /// is too long.
    fn into_update(self, topology: &Topology, revision: u64) -> Option<EntryUpdate> {
        let started_seconds = self.started_ms.unwrap_or(0.0) / 1000.0;
        let is_valid = |number: &f64| (0.0..MAX_NUMBER).contains(number);
        let has_valid_numbers = [self.weight, started_seconds].iter().all(is_valid);
        if !has_valid_numbers || self.name.len() > MAX_ENDPOINT_NAME_BYTES {
            return None;
        }
        let started = (started_seconds > 0.0).then(|| Duration::from_secs_f64(started_seconds));
        let zone = topology.zone(&self.zone)?;
        let kind = topology.kind(Some(&self.kind));
        let listed = |serving_state| {
            EntryState::Listed(Entry {
                incarnation: Incarnation { started, created: Revision(0) },
                cold_since: None,
                address: Some(self.address),
                zone,
                kind,
                weight: self.weight,
                serving_state,
            })
        };
        let state = match &*self.state {
            "active" => listed(ServingState::Running),
            "leaving" => listed(ServingState::Draining),
            "left" => EntryState::Removed,
            _ => return None,
        };
        Some(EntryUpdate { name: Arc::from(&*self.name), revision: Revision(revision), state })
    }
}

#[cfg(test)]
mod tests;
