//! Limits the number of connections and the memory of their frames, and evicts connections at the limit.
//!
//! The oldest unidentified connection is evicted for a new one, so that unidentified connections cannot keep collectors out.
//! Of the collectors, the one with the oldest last message is evicted, because its peer has most likely gone away.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::counters;
use crate::startup::ResourceLimits;

/// The maximum frame of a collector, in bytes without the length field.
pub const MAX_FRAME_BYTES: u32 = 1 << 20;
/// The maximum frame of an unidentified connection, in bytes without the length field. An unidentified peer only names its
/// zone or sends a liveness probe.
const MAX_UNIDENTIFIED_FRAME_BYTES: u32 = 4 << 10;
/// The maximum size of the buffer that a connection retains between frames. Frames up to this size need no reservation.
pub const RETAINED_BUFFER_BYTES: usize = 16 << 10;

/// The number of a connection. Connections are numbered in the order in which they are accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

/// The task of a collector's connection, and when it received its last valid message.
struct Collector {
    task: AbortHandle,
    last_message_at: Instant,
}

struct State {
    next_id: u64,
    unidentified: BTreeMap<ConnectionId, AbortHandle>,
    collectors: BTreeMap<ConnectionId, Collector>,
    /// The bytes that are left for large frames.
    free_frame_bytes: usize,
    /// The maximum number of unidentified connections, and also the maximum number of collectors.
    max_connections: usize,
}

/// The limits that all connections share.
#[derive(Clone)]
pub struct ConnectionLimit(Rc<RefCell<State>>);

/// One connection's share of the limit, released on drop.
pub struct ConnectionPermit {
    id: ConnectionId,
    limit: ConnectionLimit,
}

/// The memory reserved for a large frame, released on drop.
pub struct FrameReservation {
    bytes: usize,
    limit: ConnectionLimit,
}

impl ConnectionLimit {
    /// Allows a quarter of the descriptors each for unidentified connections and for collectors. Large frames share 1/16 of
    /// the memory. Their buffers may take twice as much, because a growing buffer may take twice the size of its frame.
    pub fn new(limits: ResourceLimits) -> ConnectionLimit {
        ConnectionLimit(Rc::new(RefCell::new(State {
            next_id: 0,
            unidentified: BTreeMap::new(),
            collectors: BTreeMap::new(),
            free_frame_bytes: (limits.memory_bytes / 16).max(MAX_FRAME_BYTES as usize),
            max_connections: limits.descriptors_per_use(),
        })))
    }

    /// Closes the oldest unidentified connection if their number is at the limit.
    pub fn make_room_for_unidentified(&self) {
        let state = self.0.borrow();
        if state.unidentified.len() < state.max_connections {
            return;
        }
        if let Some((_, oldest)) = state.unidentified.first_key_value() {
            oldest.abort();
            counters::CONNECTIONS_CLOSED_SILENT.add(1);
        }
    }

    /// Issues a permit for a new connection.
    pub fn permit(&self) -> ConnectionPermit {
        let mut state = self.0.borrow_mut();
        let id = ConnectionId(state.next_id);
        state.next_id += 1;
        ConnectionPermit { id, limit: self.clone() }
    }

    /// Adds a new connection as unidentified. `task` is aborted if the connection is evicted.
    pub fn add_unidentified(&self, id: ConnectionId, task: AbortHandle) {
        self.0.borrow_mut().unidentified.insert(id, task);
    }
}

impl ConnectionPermit {
    /// The number of the connection.
    pub fn id(&self) -> ConnectionId {
        self.id
    }

    /// Whether the peer has named a zone of the deployment.
    pub fn is_collector(&self) -> bool {
        self.limit.0.borrow().collectors.contains_key(&self.id)
    }

    /// Records a valid message of a collector. An unidentified connection becomes a collector's; if the number of collectors
    /// is at the limit, the collector with the oldest last message is closed.
    pub fn record_collector_message(&self) {
        let state = &mut *self.limit.0.borrow_mut();
        if let Some(collector) = state.collectors.get_mut(&self.id) {
            collector.last_message_at = Instant::now();
            return;
        }
        let Some(task) = state.unidentified.remove(&self.id) else { return };
        if state.collectors.len() >= state.max_connections {
            let oldest = state.collectors.values().min_by_key(|collector| collector.last_message_at);
            if let Some(oldest) = oldest {
                oldest.task.abort();
                counters::CONNECTIONS_CLOSED_SILENT.add(1);
            }
        }
        state.collectors.insert(self.id, Collector { task, last_message_at: Instant::now() });
    }

    /// Whether the peer may send a frame of this length in bytes.
    pub fn allows(&self, length: u32) -> bool {
        length <= if self.is_collector() { MAX_FRAME_BYTES } else { MAX_UNIDENTIFIED_FRAME_BYTES }
    }

    /// Reserves memory for a frame of this length in bytes. Returns `None` if the large frames of all connections together
    /// would exceed their memory limit.
    pub fn reserve(&self, length: u32) -> Option<FrameReservation> {
        let bytes = if length as usize > RETAINED_BUFFER_BYTES { length as usize } else { 0 };
        let state = &mut *self.limit.0.borrow_mut();
        state.free_frame_bytes = state.free_frame_bytes.checked_sub(bytes)?;
        Some(FrameReservation { bytes, limit: self.limit.clone() })
    }
}

impl Drop for FrameReservation {
    fn drop(&mut self) {
        self.limit.0.borrow_mut().free_frame_bytes += self.bytes;
    }
}

impl Drop for ConnectionPermit {
    fn drop(&mut self) {
        let state = &mut *self.limit.0.borrow_mut();
        state.unidentified.remove(&self.id);
        state.collectors.remove(&self.id);
    }
}
