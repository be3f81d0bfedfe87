//! Maps a zone's records to endpoints.
//!
//! A *service* is an owner name in the zone. Each SRV record of that owner (RFC 2782) is an endpoint, named by its
//! target. Each PTR record of that owner (RFC 6763, section 4.1) names an instance, whose own SRV record is the
//! endpoint, named by the instance. TXT records of the target or the instance contain the endpoint's attributes:
//! `zone=`, `kind=`, `state=` (`running`, `aside`, `draining`), `started_ms=`. TTLs cause no delay, because the zone
//! itself is read, not a cache of it.

use std::collections::BTreeMap;
use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use dahliaroad::ZoneId;
use dahliaroad_membership::{ServingState, Topology};

use crate::candidate::{Candidate, candidates};
use crate::record_problem::{RecordFault, RecordProblem};
use crate::zone::{RecordData, Zone};

/// Maximum length of an endpoint's name, in bytes.
const MAX_NAME_LENGTH: usize = 256;
/// Weight of an endpoint whose SRV weight is 0, relative to the lowest weight above 0 of its service (RFC 2782: a very
/// small chance).
const ZERO_WEIGHT_FACTOR: f64 = 0.01;
/// Exclusive upper bound of start times, in milliseconds. Floating-point numbers represent all integers up to it exactly.
const START_LIMIT_MS: u64 = 1 << 53;

/// The service whose records in a DNS zone are endpoints, and the names that the TXT records refer to.
#[derive(Clone, Debug)]
pub struct Schema {
    /// The service's owner name, relative to the zone's apex.
    pub service: String,
    /// Names of the deployment zones and machine kinds that TXT records refer to.
    pub topology: Topology,
}

/// An endpoint that a zone lists.
#[derive(Clone, Debug, PartialEq)]
pub struct ZoneEndpoint {
    /// Address and port.
    pub address: SocketAddr,
    /// The deployment zone (not the DNS zone) that the endpoint is in.
    pub zone: ZoneId,
    /// Number of the kind of machine.
    pub kind: u32,
    /// Relative weight.
    pub weight: f64,
    /// Serving state.
    pub serving_state: ServingState,
    /// Start in Unix time, if a TXT record states it.
    pub started: Option<Duration>,
}

/// The endpoints of a zone.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct MappedZone {
    /// Endpoints by name.
    pub endpoints: BTreeMap<String, ZoneEndpoint>,
    /// Problems with records of the service.
    pub problems: Vec<RecordProblem>,
}

impl Schema {
    /// Maps a zone's records to endpoints. A problem affects only its own endpoint.
    pub fn map(&self, zone: &Zone) -> MappedZone {
        let mut mapped = MappedZone::default();
        let candidates = candidates(zone, &self.service_name(zone), &mut mapped.problems);
        let lowest_weight = lowest_positive_weight(&candidates);
        let mut priorities = BTreeMap::new();
        for candidate in &candidates {
            let name = candidate.name.clone();
            let endpoint = match self.endpoint(zone, candidate, lowest_weight) {
                Ok(endpoint) => endpoint,
                Err(reason) => {
                    mapped.problems.push(RecordProblem { owner: name, reason });
                    continue;
                }
            };
            if mapped.endpoints.insert(name.clone(), endpoint).is_some() {
                let reason = RecordFault::DuplicateEndpoint;
                mapped.problems.push(RecordProblem { owner: name.clone(), reason });
            }
            priorities.insert(name, candidate.priority);
        }
        take_higher_priority_numbers_out_of_rotation(&mut mapped.endpoints, &priorities);
        mapped
    }

    /// Returns the service's absolute name.
    fn service_name(&self, zone: &Zone) -> String {
        let apex = &zone.apex;
        match &*self.service {
            "" | "@" => apex.clone(),
            service => format!("{}.{apex}", service.trim_end_matches('.').to_ascii_lowercase()),
        }
    }

    fn endpoint(
        &self,
        zone: &Zone,
        candidate: &Candidate,
        lowest_weight: Option<u16>,
    ) -> Result<ZoneEndpoint, RecordFault> {
        let name = &candidate.name;
        if name.is_empty() || name.len() > MAX_NAME_LENGTH || name.contains('*') {
            return Err(RecordFault::InvalidName(name.clone()));
        }
        let address = target_address(zone, candidate.target)?;
        let attributes = Attributes::of(zone, candidate.attribute_owner);
        let zone = self.zone(&attributes)?;
        let serving_state = ServingState::from_name(attributes.get("state"))?;
        Ok(ZoneEndpoint {
            address: SocketAddr::new(address, candidate.port),
            zone,
            kind: self.topology.kind(attributes.get("kind")),
            weight: weight(candidate.weight, lowest_weight),
            serving_state,
            started: start_time(&attributes)?,
        })
    }

