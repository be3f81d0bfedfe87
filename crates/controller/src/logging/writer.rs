//! Writes the log's lines without ever holding up the caller: a thread of its own writes them to standard error, through a bounded
//! buffer. Where the reader of the log does not keep up, lines are dropped and counted, and the count is written once lines
//! are read again.

use std::io::{self, Stderr, Write};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, OnceLock, mpsc};
use std::thread;
use std::time::Duration;

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use super::LineFormat;

/// Lines that wait to be written; beyond these, lines are dropped.
const MAX_BUFFERED_LINES: usize = 256;
/// How long the program's end waits for the last lines. The platform kills a program 700 ms after it told it to end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The pause before a standard error that takes nothing now, as somebody made it non-blocking, is written to again.
const WOULD_BLOCK_PAUSE: Duration = Duration::from_millis(10);

/// Lines that nobody will read.
#[derive(Default)]
struct DroppedLines {
    /// Lines that found the buffer full, as the crate counts them.
    unbuffered: OnceLock<ErrorCounter>,
    /// Lines that standard error did not take.
    unwritten: AtomicUsize,
}

impl DroppedLines {
    fn count(&self) -> usize {
        let unbuffered = self.unbuffered.get().map_or(0, ErrorCounter::dropped_lines);
        unbuffered + self.unwritten.load(Relaxed)
    }
}

/// The writer of the log, to be cloned for each line.
#[derive(Clone)]
pub struct LogWriter {
    lines: NonBlocking,
    dropped: Arc<DroppedLines>,
}

impl LogWriter {
    /// Starts the thread that writes to standard error. The lines are written until the guard is dropped.
    pub fn start() -> (LogWriter, FlushGuard) {
        let dropped = Arc::new(DroppedLines::default());
        let output = LineOutput { output: io::stderr(), dropped: dropped.clone(), reported: 0 };
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED_LINES);
        let (lines, worker) = builder.thread_name("log").finish(output);
        let _ = dropped.unbuffered.set(lines.error_counter());
        (LogWriter { lines, dropped }, FlushGuard(Some(worker)))
    }

    /// Writes a line, or drops it.
    pub fn write_line(&self, line: &str) {
        // One write is one line; it never fails.
        let _ = self.lines.clone().write(format!("{line}\n").as_bytes());
    }

    /// Lines dropped so far.
    pub fn dropped_lines(&self) -> usize {
        self.dropped.count()
    }
}

impl<'a> tracing_subscriber::fmt::MakeWriter<'a> for LogWriter {
    type Writer = NonBlocking;

    fn make_writer(&'a self) -> NonBlocking {
        self.lines.clone()
    }
}

/// Dropped at the program's end: waits for the last lines to be written, for [`FLUSH_TIMEOUT`] at most.
pub struct FlushGuard(Option<WorkerGuard>);

impl Drop for FlushGuard {
    fn drop(&mut self) {
        let Some(worker) = self.0.take() else { return };
        let (flushed, is_flushed) = mpsc::channel();
        // The crate's own guard waits for longer than the platform does, so that is left to a thread which may stay behind.
        let flush = thread::Builder::new().spawn(move || {
            drop(worker);
            let _ = flushed.send(());
        });
        if flush.is_ok() {
            let _ = is_flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Standard error, as the log's thread writes to it. A line that it does not take is counted and left out; the count goes
/// before the next line.
struct LineOutput<W = Stderr> {
    output: W,
    dropped: Arc<DroppedLines>,
    /// Dropped lines that were reported.
    reported: usize,
}

impl<W: Write> LineOutput<W> {
    fn report_dropped(&mut self) -> io::Result<()> {
        let dropped = self.dropped.count();
        if dropped == self.reported {
            return Ok(());
        }
        let count = dropped - self.reported;
        let text = format!("{count} log lines dropped, as the log was not read");
        let line = LineFormat::current().line(&text);
        self.write_patiently(format!("{line}\n").as_bytes())?;
        self.reported = dropped;
        Ok(())
    }

    /// Waits until standard error takes all of it; nobody but the log waits for this thread.
    fn write_patiently(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.output.write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => thread::sleep(WOULD_BLOCK_PAUSE),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

impl<W: Write> Write for LineOutput<W> {
    /// Takes a whole line, written or not.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let written = self.report_dropped().and_then(|()| self.write_patiently(line));
        self.dropped.unwritten.fetch_add(usize::from(written.is_err()), Relaxed);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
