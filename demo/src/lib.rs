//! A demo service that plays all peers of a controller instance: discovery, the relay, the collectors and the
//! endpoints. It is small enough to read and to experiment with.
//!
//! No requests are sent to endpoints, except health checks. The outcomes of the proxies' requests are computed from the
//! tables that the proxies hold.

#![warn(missing_docs)]

mod collector;
mod commit_fault;
mod discovery;
mod endpoints;
mod fleet;
mod relay;
mod serving;
mod world;

pub use collector::{Collector, encode_frame};
pub use commit_fault::{CommitFault, SilentCallOutcome};
pub use fleet::Fleet;
pub use world::{Admission, Endpoint, EndpointState, Proxy, Weights, World};
