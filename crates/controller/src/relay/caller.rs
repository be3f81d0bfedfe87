//! Makes commit calls on a persistent connection and determines the outcome of each.

use std::net::SocketAddr;
use std::time::Duration;

use super::codec::{CommitAnswer, commit_call, decode_commit_answer};
use super::connection::Connection;
use super::error::RelayError;
use super::order::Order;
use crate::counters;
use crate::peer_address::PeerAddress;

/// The longest idle time after which a connection is reused. The relay closes idle connections after a time that it
/// does not state, 10 s at most. A connection that was used within the last second is assumed to be open, unless its
/// end of file has already arrived.
const REUSE_WITHIN: Duration = Duration::from_secs(1);

/// The outcome of a call, as far as it is known.
#[derive(Debug)]
pub enum CallOutcome {
    /// The first orders of the call were applied; holds their number.
    Applied(usize),
    /// Not applied: the relay currently accepts no calls.
    Busy,
    /// Not applied: the relay could not read the call. The relay does not say which order, if any, was at fault.
    Unreadable,
    /// Not applied: there is no connection to the relay.
    NotSent(RelayError),
    /// The call may have been applied completely, in part, or not at all, as its answer is missing or unusable.
    Unknown(RelayError),
}

/// A call that was made, or that could not be made.
#[derive(Debug)]
pub struct FinishedCall {
    /// The call's JSON-RPC id; `None` if there was no connection for the call.
    pub id: Option<u64>,
    /// The relay's address at the time of the call.
    pub address: SocketAddr,
    /// The outcome of the call.
    pub outcome: CallOutcome,
}

/// Makes commit calls, one at a time, on a connection that it keeps open.
pub struct Caller {
    address: PeerAddress,
    connection: Option<Connection>,
    last_id: u64,
}

impl Caller {
    /// Creates a caller without a connection.
    pub fn new(address: PeerAddress) -> Caller {
        Caller { address, connection: None, last_id: 0 }
    }

    /// Returns the relay's address as last configured.
    pub fn address(&self) -> SocketAddr {
        self.address.current()
    }

    /// Makes one call. A call without orders only checks whether the relay responds.
    pub async fn call(&mut self, orders: &[Order]) -> FinishedCall {
        let address = self.address.current();
        let mut connection = match self.connect(address).await {
            Ok(connection) => connection,
            Err(error) => return FinishedCall { id: None, address, outcome: CallOutcome::NotSent(error) },
        };
        self.last_id += 1;
        let id = self.last_id;
        let address = connection.address();
        let outcome = match exchange(&mut connection, id, orders).await {
            Ok(answer) => {
                self.connection = Some(connection);
                answer.into()
            }
            Err(error) => {
                connection.reset();
                CallOutcome::Unknown(error)
            }
        };
        FinishedCall { id: Some(id), address, outcome }
    }

    /// Returns the kept connection if it was used recently and leads to the relay's current address; otherwise opens
    /// a new one. If the relay's address has changed, the kept connection is used until a connection to the new
    /// address is open.
    async fn connect(&mut self, address: SocketAddr) -> Result<Connection, RelayError> {
        let is_fresh = |connection: &Connection| {
            connection.idle_for() < REUSE_WITHIN && connection.has_no_pending_input()
        };
        let kept = self.connection.take().filter(is_fresh);
        let Some(kept) = kept else { return Connection::open(address).await };
        if kept.address() == address {
            return Ok(kept);
        }
        counters::PEERS_MOVED.add(1);
        Ok(Connection::open(address).await.unwrap_or(kept))
    }
}

impl From<CommitAnswer> for CallOutcome {
    fn from(answer: CommitAnswer) -> CallOutcome {
        match answer {
            CommitAnswer::Applied(count) => CallOutcome::Applied(count),
            CommitAnswer::Busy => CallOutcome::Busy,
            CommitAnswer::Unreadable => CallOutcome::Unreadable,
        }
    }
}

async fn exchange(
    connection: &mut Connection,
    id: u64,
    orders: &[Order],
) -> Result<CommitAnswer, RelayError> {
    connection.write(&commit_call(id, orders)).await?;
    let line = connection.read_answer().await?;
    decode_commit_answer(line, id, orders.len())
}

#[cfg(test)]
mod tests;
