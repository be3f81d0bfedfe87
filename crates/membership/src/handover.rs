//! The handover of paced sources' changes: what ends an endpoint goes at once, the rest as fast as the pacing allows.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;
use std::time::Duration;

use dahliaroad_pacing::TokenBucket;

use crate::changes::Change;
use crate::message::Entry;
use crate::pacing::Pacing;
use crate::record::{Record, running};

/// Names that are no longer needed are looked for each time this part of [`Pacing::stable_after`] has passed.
const SWEEPS_PER_STABLE_PERIOD: u32 = 4;

/// What is due of paced sources, and when.
#[derive(Debug, Default)]
pub(crate) struct Handover {
    /// Names whose state is not handed on yet.
    pending: BTreeSet<Arc<str>>,
    /// Made with the first handover.
    bucket: Option<TokenBucket>,
    /// When a batch of changes was last handed on that others may gather behind.
    last_batch_at: Option<Duration>,
    /// When something is due next.
    pub next_at: Option<Duration>,
    /// When names that are no longer needed were last looked for.
    swept_at: Duration,
}

impl Handover {
    /// Adds names whose state has changed.
    pub fn add(&mut self, now: Duration, names: Vec<Arc<str>>) {
        self.pending.extend(names);
        self.next_at = Some(now);
    }

    /// Whether the state of a name is not handed on yet.
    pub fn is_pending(&self, name: &Arc<str>) -> bool {
        self.pending.contains(name)
    }

    /// Allows all that is pending at once: however much a snapshot changed, it is handed on without delay.
    pub fn allow_pending(&mut self, pacing: &Pacing) {
        let bucket = self.bucket.get_or_insert_with(|| pacing.bucket());
        bucket.fill(self.pending.len() as f64);
    }

    /// Begins to look for names that are no longer needed, if that is due. Returns whether it is.
    pub fn begin_sweep(&mut self, now: Duration, pacing: &Pacing) -> bool {
        let elapsed = now.saturating_sub(self.swept_at);
        let due = elapsed >= pacing.stable_after / SWEEPS_PER_STABLE_PERIOD;
        if due {
            self.swept_at = now;
        }
        due
    }

    /// Takes the changes that are due. `any_list` says whether any source has sent a list: the first batch after that is the
    /// first of all, be it empty.
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
        self.pending = builder.waiting;
        self.bucket = Some(builder.bucket);
        self.next_at = builder.next_at;
        Batch { changes: builder.changes, is_first, delayed_returns: builder.delayed_returns }
    }
}

/// The changes that are handed on at one moment.
pub(crate) struct Batch {
    pub changes: Vec<Change>,
    pub is_first: bool,
    /// Returns of endpoints that this batch delays.
    pub delayed_returns: usize,
}

/// Collects the changes that are handed on now.
struct BatchBuilder {
    now: Duration,
    pacing: Pacing,
    bucket: TokenBucket,
    /// Before this time, paced changes gather.
    gathering_until: Duration,
    changes: Vec<Change>,
    /// Names whose turn has not come.
    waiting: BTreeSet<Arc<str>>,
    /// When the first of them is due.
    next_at: Option<Duration>,
    /// Whether any of the changes is a paced one.
    has_paced_changes: bool,
    delayed_returns: usize,
}

impl BatchBuilder {
    fn new(now: Duration, pacing: Pacing, handover: &Handover) -> BatchBuilder {
        let mut bucket = handover.bucket.unwrap_or_else(|| pacing.bucket());
        bucket.refill(now);
        BatchBuilder {
            now,
            pacing,
            bucket,
            gathering_until: handover.last_batch_at.map_or(Duration::ZERO, |at| at + pacing.batch_interval),
            changes: Vec::new(),
            waiting: BTreeSet::new(),
            next_at: None,
            has_paced_changes: false,
            delayed_returns: 0,
        }
    }

    /// Adds what may be handed on of a name.
    fn add(&mut self, name: Arc<str>, record: &mut Record) {
        let wanted = record.listings.merged();
        if wanted == record.handed_on {
            return;
        }
        let incarnation = running(&wanted).map(|entry| entry.incarnation);
        let before = running(&record.handed_on).map(|entry| entry.incarnation);
        let ends = before.is_some() && before != incarnation;
        if ends {
            record.flapping.get_or_insert_default().record_end(self.now, &self.pacing);
            let delayed = incarnation.is_some() && record.delayed_until() > self.now;
            self.delayed_returns += usize::from(delayed);
        }
        if ends || before.is_none() && incarnation.is_none() {
            self.hand_on_end(&name, record, &wanted);
        }
        if incarnation.is_some() {
            self.hand_on_running(name, record, wanted);
        }
    }

    /// What ends an endpoint never waits, though the incarnation that follows may have to.
    fn hand_on_end(&mut self, name: &Arc<str>, record: &mut Record, wanted: &Option<Arc<Entry>>) {
        let ended = wanted.clone().filter(|_| running(wanted).is_none());
        if ended != record.handed_on {
            self.changes.push(Change { name: name.clone(), entry: ended.as_deref().cloned() });
        }
        record.handed_on = ended;
    }

    /// Hands on an endpoint that runs, if its turn has come.
    fn hand_on_running(&mut self, name: Arc<str>, record: &mut Record, wanted: Option<Arc<Entry>>) {
        if let Some(due_at) = self.wait_for_turn(record) {
            self.next_at = Some(self.next_at.map_or(due_at, |next| next.min(due_at)));
            self.waiting.insert(name);
            return;
        }
        self.has_paced_changes = true;
        self.changes.push(Change { name, entry: wanted.as_deref().cloned() });
        record.handed_on = wanted;
    }

    /// When a change has its turn, if not now. A name that is there already is not delayed by its flapping.
    fn wait_for_turn(&mut self, record: &Record) -> Option<Duration> {
        let delayed_until = match record.handed_on {
            Some(_) => Duration::ZERO,
            None => record.delayed_until(),
        };
        let due_at = self.gathering_until.max(delayed_until);
        if due_at > self.now {
            return Some(due_at);
        }
        let allowed = self.bucket.try_take();
        (!allowed).then(|| self.bucket.next_token_at(self.now))
    }
}
