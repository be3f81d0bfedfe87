//! Endpoint ids and their generations.

use std::time::Duration;

use dahliaroad_runtime::EndpointIds;

/// An endpoint restarts, changes its address or loses its id to another name while a health check of it is in progress. If
/// the id's generation did not change, the outcome would count for a process that was never checked.
#[test]
fn a_different_start_address_or_name_changes_the_generation_of_an_id() {
    let mut endpoint_ids = EndpointIds::default();
    let first_address = Some("127.0.0.1:1".parse().unwrap());
    let second_address = Some("127.0.0.1:2".parse().unwrap());
    let start = Some(Duration::from_secs(1));
    let restart = Some(Duration::from_secs(2));
    let endpoint = endpoint_ids.assign("a", first_address, start);
    let mut generations = vec![endpoint_ids.generation(endpoint)];
    for (name, address, started) in
        [("a", first_address, restart), ("a", second_address, restart), ("b", second_address, restart)]
    {
        if name == "b" {
            endpoint_ids.release(endpoint);
        }
        assert_eq!(endpoint_ids.assign(name, address, started), endpoint);
        generations.push(endpoint_ids.generation(endpoint));
        assert_eq!(endpoint_ids.assign(name, None, started), endpoint);
        assert_eq!(endpoint_ids.generation(endpoint), generations[generations.len() - 1]);
    }
    generations.dedup();
    assert_eq!(generations.len(), 4);
}

/// The list omits the start of a running process that it gave before, as it is long ago. If the generation changed, the
/// outcome of the health check in progress would be lost.
#[test]
fn an_omitted_start_keeps_the_generation_of_an_id_until_its_process_ends() {
    let mut endpoint_ids = EndpointIds::default();
    let address = Some("127.0.0.1:1".parse().unwrap());
    let start = Some(Duration::from_secs(1));
    let endpoint = endpoint_ids.assign("a", address, start);
    let generation = endpoint_ids.generation(endpoint);
    for started in [None, start] {
        assert_eq!(endpoint_ids.assign("a", address, started), endpoint);
        assert_eq!(endpoint_ids.generation(endpoint), generation);
    }
    // The process ends. The next one is another, though its start is not given either.
    endpoint_ids.process_ended(endpoint);
    endpoint_ids.assign("a", address, None);
    assert_ne!(endpoint_ids.generation(endpoint), generation);
    // The name that gets the id next inherits no start.
    endpoint_ids.assign("a", address, start);
    endpoint_ids.release(endpoint);
    assert_eq!(endpoint_ids.assign("b", address, None), endpoint);
    let generation = endpoint_ids.generation(endpoint);
    endpoint_ids.assign("b", address, start);
    assert_ne!(endpoint_ids.generation(endpoint), generation);
}
