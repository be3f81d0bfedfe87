//! What standard error does not take is counted, and the count goes before the next line that it takes.

use super::*;

/// An output that fails or takes a part, as scripted; then takes everything.
#[derive(Default)]
struct ScriptedOutput {
    /// Outcomes of the next writes: the bytes taken, or the error.
    outcomes: Vec<Result<usize, io::ErrorKind>>,
    taken: Vec<u8>,
}

impl Write for ScriptedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let count = match self.outcomes.is_empty() {
            true => bytes.len(),
            false => self.outcomes.remove(0)?.min(bytes.len()),
        };
        self.taken.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn written(outcomes: Vec<Result<usize, io::ErrorKind>>, lines: &[&str]) -> String {
    let output = ScriptedOutput { outcomes, taken: Vec::new() };
    let mut output = LineOutput { output, dropped: Arc::default(), reported: 0 };
    for line in lines {
        assert_eq!(output.write(line.as_bytes()).unwrap(), line.len());
    }
    String::from_utf8(output.output.taken).unwrap()
}

/// Writes are interrupted, come back short, or find no room for a moment. Every line has to be written whole.
#[test]
fn short_and_interrupted_writes_cut_no_line() {
    let outcomes = vec![Err(io::ErrorKind::Interrupted), Ok(1), Err(io::ErrorKind::WouldBlock), Ok(2)];
    assert_eq!(written(outcomes, &["first\n", "second\n"]), "first\nsecond\n");
}

/// The pipe is broken for two lines, and for the report of them, and then read again. The report says how many are missing.
#[test]
fn lines_that_were_not_taken_are_counted_before_the_next_that_is() {
    let outcomes = vec![Err(io::ErrorKind::BrokenPipe); 3];
    let text = written(outcomes, &["1\n", "2\n", "3\n", "4\n", "5\n"]);
    assert!(text.ends_with(" 3 log lines dropped, as the log was not read\n4\n5\n"), "{text}");
}