    /// Returns the deployment zone of an endpoint. The endpoint's attributes have to name the zone if the deployment has
    /// several.
    fn zone(&self, attributes: &Attributes<'_>) -> Result<ZoneId, RecordFault> {
        match attributes.get("zone") {
            Some(name) => self.topology.zone(name).ok_or_else(|| RecordFault::UnknownZone(name.to_owned())),
            None if self.topology.zones.len() == 1 => Ok(ZoneId(0)),
            None => Err(RecordFault::MissingZone),
        }
    }
}

/// Takes running endpoints out of rotation unless they have the lowest priority number of all running endpoints. RFC
/// 2782 allows a higher number to be used only if no endpoint with a lower number is available. Endpoints that are
/// not running are ignored here, and so are records that a later record of the same endpoint has replaced.
fn take_higher_priority_numbers_out_of_rotation(
    endpoints: &mut BTreeMap<String, ZoneEndpoint>,
    priorities: &BTreeMap<String, u16>,
) {
    let running = endpoints.iter().filter(|(_, endpoint)| endpoint.serving_state == ServingState::Running);
    let Some(lowest) = running.map(|(name, _)| priorities[name]).min() else { return };
    for (name, endpoint) in endpoints {
        if priorities[name] > lowest && endpoint.serving_state == ServingState::Running {
            endpoint.serving_state = ServingState::OutOfRotation;
        }
    }
}

/// Returns the lowest weight above 0. Of several records of one endpoint only the last one counts, because it is the
/// one that is used.
fn lowest_positive_weight(candidates: &[Candidate]) -> Option<u16> {
    let weights = candidates.iter().map(|candidate| (&*candidate.name, candidate.weight));
    let by_name: BTreeMap<&str, u16> = weights.collect();
    by_name.into_values().filter(|weight| *weight > 0).min()
}

/// Returns the address of a host in the zone.
fn target_address(zone: &Zone, target: &str) -> Result<IpAddr, RecordFault> {
    if zone.records_of(target).any(|data| matches!(data, RecordData::Alias(_))) {
        return Err(RecordFault::TargetAlias(target.to_owned()));
    }
    let address = zone.records_of(target).find_map(|data| match data {
        RecordData::Address(address) => Some(*address),
        _ => None,
    });
    address.ok_or_else(|| match target.ends_with(&zone.apex) {
        true => RecordFault::TargetWithoutAddress(target.to_owned()),
        false => RecordFault::TargetOutsideZone(target.to_owned()),
    })
}

/// The `key=value` strings of an owner's TXT records, with keys in lower case.
struct Attributes<'a>(BTreeMap<String, &'a str>);

impl<'a> Attributes<'a> {
    fn of(zone: &'a Zone, owner: &str) -> Attributes<'a> {
        let mut attributes = BTreeMap::new();
        for data in zone.records_of(owner) {
            let RecordData::Text(strings) = data else { continue };
            for (key, value) in strings.iter().filter_map(|string| string.split_once('=')) {
                // The first of several values of a key is used (RFC 6763, section 6.4).
                attributes.entry(key.to_ascii_lowercase()).or_insert(value);
            }
        }
        Attributes(attributes)
    }

    fn get(&self, key: &str) -> Option<&'a str> {
        self.0.get(key).copied()
    }
}

/// Returns the start in Unix time. `None` if the start is missing or 0.
fn start_time(attributes: &Attributes) -> Result<Option<Duration>, RecordFault> {
    match attributes.get("started_ms") {
        None | Some("0") => Ok(None),
        Some(text) => {
            let milliseconds = text.parse::<u64>().ok().filter(|number| *number < START_LIMIT_MS);
            let milliseconds = milliseconds.ok_or_else(|| RecordFault::InvalidStart(text.to_owned()))?;
            Ok(Some(Duration::from_millis(milliseconds)))
        }
    }
}

/// Returns the relative weight of an endpoint. `lowest_weight` is the lowest weight above 0 of its service.
fn weight(weight: u16, lowest_weight: Option<u16>) -> f64 {
    match (weight, lowest_weight) {
        (0, None) => 1.0,
        (0, Some(lowest_weight)) => f64::from(lowest_weight) * ZERO_WEIGHT_FACTOR,
        (weight, _) => f64::from(weight),
    }
}
