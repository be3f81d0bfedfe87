//! The named tasks of a controller. Every task runs until the controller shuts down; a task that ends earlier ends the
//! program.

use tokio::task::{Id, JoinSet};

use super::ServeError;

/// The id and name of a started task.
struct StartedTask {
    id: Id,
    name: String,
}

/// The set of started tasks. Dropping it aborts them.
#[derive(Default)]
pub struct Tasks {
    running: JoinSet<()>,
    started: Vec<StartedTask>,
}

impl Tasks {
    /// Starts a task. [`Tasks::wait_for_end`] reports the end of the task under this name.
    pub fn start(&mut self, name: impl Into<String>, task: impl Future<Output = ()> + 'static) {
        let handle = self.running.spawn_local(task);
        self.started.push(StartedTask { id: handle.id(), name: name.into() });
    }

    /// Waits until a task ends, and returns an error with the task's name and how it ended. Returns immediately if there is
    /// no task.
    pub async fn wait_for_end(&mut self) -> ServeError {
        match self.running.join_next_with_id().await {
            Some(Ok((id, ()))) => ServeError::TaskEnded { task: self.name(id) },
            Some(Err(reason)) => ServeError::TaskPanicked { task: self.name(reason.id()), reason },
            None => ServeError::TaskEnded { task: "all".to_owned() },
        }
    }

    fn name(&self, id: Id) -> String {
        let started = self.started.iter().find(|task| task.id == id);
        started.map(|task| task.name.clone()).unwrap_or_default()
    }
}

#[cfg(test)]
mod tests;
