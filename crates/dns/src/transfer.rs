//! Assembles zone transfers from the records of their messages: full (AXFR, RFC 5936) and incremental (IXFR, RFC 1995)
//! transfers, in every form of the response. A transfer has no effect until it is complete.

use std::collections::BTreeSet;

use thiserror::Error;

use crate::limits::MAX_RECORDS;
use crate::serial::compare_serials;
use crate::zone::{Record, Zone};

/// A record of a response, in the order of the response.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferRecord {
    /// The zone's SOA record, reduced to its serial.
    Soa(u32),
    /// Any other record.
    Record(Record),
}

/// The outcome of a transfer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TransferOutcome {
    /// The server has this serial, which is not newer than the known zone.
    UpToDate(u32),
    /// The server has this newer serial, but the changes do not fit in one UDP message (RFC 1995, section 2).
    RetryOverTcp(u32),
    /// The complete zone of the server.
    Zone(Zone),
}

/// Why a transfer cannot be used. The full zone has to be requested next.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum TransferError {
    /// The transfer does not begin with an SOA record, continues after its end, has no record except its SOA record, or
    /// is incomplete after its single UDP message.
    #[error("malformed transfer")]
    Malformed,
    /// The changes do not start at the known zone's serial, or do not follow each other.
    #[error("changes out of sequence")]
    OutOfSequence,
    /// The transfer deletes a record that does not exist, or adds a record that already exists.
    #[error("changes do not match the known zone")]
    Mismatch,
    /// The transfer has too many records.
    #[error("more than {} records", MAX_RECORDS)]
    TooManyRecords,
}

/// Which record of a transfer is expected next.
#[derive(Clone, Copy)]
enum State {
    /// The first SOA record.
    Start,
    /// The record after the first SOA record, which determines the form of the response.
    AfterFirstSoa,
    /// A record of the full zone, or the SOA record that ends it.
    Full,
    /// A deleted record, or the SOA record that precedes the added records.
    Deleting,
    /// An added record, or an SOA record that begins the next change or ends the transfer.
    Adding,
    /// No record: the transfer is complete.
    Finished,
}

/// A transfer in progress. It does not modify the known zone.
pub struct Transfer<'a> {
    apex: &'a str,
    known: Option<&'a Zone>,
    /// The serial of the server's zone, at which the transfer ends.
    target_serial: u32,
    /// The serial that the changes so far have reached.
    reached_serial: u32,
    records: BTreeSet<Record>,
    state: State,
    record_count: usize,
    /// Whether the response is a single UDP message. Records that do not fit in it are not sent.
    is_over_udp: bool,
}

impl<'a> Transfer<'a> {
    /// Creates a transfer of the full zone.
    pub fn full(apex: &'a str) -> Transfer<'a> {
        Transfer {
            apex,
            known: None,
            target_serial: 0,
            reached_serial: 0,
            records: BTreeSet::new(),
            state: State::Start,
            record_count: 0,
            is_over_udp: false,
        }
    }

    /// Creates a transfer of the changes since the known zone. The server may send the full zone instead.
    pub fn incremental(known: &'a Zone) -> Transfer<'a> {
        Transfer { known: Some(known), ..Transfer::full(&known.apex) }
    }

    /// Creates a transfer of the changes since the known zone over UDP.
    pub fn incremental_over_udp(known: &'a Zone) -> Transfer<'a> {
        Transfer { is_over_udp: true, ..Transfer::incremental(known) }
    }

    /// Handles the records of the next message. Returns the outcome when the transfer is complete, otherwise `None`.
    pub fn on_message(
        &mut self,
        message: &[TransferRecord],
    ) -> Result<Option<TransferOutcome>, TransferError> {
        for (index, record) in message.iter().enumerate() {
            self.record_count += 1;
            if self.record_count > MAX_RECORDS {
                return Err(TransferError::TooManyRecords);
            }
            let is_last = index + 1 == message.len();
            let outcome = match record {
                TransferRecord::Soa(serial) => self.on_soa(*serial, is_last)?,
                TransferRecord::Record(record) => self.on_record(record).map(|()| None)?,
            };
            if let Some(outcome) = outcome {
                return if is_last { Ok(Some(outcome)) } else { Err(TransferError::Malformed) };
            }
        }
        if self.is_over_udp { Err(TransferError::Malformed) } else { Ok(None) }
    }

    fn on_record(&mut self, record: &Record) -> Result<(), TransferError> {
        match self.state {
            State::Start | State::Finished => return Err(TransferError::Malformed),
            State::AfterFirstSoa | State::Full => {
                self.records.insert(record.clone());
                self.state = State::Full;
            }
            State::Deleting => {
                if !self.records.remove(record) {
                    return Err(TransferError::Mismatch);
                }
            }
            State::Adding => {
                if !self.records.insert(record.clone()) {
                    return Err(TransferError::Mismatch);
                }
            }
        }
        Ok(())
    }

    fn on_soa(&mut self, serial: u32, is_last: bool) -> Result<Option<TransferOutcome>, TransferError> {
        match self.state {
            State::Start => return Ok(self.on_first_soa(serial, is_last)),
            State::AfterFirstSoa => self.on_second_soa(serial)?,
            State::Full if serial == self.target_serial => return Ok(Some(self.finish())),
            State::Full => return Err(TransferError::OutOfSequence),
            State::Deleting => self.begin_adding(serial)?,
            State::Adding if serial != self.reached_serial => return Err(TransferError::OutOfSequence),
            State::Adding if serial == self.target_serial => return Ok(Some(self.finish())),
            State::Adding => self.state = State::Deleting,
            State::Finished => return Err(TransferError::Malformed),
        }
        Ok(None)
    }

    /// Handles the server's serial. A response of a single SOA record means that the server's zone is not newer, or
    /// that the changes do not fit in the message.
    fn on_first_soa(&mut self, serial: u32, is_last: bool) -> Option<TransferOutcome> {
        self.target_serial = serial;
        self.state = State::AfterFirstSoa;
        let known = self.known?;
        if !compare_serials(known.serial, serial).is_lt() {
            return Some(TransferOutcome::UpToDate(serial));
        }
        (is_last && self.is_over_udp).then_some(TransferOutcome::RetryOverTcp(serial))
    }

    /// Handles the second SOA record, which begins an incremental response from the known zone.
    fn on_second_soa(&mut self, serial: u32) -> Result<(), TransferError> {
        match self.known {
            Some(known) if known.serial == serial => {
                self.reached_serial = serial;
                self.records = known.records.clone();
                self.state = State::Deleting;
                Ok(())
            }
            // A zone without records other than its SOA record is invalid (RFC 1035 requires NS records), and would
            // remove all endpoints.
            _ if serial == self.target_serial => Err(TransferError::Malformed),
            _ => Err(TransferError::OutOfSequence),
        }
    }

    /// Begins the added records of a change. Each change has to increase the serial, and not beyond the target serial.
    fn begin_adding(&mut self, serial: u32) -> Result<(), TransferError> {
        let increases_serial = compare_serials(self.reached_serial, serial).is_lt();
        let exceeds_target = compare_serials(serial, self.target_serial).is_gt();
        if !increases_serial || exceeds_target {
            return Err(TransferError::OutOfSequence);
        }
        self.reached_serial = serial;
        self.state = State::Adding;
        Ok(())
    }

    fn finish(&mut self) -> TransferOutcome {
        self.state = State::Finished;
        let records = std::mem::take(&mut self.records);
        TransferOutcome::Zone(Zone { apex: self.apex.to_owned(), serial: self.target_serial, records })
    }
}
