//! The lives that are over, and whether what a source lists is one of them.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use crate::word::{Bounds, Epoch, Life, SourceId};

/// A life that is over.
#[derive(Clone, Debug)]
pub struct Death {
    pub source: SourceId,
    pub epoch: Epoch,
    pub life: Life,
    /// It was told to complete its work before it went, and so was not just lost from the list.
    pub drained: bool,
}

impl Death {
    /// Whether an entry that a source lists now may be of this life or an earlier one. A new one has to show itself:
    /// by a later start; else, unless the old one was drained, by being registered anew. Numbers of another epoch
    /// cannot be compared, but a restored backup has the very ones it had.
    pub fn bars(&self, source: SourceId, epoch: Epoch, life: Life) -> bool {
        // No start told: long past.
        if life.started > self.life.started {
            return false;
        }
        let earlier = life.started < self.life.started;
        let anew = match (source == self.source, epoch == self.epoch) {
            (true, true) => life.created > self.life.created,
            (true, false) => life.created != self.life.created && !earlier,
            // Another source that lists what was only dropped here lists it still.
            (false, _) => !self.drained && !earlier,
        };
        let same_start = life.started.is_some() && !earlier;
        same_start && self.drained || !anew
    }
}

/// The deaths that are remembered, a bounded number for a bounded time.
#[derive(Debug, Default)]
pub struct Dead {
    by_name: BTreeMap<Arc<str>, Vec<Death>>,
    by_age: VecDeque<(Duration, Arc<str>)>,
}

impl Dead {
    pub fn lay(&mut self, now: Duration, name: &Arc<str>, death: Death) {
        let deaths = self.by_name.entry(name.clone()).or_default();
        let same =
            |old: &&mut Death| (old.source, old.epoch, old.life) == (death.source, death.epoch, death.life);
        // One that is dropped, then said to have drained, is one death.
        if let Some(old) = deaths.iter_mut().find(same) {
            old.drained |= death.drained;
            return;
        }
        deaths.push(death);
        self.by_age.push_back((now, name.clone()));
    }

    pub fn bars(&self, name: &str, source: SourceId, epoch: Epoch, life: Life) -> bool {
        let deaths = self.by_name.get(name);
        deaths.is_some_and(|deaths| deaths.iter().any(|death| death.bars(source, epoch, life)))
    }

    /// Forgets what is beyond the bounds, the longest dead first; tells how many.
    pub fn forget(&mut self, now: Duration, bounds: &Bounds) -> usize {
        let before = self.by_age.len();
        while let Some((at, name)) = self.by_age.front() {
            if self.by_age.len() <= bounds.dead && *at + bounds.dead_for > now {
                break;
            }
            // Deaths of a name are in the order in which they came, as those of all names are.
            if let Some(deaths) = self.by_name.get_mut(name) {
                deaths.remove(0);
                if deaths.is_empty() {
                    self.by_name.remove(name);
                }
            }
            self.by_age.pop_front();
        }
        before - self.by_age.len()
    }

    pub fn len(&self) -> usize {
        self.by_age.len()
    }

    pub fn is_empty(&self) -> bool {
        self.by_age.is_empty()
    }
}
