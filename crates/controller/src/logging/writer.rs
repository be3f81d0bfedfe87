//! Writes log lines without ever blocking the caller: a separate thread writes them from a bounded buffer to standard error.
//! If the reader of standard error does not keep up, lines are dropped and counted. The count is written once lines are read
//! again.

use std::io::{self, Stderr, Write};
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};
use std::sync::{Arc, OnceLock, mpsc};
use std::thread;
use std::time::Duration;

use tracing_appender::non_blocking::{ErrorCounter, NonBlocking, NonBlockingBuilder, WorkerGuard};

use super::LineFormat;

/// The capacity of the buffer. Lines that find it full are dropped.
const MAX_BUFFERED_LINES: usize = 256;
/// The maximum time that the program waits at its end for the last lines. The platform kills a program 700 ms after it
/// requests its end.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);
/// The delay before the retry of a write to standard error that returned `WouldBlock`. A write returns this error if
/// another process has set standard error to non-blocking mode.
const WOULD_BLOCK_RETRY_DELAY: Duration = Duration::from_millis(10);

/// The numbers of lines that were dropped, by cause.
#[derive(Default)]
struct DroppedLines {
    /// Lines that found the buffer full, counted by `tracing_appender`.
    unbuffered: OnceLock<ErrorCounter>,
    /// Lines whose write to standard error failed.
    unwritten: AtomicUsize,
}

impl DroppedLines {
    fn count(&self) -> usize {
        let unbuffered = self.unbuffered.get().map_or(0, ErrorCounter::dropped_lines);
        unbuffered + self.unwritten.load(Relaxed)
    }
}

/// The handle that callers write log lines to. It is cloned for each line.
#[derive(Clone)]
pub struct LogWriter {
    lines: NonBlocking,
    dropped: Arc<DroppedLines>,
}

impl LogWriter {
    /// Starts the thread that writes to standard error. Lines are written until the guard is dropped.
    pub fn start() -> (LogWriter, FlushGuard) {
        let dropped = Arc::new(DroppedLines::default());
        let output = LineOutput { output: io::stderr(), dropped: dropped.clone(), reported: 0 };
        let builder = NonBlockingBuilder::default().lossy(true).buffered_lines_limit(MAX_BUFFERED_LINES);
        let (lines, worker) = builder.thread_name("log").finish(output);
        let _ = dropped.unbuffered.set(lines.error_counter());
        (LogWriter { lines, dropped }, FlushGuard(Some(worker)))
    }

    /// Puts a line into the buffer, or drops it if the buffer is full.
    pub fn write_line(&self, line: &str) {
        // Each write is one line. A write to a lossy buffer never fails.
        let _ = self.lines.clone().write(format!("{line}\n").as_bytes());
    }

    /// Returns the number of lines dropped so far.
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

/// Keeps the log's thread running. Dropping the guard at the program's end waits up to [`FLUSH_TIMEOUT`] for the last lines
/// to be written.
pub struct FlushGuard(Option<WorkerGuard>);

impl Drop for FlushGuard {
    fn drop(&mut self) {
        let Some(worker) = self.0.take() else { return };
        let (flushed_sender, flushed) = mpsc::channel();
        // `WorkerGuard` waits for longer than the platform waits before it kills the program. It is therefore dropped in
        // another thread, which may still run when the program ends.
        let flush = thread::Builder::new().spawn(move || {
            drop(worker);
            let _ = flushed_sender.send(());
        });
        if flush.is_ok() {
            let _ = flushed.recv_timeout(FLUSH_TIMEOUT);
        }
    }
}

/// Writes the log's lines to an output, which is standard error outside of tests. A line whose write fails is counted and
/// dropped; the count is written before the next line.
struct LineOutput<W = Stderr> {
    output: W,
    dropped: Arc<DroppedLines>,
    /// The number of dropped lines that have been reported.
    reported: usize,
}

impl<W: Write> LineOutput<W> {
    /// Writes a line with the number of lines dropped since the last report, if there are any.
    fn report_dropped(&mut self) -> io::Result<()> {
        let dropped = self.dropped.count();
        if dropped == self.reported {
            return Ok(());
        }
        let count = dropped - self.reported;
        let text = format!("{count} log lines dropped because the log was not read");
        let line = LineFormat::current().line(&text);
        self.write_all_with_retries(format!("{line}\n").as_bytes())?;
        self.reported = dropped;
        Ok(())
    }

    /// Writes all bytes, and blocks until the output accepts them. Only the log waits for this thread.
    fn write_all_with_retries(&mut self, mut bytes: &[u8]) -> io::Result<()> {
        while !bytes.is_empty() {
            match self.output.write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(written) => bytes = &bytes[written..],
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    thread::sleep(WOULD_BLOCK_RETRY_DELAY)
                }
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}

impl<W: Write> Write for LineOutput<W> {
    /// Accepts a whole line. If its write fails, counts the line as dropped and returns no error.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let written = self.report_dropped().and_then(|()| self.write_all_with_retries(line));
        self.dropped.unwritten.fetch_add(usize::from(written.is_err()), Relaxed);
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests;
