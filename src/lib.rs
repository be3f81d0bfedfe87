//! The decisions of a dahliaroad pilot: which forwarder (proxy) sends which share of its calls to
//! which endpoint. [`Pilot`] holds every decision; [`interface`] holds what it is told and what it
//! answers. Neither knows a clock, a socket or a wire: a host calls the pilot and carries its orders
//! out.

pub mod interface;
mod policy;
mod state;

pub use state::Pilot;
