//! Errors of an exchange with the relay.

use std::io;

use thiserror::Error;

use super::MAX_LINE_BYTES;
use crate::logging::escape_for_log;

/// An error of the relay, or of the connection to it.
#[derive(Debug, Error)]
pub enum RelayError {
    /// The relay refused the connection, or the connection broke.
    #[error(transparent)]
    Connection(#[from] io::Error),
    /// The relay did not accept the connection within [`CONNECT_TIMEOUT`](super::CONNECT_TIMEOUT).
    #[error("timed out while connecting to the relay")]
    ConnectTimedOut,
    /// The relay did not accept a line within [`ANSWER_TIMEOUT`](super::ANSWER_TIMEOUT).
    #[error("timed out while writing to the relay")]
    WriteTimedOut,
    /// The relay did not answer within [`ANSWER_TIMEOUT`](super::ANSWER_TIMEOUT).
    #[error("timed out while waiting for the relay's answer")]
    AnswerTimedOut,
    /// Nothing arrived on the watch stream for longer than the interval between two keepalives.
    #[error("timed out while waiting for a line of the watch stream")]
    Silent,
    /// The relay closed the connection where a line, or the rest of one, was expected.
    #[error("unexpected end of file")]
    Closed,
    /// The relay wrote a line that is longer than any line of the protocol.
    #[error("line longer than {MAX_LINE_BYTES} bytes")]
    LineTooLong,
    /// The relay wrote a line that is not part of the protocol, or that is not expected here. Holds the start of the
    /// line.
    #[error("unexpected line from the relay: {0}")]
    Unreadable(String),
}

impl RelayError {
    /// Returns the error for a line that is not the expected one.
    pub fn unreadable(line: &[u8]) -> RelayError {
        RelayError::Unreadable(escape_for_log(line))
    }
}
