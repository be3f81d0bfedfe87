//! Converts the store's records to messages of the etcd v3 API.

use dahliaroad_registry::proto::event::EventType;
use dahliaroad_registry::proto::{Event, KeyValue, ResponseHeader};

use crate::store::{Change, KeyRecord, MemberView};

pub fn header(view: &MemberView, member: usize) -> Option<ResponseHeader> {
    Some(ResponseHeader {
        cluster_id: view.cluster,
        revision: view.revision as i64,
        member_id: member as u64 + 1,
        raft_term: 2,
    })
}

pub fn key_value(name: &str, key: KeyRecord) -> KeyValue {
    KeyValue {
        key: name.as_bytes().to_vec(),
        create_revision: key.created as i64,
        mod_revision: key.modified as i64,
        version: key.version as i64,
        value: key.value,
        lease: key.lease as i64,
    }
}

pub fn event(change: Change) -> Event {
    let (event_type, key_value) = match change.key {
        Some(key) => (EventType::Put, key_value(&change.name, key)),
        None => (EventType::Delete, deleted(change)),
    };
    Event { r#type: event_type as i32, kv: Some(key_value) }
}

fn deleted(change: Change) -> KeyValue {
    KeyValue { key: change.name.into_bytes(), mod_revision: change.revision as i64, ..KeyValue::default() }
}

/// Returns the prefix of a range from the range's end. Followers request only ranges of a prefix, whose end is the
/// prefix with its last byte incremented.
pub fn prefix(range_end: &[u8]) -> String {
    let mut prefix = range_end.to_vec();
    if let Some(last) = prefix.last_mut() {
        *last = last.saturating_sub(1);
    }
    String::from_utf8_lossy(&prefix).trim_matches('\0').to_owned()
}
