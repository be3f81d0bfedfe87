//! Why a request to a registry member failed.

use thiserror::Error;

/// Why a request failed. The text of a rejection can come from the member. It is quoted, so that it cannot break a log
/// line.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum RequestError {
    /// No connection could be established.
    #[error("unreachable: {0}")]
    Unreachable(String),
    /// There is no connection or watch, or the connection or watch ended.
    #[error("disconnected: {0}")]
    Disconnected(String),
    /// The member's response violates the protocol.
    #[error("invalid response: {0}")]
    InvalidResponse(String),
    /// No response arrived within the timeout.
    #[error("no response within the timeout")]
    Timeout,
    /// The requested revision has been compacted.
    #[error("the requested revision has been compacted")]
    Compacted,
    /// The response exceeds the message size limit.
    #[error("the response exceeds the message size limit")]
    ResponseTooLarge,
    /// The registry holds more entries than are allowed.
    #[error("the registry has more than {limit} entries")]
    TooManyEntries {
        /// The number of entries allowed.
        limit: usize,
    },
    /// Credentials are missing, invalid or expired.
    #[error("unauthorised: credentials are missing, invalid or expired")]
    Unauthorised,
    /// The member has no leader.
    #[error("the member has no leader")]
    NoLeader,
    /// The member rejected the request for another reason.
    #[error("rejected: {0:?}")]
    Rejected(String),
    /// The registry's protocol does not support the request.
    #[error("the registry's protocol does not support the request")]
    Unsupported,
}
