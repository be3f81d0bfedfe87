//! Owns the module, its timers and what is known of the fleet. Sources and peers hand in calls through a
//! [`Desk`]; orders leave through a [`Front`]. Neither a peer nor a protocol is known here.

pub mod counters;
mod desk;
mod roster;
mod seat;

pub use desk::{Call, Desk, Front, Probe, run};
pub use roster::Roster;
pub use seat::Seat;
