//! Problems of a service's records: why a record is not listed as an endpoint, or is not used as written.

use dahliaroad_membership::UnknownServingState;
use thiserror::Error;

/// A problem with the records of one endpoint. It does not affect other endpoints.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordProblem {
    /// Name of the endpoint, or of the service.
    pub owner: String,
    /// The problem.
    pub reason: RecordFault,
}

/// A problem with the records of an endpoint.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RecordFault {
    /// Two records have the same target and port. The endpoint is listed.
    #[error("listed twice with the same port: the last record is used")]
    DuplicateEndpoint,
    /// The service's name is an alias.
    #[error("the service is an alias: expected SRV or PTR records")]
    ServiceAlias,
    /// An instance has no SRV record.
    #[error("an instance without an SRV record: not listed")]
    InstanceWithoutService,
    /// An instance has more than one SRV record.
    #[error("an instance with several SRV records: expected one")]
    InstanceWithSeveralServices,
    /// The name is empty, too long, or a wildcard.
    #[error("cannot be an endpoint's name: {0:.80}")]
    InvalidName(String),
    /// The target is an alias.
    #[error("its target {0} is an alias, which RFC 2782 forbids: not listed")]
    TargetAlias(String),
    /// The target is in the zone and has no address.
    #[error("its target {0} has no address: not listed")]
    TargetWithoutAddress(String),
    /// The target is outside the zone.
    #[error("its target {0} is outside the zone: not listed")]
    TargetOutsideZone(String),
    /// No TXT record names the zone, and there is more than one.
    #[error("no TXT record names its zone: expected zone=")]
    MissingZone,
    /// The named zone does not exist.
    #[error("unknown zone: {0:?}")]
    UnknownZone(String),
    /// The state is not a known serving state.
    #[error(transparent)]
    InvalidState(#[from] UnknownServingState),
    /// The start is not a valid number of milliseconds.
    #[error("started_ms is not a valid number of milliseconds: {0:?}")]
    InvalidStart(String),
}

impl RecordFault {
    /// Whether the endpoint exists but its records cannot be decoded, so that its last known state is kept. Otherwise
    /// the endpoint is not listed, or is listed as its last record states.
    pub fn is_unreadable(&self) -> bool {
        match self {
            RecordFault::DuplicateEndpoint
            | RecordFault::ServiceAlias
            | RecordFault::InstanceWithoutService
            | RecordFault::InvalidName(_)
            | RecordFault::TargetAlias(_)
            | RecordFault::TargetWithoutAddress(_)
            | RecordFault::TargetOutsideZone(_) => false,
            RecordFault::InstanceWithSeveralServices
            | RecordFault::MissingZone
            | RecordFault::UnknownZone(_)
            | RecordFault::InvalidState(_)
            | RecordFault::InvalidStart(_) => true,
        }
    }
}
