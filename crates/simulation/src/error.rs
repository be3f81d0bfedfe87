//! Errors of the input, with the texts that the simulator prints.

use std::fmt;
use std::io;

use dahliaroad_settings::{FieldError, InvalidDuration};
use thiserror::Error;

/// The error that ends the program: a faulty line, or an input that ends inside a batch.
#[derive(Debug, Error)]
pub enum SessionError {
    #[error("line {line}: {fault}")]
    Line {
        /// The number of the line, counted from 1.
        line: usize,
        fault: LineFault,
    },
    #[error("the input ended inside a batch")]
    EndedInsideBatch,
}

/// An error of one line, or of reading or answering it.
#[derive(Debug, Error)]
pub enum LineFault {
    #[error(transparent)]
    Io(#[from] io::Error),
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    #[error("a message is an object with a single key")]
    NotOneKey,
    #[error("batch: the last batch is still open")]
    BatchStillOpen,
    #[error("{message}: no batch is open")]
    NoBatchOpen { message: String },
    #[error(transparent)]
    Field(#[from] FieldError),
    #[error(transparent)]
    Duration(#[from] InvalidDuration),
    #[error("{event}: instance {instance} is not running")]
    NotRunning { event: String, instance: u64 },
    #[error(transparent)]
    Event(#[from] EventError),
}

/// An error of an event of a running instance.
#[derive(Debug, Error)]
pub struct EventError {
    pub event: String,
    pub fault: EventFault,
}

impl fmt::Display for EventError {
    /// Writes the event's name and the fault. The name is left out if the fault's text starts with it, as it does for a
    /// fault of a field of the event's own object.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let fault = self.fault.to_string();
        if !fault.starts_with(&self.event) {
            write!(f, "{}: ", self.event)?;
        }
        f.write_str(&fault)
    }
}

#[derive(Debug, Error)]
pub enum EventFault {
    #[error("unknown event")]
    UnknownEvent,
    #[error(transparent)]
    Field(#[from] FieldError),
    #[error(transparent)]
    Duration(#[from] InvalidDuration),
    /// The number of a zone or class that the settings do not define.
    #[error("field '{field}': {number} does not exist")]
    NumberDoesNotExist { field: &'static str, number: u32 },
    #[error("slice {key_range} does not exist")]
    KeyRangeDoesNotExist { key_range: u64 },
}
