//! Fake etcd and Consul servers for tests and for trying out a controller instance. They are written from the public
//! specifications of the interfaces and run on loopback only.
//!
//! [`Store`] holds a registry's state and history; [`etcd`] and [`consul`] serve it. [`FaultyLink`] forwards
//! connections between a client and a server and injects network faults.

#![warn(missing_docs)]

pub mod consul;
pub mod etcd;
mod faulty_link;
mod store;

pub use faulty_link::FaultyLink;
pub use store::{Change, KeyRecord, Member, MemberView, Page, Store};
