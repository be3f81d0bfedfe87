//! One connection to the listen address: reads frames within time and memory limits and handles their messages.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad::Orders;
use dahliaroad_runtime::{Inbox, Input, UnknownEndpoint};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::yield_now;
use tokio::time::{Instant, timeout, timeout_at};

use super::connection_limit::{ConnectionPermit, FrameReservation, RETAINED_BUFFER_BYTES};
use super::decode_schedule::DecodeSchedule;
use super::frame::{self, ALIVE_FRAME, CollectorMessage};
use crate::counters;
use crate::known_names::KnownNames;
use crate::logging::escape_for_log;

/// The maximum time from the start of a connection to its first complete frame, and from the first byte of a frame to its
/// last.
const FRAME_TIMEOUT: Duration = Duration::from_millis(1500);
/// The maximum time between two frames. Collectors report each second, so one that sends nothing for this time has gone away
/// without closing its connection.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// The maximum time to write the answer to a liveness probe.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// The maximum number of consecutive rejected messages of a collector. One more closes the connection; a valid report resets
/// the count.
const MAX_CONSECUTIVE_REJECTIONS: u32 = 32;
/// The number of bytes of frames that a connection handles before the others get a turn.
const BYTES_PER_TURN: usize = 16 << 10;

/// Why the controller closed a connection. Messages show the peer's bytes truncated and escaped.
#[derive(Debug, thiserror::Error)]
pub enum ConnectionError {
    /// A frame is not JSON. The bytes that follow it on the connection cannot be trusted to be frames.
    #[error("not JSON: {0}")]
    NotJson(String),
    /// The message is not valid in this deployment, or it is a report received on an unidentified connection. On a
    /// collector's connection, invalid messages are skipped up to [`MAX_CONSECUTIVE_REJECTIONS`].
    #[error("message not allowed: {0}")]
    NotAllowed(String),
    /// The frame is longer than this peer may send.
    #[error("frame exceeds the length limit, its length bytes: {}", escape_for_log(&.length.to_le_bytes()))]
    FrameTooLong { length: u32 },
    /// The large frames of all connections together would exceed their memory limit.
    #[error("no memory left for the frame, its length bytes: {}", escape_for_log(&.length.to_le_bytes()))]
    NoMemoryForFrame { length: u32 },
    /// The connection broke, or the peer was too slow.
    #[error(transparent)]
    Io(#[from] io::Error),
}

impl ConnectionError {
    /// Whether the peer exceeded a time limit: it was silent or too slow.
    pub fn is_timeout(&self) -> bool {
        matches!(self, ConnectionError::Io(error) if error.kind() == io::ErrorKind::TimedOut)
    }

    /// The length in bytes of the frame that was not read because of this error, if it is about a frame's length.
    pub fn frame_length(&self) -> Option<u32> {
        match self {
            ConnectionError::FrameTooLong { length } | ConnectionError::NoMemoryForFrame { length } => {
                Some(*length)
            }
            _ => None,
        }
    }

    /// Whether the error counts as rejected input: the peer sent something that no collector of this deployment sends, or a
    /// frame for which there was no memory. A broken or slow connection does not count, unless the I/O error is
    /// `InvalidData`.
    pub fn is_bad_input(&self) -> bool {
        match self {
            ConnectionError::Io(error) => error.kind() == io::ErrorKind::InvalidData,
            _ => true,
        }
    }
}

/// A connection to the listen address, of a collector or unidentified.
pub struct CollectorConnection {
    stream: TcpStream,
    peer: SocketAddr,
    permit: ConnectionPermit,
    schedule: Rc<DecodeSchedule>,
    known_names: Rc<KnownNames>,
    inbox: Inbox,
    buffer: Vec<u8>,
    /// The memory of the frame in the buffer, if it is large. It is held until the buffer is released.
    reservation: Option<FrameReservation>,
    bytes_in_turn: usize,
    consecutive_rejections: u32,
}

impl CollectorConnection {
    /// Creates the state of a connection that has just been accepted.
    pub fn new(
        stream: TcpStream,
        peer: SocketAddr,
        permit: ConnectionPermit,
        schedule: Rc<DecodeSchedule>,
        known_names: Rc<KnownNames>,
        inbox: Inbox,
    ) -> CollectorConnection {
        CollectorConnection {
            stream,
            peer,
            permit,
            schedule,
            known_names,
            inbox,
            buffer: Vec::new(),
            reservation: None,
            bytes_in_turn: 0,
            consecutive_rejections: 0,
        }
    }

    /// Serves the connection until it ends. Returns `Ok` if the peer closed it between two frames.
    pub async fn run(&mut self) -> Result<(), ConnectionError> {
        let first_frame_deadline = Instant::now() + FRAME_TIMEOUT;
        let first = timeout_at(first_frame_deadline, self.read_frame()).await;
        let mut has_frame = first.map_err(io::Error::from)??;
        while has_frame {
            counters::FRAMES_READ.add(1);
            self.schedule.wait_for_turn(self.buffer.len()).await;
            self.handle_frame().await?;
            self.end_frame().await;
            has_frame = self.read_frame().await?;
        }
        Ok(())
    }

