//! The decisions of dahliaroad: which proxy sends which share of its requests to which endpoint.
//!
//! An [`Assigner`] is a state machine without I/O and without a clock. A caller notifies it of events
//! ([`events`]), each with its time, and applies the resulting [`Orders`] ([`orders`]). Methods that only record
//! the delivery of orders return none; the orders that result from them follow with the next event.
//! `docs/architecture.md` lists which file makes which decision.
//!
//! ```
//! use std::time::Duration;
//! use dahliaroad::*;
//!
//! let mut assigner = Assigner::new(Deployment {
//!     controllers: 1,
//!     controller_index: 0,
//!     proxies: 1,
//!     proxies_join_by_zone: false,
//!     zones: 1,
//!     classes: vec![ClassSettings {
//!         latency_objective: Duration::from_secs(1),
//!         priority_weight: 1.0,
//!         own_zone_only: false,
//!     }],
//!     admission_unit: AdmissionUnit::Ratio,
//!     tables_by_key_range: false,
//!     endpoint_list_polled: false,
//!     removal_ends_traffic: true,
//!     health_checks_allowed: true,
//!     report_interval: Duration::from_secs(1),
//!     cross_zone_price: 0.0,
//!     channel_lines_per_second: 10_000.0,
//!     channel_queue_lines: 10_000.0,
//!     message_overhead_lines: 4.0,
//!     proxies_eject_outliers: false,
//!     initial_table_size: 0,
//!     messages_per_window: None,
//!     message_window: Duration::ZERO,
//!     cold_capacity_ratio: 0.2,
//!     warm_up: Duration::from_secs(10),
//!     cold_overload_factor: 3.0,
//! });
//! let now = Duration::from_secs(5);
//! let (endpoint, zone) = (EndpointId(0), ZoneId(0));
//! let listed = EndpointUpdate { endpoint, zone, machine_kind: 0, weight: 1.0, started_at: None,
//!     state: EndpointState::Running };
//! assigner.update_endpoints(now, true, &[listed]);
//! let orders = assigner.proxy_joined(now, ProxyId(7), zone, 20.0);
//! let binding = BindingOrder { proxy: ProxyId(7), table: TableId(0), classes: ClassSet(1) };
//! assert_eq!(orders.bindings, [binding]);
//! ```

#![warn(missing_docs)]

mod actions;
mod admission;
mod arithmetic;
mod assignment;
mod binding;
mod capacity;
mod cold_tables;
mod delivery;
mod demand;
pub mod deployment;
mod endpoint_list;
pub mod events;
mod fleet_health;
mod handlers;
pub mod ids;
mod message_budget;
pub mod orders;
mod outlier_detection;
mod publication;
mod rules;
mod slow_start;
mod solver;
mod state;
mod table_shards;
mod warming_load;
mod weight_steps;

pub use deployment::{AdmissionUnit, ClassSettings, Deployment};
pub use events::{
    DemandReport, EndpointLoad, EndpointReport, EndpointState, EndpointUpdate, HealthCheckOutcome,
};
pub use ids::{ClassId, ClassSet, EndpointId, ProxyId, TableId, ZoneId};
pub use orders::{
    AdmissionOrder, AttemptId, BindingOrder, BlockReason, BlockedWithdrawals, ExtraAdmission,
    ExtraMessageBudget, ExtraOrder, LateWithdrawal, Nonce, Orders, Recipients, RetryPolicy,
    UndeliveredOrders, WeightOrder,
};
pub use solver::ShareSolver;
pub use state::Assigner;
