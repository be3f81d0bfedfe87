//! The log: lines on standard error, at a bounded rate, so that a peer's bad input cannot fill it. No line is waited for: where
//! the reader of the log stops or ends, lines are dropped and counted (`writer.rs`).

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

/// Enough for any fault to show, too few to cost anything.
const MAX_LINES_PER_SECOND: u32 = 40;

/// What a line shows of a peer's bytes.
const MAX_SHOWN_BYTES: usize = 200;

/// The writer of the whole program, from [`open`] on.
static WRITER: OnceLock<LogWriter> = OnceLock::new();

/// The form of lines that are written beside the log, from [`start`] on.
static LINE_FORMAT: OnceLock<LineFormat> = OnceLock::new();

/// The format of log lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum LogFormat {
    /// For people: time since the start, level, text.
    #[default]
    Text,
    /// An object a line, for programs.
    Json,
}

/// The form of lines about the log itself, which do not come through it.
#[derive(Clone, Copy, Debug)]
struct LineFormat {
    format: LogFormat,
    start: Instant,
}

impl LineFormat {
    fn current() -> LineFormat {
        *LINE_FORMAT.get_or_init(|| LineFormat { format: LogFormat::Text, start: Instant::now() })
    }

    /// A line with the time since the start and this text.
    fn line(&self, text: &str) -> String {
        let seconds = self.start.elapsed().as_secs();
        let timestamp = format!("{seconds:9}.000");
        match self.format {
            LogFormat::Text => format!("{timestamp} {text}"),
            LogFormat::Json => json!({"timestamp": timestamp, "level": "WARN", "message": text}).to_string(),
        }
    }
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
            let text = format!("{dropped_before} lines left out");
            write_line(format_args!("{}", LineFormat::current().line(&text)));
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

/// Opens standard error for the log, and has panics written there. Lines are written until the guard is dropped, which waits
/// for the last ones, for a bounded time. To be called once, before the first line.
pub fn open() -> FlushGuard {
    let (writer, flush) = LogWriter::start();
    let _ = WRITER.set(writer);
    std::panic::set_hook(Box::new(|panic| write_line(format_args!("{panic}"))));
    flush
}

/// Writes a line beside the log; it is lost where nobody reads it.
pub fn write_line(line: fmt::Arguments<'_>) {
    if let Some(writer) = WRITER.get() {
        writer.write_line(&line.to_string());
    }
}

/// Lines that were dropped, as nobody read the log.
pub fn dropped_lines() -> usize {
    WRITER.get().map_or(0, LogWriter::dropped_lines)
}

/// Installs the log for the whole program, once it is [`open`]. A second call changes nothing.
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
