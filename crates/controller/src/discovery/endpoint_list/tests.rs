//! Tests of the wire format of the endpoint list, byte for byte. They guard against a rename of a field in the code that
//! also renames the field in the JSON.

use super::*;
use dahliaroad::ZoneId;

fn topology() -> Topology {
    Topology { zones: vec!["east".to_owned(), "west".to_owned()], kinds: vec!["large".to_owned()] }
}

fn decode(text: &str) -> DecodedList {
    serde_json::from_str::<EndpointList>(text).unwrap().decode(&topology(), Epoch(4))
}

/// Covers every field of an entry, every state of an entry, and an unknown kind, which counts as one more kind.
#[test]
fn a_complete_list_is_decoded_from_discoverys_json() {
    let decoded = decode(
        r#"{"seq": 7, "whole": true, "hosts": [
            {"host": "a", "dial": "10.0.0.1:80", "site": "west", "class": "large", "health": "active",
             "share": 1.5, "born_ms": 2500.0},
            {"host": "b", "dial": "10.0.0.2:80", "site": "east", "class": "?", "health": "leaving", "share": 0},
            {"host": "c", "dial": "10.0.0.3:80", "site": "east", "class": "large", "health": "left", "share": 1}
        ]}"#,
    );
    let update = |name: &str, state| EntryUpdate { name: Arc::from(name), revision: Revision(7), state };
    let first = Entry {
        incarnation: Incarnation { started: Some(Duration::from_millis(2500)), created: Revision(0) },
        cold_since: None,
        address: Some("10.0.0.1:80".parse().unwrap()),
        zone: ZoneId(1),
        kind: 0,
        weight: 1.5,
        serving_state: ServingState::Running,
    };
    let second = Entry {
        incarnation: Incarnation { started: None, created: Revision(0) },
        cold_since: None,
        address: Some("10.0.0.2:80".parse().unwrap()),
        zone: ZoneId(0),
        kind: 1,
        weight: 0.0,
        serving_state: ServingState::Draining,
    };
    let entries = vec![
        update("a", EntryState::Listed(first)),
        update("b", EntryState::Listed(second)),
        update("c", EntryState::Removed),
    ];
    assert_eq!(decoded.message, SourceMessage::Snapshot { epoch: Epoch(4), revision: Revision(7), entries });
    assert_eq!(decoded.unreadable_entries, 0);
}

/// A field of the wrong type, an unknown zone, an unknown state, a weight out of range and a missing weight each make only
/// their own entry unreadable.
#[test]
fn an_entry_that_cannot_be_decoded_is_reported_as_unreadable() {
    let good = r#"{"host": "a", "dial": "10.0.0.1:80", "site": "west", "class": "large", "health": "active", "share": 1}"#;
    for (from, to) in [
        (r#""10.0.0.1:80""#, r#""nowhere""#),
        (r#""west""#, r#""north""#),
        (r#""active""#, r#""there""#),
        (r#""share": 1"#, r#""share": -1"#),
        (r#""share": 1"#, r#""weight": 1"#),
    ] {
        let bad = good.replace(from, to);
        assert!(bad != good);
        let decoded = decode(&format!(r#"{{"seq": 8, "whole": true, "hosts": [{bad}]}}"#));
        let entries =
            vec![EntryUpdate { name: Arc::from("a"), revision: Revision(8), state: EntryState::Unreadable }];
        assert_eq!(
            decoded.message,
            SourceMessage::Snapshot { epoch: Epoch(4), revision: Revision(8), entries }
        );
        assert_eq!(decoded.unreadable_entries, 1, "{bad}");
    }
}

/// A name that is too long for an order makes its entry unreadable, as in every other source. The endpoint is not listed.
#[test]
fn an_entry_with_a_name_that_is_too_long_is_unreadable() {
    let name = "a".repeat(MAX_ENDPOINT_NAME_BYTES + 1);
    let entry = r#""dial": "10.0.0.1:80", "site": "west", "class": "large", "health": "active", "share": 1"#;
    let list = format!(r#"{{"seq": 8, "whole": true, "hosts": [{{"host": "{name}", {entry}}}]}}"#);
    let decoded = decode(&list);
    assert_eq!(decoded.unreadable_entries, 1);
    let SourceMessage::Snapshot { entries, .. } = decoded.message else { panic!("no snapshot") };
    assert!(entries.iter().all(|entry| entry.state == EntryState::Unreadable), "{entries:?}");
}

/// Guards against the removal of an endpoint whose name cannot be read: in a snapshot it would count as removed.
#[test]
fn a_complete_list_with_a_nameless_entry_becomes_changes() {
    let decoded = decode(r#"{"seq": 9, "whole": true, "hosts": [{"host": 7}]}"#);
    let revision = Revision(9);
    let entries = Vec::new();
    assert_eq!(
        decoded.message,
        SourceMessage::Changes { epoch: Epoch(4), after: revision, revision, entries }
    );
    assert_eq!(decoded.unreadable_entries, 1);
}

#[test]
fn only_a_complete_list_is_a_base_for_a_watch() {
    let list = |text: &str| serde_json::from_str::<EndpointList>(text).unwrap();
    let complete = list(r#"{"seq": 3, "whole": true, "hosts": []}"#);
    let no_changes = list(r#"{"seq": 3, "whole": false, "hosts": []}"#);
    assert_eq!((complete.base_revision(), complete.has_no_changes()), (Some(3), false));
    assert_eq!((no_changes.base_revision(), no_changes.has_no_changes()), (None, true));
}
