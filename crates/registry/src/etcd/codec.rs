//! Converts messages of the etcd v3 API to responses and errors of a follower's requests, and encodes key ranges.

use dahliaroad_membership::{EntryState, EntryUpdate, Revision, Topology};
use tonic::{Code, Status};

use super::value;
use crate::entry::is_valid_name;
use crate::follower::{Header, RegistryResponse, RequestError, UpdateBatch};
use crate::proto::event::EventType;
use crate::proto::{Event, KeyValue, ResponseHeader, WatchResponse};

/// Maximum length of a key in a log line, in bytes. Longer keys are cut off.
const MAX_LOGGED_KEY_LENGTH: usize = 100;

/// Returns the end of the range of all keys with a prefix: the first key after them. In the API, `\0` means the end of
/// all keys.
pub(super) fn range_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < 0xff {
            end.push(last + 1);
            return end;
        }
    }
    vec![0]
}

/// Returns the smallest key that is greater than `key`.
pub(super) fn next_key(mut key: Vec<u8>) -> Vec<u8> {
    key.push(0);
    key
}

/// Converts the header of a response. A response without a header is invalid.
pub(super) fn header(header: Option<ResponseHeader>) -> Result<Header, RequestError> {
    let missing = || RequestError::InvalidResponse("response has no header".to_owned());
    let header = header.ok_or_else(missing)?;
    Ok(Header { cluster: header.cluster_id, revision: revision(header.revision) })
}

fn revision(number: i64) -> Revision {
    Revision(number.max(0) as u64)
}

/// Converts a gRPC status to an error. The status message distinguishes the meanings of a code that has several.
pub(super) fn request_error(status: &Status) -> RequestError {
    let mentions = |text: &str| status.message().contains(text);
    match status.code() {
        Code::OutOfRange if mentions("compacted") => RequestError::Compacted,
        Code::OutOfRange | Code::ResourceExhausted
            if mentions("too large") || mentions("larger than max") =>
        {
            RequestError::ResponseTooLarge
        }
        Code::Unauthenticated | Code::PermissionDenied => RequestError::Unauthorised,
        Code::InvalidArgument if mentions("auth") || mentions("user name") => RequestError::Unauthorised,
        Code::Unavailable if mentions("no leader") => RequestError::NoLeader,
        Code::Unavailable | Code::Unknown | Code::Internal | Code::Cancelled => {
            RequestError::Disconnected(status.message().to_owned())
        }
        code => RequestError::Rejected(format!("{code:?}: {}", status.message())),
    }
}

/// Converts the cancellation of a watch to an error.
fn cancel_error(response: WatchResponse) -> RequestError {
    let mentions = |text: &str| response.cancel_reason.contains(text);
    match response.compact_revision {
        1.. => RequestError::Compacted,
        _ if mentions("compacted") => RequestError::Compacted,
        _ if mentions("no leader") => RequestError::NoLeader,
        _ if mentions("permission") || mentions("auth") => RequestError::Unauthorised,
        _ => RequestError::Rejected(response.cancel_reason),
    }
}

/// Whether a message of a watch contains only updates.
pub(super) fn is_batch(response: &WatchResponse) -> bool {
    !response.created && !response.canceled && (!response.events.is_empty() || response.fragment)
}

/// Whether two messages are from the same cluster.
pub(super) fn same_cluster(one: &WatchResponse, other: &WatchResponse) -> bool {
    let cluster = |response: &WatchResponse| response.header.map(|header| header.cluster_id);
    cluster(one) == cluster(other)
}

/// Decodes the entries of keys with a prefix.
pub(super) struct EntryDecoder<'a> {
    /// Name of the source, for log lines.
    pub source: &'a str,
    /// The prefix. The rest of a key is the endpoint's name.
    pub prefix: &'a [u8],
    /// Names of the zones and kinds that entries refer to.
    pub topology: &'a Topology,
}

impl EntryDecoder<'_> {
    /// Decodes a message of a watch.
    pub(super) fn decode_watch_response(
        &self,
        response: WatchResponse,
    ) -> Result<RegistryResponse, RequestError> {
        let header = header(response.header)?;
        if response.canceled {
            return Err(cancel_error(response));
        }
        if response.created {
            return Ok(RegistryResponse::WatchCreated { header });
        }
        if response.events.is_empty() && !response.fragment {
            return Ok(RegistryResponse::Progress { header });
        }
        let entries = response.events.iter().filter_map(|event| self.decode_event(event)).collect();
        Ok(RegistryResponse::Updates(UpdateBatch { header, entries, partial: response.fragment }))
    }

    fn decode_event(&self, event: &Event) -> Option<EntryUpdate> {
        let pair = event.kv.as_ref()?;
        if event.r#type == EventType::Delete as i32 {
            self.decode_delete(pair)
        } else {
            self.decode_put(pair)
        }
    }

    /// Decodes a written key. Returns `None` if the key does not contain a valid endpoint name.
    pub(super) fn decode_put(&self, pair: &KeyValue) -> Option<EntryUpdate> {
        let name = self.endpoint_name(&pair.key)?;
        let created = revision(pair.create_revision);
        let decoded = value::decode(name, created, revision(pair.mod_revision), &pair.value, self.topology);
        if let Some(error) = decoded.error {
            let input = escaped_key(&pair.key);
            tracing::warn!(
                source = self.source,
                reason = %error,
                %input,
                "registry: entry cannot be decoded; listed as unreadable"
            );
        }
        decoded.update
    }

    fn decode_delete(&self, pair: &KeyValue) -> Option<EntryUpdate> {
        let name = self.endpoint_name(&pair.key)?.into();
        Some(EntryUpdate { name, revision: revision(pair.mod_revision), state: EntryState::Removed })
    }

    fn endpoint_name<'a>(&self, key: &'a [u8]) -> Option<&'a str> {
        let name = endpoint_name(self.prefix, key);
        if name.is_none() {
            tracing::warn!(
                source = self.source,
                input = %escaped_key(key),
                "registry: key has no valid endpoint name; key ignored"
            );
        }
        name
    }
}

/// Returns the endpoint's name in a key with the prefix. Returns `None` if the key has no valid name.
pub(super) fn endpoint_name<'a>(prefix: &[u8], key: &'a [u8]) -> Option<&'a str> {
    let name = std::str::from_utf8(key.strip_prefix(prefix)?).ok()?;
    is_valid_name(name).then_some(name)
}

/// Formats a key for a log line. The key is escaped, so that it cannot break the line.
fn escaped_key(key: &[u8]) -> impl std::fmt::Display {
    key[..key.len().min(MAX_LOGGED_KEY_LENGTH)].escape_ascii()
}
