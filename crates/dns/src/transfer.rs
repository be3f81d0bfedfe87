//! Zone transfers, put together from the records of their messages: whole (AXFR, RFC 5936) and incremental (IXFR,
//! RFC 1995), in all the forms that an answer may have. Nothing of a transfer holds before all of it has come.

use std::collections::BTreeSet;

use crate::serial::compare;
use crate::zone::{Record, Zone};

/// A record of an answer, in its place.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Item {
    /// The zone's SOA, by its serial.
    Soa(u32),
    Record(Record),
}

/// What a finished transfer says.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Transferred {
    /// The server's serial is this one, and what is known is not older.
    Current(u32),
    /// It has a newer one, and says no more: over UDP, as there is no room (RFC 1995, section 2). TCP is next.
    Beyond(u32),
    Zone(Zone),
}

/// Why a transfer is of no use; the whole zone is to be asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Spoilt {
    /// It does not begin with an SOA, or goes on behind its end.
    Form,
    /// Changes that do not follow on what is known, or on each other.
    Sequence,
    /// A record is taken out that is not there, or put in that is.
    Difference,
    TooLarge,
}

/// Records of one transfer, at most.
const MOST: usize = 1_000_000;

enum Stage {
    Beginning,
    /// The first SOA has come.
    Begun,
    Whole,
    /// Records go out up to the next SOA.
    TakingOut,
    /// Records come in; with the SOA that follows either more changes begin, or all is done.
    PuttingIn,
    Done,
}

/// A transfer on its way. It starts from what is known, and leaves that as it is.
pub struct Transfer<'a> {
    apex: &'a str,
    known: Option<&'a Zone>,
    /// The serial that the answer is to bring.
    new: u32,
    /// The one that the changes have come to.
    at: u32,
    records: BTreeSet<Record>,
    stage: Stage,
    taken: usize,
    /// What does not fit in one message does not come.
    one_message: bool,
}

impl<'a> Transfer<'a> {
    /// Of a whole zone.
    pub fn whole(apex: &'a str) -> Transfer<'a> {
        let (records, stage) = (BTreeSet::new(), Stage::Beginning);
        Transfer { apex, known: None, new: 0, at: 0, records, stage, taken: 0, one_message: false }
    }

    /// Of what has changed since this one. The answer may be the whole all the same.
    pub fn since(known: &'a Zone) -> Transfer<'a> {
        Transfer { known: Some(known), ..Transfer::whole(&known.apex) }
    }

    /// The same over UDP.
    pub fn since_in_one_message(known: &'a Zone) -> Transfer<'a> {
        Transfer { one_message: true, ..Transfer::since(known) }
    }

    /// The records of the next message; `Some` once the transfer is finished.
    pub fn take(&mut self, message: &[Item]) -> Result<Option<Transferred>, Spoilt> {
        for (place, item) in message.iter().enumerate() {
            self.taken += 1;
            if self.taken > MOST {
                return Err(Spoilt::TooLarge);
            }
            let last = place + 1 == message.len();
            if let Some(transferred) = self.item(item, last)? {
                return if last { Ok(Some(transferred)) } else { Err(Spoilt::Form) };
            }
        }
        if self.one_message { Err(Spoilt::Form) } else { Ok(None) }
    }

    fn item(&mut self, item: &Item, last: bool) -> Result<Option<Transferred>, Spoilt> {
        match (&self.stage, item) {
            (Stage::Beginning, Item::Soa(new)) => {
                self.new = *new;
                self.stage = Stage::Begun;
                match self.known {
                    // An answer of one SOA alone: the server has nothing newer, or no room for it.
                    Some(old) if !compare(old.serial, *new).is_lt() => {
                        return Ok(Some(Transferred::Current(*new)));
                    }
                    Some(_) if last && self.one_message => return Ok(Some(Transferred::Beyond(*new))),
                    _ => {}
                }
            }
            (Stage::Begun, Item::Soa(serial)) if self.known.is_some_and(|zone| zone.serial == *serial) => {
                self.at = *serial;
                self.records = self.known.map(|zone| zone.records.clone()).unwrap_or_default();
                self.stage = Stage::TakingOut;
            }
            // A zone without a record but its SOA is none (RFC 1035 asks for NS records), and would end all endpoints.
            (Stage::Begun, Item::Soa(serial)) if *serial == self.new => return Err(Spoilt::Form),
            (Stage::Begun, Item::Soa(_)) => return Err(Spoilt::Sequence),
            (Stage::Begun | Stage::Whole, Item::Record(record)) => {
                self.records.insert(record.clone());
                self.stage = Stage::Whole;
            }
            (Stage::Whole, Item::Soa(serial)) if *serial == self.new => return self.finish(),
            (Stage::Whole, Item::Soa(_)) => return Err(Spoilt::Sequence),
            (Stage::TakingOut, Item::Record(record)) => {
                if !self.records.remove(record) {
                    return Err(Spoilt::Difference);
                }
            }
            (Stage::TakingOut, Item::Soa(serial)) => {
                // Each change leads on, and none past where the answer is to lead.
                if !compare(self.at, *serial).is_lt() || compare(*serial, self.new).is_gt() {
                    return Err(Spoilt::Sequence);
                }
                self.at = *serial;
                self.stage = Stage::PuttingIn;
            }
            (Stage::PuttingIn, Item::Record(record)) => {
                if !self.records.insert(record.clone()) {
                    return Err(Spoilt::Difference);
                }
            }
            (Stage::PuttingIn, Item::Soa(serial)) if *serial != self.at => return Err(Spoilt::Sequence),
            (Stage::PuttingIn, Item::Soa(_)) if self.at == self.new => return self.finish(),
            (Stage::PuttingIn, Item::Soa(_)) => self.stage = Stage::TakingOut,
            (Stage::Beginning, Item::Record(_)) | (Stage::Done, _) => return Err(Spoilt::Form),
        }
        Ok(None)
    }

    fn finish(&mut self) -> Result<Option<Transferred>, Spoilt> {
        self.stage = Stage::Done;
        let records = std::mem::take(&mut self.records);
        let zone = Zone { apex: self.apex.to_owned(), serial: self.new, records };
        Ok(Some(Transferred::Zone(zone)))
    }
}
