//! The log: writes lines to standard error at a limited rate, so that a peer's bad input cannot flood it. Callers never wait
//! for a line to be written: if the reader of standard error stops or ends, lines are dropped and counted (`writer.rs`).

mod writer;

use std::fmt;
use std::sync::{Mutex, OnceLock};
use std::time::Instant;

use serde_json::json;
use tracing::{Event, Metadata, Subscriber};
use tracing_subscriber::Layer;
use tracing_subscriber::fmt::time::uptime;
use tracing_subscriber::layer::{Context, Filter, SubscriberExt};
use tracing_subscriber::util::SubscriberInitExt;

pub use writer::FlushGuard;
use writer::LogWriter;

/// The rate limit of log lines: high enough to show any fault, low enough to cost almost nothing.
const MAX_LINES_PER_SECOND: u32 = 40;

/// The maximum number of a peer's bytes that a line shows.
const MAX_SHOWN_BYTES: usize = 200;

/// The program's log writer, set by [`open`].
static WRITER: OnceLock<LogWriter> = OnceLock::new();

/// The format of lines that bypass `tracing`, set by [`start`].
static LINE_FORMAT: OnceLock<LineFormat> = OnceLock::new();

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// For people: time since the start, level, message
    #[default]
    Text,
    /// For programs: one JSON object per line
    Json,
}

/// The format and start time for lines about the log itself, which bypass `tracing`.
#[derive(Clone, Copy, Debug)]
struct LineFormat {
    format: LogFormat,
    start: Instant,
}

impl LineFormat {
    /// Returns the format set by [`start`]. If none is set yet, sets the text format with the current time as the start.
    fn current() -> LineFormat {
        *LINE_FORMAT.get_or_init(|| LineFormat { format: LogFormat::Text, start: Instant::now() })
    }

    /// Formats a line with the time since the start and this text.
    fn line(&self, text: &str) -> String {
        let seconds = self.start.elapsed().as_secs();
        let timestamp = format!("{seconds:9}.000");
        match self.format {
            LogFormat::Text => format!("{timestamp} {text}"),
            LogFormat::Json => json!({"timestamp": timestamp, "level": "WARN", "message": text}).to_string(),
        }
    }
}

/// A filter that passes up to [`MAX_LINES_PER_SECOND`] lines, and counts the lines that it drops.
struct RateLimit {
    start: Instant,
    window: Mutex<Window>,
}

/// The lines written and dropped in one second of the rate limit.
#[derive(Default)]
struct Window {
    second: u64,
    written: u32,
    dropped: u32,
}

/// The rate limit's decision about one line.
#[derive(Debug, PartialEq, Eq)]
struct Decision {
    write: bool,
    /// The number of lines dropped in the previous second in which lines arrived, if this line is the first one after it;
    /// otherwise 0.
    dropped_before: u32,
}

impl Window {
    /// Counts a line in the given second and decides whether it is written.
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
            let text = format!("{dropped_before} log lines dropped by the rate limit");
            write_line(format_args!("{}", LineFormat::current().line(&text)));
        }
        write
    }
}

/// Formats a peer's bytes for a log line: truncates them to [`MAX_SHOWN_BYTES`] and escapes control characters, so that they
/// cannot end the line or imitate another one.
pub fn escape_for_log(bytes: &[u8]) -> String {
    let text = String::from_utf8_lossy(&bytes[..bytes.len().min(MAX_SHOWN_BYTES)]);
    let escape = |character: char| {
        if character.is_control() { character.escape_default().collect() } else { character.to_string() }
    };
    text.trim_end().chars().map(escape).collect()
}

/// Starts the writer to standard error and installs a panic hook that writes to it. Lines are written until the guard is
/// dropped. Dropping the guard waits a limited time for the last lines. Call this function once, before the first line.
pub fn open() -> FlushGuard {
    let (writer, flush) = LogWriter::start();
    let _ = WRITER.set(writer);
    std::panic::set_hook(Box::new(|panic| write_line(format_args!("{panic}"))));
    flush
}

/// Writes a line directly, without `tracing` and the rate limit. The line is lost if standard error is not read.
pub fn write_line(line: fmt::Arguments<'_>) {
    if let Some(writer) = WRITER.get() {
        writer.write_line(&line.to_string());
    }
}

/// Returns the number of lines dropped because standard error was not read.
pub fn dropped_lines() -> usize {
    WRITER.get().map_or(0, LogWriter::dropped_lines)
}

/// Installs the log as the program's `tracing` subscriber. Does nothing before [`open`]; a second call changes nothing.
pub fn start(format: LogFormat) {
    let Some(writer) = WRITER.get() else { return };
    let start = Instant::now();
    let _ = LINE_FORMAT.set(LineFormat { format, start });
    let rate_limit = RateLimit { start, window: Mutex::default() };
    let lines = tracing_subscriber::fmt::layer()
        .with_writer(writer.clone())
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
