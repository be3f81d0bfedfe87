//! Owns the assigner, its timers, the membership and the endpoint ids. Sources and peers send their inputs through an
//! [`Inbox`]; orders leave through an [`OrderSink`]. This crate depends on no particular peer or protocol.

#![warn(missing_docs)]

mod clock;
pub mod counters;
mod endpoint_ids;
mod event_loop;
mod inbox;
mod reporting;
mod runtime;

pub use clock::Clock;
pub use endpoint_ids::{EndpointIds, EndpointProcess};
pub use event_loop::{HealthCheckRequest, OrderSink, run};
pub use inbox::{Inbox, Input};
pub use runtime::{AppliedMessage, Runtime, UnknownEndpoint};
