//! A TCP connection to the relay, read and written in lines.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout};

use super::error::RelayError;
use super::{ANSWER_TIMEOUT, CONNECT_TIMEOUT, MAX_LINE_BYTES};

/// A connection to the relay, on which both sides write lines.
pub struct Connection {
    address: SocketAddr,
    stream: BufReader<TcpStream>,
    line: Vec<u8>,
    written_at: Instant,
}

impl Connection {
    /// Connects within [`CONNECT_TIMEOUT`].
    pub async fn open(address: SocketAddr) -> Result<Connection, RelayError> {
        let connected = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
        let stream = connected.map_err(|_| RelayError::ConnectTimedOut)??;
        stream.set_nodelay(true)?;
        Ok(Connection {
            address,
            stream: BufReader::new(stream),
            line: Vec::new(),
            written_at: Instant::now(),
        })
    }

    /// Returns the relay's address at the time the connection was opened.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Returns the time since the connection was opened or last written to.
    pub fn idle_for(&self) -> Duration {
        self.written_at.elapsed()
    }

    /// Whether no unrequested input has arrived, including an end of file. A call on a connection that the relay has
    /// closed would have an unknown outcome.
    pub fn has_no_pending_input(&self) -> bool {
        let would_block = |error: io::Error| error.kind() == io::ErrorKind::WouldBlock;
        let nothing_buffered = self.stream.buffer().is_empty();
        nothing_buffered && self.stream.get_ref().try_read(&mut [0]).is_err_and(would_block)
    }

    /// Closes the connection with a TCP reset, which discards data that is still in transit. After an ordinary close,
    /// this data would be delivered once the relay is reachable again, after later calls.
    pub fn reset(self) {
        // This fails only if the socket is already closed.
        let _ = self.stream.get_ref().set_zero_linger();
    }

    /// Writes a line, including its line end, within [`ANSWER_TIMEOUT`].
    pub async fn write(&mut self, line: &[u8]) -> Result<(), RelayError> {
        let written = timeout(ANSWER_TIMEOUT, self.stream.write_all(line)).await;
        written.map_err(|_| RelayError::WriteTimedOut)??;
        self.written_at = Instant::now();
        Ok(())
    }

    /// Reads the answer to the last written line, including its line end, within [`ANSWER_TIMEOUT`].
    pub async fn read_answer(&mut self) -> Result<&[u8], RelayError> {
        self.read_line(ANSWER_TIMEOUT, RelayError::AnswerTimedOut).await
    }

    /// Reads the next line, including its line end. A partial line received before the time limit, or before the
    /// caller stops waiting, is kept for the next read.
    pub async fn read(&mut self, time_limit: Duration) -> Result<&[u8], RelayError> {
        self.read_line(time_limit, RelayError::Silent).await
    }

    async fn read_line(&mut self, time_limit: Duration, timed_out: RelayError) -> Result<&[u8], RelayError> {
        if self.line.ends_with(b"\n") {
            self.line.clear();
        }
        let remaining_bytes = MAX_LINE_BYTES.saturating_sub(self.line.len());
        let mut bounded = (&mut self.stream).take(remaining_bytes as u64);
        let read = timeout(time_limit, bounded.read_until(b'\n', &mut self.line)).await;
        read.map_err(|_| timed_out)??;
        if self.line.ends_with(b"\n") {
            Ok(&self.line)
        } else if self.line.len() >= MAX_LINE_BYTES {
            Err(RelayError::LineTooLong)
        } else {
            Err(RelayError::Closed)
        }
    }

    /// Returns the line that was read last.
    pub fn last_line(&self) -> &[u8] {
        &self.line
    }
}

#[cfg(test)]
mod tests;
