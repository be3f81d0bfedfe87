//! Learns endpoints from DNS zones and reports them as messages of a membership source.
//!
//! [`Schema`] maps a zone's records to endpoints. [`ZoneFollower`] follows a zone file across replacements, and
//! [`Transfer`] assembles a zone transfer from its messages. These types do no I/O and read no clock.
//! [`follow_zone_file`] polls the zone file.
//!
//! ```
//! use dahliaroad_dns::{Schema, Zone, compare_serials};
//! use dahliaroad_membership::Topology;
//!
//! let text = "@ 60 SOA ns hostmaster 7 3600 600 86400 60\n\
//!     _ledger._tcp 60 SRV 0 20 9000 e1\n\
//!     e1 60 A 10.0.0.1\n\
//!     e1 60 TXT zone=a\n";
//! let zone = Zone::read("fleet.example", "a.zone", &mut |_| Ok(text.to_owned())).unwrap();
//! let schema = Schema {
//!     service: "_ledger._tcp".into(),
//!     topology: Topology { zones: vec!["a".into()], kinds: vec![] },
//! };
//! let mapped = schema.map(&zone);
//! assert_eq!((mapped.endpoints.len(), mapped.problems.len()), (1, 0));
//! assert!(compare_serials(7, 8).is_lt());
//! ```

#![warn(missing_docs)]

mod candidate;
mod limits;
mod record_problem;
mod schema;
mod serial;
mod transfer;
mod zone;
mod zone_error;
mod zone_file;
mod zone_follower;
mod zone_reader;

pub use record_problem::{RecordFault, RecordProblem};
pub use schema::{MappedZone, Schema, ZoneEndpoint};
pub use serial::{SerialError, compare_serials};
pub use transfer::{Transfer, TransferError, TransferOutcome, TransferRecord};
pub use zone::{Record, RecordData, Zone};
pub use zone_error::{ZoneFault, ZoneFileError};
pub use zone_file::{follow_zone_file, load_zone};
pub use zone_follower::{FileAction, FileStamp, ZoneFollower, ZoneStatistics};