    /// Reads the next frame into the buffer. Returns `false` if the peer closed the connection before the frame's first
    /// byte.
    async fn read_frame(&mut self) -> Result<bool, ConnectionError> {
        let mut length = [0; 4];
        let first_byte = timeout(IDLE_TIMEOUT, self.stream.read(&mut length[..1])).await;
        if first_byte.map_err(io::Error::from)?? == 0 {
            return Ok(false);
        }
        let rest = timeout(FRAME_TIMEOUT, self.read_rest(length)).await;
        rest.map_err(io::Error::from)??;
        Ok(true)
    }

    /// Reads a frame from the second byte of its length to its end.
    async fn read_rest(&mut self, mut length_bytes: [u8; 4]) -> Result<(), ConnectionError> {
        self.stream.read_exact(&mut length_bytes[1..]).await?;
        let length = u32::from_le_bytes(length_bytes);
        if !self.permit.allows(length) {
            return Err(ConnectionError::FrameTooLong { length });
        }
        let Some(reservation) = self.permit.reserve(length) else {
            return Err(ConnectionError::NoMemoryForFrame { length });
        };
        self.reservation = Some(reservation);
        // The buffer grows with the bytes received, so that a large length without a body costs no memory.
        let mut body = (&mut self.stream).take(u64::from(length));
        let read = body.read_to_end(&mut self.buffer).await?;
        if read < length as usize {
            return Err(io::Error::from(io::ErrorKind::UnexpectedEof).into());
        }
        Ok(())
    }

    /// Releases the memory of the frame in the buffer. Lets other connections go on after [`BYTES_PER_TURN`].
    async fn end_frame(&mut self) {
        self.bytes_in_turn += self.buffer.len();
        self.buffer.clear();
        self.buffer.shrink_to(RETAINED_BUFFER_BYTES);
        self.reservation = None;
        if self.bytes_in_turn >= BYTES_PER_TURN {
            self.bytes_in_turn = 0;
            yield_now().await;
        }
    }

    /// Decodes the frame in the buffer and handles its message.
    async fn handle_frame(&mut self) -> Result<(), ConnectionError> {
        let decoded = frame::decode(&self.buffer, &self.known_names);
        let decoded = decoded.map_err(|_| ConnectionError::NotJson(escape_for_log(&self.buffer)))?;
        counters::LOAD_REPORT_MS.add(decoded.covered.as_millis() as usize);
        match decoded.message {
            Some(CollectorMessage::LivenessProbe) => self.answer_probe().await?,
            Some(CollectorMessage::CollectorIntroduced) => self.permit.record_collector_message(),
            Some(message) if self.permit.is_collector() => {
                self.permit.record_collector_message();
                self.consecutive_rejections = 0;
                counters::LOAD_REPORTS.add(1);
                self.inbox.send(report_input(message)).await;
            }
            None if self.permit.is_collector()
                && self.consecutive_rejections < MAX_CONSECUTIVE_REJECTIONS =>
            {
                self.consecutive_rejections += 1;
                counters::COLLECTOR_MESSAGES_REJECTED.add(1);
                tracing::warn!(
                    peer = %self.peer,
                    input = %escape_for_log(&self.buffer),
                    "collectors: message rejected"
                );
            }
            _ => return Err(ConnectionError::NotAllowed(escape_for_log(&self.buffer))),
        }
        Ok(())
    }

    async fn answer_probe(&mut self) -> io::Result<()> {
        timeout(WRITE_TIMEOUT, self.stream.write_all(ALIVE_FRAME)).await??;
        counters::LIVENESS_PROBES_ANSWERED.add(1);
        Ok(())
    }
}

/// Creates the runtime input that applies a report.
fn report_input(message: CollectorMessage) -> Input {
    Box::new(move |runtime, now| match message {
        CollectorMessage::Endpoint { zone, endpoint, report } => {
            runtime.endpoint_report(now, zone, &endpoint, report).unwrap_or_else(|error| {
                let rejected_reports = match error {
                    UnknownEndpoint::NotListed => &counters::REPORTS_OF_UNLISTED_ENDPOINTS,
                    UnknownEndpoint::NotSteered => &counters::REPORTS_OF_UNSTEERED_ENDPOINTS,
                };
                rejected_reports.add(1);
                Orders::default()
            })
        }
        CollectorMessage::Demand { proxy, class, report } => {
            runtime.assigner.demand_report(now, proxy, class, report)
        }
        CollectorMessage::LivenessProbe | CollectorMessage::CollectorIntroduced => Orders::default(),
    })
}
