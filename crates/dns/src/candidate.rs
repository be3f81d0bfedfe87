//! Candidate endpoints: the SRV records of a service, before their addresses and TXT records are evaluated.

use std::collections::BTreeMap;

use crate::record_problem::{RecordFault, RecordProblem};
use crate::zone::{RecordData, Zone};

/// An SRV record of a service, which may be an endpoint.
pub(crate) struct Candidate<'a> {
    /// Name of the endpoint.
    pub name: String,
    /// Owner of the TXT records with the endpoint's attributes.
    pub attribute_owner: &'a str,
    pub priority: u16,
    pub weight: u16,
    pub port: u16,
    /// Name of the host whose address is the endpoint's address.
    pub target: &'a str,
    /// Whether the endpoint is named after the target. Otherwise it is named after an instance of the service.
    is_named_by_target: bool,
}

impl<'a> Candidate<'a> {
    /// Creates the candidate of an SRV record, without a name. Returns `None` if the data is of another type.
    fn of(data: &'a RecordData) -> Option<Candidate<'a>> {
        let RecordData::Service { priority, weight, port, target } = data else { return None };
        Some(Candidate {
            name: String::new(),
            attribute_owner: target,
            priority: *priority,
            weight: *weight,
            port: *port,
            target,
            is_named_by_target: true,
        })
    }
}

/// Returns the candidates of a zone's service, and adds problems of its records to `problems`. `service` is the
/// service's absolute name.
pub(crate) fn candidates<'a>(
    zone: &'a Zone,
    service: &str,
    problems: &mut Vec<RecordProblem>,
) -> Vec<Candidate<'a>> {
    let mut candidates = Vec::new();
    for data in zone.records_of(service) {
        match data {
            RecordData::Service { target, .. } => {
                let name = relative_name(target, &zone.apex);
                candidates.extend(Candidate::of(data).map(|candidate| Candidate { name, ..candidate }));
            }
            RecordData::Pointer(instance) => {
                let name = relative_name(instance, service);
                match instance_candidate(zone, instance, &name) {
                    Ok(candidate) => candidates.push(candidate),
                    Err(reason) => problems.push(RecordProblem { owner: name, reason }),
                }
            }
            RecordData::Alias(_) => {
                let reason = RecordFault::ServiceAlias;
                problems.push(RecordProblem { owner: service.to_owned(), reason });
            }
            RecordData::Address(_) | RecordData::Text(_) | RecordData::Other => {}
        }
    }
    add_ports(&mut candidates);
    // An empty target states that the service is not available (RFC 2782).
    candidates.retain(|candidate| !candidate.target.is_empty());
    candidates
}

/// Returns the candidate of a service instance, the target of a PTR record of the service. The instance must have
/// exactly one SRV record.
fn instance_candidate<'a>(
    zone: &'a Zone,
    instance: &'a str,
    name: &str,
) -> Result<Candidate<'a>, RecordFault> {
    let mut services = zone.records_of(instance).filter_map(Candidate::of);
    let first = services.next().ok_or(RecordFault::InstanceWithoutService)?;
    if services.next().is_some() {
        return Err(RecordFault::InstanceWithSeveralServices);
    }
    Ok(Candidate { name: name.to_owned(), attribute_owner: instance, is_named_by_target: false, ..first })
}

/// Appends the port to the names of endpoints that are named after the same target. They would have the same name
/// otherwise.
fn add_ports(candidates: &mut [Candidate]) {
    let mut counts: BTreeMap<&str, u32> = BTreeMap::new();
    for candidate in candidates.iter().filter(|candidate| candidate.is_named_by_target) {
        *counts.entry(candidate.target).or_default() += 1;
    }
    for candidate in candidates.iter_mut().filter(|candidate| candidate.is_named_by_target) {
        if counts[candidate.target] > 1 {
            candidate.name = format!("{}:{}", candidate.name, candidate.port);
        }
    }
}

/// Returns a name relative to `apex`, or unchanged if it is not below `apex`.
fn relative_name(name: &str, apex: &str) -> String {
    let rest = name.strip_suffix(apex).and_then(|rest| rest.strip_suffix('.'));
    rest.unwrap_or(name).to_owned()
}
