//! Learns endpoints from a key-value registry and reports them as messages of a membership source.
//!
//! [`Follower`] is the state machine that decides which request to send next and to which member, and interprets the
//! response. It does no I/O and reads no clock. [`etcd`] and [`consul`] implement its requests for the two protocols
//! ([`RegistryClient`]). [`follow`] is the I/O loop that drives it.

#![warn(missing_docs)]

mod client;
pub mod consul;
mod entry;
pub mod etcd;
mod follow;
mod follower;
mod relocation;

pub use client::{MemberAddress, RegistryClient};
pub use follow::follow;
pub use follower::{
    Action, BlockingSnapshot, FollowMode, Follower, FollowerLimits, FollowerStatistics, Header,
    RegistryRequest, RegistryResponse, RequestError, SnapshotPage, UpdateBatch,
};

/// The messages of the etcd v3 API, for clients and servers, generated from `proto/registry.proto`.
#[allow(missing_docs)]
pub mod proto {
    tonic::include_proto!("etcdserverpb");
}
