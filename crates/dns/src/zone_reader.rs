//! Reads a zone from master files (RFC 1035, section 5) with the `domain` crate's parser.

use std::collections::BTreeSet;
use std::io;
use std::panic::{AssertUnwindSafe, catch_unwind};
use std::str::FromStr;

use domain::base::Name;
use domain::base::iana::Class;
use domain::base::name::ToName;
use domain::rdata::ZoneRecordData;
use domain::zonefile::inplace::{Entry, Error, ScannedRecordData, Zonefile};

use crate::limits::{MAX_FILES, MAX_INCLUDE_DEPTH, MAX_RECORDS, MAX_ZONE_LENGTH};
use crate::zone::{Record, RecordData, Zone};
use crate::zone_error::{ZoneFault, ZoneFileError};

/// Number of errors after which reading stops.
const MAX_ERRORS: usize = 100;

impl Zone {
    /// Reads the file with this name and the files that it includes. Fails if any of them has an error. `read_text`
    /// returns the text of a file.
    pub fn read(
        apex: &str,
        file: &str,
        read_text: &mut dyn FnMut(&str) -> io::Result<String>,
    ) -> Result<Zone, Vec<ZoneFileError>> {
        let apex = apex.trim_end_matches('.').to_ascii_lowercase();
        let mut reader = ZoneReader::new(&apex, read_text);
        reader.read(file, None);
        let found = reader.serials.len();
        if reader.errors.is_empty() && found != 1 {
            reader.add_error(file, 0, ZoneFault::SoaCount { apex: apex.clone(), found });
        }
        let ZoneReader { serials, records, mut errors, .. } = reader;
        errors.sort_by_cached_key(|error| (error.file.clone(), error.line, error.reason.to_string()));
        match serials.first() {
            Some(&serial) if errors.is_empty() => Ok(Zone { apex, serial, records }),
            _ => Err(errors),
        }
    }
}

/// Reads a zone's file and the files that it includes.
struct ZoneReader<'a> {
    apex: &'a str,
    read_text: &'a mut dyn FnMut(&str) -> io::Result<String>,
    /// Serials of all SOA records found.
    serials: Vec<u32>,
    records: BTreeSet<Record>,
    errors: Vec<ZoneFileError>,
    /// The files being read. Each is included by the one before it.
    open_files: Vec<String>,
    file_count: usize,
    length: usize,
}

