//! The fields of an endpoint that the entries of both protocols share, their bounds, and the errors of decoding them.

use std::time::Duration;

use dahliaroad::ZoneId;
use dahliaroad_membership::{Entry, EntryState, EntryUpdate, Revision, Topology, UnknownServingState};
use thiserror::Error;

/// Upper bound of the numbers in a valid entry. It keeps sums of them finite.
const NUMBER_LIMIT: f64 = 1e12;
/// Maximum length of an endpoint's name, in bytes.
const MAX_NAME_LENGTH: usize = 256;

/// Why an entry cannot be decoded.
#[derive(Debug, Error)]
pub(crate) enum EntryError {
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("name is empty or too long")]
    Name,
    #[error("unknown zone: {0:?}")]
    Zone(String),
    #[error("not an IP address: {0:?}")]
    Address(String),
    #[error(transparent)]
    ServingState(#[from] UnknownServingState),
    #[error("{field} is not a number: {text:?}")]
    NotANumber { field: &'static str, text: String },
    #[error("{field} is out of range: {number}")]
    OutOfRange { field: &'static str, number: f64 },
}

/// A decoded entry. An entry that cannot be decoded affects no other entry, and its last known state is kept.
pub(crate) struct DecodedEntry {
    /// The update to report; `None` if not even the name could be decoded.
    pub update: Option<EntryUpdate>,
    /// Why the entry, or part of it, could not be decoded.
    pub error: Option<EntryError>,
}

impl DecodedEntry {
    /// Creates the update of a named entry. The update's state is unreadable if `entry` is an error.
    pub fn new(name: &str, revision: Revision, entry: Result<Entry, EntryError>) -> DecodedEntry {
        let (state, error) = match entry {
            Ok(entry) => (EntryState::Listed(entry), None),
            Err(error) => (EntryState::Unreadable, Some(error)),
        };
        DecodedEntry { update: Some(EntryUpdate { name: name.into(), revision, state }), error }
    }
}

/// Whether `name` is valid as the name of an endpoint.
pub(crate) fn is_valid_name(name: &str) -> bool {
    !name.is_empty() && name.len() <= MAX_NAME_LENGTH
}

/// Returns the id of the zone with this name.
pub(crate) fn zone(name: &str, topology: &Topology) -> Result<ZoneId, EntryError> {
    topology.zone(name).ok_or_else(|| EntryError::Zone(name.to_owned()))
}

/// Returns `number` if it is at least 0 and below the upper bound.
pub(crate) fn number_in_range(field: &'static str, number: f64) -> Result<f64, EntryError> {
    let in_range = (0.0..NUMBER_LIMIT).contains(&number);
    in_range.then_some(number).ok_or(EntryError::OutOfRange { field, number })
}

/// Converts an endpoint's start from milliseconds to Unix time. Returns `None` if the start is missing or 0.
pub(crate) fn start_time(milliseconds: Option<f64>) -> Result<Option<Duration>, EntryError> {
    let milliseconds = milliseconds.unwrap_or(0.0);
    number_in_range("started_ms", milliseconds / 1000.0)?;
    let microseconds = (milliseconds * 1000.0).round() as u64;
    Ok((milliseconds > 0.0).then(|| Duration::from_micros(microseconds)))
}
