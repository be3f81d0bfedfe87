//! Zones and their records.

use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::net::IpAddr;

use crate::serial::{SerialError, compare_serials};

/// The data of a record, as far as the mapping to endpoints uses it. Names are absolute, in lower case (RFC 4343),
/// without the trailing dot.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum RecordData {
    /// An IPv4 or IPv6 address (A, AAAA).
    Address(IpAddr),
    /// The location of a service (SRV, RFC 2782).
    Service {
        /// Priority. Endpoints with the lowest number are used first.
        priority: u16,
        /// Relative weight among the records of the same priority.
        weight: u16,
        /// Port of the service.
        port: u16,
        /// Name of the host. Empty if the record states that the service is not available.
        target: String,
    },
    /// An instance of a service (PTR, RFC 6763, section 4.1).
    Pointer(String),
    /// Strings, usually of the form `key=value` (TXT, RFC 6763, section 6).
    Text(Vec<String>),
    /// The canonical name of an alias (CNAME).
    Alias(String),
    /// A record that the mapping does not use.
    Other,
}

/// A record of a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Record {
    /// Name of the owner, absolute, in lower case, without the trailing dot.
    pub owner: String,
    /// Data of the record.
    pub data: RecordData,
}

/// The contents of a zone at one serial.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Zone {
    /// Name of the zone's apex, absolute, in lower case, without the trailing dot.
    pub apex: String,
    /// Serial number of the SOA record.
    pub serial: u32,
    /// All records. A zone is a set, so each record occurs once.
    pub records: BTreeSet<Record>,
}

impl Zone {
    /// Returns whether this zone replaces an older one, by comparing the serials (RFC 1982); `false` if both zones
    /// are the same. Fails if this zone must not replace the older one.
    pub fn follows(&self, old: &Zone) -> Result<bool, SerialError> {
        let known = old.serial;
        let new = self.serial;
        match compare_serials(known, new) {
            Ordering::Greater => Err(SerialError::NotNewer { known, new }),
            Ordering::Equal if old.records != self.records => Err(SerialError::SameSerial { serial: new }),
            order => Ok(order.is_lt()),
        }
    }

    /// Returns the data of an owner's records.
    pub fn records_of<'a, 'b>(
        &'a self,
        owner: &'b str,
    ) -> impl Iterator<Item = &'a RecordData> + use<'a, 'b> {
        // The smallest data in the order of `RecordData`.
        let data = RecordData::Address(IpAddr::from([0, 0, 0, 0]));
        let first = Record { owner: owner.to_owned(), data };
        let records = self.records.range(first..).take_while(move |record| record.owner == owner);
        records.map(|record| &record.data)
    }
}
