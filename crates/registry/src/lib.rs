//! Learns endpoints from a key-value registry and tells them as a source's words.
//!
//! [`Follower`] decides what to ask next, whom, and what an answer is worth; it knows no socket and no clock.
//! [`etcd`] and [`consul`] put its questions to servers of the two protocols, and [`follow`] drives it.

mod backoff;
pub mod consul;
mod drive;
pub mod etcd;
mod follower;
mod member;
pub mod values;

pub use drive::{Place, Protocol, follow};
pub use follower::{Answer, Ask, Failure, Follower, Header, Limits, Means, Step, Tally};

/// The wire's messages, for servers too.
pub mod proto {
    tonic::include_proto!("etcdserverpb");
}
