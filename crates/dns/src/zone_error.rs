//! Errors of zone files.

use std::fmt;

use thiserror::Error;

use crate::limits::{MAX_FILES, MAX_INCLUDE_DEPTH, MAX_RECORDS, MAX_ZONE_LENGTH};
use crate::serial::SerialError;

/// An error in a zone file, with its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneFileError {
    /// The file.
    pub file: String,
    /// The line, from 1; 0 if the error concerns the whole file.
    pub line: usize,
    /// What is wrong.
    pub reason: ZoneFault,
}

impl fmt::Display for ZoneFileError {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self.line {
            0 => write!(formatter, "{}: {}", self.file, self.reason),
            line => write!(formatter, "{}: line {line}: {}", self.file, self.reason),
        }
    }
}

impl std::error::Error for ZoneFileError {}

/// What is wrong with a zone file.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
pub enum ZoneFault {
    /// The file cannot be read.
    #[error("{0}")]
    Unreadable(String),
    /// The parser found a syntax error.
    #[error("{0}")]
    Syntax(String),
    /// The parser panicked, so the reason is unknown.
    #[error("the parser failed on this text")]
    ParserPanicked,
    /// The file does not end with a line break. Most likely its writer has not finished, or crashed.
    #[error("the last line has no line break: the file may be truncated")]
    Truncated,
    /// The origin is not a domain name.
    #[error("the origin is not a domain name: {0}")]
    InvalidOrigin(String),
    /// A record's owner is outside the zone.
    #[error("{owner} is not in the zone {apex}")]
    OutsideZone {
        /// The owner's name.
        owner: String,
        /// The zone's apex.
        apex: String,
    },
    /// An SOA record is not at the zone's apex.
    #[error("an SOA of {owner}: expected one of {apex}")]
    MisplacedSoa {
        /// The owner's name.
        owner: String,
        /// The zone's apex.
        apex: String,
    },
    /// There is no SOA record, or more than one.
    #[error("expected one SOA of {apex}, found {found}")]
    SoaCount {
        /// The zone's apex.
        apex: String,
        /// Number of SOA records.
        found: usize,
    },
    /// An included file is not in the same directory. This keeps a zone from reading other files.
    #[error("$INCLUDE {0}: expected a file of the same directory")]
    ForeignInclude(String),
    /// The file includes itself, directly or through other files.
    #[error("includes itself")]
    IncludesItself,
    /// Too many files are included, or they are nested too deeply.
    #[error("more than {} files, or included files nested more than {} deep", MAX_FILES, MAX_INCLUDE_DEPTH)]
    TooManyFiles,
    /// The zone's files are too long in total.
    #[error("the zone's files have more than {} bytes in total", MAX_ZONE_LENGTH)]
    TooLong,
    /// The zone has too many records.
    #[error("the zone has more than {} records", MAX_RECORDS)]
    TooManyRecords,
    /// The zone may not replace the known zone.
    #[error(transparent)]
    Serial(#[from] SerialError),
}
