//! Tests of the decoding of service instances.

use dahliaroad_membership::{EntryState, EntryUpdate, ServingState, Topology};

use super::{instance, split_instances};
use crate::entry::DecodedEntry;

/// A response has millions of elements that are no instances. Memory was taken for each as for an instance.
#[test]
fn a_response_of_very_many_short_elements_is_refused() {
    let elements = |count: usize| format!("[{}1]", "1,".repeat(count - 1));
    assert_eq!(split_instances(elements(1024).as_bytes()).unwrap().len(), 1024);
    assert!(split_instances(elements(1025).as_bytes()).is_err());
    let long = format!("[{}1]", format!("\"{}\",", "x".repeat(40)).repeat(5_000));
    assert_eq!(split_instances(long.as_bytes()).unwrap().len(), 5_001);
}

fn topology() -> Topology {
    Topology { zones: vec!["a".into(), "b".into()], kinds: vec!["m1".into()] }
}

/// A failed health check takes the endpoint out of rotation, and the endpoint returns when the check passes again. An
/// operator's `drain` drains the endpoint permanently. An instance of which only the name can be decoded is listed as
/// unreadable.
#[test]
fn a_failed_check_takes_out_of_rotation_and_drain_metadata_drains() {
    let text = r#"{"Node":{"Node":"n","Address":"10.0.0.2","Datacenter":"a"},
        "Service":{"ID":"e1","Service":"ledger","Address":"","Port":81,"Meta":{"drain":"DRAIN"},
        "Weights":{"Passing":3,"Warning":1},"CreateIndex":7,"ModifyIndex":9},
        "Checks":[{"Status":"passing"},{"Status":"STATUS"}]}"#;
    let serving_state = |drain: &str, status: &str| {
        let text = text.replace("DRAIN", drain).replace("STATUS", status);
        let DecodedEntry { update: Some(EntryUpdate { state: EntryState::Listed(entry), .. }), error: None } =
            instance::decode(&text, &topology())
        else {
            panic!()
        };
        (entry.serving_state, entry.weight)
    };
    assert_eq!(serving_state("", "passing"), (ServingState::Running, 3.0));
    assert_eq!(serving_state("", "warning"), (ServingState::Running, 1.0));
    assert_eq!(serving_state("", "critical"), (ServingState::OutOfRotation, 3.0));
    assert_eq!(serving_state("true", "passing"), (ServingState::Draining, 3.0));
    let decoded = instance::decode(&text.replace("81", "\"here\""), &topology());
    assert_eq!((decoded.update.unwrap().state, decoded.error.is_some()), (EntryState::Unreadable, true));
}
