//! The controller instances of one process, by the numbers that the simulator assigns to them.

use std::collections::BTreeMap;
use std::time::Duration;

use dahliaroad_settings::{Fields, StartupSettings};
use serde_json::Value;

use crate::actions::Line;
use crate::error::{EventError, LineFault};
use crate::instance::Instance;

/// All running instances. They share no state.
#[derive(Default)]
pub struct Instances {
    running: BTreeMap<u64, Instance>,
}

impl Instances {
    /// Passes one event to its instance and appends the resulting actions to `actions`.
    pub fn handle_event(
        &mut self,
        now: Duration,
        name: &str,
        body: &Value,
        actions: &mut Vec<Line>,
    ) -> Result<(), LineFault> {
        let fields = Fields::new(name, body)?;
        let id = fields.u64("who")?;
        match name {
            "configure" => self.start(id, fields),
            "retire" => self.stop(id, name),
            _ => {
                let instance = self.running.get_mut(&id).ok_or_else(|| not_running(name, id))?;
                let event = instance.decode(name, fields);
                let event = event.map_err(|fault| EventError { event: name.to_owned(), fault })?;
                actions.extend(instance.apply(now, id, event));
                Ok(())
            }
        }
    }

    /// Starts an instance. It replaces a running instance with the same number.
    fn start(&mut self, id: u64, fields: Fields<'_>) -> Result<(), LineFault> {
        // The assigner uses no random numbers. The seed is checked, but not used.
        fields.u64("rng_seed")?;
        let settings = StartupSettings::decode(fields.object("settings")?)?;
        self.running.insert(id, Instance::new(settings));
        Ok(())
    }

    fn stop(&mut self, id: u64, event: &str) -> Result<(), LineFault> {
        let stopped = self.running.remove(&id);
        stopped.map(drop).ok_or_else(|| not_running(event, id))
    }
}

fn not_running(event: &str, instance: u64) -> LineFault {
    LineFault::NotRunning { event: event.to_owned(), instance }
}
