//! The exchange with the simulator. The message `batch` opens a batch of events, and `your_turn` closes the batch. The
//! program then sends the actions that follow from the events.

use std::io::{BufRead, BufWriter, Write};
use std::time::Duration;

use dahliaroad_settings::{Fields, duration_from_millis};
use serde_json::Value;

use crate::actions::{Action, Line};
use crate::error::{LineFault, SessionError};
use crate::instances::Instances;

/// An open batch.
struct Batch {
    /// The time since the start of the simulation.
    now: Duration,
    serial: u64,
    /// The actions that follow from the events so far. They are written when the batch is closed.
    actions: Vec<Line>,
}

struct Session<W: Write> {
    output: BufWriter<W>,
    instances: Instances,
    batch: Option<Batch>,
}

/// Processes batches until the input ends. An error is returned for a faulty line, with the line's number, counted
/// from 1, or for an input that ends inside a batch.
pub fn run(input: impl BufRead, output: impl Write) -> Result<(), SessionError> {
    let mut session =
        Session { output: BufWriter::new(output), instances: Instances::default(), batch: None };
    for (index, line) in input.lines().enumerate() {
        let handled = line.map_err(LineFault::Io).and_then(|line| session.handle_line(&line));
        handled.map_err(|fault| SessionError::Line { line: index + 1, fault })?;
    }
    if session.batch.is_some() {
        return Err(SessionError::EndedInsideBatch);
    }
    Ok(())
}

impl<W: Write> Session<W> {
    fn handle_line(&mut self, line: &str) -> Result<(), LineFault> {
        let message: Value = serde_json::from_str(line)?;
        let fields = message.as_object().filter(|fields| fields.len() == 1);
        let single = fields.and_then(|fields| fields.iter().next());
        let (name, body) = single.ok_or(LineFault::NotOneKey)?;
        match name.as_str() {
            "batch" => self.open_batch(body),
            "your_turn" => self.close_batch(),
            event => self.handle_event(event, body),
        }
    }

    fn open_batch(&mut self, body: &Value) -> Result<(), LineFault> {
        if self.batch.is_some() {
            return Err(LineFault::BatchStillOpen);
        }
        let fields = Fields::new("batch", body)?;
        let now = duration_from_millis(fields.non_negative_number("t_ms")?)?;
        let serial = fields.u64("serial")?;
        self.batch = Some(Batch { now, serial, actions: Vec::new() });
        Ok(())
    }

    fn close_batch(&mut self) -> Result<(), LineFault> {
        let Some(batch) = self.batch.take() else { return Err(no_batch_open("your_turn")) };
        for line in &batch.actions {
            writeln!(self.output, "{line}")?;
        }
        let ready = Action::Ready { serial: batch.serial }.encode();
        writeln!(self.output, "{ready}")?;
        self.output.flush()?;
        Ok(())
    }

    fn handle_event(&mut self, name: &str, body: &Value) -> Result<(), LineFault> {
        let Some(batch) = &mut self.batch else { return Err(no_batch_open(name)) };
        self.instances.handle_event(batch.now, name, body, &mut batch.actions)
    }
}

fn no_batch_open(message: &str) -> LineFault {
    LineFault::NoBatchOpen { message: message.to_owned() }
}
