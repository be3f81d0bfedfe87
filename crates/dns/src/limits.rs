//! Limits of a zone's files and records.

/// Maximum number of files of a zone, including the included files.
pub(crate) const MAX_FILES: usize = 64;
/// Maximum nesting depth of included files.
pub(crate) const MAX_INCLUDE_DEPTH: usize = 8;
/// Maximum total length of a zone's files, in bytes.
pub(crate) const MAX_ZONE_LENGTH: usize = 64 << 20;
/// Maximum number of records of a zone or of a transfer.
pub(crate) const MAX_RECORDS: usize = 1_000_000;
