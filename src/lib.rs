//! The decisions of a dahliaroad pilot: which forwarder (proxy) sends which share of its calls to
//! which endpoint. [`Pilot`] holds every decision; [`interface`] holds what it is told and what it
//! answers. Neither knows a clock, a socket or a wire: a host calls the pilot and carries its orders
//! out.
//!
//! ```
//! use std::time::Duration;
//! use dahliaroad::{Pilot, interface::*};
//!
//! let mut pilot = Pilot::new(Deployment {
//!     pilots: 1,
//!     me: 0,
//!     proxies: 1,
//!     homed: false,
//!     zones: 1,
//!     classes: vec![ClassSettings {
//!         latency_objective: Duration::from_secs(1),
//!         value: 1.0,
//!         own_zone: false,
//!     }],
//!     admission_unit: AdmissionUnit::Share,
//!     sliced: false,
//!     list_on_request: false,
//!     dropping_binds: true,
//!     probes_allowed: true,
//!     round: Duration::from_secs(1),
//!     crossing_price: 0.0,
//!     lines_per_second: 10_000.0,
//!     waiting_lines: 10_000.0,
//!     lines_per_message: 4.0,
//!     keep_away: false,
//!     standing: 0,
//!     messages: None,
//!     messages_span: Duration::ZERO,
//!     start_capacity: 0.2,
//!     warm_up: Duration::from_secs(10),
//!     fall_multiple: 3.0,
//! });
//! let now = Duration::from_secs(5);
//! let (endpoint, zone) = (EndpointId(0), ZoneId(0));
//! let listed = EndpointUpdate { endpoint, zone, kind: 0, weight: 1.0, started: None,
//!     state: EndpointState::Running };
//! pilot.update_endpoints(now, true, &[listed]);
//! let orders = pilot.proxy_joined(now, ProxyId(7), zone, 20.0);
//! assert_eq!(orders.bindings, [(ProxyId(7), TableId(0), ClassSet(1))]);
//! ```

mod arithmetic;
mod delivery;
pub mod interface;
mod policy;
mod solver;
mod state;

pub use delivery::HeldBack;
pub use solver::Split;
pub use state::Pilot;
