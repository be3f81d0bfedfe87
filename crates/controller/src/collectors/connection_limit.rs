//! Bounds connections and the memory of their frames, and decides who gives way.
//!
//! Strangers give way to newcomers, the oldest first, so that they cannot keep collectors out. Of collectors the one that was
//! heard of longest ago gives way, as it has most likely vanished.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::rc::Rc;

use tokio::task::AbortHandle;
use tokio::time::Instant;

use crate::counters;
use crate::startup::ResourceLimits;

/// The largest frame of a collector, in bytes without its length.
pub const MAX_FRAME_BYTES: u32 = 1 << 20;
/// The largest frame of a stranger: it names a zone, or probes.
const MAX_STRANGER_FRAME_BYTES: u32 = 4 << 10;
/// What a connection keeps of its buffer between frames. Frames up to this size need no reservation.
pub const KEPT_BUFFER_BYTES: usize = 16 << 10;

/// The number of a connection, in the order of their arrival.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ConnectionId(u64);

struct Collector {
    task: AbortHandle,
    last_heard: Instant,
}

struct State {
    next_id: u64,
    strangers: BTreeMap<ConnectionId, AbortHandle>,
    collectors: BTreeMap<ConnectionId, Collector>,
    /// Bytes left for large frames.
    free_frame_bytes: usize,
    /// The most strangers, and the most collectors.
    max_connections: usize,
}

/// The limit that all connections share.
#[derive(Clone)]
pub struct ConnectionLimit(Rc<RefCell<State>>);

/// One connection's place in the limit, given back when it is dropped.
pub struct ConnectionPermit {
    id: ConnectionId,
    limit: ConnectionLimit,
}

/// The memory reserved for a large frame, given back when it is dropped.
pub struct FrameReservation {
    bytes: usize,
    limit: ConnectionLimit,
}

impl ConnectionLimit {
    /// A quarter of the descriptors each for strangers and collectors. Large frames share 1/16 of the memory; a growing
    /// buffer may take twice its frame.
    pub fn new(limits: ResourceLimits) -> ConnectionLimit {
        ConnectionLimit(Rc::new(RefCell::new(State {
            next_id: 0,
            strangers: BTreeMap::new(),
            collectors: BTreeMap::new(),
            free_frame_bytes: (limits.memory_bytes / 16).max(MAX_FRAME_BYTES as usize),
            max_connections: limits.descriptors_of_each_use(),
        })))
    }

    /// Closes the oldest stranger where there are as many as there may be.
    pub fn make_room_for_stranger(&self) {
        let state = self.0.borrow();
        if state.strangers.len() < state.max_connections {
            return;
        }
        if let Some((_, oldest)) = state.strangers.first_key_value() {
            oldest.abort();
            counters::CONNECTIONS_CLOSED_SILENT.add(1);
        }
    }

    /// A permit for a new connection.
    pub fn permit(&self) -> ConnectionPermit {
        let mut state = self.0.borrow_mut();
        let id = ConnectionId(state.next_id);
        state.next_id += 1;
        ConnectionPermit { id, limit: self.clone() }
    }

    /// Counts a new connection as a stranger's, whose task is closed when it has to give way.
    pub fn add_stranger(&self, id: ConnectionId, task: AbortHandle) {
        self.0.borrow_mut().strangers.insert(id, task);
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

    /// Notes that a collector was heard of. A stranger becomes one; where there are as many as there may be, the one that was
    /// heard of longest ago is closed.
    pub fn note_collector(&self) {
        let state = &mut *self.limit.0.borrow_mut();
        if let Some(collector) = state.collectors.get_mut(&self.id) {
            collector.last_heard = Instant::now();
            return;
        }
        let Some(task) = state.strangers.remove(&self.id) else { return };
        if state.collectors.len() >= state.max_connections {
            let quietest = state.collectors.values().min_by_key(|collector| collector.last_heard);
            if let Some(quietest) = quietest {
                quietest.task.abort();
                counters::CONNECTIONS_CLOSED_SILENT.add(1);
            }
        }
        state.collectors.insert(self.id, Collector { task, last_heard: Instant::now() });
    }

    /// Whether a frame of this length is allowed for this peer.
    pub fn allows(&self, length: u32) -> bool {
        length <= if self.is_collector() { MAX_FRAME_BYTES } else { MAX_STRANGER_FRAME_BYTES }
    }

    /// Reserves memory for a frame of this length; `None` where all connections' large frames together take too much.
    pub fn reserve(&self, length: u32) -> Option<FrameReservation> {
        let bytes = if length as usize > KEPT_BUFFER_BYTES { length as usize } else { 0 };
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
        state.strangers.remove(&self.id);
        state.collectors.remove(&self.id);
    }
}
