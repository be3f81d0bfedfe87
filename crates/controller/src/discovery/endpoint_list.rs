//! Codec of discovery's endpoint list: its JSON, decoded into messages of a membership source.
//!
//! The wire's field names are mapped to the code's terms here and nowhere else.

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
use crate::logging::shown;

/// Weights and start times of a valid list are below this, so that sums of them stay finite.
const MAX_NUMBER: f64 = 1e12;

/// One answer of discovery: the complete endpoint list, or the changes since an earlier revision.
#[derive(Deserialize)]
pub struct EndpointList {
    #[serde(rename = "seq")]
    revision: u64,
    #[serde(rename = "whole")]
    complete: bool,
    #[serde(rename = "hosts")]
    entries: RawArray,
}

/// A JSON array as written. Each element is decoded on its own, later, so that one bad element costs itself alone.
#[derive(Deserialize)]
#[serde(try_from = "Box<RawValue>")]
struct RawArray {
    text: Box<RawValue>,
    length: usize,
}

impl TryFrom<Box<RawValue>> for RawArray {
    type Error = serde_json::Error;

    fn try_from(text: Box<RawValue>) -> Result<RawArray, serde_json::Error> {
        // `IgnoredAny` has no size: counting the elements allocates nothing.
        let length = serde_json::from_str::<Vec<IgnoredAny>>(text.get())?.len();
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
    /// Milliseconds since 1970; absent or 0 where the start is not known.
    #[serde(rename = "born_ms")]
    started_ms: Option<f64>,
}

/// What is read of an entry that cannot be decoded otherwise.
#[derive(Deserialize)]
struct EntryName<'a> {
    #[serde(rename = "host", borrow)]
    name: Cow<'a, str>,
}

/// A list as a message for membership.
pub struct DecodedList {
    /// What the list says.
    pub message: SourceMessage,
    /// How many entries could not be decoded.
    pub unreadable_entries: usize,
}

impl EndpointList {
    /// The revision that a watch may continue from; `None` for changes alone, which are no base for one.
    pub fn base_revision(&self) -> Option<u64> {
        self.complete.then_some(self.revision)
    }

    /// Whether it lists every endpoint.
    pub fn is_complete(&self) -> bool {
        self.complete
    }

    /// The revision that it leads to.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Whether it says that nothing has changed.
    pub fn has_no_changes(&self) -> bool {
        !self.complete && self.entries.length == 0
    }

    /// Decodes the entries. Of one that cannot be decoded the endpoint's last known state stands. Where not even a name can be
    /// read, the list becomes one of changes, so that no endpoint that is missing from it counts as gone.
    pub fn decode(&self, topology: &Topology, epoch: Epoch) -> DecodedList {
        let revision = Revision(self.revision);
        let elements = self.entries.elements().unwrap_or_default();
        // The full capacity at once: growth step by step would hold a large list twice at its last step.
        let mut entries = Vec::with_capacity(elements.len());
        entries.extend(elements.iter().filter_map(|element| self.decode_entry(element, topology)));
        let nameless = self.entries.length - entries.len();
        let unreadable = entries.iter().filter(|entry| entry.state == EntryState::Unreadable).count();
        let message = if self.complete && nameless == 0 {
            SourceMessage::Snapshot { epoch, revision, entries }
        } else {
            // The list does not say which revision its changes follow. They count as following themselves: discovery is a
            // direct source, whose changes membership does not search for gaps. The watch orders them itself.
            SourceMessage::Changes { epoch, after: revision, revision, entries }
        };
        DecodedList { message, unreadable_entries: nameless + unreadable }
    }

    fn decode_entry(&self, element: &RawValue, topology: &Topology) -> Option<EntryUpdate> {
        let entry = serde_json::from_str::<ListEntry>(element.get()).ok();
        let update = entry.and_then(|entry| entry.into_update(topology, self.revision));
        update.or_else(|| {
            let input = shown(element.get().as_bytes());
            tracing::warn!(revision = self.revision, %input, "discovery: list entry not admitted");
            let EntryName { name } = serde_json::from_str(element.get()).ok()?;
            Some(EntryUpdate {
                name: Arc::from(&*name),
                revision: Revision(self.revision),
                state: EntryState::Unreadable,
            })
        })
    }
}

impl ListEntry<'_> {
    /// `None` for an unknown zone or state, a number out of range, and a name that is too long.
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