impl<'a> ZoneReader<'a> {
    fn new(apex: &'a str, read_text: &'a mut dyn FnMut(&str) -> io::Result<String>) -> ZoneReader<'a> {
        ZoneReader {
            apex,
            read_text,
            serials: Vec::new(),
            records: BTreeSet::new(),
            errors: Vec::new(),
            open_files: Vec::new(),
            file_count: 0,
            length: 0,
        }
    }

    fn add_error(&mut self, file: &str, line: usize, reason: ZoneFault) {
        self.errors.push(ZoneFileError { file: file.to_owned(), line, reason });
    }

    /// Reads a file with this origin, or with the zone's apex as the origin if there is none.
    fn read(&mut self, file: &str, origin: Option<&str>) {
        let text = match self.load(file) {
            Ok(text) => text,
            Err(reason) => return self.add_error(file, 0, reason),
        };
        // A writer that does not replace files atomically most likely leaves an incomplete last line.
        if !text.ends_with('\n') {
            self.add_error(file, text.lines().count(), ZoneFault::Truncated);
        }
        let origin = origin.unwrap_or(self.apex);
        let Ok(origin_name) = Name::from_str(&format!("{origin}.")) else {
            return self.add_error(file, 0, ZoneFault::InvalidOrigin(origin.to_owned()));
        };
        let mut parser = Zonefile::from(text.as_str());
        parser.set_origin(origin_name);
        parser.set_default_class(Class::IN);
        self.open_files.push(file.to_owned());
        self.read_entries(file, &text, &mut parser);
        self.open_files.pop();
    }

    /// Returns the text of a file, within the limits.
    fn load(&mut self, file: &str) -> Result<String, ZoneFault> {
        if self.open_files.iter().any(|open| open == file) {
            return Err(ZoneFault::IncludesItself);
        }
        self.file_count += 1;
        if self.open_files.len() >= MAX_INCLUDE_DEPTH || self.file_count > MAX_FILES {
            return Err(ZoneFault::TooManyFiles);
        }
        let text = (self.read_text)(file).map_err(|error| ZoneFault::Unreadable(error.to_string()))?;
        self.length += text.len();
        if self.length > MAX_ZONE_LENGTH {
            return Err(ZoneFault::TooLong);
        }
        Ok(text)
    }

    fn read_entries(&mut self, file: &str, text: &str, parser: &mut Zonefile) {
        let mut lines = LineCounter::new(text);
        while self.errors.len() < MAX_ERRORS && self.records.len() <= MAX_RECORDS {
            // The parser panics on some texts that are not zones. Such a panic counts as an error of the file.
            let entry = catch_unwind(AssertUnwindSafe(|| parser.next_entry()));
            let line = lines.line_breaks_before(parser.current_offset());
            match entry {
                Ok(Ok(None)) => return,
                Ok(Ok(Some(Entry::Record(record)))) => {
                    self.add_record(file, line.max(1), normalized_name(record.owner()), record.data());
                }
                Ok(Ok(Some(Entry::Include { path, origin }))) => {
                    let origin = origin.map(|origin| normalized_name(&origin));
                    self.include(file, line.max(1), path.as_ref(), origin.as_deref());
                }
                // The text after a syntax error cannot be distinguished from the erroneous entry.
                Ok(Err(error)) => return self.add_syntax_error(file, &error),
                Err(_) => return self.add_error(file, line + 1, ZoneFault::ParserPanicked),
            }
        }
    }

    fn add_record(&mut self, file: &str, line: usize, owner: String, data: &ScannedRecordData) {
        let apex = self.apex.to_owned();
        if !is_within(&owner, self.apex) {
            self.add_error(file, line, ZoneFault::OutsideZone { owner: owner.clone(), apex: apex.clone() });
        }
        if let ZoneRecordData::Soa(soa) = data {
            if owner != apex {
                self.add_error(file, line, ZoneFault::MisplacedSoa { owner: owner.clone(), apex });
            }
            self.serials.push(soa.serial().into_int());
        }
        self.records.insert(Record { owner, data: record_data(data) });
        if self.records.len() == MAX_RECORDS + 1 {
            self.add_error(file, line, ZoneFault::TooManyRecords);
        }
    }

    fn include(&mut self, file: &str, line: usize, path: &str, origin: Option<&str>) {
        if path.is_empty() || path.starts_with('.') || path.contains(['/', '\\']) {
            return self.add_error(file, line, ZoneFault::ForeignInclude(path.to_owned()));
        }
        self.read(path, origin);
    }

    /// Records a syntax error. The parser's message has the form "line:column: what".
    fn add_syntax_error(&mut self, file: &str, error: &Error) {
        let message = error.to_string();
        let mut parts = message.splitn(3, ':');
        let mut number = || parts.next().and_then(|number| number.parse::<usize>().ok()).unwrap_or(0);
        let line = number();
        let column = number();
        // At the end of a line the parser's position is already in the next line.
        let line = if column <= 2 { line.saturating_sub(1).max(1) } else { line };
        let what = parts.next().unwrap_or(&message).trim().to_owned();
        self.add_error(file, line, ZoneFault::Syntax(what));
    }
}

/// Counts line breaks incrementally, from entry to entry. Counting from the start for each entry would take minutes
/// for a large zone.
struct LineCounter<'a> {
    text: &'a [u8],
    /// Bytes counted so far.
    counted: usize,
    line_breaks: usize,
}

impl LineCounter<'_> {
    fn new(text: &str) -> LineCounter<'_> {
        LineCounter { text: text.as_bytes(), counted: 0, line_breaks: 0 }
    }

    /// Returns the number of line breaks before an offset. Offsets must not decrease from call to call. After an
    /// entry the parser's offset is past the line break, so the result is the entry's line.
    fn line_breaks_before(&mut self, offset: usize) -> usize {
        let offset = offset.clamp(self.counted, self.text.len());
        let bytes = &self.text[self.counted..offset];
        self.line_breaks += bytes.iter().filter(|byte| **byte == b'\n').count();
        self.counted = offset;
        self.line_breaks
    }
}

/// Converts a name to the form used in [`Zone`]: absolute, in lower case, without the trailing dot.
fn normalized_name(name: &impl ToName) -> String {
    name.to_vec().to_string().trim_end_matches('.').to_ascii_lowercase()
}

fn is_within(name: &str, apex: &str) -> bool {
    apex.is_empty() || name == apex || name.strip_suffix(apex).is_some_and(|rest| rest.ends_with('.'))
}

fn record_data(data: &ScannedRecordData) -> RecordData {
    match data {
        ZoneRecordData::A(a) => RecordData::Address(a.addr().into()),
        ZoneRecordData::Aaaa(aaaa) => RecordData::Address(aaaa.addr().into()),
        ZoneRecordData::Srv(srv) => RecordData::Service {
            priority: srv.priority(),
            weight: srv.weight(),
            port: srv.port(),
            target: normalized_name(srv.target()),
        },
        ZoneRecordData::Ptr(ptr) => RecordData::Pointer(normalized_name(ptr.ptrdname())),
        ZoneRecordData::Txt(txt) => {
            RecordData::Text(txt.iter().map(|string| String::from_utf8_lossy(string).into_owned()).collect())
        }
        ZoneRecordData::Cname(cname) => RecordData::Alias(normalized_name(cname.cname())),
        _ => RecordData::Other,
    }
}
