//! Queue of the unpublished changes of paced sources. Changes that end an endpoint are published at once, other changes as
//! fast as the pacing allows.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use dahliaroad_pacing::TokenBucket;

use crate::changes::Change;
use crate::message::Entry;
use crate::pacing::Pacing;
use crate::record::{Record, running};

/// The number of sweeps for unneeded names during one [`Pacing::stable_after`].
const SWEEPS_PER_STABLE_PERIOD: u32 = 4;

/// The unpublished changes of paced sources and the time of the next publication.
#[derive(Debug, Default)]
pub(crate) struct PublishQueue {
    /// Names whose current state is not published yet.
    pending: BTreeSet<Arc<str>>,
    /// Limits the rate of paced changes. Created when it is first needed.
    bucket: Option<TokenBucket>,
    /// When the last batch with paced changes, or the first batch of all, was published. Paced changes that
    /// arrive within [`Pacing::batch_interval`] of it wait for the next batch.
    last_batch_at: Option<Duration>,
    /// When the next change is due.
    pub next_at: Option<Duration>,
    /// The time of the last sweep for unneeded names.
    swept_at: Duration,
}

impl PublishQueue {
    /// Adds names whose state has changed.
    pub fn add(&mut self, now: Duration, names: Vec<Arc<str>>) {
        self.pending.extend(names);
        self.next_at = Some(now);
    }

    /// Whether the current state of a name is not published yet.
    pub fn is_pending(&self, name: &Arc<str>) -> bool {
        self.pending.contains(name)
    }

    /// Provides tokens for all pending changes, so that the rate limit does not delay the changes of a snapshot, whatever
    /// their number.
    pub fn allow_pending(&mut self, pacing: &Pacing) {
        let bucket = self.bucket.get_or_insert_with(|| pacing.bucket());
        bucket.fill(self.pending.len() as f64);
    }

    /// Returns whether a sweep for unneeded names is due. If it is, records its time; the caller performs the sweep.
    pub fn begin_sweep(&mut self, now: Duration, pacing: &Pacing) -> bool {
        let elapsed = now.saturating_sub(self.swept_at);
        let due = elapsed >= pacing.stable_after / SWEEPS_PER_STABLE_PERIOD;
        if due {
            self.swept_at = now;
        }
        due
    }

    /// Takes the changes that are due. `any_list` says whether any source has sent a list. Only a batch taken after that
    /// can be the first batch, which may be empty.
    pub fn take_batch(
        &mut self,
        now: Duration,
        pacing: Pacing,
        records: &mut HashMap<Arc<str>, Record>,
        any_list: bool,
    ) -> Batch {
        let mut builder = BatchBuilder::new(now, pacing, self);
        for name in std::mem::take(&mut self.pending) {
            if let Some(record) = records.get_mut(&name) {
                builder.add(name, record);
            }
        }
        let is_first = self.last_batch_at.is_none() && any_list;
        if builder.has_paced_changes || is_first {
            self.last_batch_at = Some(now);
        }
        self.pending = builder.deferred;
        self.bucket = Some(builder.bucket);
        self.next_at = builder.next_at;
        Batch { changes: builder.changes, is_first, delayed_returns: builder.delayed_returns }
    }
}

/// The changes that are published together.
pub(crate) struct Batch {
    pub changes: Vec<Change>,
    pub is_first: bool,
    /// The number of endpoint returns that this batch delays.
    pub delayed_returns: usize,
}

/// Collects the changes that are published now.
struct BatchBuilder {
    now: Duration,
    pacing: Pacing,
    bucket: TokenBucket,
    /// Until this time, paced changes are collected for the next batch.
    next_batch_at: Duration,
    changes: Vec<Change>,
    /// Names whose changes are not due yet.
    deferred: BTreeSet<Arc<str>>,
    /// When the first deferred change is due.
    next_at: Option<Duration>,
    /// Whether the batch contains any paced change.
    has_paced_changes: bool,
    delayed_returns: usize,
}

impl BatchBuilder {
    fn new(now: Duration, pacing: Pacing, queue: &PublishQueue) -> BatchBuilder {
        let mut bucket = queue.bucket.unwrap_or_else(|| pacing.bucket());
        bucket.refill(now);
        BatchBuilder {
            now,
            pacing,
            bucket,
            next_batch_at: queue.last_batch_at.map_or(Duration::ZERO, |at| at + pacing.batch_interval),
            changes: Vec::new(),
            deferred: BTreeSet::new(),
            next_at: None,
            has_paced_changes: false,
            delayed_returns: 0,
        }
    }

    /// Adds the changes of a name that may be published now.
    fn add(&mut self, name: Arc<str>, record: &mut Record) {
        let merged = record.listings.merged();
        if merged == record.published {
            return;
        }
        let incarnation = running(&merged).map(|entry| entry.incarnation);
        let previous = running(&record.published).map(|entry| entry.incarnation);
        let ends = previous.is_some() && previous != incarnation;
        if ends {
            record.flap_history.get_or_insert_default().record_end(self.now, &self.pacing);
            let delayed = incarnation.is_some() && record.delayed_until() > self.now;
            self.delayed_returns += usize::from(delayed);
        }
        if ends || previous.is_none() && incarnation.is_none() {
            self.publish_end(&name, record, &merged);
        }
        if incarnation.is_some() {
            self.publish_running(name, record, merged);
        }
    }

    /// Publishes the end of an endpoint, or a change of an endpoint that is not running. Neither is ever delayed, though the
    /// next incarnation of the endpoint may be.
    fn publish_end(&mut self, name: &Arc<str>, record: &mut Record, merged: &Option<Arc<Entry>>) {
        let ended = merged.clone().filter(|_| running(merged).is_none());
        if ended != record.published {
            self.changes.push(Change { name: name.clone(), entry: ended.as_deref().cloned() });
        }
        record.published = ended;
    }

    /// Publishes a running endpoint if its change is due; otherwise defers the change.
    fn publish_running(&mut self, name: Arc<str>, record: &mut Record, merged: Option<Arc<Entry>>) {
        if let Some(due_at) = self.defer_until(record) {
            self.next_at = Some(self.next_at.map_or(due_at, |next| next.min(due_at)));
            self.deferred.insert(name);
            return;
        }
        self.has_paced_changes = true;
        self.changes.push(Change { name, entry: merged.as_deref().cloned() });
        record.published = merged;
    }

    /// Returns when a change is due, or takes a token and returns `None` if it is due now. Flapping delays only a name that
    /// is not published at present.
    fn defer_until(&mut self, record: &Record) -> Option<Duration> {
        let delayed_until = match record.published {
            Some(_) => Duration::ZERO,
            None => record.delayed_until(),
        };
        let due_at = self.next_batch_at.max(delayed_until);
        if due_at > self.now {
            return Some(due_at);
        }
        let allowed = self.bucket.try_take();
        (!allowed).then(|| self.bucket.next_token_at(self.now))
    }
}
