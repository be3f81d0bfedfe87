//! `dahliaroad zone`: prints what a controller would change if a new zone file replaced an old one.

use std::collections::{BTreeMap, BTreeSet};
use std::path::Path;
use std::process::ExitCode;

use dahliaroad_dns::{RecordData, Schema, Zone, ZoneEndpoint};
use dahliaroad_membership::{ServingState, Topology};

use super::{REJECTED_EXIT_CODE, print_error, print_line};

/// Prints a line for each endpoint that changes, and a summary with their number.
pub fn compare_zones(old: &Path, new: &Path, apex: &str, service: &str) -> ExitCode {
    let old_zone = load(old, apex);
    let new_zone = load(new, apex);
    let (Some(old_zone), Some(new_zone)) = (old_zone, new_zone) else {
        return ExitCode::from(REJECTED_EXIT_CODE);
    };
    if let Err(reason) = new_zone.follows(&old_zone) {
        print_error(format_args!("{}: would be rejected: {reason}", new.display()));
        return ExitCode::from(REJECTED_EXIT_CODE);
    }
    let schema = Schema { service: service.to_owned(), topology: topology_of(&[&old_zone, &new_zone]) };
    let old_endpoints = map_endpoints(old, &old_zone, &schema);
    let new_endpoints = map_endpoints(new, &new_zone, &schema);
    let changes = describe_changes(&old_endpoints, &new_endpoints);
    let summary = format!(
        "serial {} to {}: {} of {} endpoints change",
        old_zone.serial,
        new_zone.serial,
        changes.len(),
        old_endpoints.len()
    );
    // A failed print is ignored: a reader that closes the output has read enough.
    let _ = changes.iter().chain([&summary]).try_for_each(print_line);
    ExitCode::SUCCESS
}

/// Loads a zone file. If it is invalid, prints its faults and returns `None`.
fn load(path: &Path, apex: &str) -> Option<Zone> {
    match dahliaroad_dns::load_zone(apex, path) {
        Ok(zone) => Some(zone),
        Err(faults) => {
            faults.iter().for_each(print_error);
            None
        }
    }
}

/// Returns the topology of all zones and kinds that the records of the files name.
fn topology_of(zones: &[&Zone]) -> Topology {
    let texts = zones.iter().flat_map(|zone| &zone.records).filter_map(|record| match &record.data {
        RecordData::Text(texts) => Some(texts),
        _ => None,
    });
    let attributes: Vec<(&str, &str)> = texts.flatten().filter_map(|text| text.split_once('=')).collect();
    let values_of = |key: &str| -> Vec<String> {
        let named = attributes.iter().filter(|(name, _)| name.eq_ignore_ascii_case(key));
        let distinct: BTreeSet<String> = named.map(|(_, value)| value.to_string()).collect();
        distinct.into_iter().collect()
    };
    Topology { zones: values_of("zone"), kinds: values_of("kind") }
}

/// Returns the endpoints that a zone lists. Prints the problems of records that cannot be used.
fn map_endpoints(path: &Path, zone: &Zone, schema: &Schema) -> BTreeMap<String, ZoneEndpoint> {
    let mapped = schema.map(zone);
    for problem in &mapped.problems {
        print_error(format_args!("{}: {}: {}", path.display(), problem.owner, problem.reason));
    }
    mapped.endpoints
}

/// Returns a line for each endpoint that differs between the two lists.
fn describe_changes(
    old: &BTreeMap<String, ZoneEndpoint>,
    new: &BTreeMap<String, ZoneEndpoint>,
) -> Vec<String> {
    let names: BTreeSet<&String> = old.keys().chain(new.keys()).collect();
    let describe = |name: &String| {
        let change = match (old.get(name), new.get(name)) {
            (None, Some(new)) => {
                Some(format!("comes, {}, weight {}", new.serving_state.as_str(), new.weight))
            }
            (Some(_), None) => Some("goes".to_owned()),
            (Some(old), Some(new)) => describe_change(old, new),
            (None, None) => None,
        };
        change.map(|change| format!("{name}: {change}"))
    };
    names.into_iter().filter_map(describe).collect()
}

/// Describes the change of an endpoint that both files list. Returns `None` if nothing changes. A start that the new file
/// omits stays as it was.
fn describe_change(old: &ZoneEndpoint, new: &ZoneEndpoint) -> Option<String> {
    let new = ZoneEndpoint { started: new.started.or(old.started), ..new.clone() };
    if *old == new {
        return None;
    }
    let changes_state = old.serving_state != new.serving_state;
    Some(if old.started < new.started {
        "restarted".to_owned()
    } else if new.started < old.started {
        "restarted, by an earlier start; goes, if that start was listed before".to_owned()
    } else if changes_state && old.serving_state == ServingState::Draining {
        "stays draining, as its start did not change".to_owned()
    } else if changes_state {
        format!("{} instead of {}", new.serving_state.as_str(), old.serving_state.as_str())
    } else if old.weight != new.weight {
        format!("weight {} instead of {}", new.weight, old.weight)
    } else {
        "another address, zone or kind".to_owned()
    })
}
