//! The pilot's logger: lines on standard error with the time since the start, at a bounded rate, so that
//! neither a peer's bad input nor a slow reader of the log can hold the pilot up.

use std::io::Write;
use std::sync::Mutex;
use std::time::Instant;

use log::{LevelFilter, Log, Metadata, Record};

/// Lines a second; enough for any trouble to show, too few to cost anything.
const LINES_PER_SECOND: u32 = 40;

struct Lines {
    start: Instant,
    budget: Mutex<Budget>,
}

struct Budget {
    second: u64,
    written: u32,
    left_out: u32,
}

impl Log for Lines {
    fn enabled(&self, _: &Metadata) -> bool {
        true
    }

    fn log(&self, record: &Record) {
        let since = self.start.elapsed();
        let Ok(mut budget) = self.budget.lock() else { return };
        let mut error = std::io::stderr().lock();
        if budget.second != since.as_secs() {
            if budget.left_out > 0 {
                let _ = writeln!(error, "{:9.3} {} lines left out", since.as_secs_f64(), budget.left_out);
            }
            *budget = Budget { second: since.as_secs(), written: 0, left_out: 0 };
        }
        if budget.written >= LINES_PER_SECOND {
            budget.left_out += 1;
            return;
        }
        budget.written += 1;
        let (level, text) = (record.level(), record.args());
        let _ = writeln!(error, "{:9.3} {level:5} {text}", since.as_secs_f64());
    }

    fn flush(&self) {}
}

pub fn start() {
    let budget = Mutex::new(Budget { second: 0, written: 0, left_out: 0 });
    let lines = Lines { start: Instant::now(), budget };
    if log::set_boxed_logger(Box::new(lines)).is_ok() {
        log::set_max_level(LevelFilter::Info);
    }
}
