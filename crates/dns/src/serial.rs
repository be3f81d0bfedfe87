//! Serial numbers of zones (RFC 1982).

use std::cmp::Ordering;

use thiserror::Error;

#[cfg(test)]
mod tests;

/// Why a zone may not replace the known zone.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum SerialError {
    /// The zone's serial is older, or cannot be compared.
    #[error("serial {new} is not newer than {known} (RFC 1982): expected a newer one")]
    NotNewer {
        /// Serial of the known zone.
        known: u32,
        /// Serial of the new zone.
        new: u32,
    },
    /// The zone's serial is the same, but its records differ.
    #[error("serial {serial} is unchanged, but the records differ: expected a newer serial")]
    SameSerial {
        /// Serial of both zones.
        serial: u32,
    },
}

/// Compares an old serial to a new one. Two serials that are exactly half of the number space apart cannot be compared
/// (RFC 1982, section 3.2). The result is `Greater` for either order of them, so neither may replace the other.
pub fn compare_serials(old: u32, new: u32) -> Ordering {
    match new.wrapping_sub(old) {
        0 => Ordering::Equal,
        1..0x8000_0000 => Ordering::Less,
        _ => Ordering::Greater,
    }
}

/// Returns the distance from an old serial to a newer one.
pub(crate) fn serial_distance(old: u32, new: u32) -> u64 {
    u64::from(new.wrapping_sub(old))
}
