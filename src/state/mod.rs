//! The state of an assigner between events: data and its invariants. Decisions and tuned values are in other
//! modules.

mod assigner;
mod channel;
mod endpoints;
mod load;
mod proxies;
mod reports;
mod shards;
mod tables;

pub use assigner::Assigner;
pub(crate) use assigner::RoundReports;
pub(crate) use channel::{UnacknowledgedMessage, nonce_precedes};
pub(crate) use endpoints::{Endpoint, LoadHistory};
pub(crate) use proxies::{ClassDemand, Proxy, UnconfirmedBinding};
pub(crate) use reports::ReportValidity;
pub(crate) use shards::{Flow, TrafficClassGroup};
pub(crate) use tables::{AdmissionTarget, PendingPublication, PendingWithdrawal, Table};
