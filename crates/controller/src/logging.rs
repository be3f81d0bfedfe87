//! The log: lines on standard error, at a bounded rate, so that a peer's bad input cannot fill it. A write to standard error
//! blocks the only thread: a reader of the log that stops reading holds the controller up once the pipe is full.

use std::fmt;
use std::io::{self, Write};
use std::sync::Mutex;
use std::time::Instant;

use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::Layer;
use tracing_subscriber::fmt::time::uptime;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

/// Enough for any fault to show, too few to cost anything.
const MAX_LINES_PER_SECOND: u32 = 40;

/// What a line shows of a peer's bytes.
const MAX_SHOWN_BYTES: usize = 200;

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// For people: time since the start, level, text.
    #[default]
    Text,
    /// An object a line, for programs.
    Json,
}

/// Lets [`MAX_LINES_PER_SECOND`] through, and counts the lines that it drops.
struct RateLimit {
    start: Instant,
    window: Mutex<Window>,
}

/// One second of the limit.
#[derive(Default)]
struct Window {
    second: u64,
    written: u32,
    dropped: u32,
}

/// What becomes of one line.
#[derive(Debug, PartialEq, Eq)]
struct Decision {
    write: bool,
    /// Lines dropped in the second that has just ended.
    dropped_before: u32,
}

impl Window {
    fn admit(&mut self, second: u64) -> Decision {
        let mut dropped_before = 0;
        if self.second != second {
            dropped_before = self.dropped;
            *self = Window { second, written: 0, dropped: 0 };
        }
        let write = self.written < MAX_LINES_PER_SECOND;
        self.written += u32::from(write);
        self.dropped += u32::from(!write);
        Decision { write, dropped_before }
    }
}

impl<S: Subscriber> Filter<S> for RateLimit {
    fn enabled(&self, metadata: &Metadata<'_>, _: &Context<'_, S>) -> bool {
        *metadata.level() <= tracing::Level::INFO
    }

    fn event_enabled(&self, _: &Event<'_>, _: &Context<'_, S>) -> bool {
        let second = self.start.elapsed().as_secs();
        let Ok(mut window) = self.window.lock() else { return false };
        let Decision { write, dropped_before } = window.admit(second);
        drop(window);
        if dropped_before > 0 {
            write_line(format_args!("{second:9}.000 {dropped_before} lines left out"));
        }
        write
    }
}

/// A peer's bytes as a log line shows them: the first of them, control characters escaped, so that they neither end the line
/// nor pass for another one.
pub fn shown(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(&bytes[..bytes.len().min(MAX_SHOWN_BYTES)]);
    let escape = |c: char| if c.is_control() { c.escape_default().collect() } else { c.to_string() };
    text.trim_end().chars().map(escape).collect()
}

/// Writes a line beside the log. A reader that has gone is no reason to end: the line is lost then, where `eprintln!` panics.
pub fn write_line(line: fmt::Arguments<'_>) {
    let _ = writeln!(io::stderr(), "{line}");
}

/// Installs the log for the whole program. A second call changes nothing.
pub fn start(format: LogFormat) {
    let rate_limit = RateLimit { start: Instant::now(), window: Mutex::default() };
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(io::stderr)
        .with_timer(uptime())
        .with_ansi(false)
        .with_target(false);
    let lines = match format {
        LogFormat::Text => lines.with_filter(rate_limit).boxed(),
        LogFormat::Json => lines.json().flatten_event(true).with_filter(rate_limit).boxed(),
    };
    let _ = tracing_subscriber::registry().with(lines).try_init();
}

#[cfg(test)]
mod tests;
