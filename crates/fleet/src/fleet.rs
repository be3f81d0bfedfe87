//! What is believed of each name, and what of it has been handed on.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use crate::dead::{Dead, Death};
use crate::pace::{Bucket, Flapping, Pace};
use crate::word::*;

/// What rounds to no wait at all would be asked for again and again.
const LEAST_WAIT: Duration = Duration::from_millis(1);

/// What one source last said of a name.
#[derive(Clone, Debug)]
struct Listing {
    /// When it was said: its life's numbers are of that history.
    epoch: Epoch,
    at: Revision,
    entry: Entry,
    /// This life is over, whatever the source says.
    barred: bool,
}

#[derive(Default, Debug)]
struct Seen {
    by: BTreeMap<SourceId, Listing>,
    /// What the module was last told; `None`: not there.
    handed: Option<Entry>,
    flapping: Flapping,
}

impl Seen {
    /// The first source that lists it tells its figures; a drain is one whichever source tells of it.
    fn wanted(&self) -> Option<Entry> {
        let mut standing = self.by.values().filter(|listing| !listing.barred);
        let mut entry = standing.next()?.entry.clone();
        entry.standing = standing.map(|listing| listing.entry.standing).fold(entry.standing, Standing::max);
        Some(entry)
    }
}

#[derive(Debug)]
struct Source {
    terms: SourceTerms,
    known: Option<(Epoch, Revision)>,
    heard: Option<Duration>,
}

/// How a source stands.
#[derive(Clone, Debug, PartialEq)]
pub struct SourceState {
    pub name: String,
    pub known: Option<(Epoch, Revision)>,
    /// When it last said anything; silence is neither an empty list nor a death.
    pub heard: Option<Duration>,
    /// Names that it lists.
    pub listed: usize,
}

/// What has been left out and given up so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    pub stale: usize,
    pub gaps: usize,
    pub epochs: usize,
    /// Listings of a life that was over.
    pub barred: usize,
    pub unreadable: usize,
    pub forgotten: usize,
    /// Returns that were held back as flapping.
    pub held: usize,
}

/// What became of a word, and what goes to the module at once.
#[derive(Debug, PartialEq)]
pub struct Heard {
    pub verdict: Verdict,
    pub handover: Option<Handover>,
}

/// All sources' words, merged. See the crate's page.
#[derive(Debug)]
pub struct Fleet {
    bounds: Bounds,
    sources: Vec<Source>,
    seen: BTreeMap<Arc<str>, Seen>,
    dead: Dead,
    /// Of paced sources: names whose state is not yet handed on.
    pending: BTreeSet<Arc<str>>,
    bucket: Option<Bucket>,
    /// When something was last handed on that may gather.
    handed_at: Option<Duration>,
    due: Option<Duration>,
    swept: Duration,
    pub counts: Counts,
}

impl Fleet {
    pub fn new(bounds: Bounds) -> Fleet {
        Fleet {
            bounds,
            sources: Vec::new(),
            seen: BTreeMap::new(),
            dead: Dead::default(),
            pending: BTreeSet::new(),
            bucket: None,
            handed_at: None,
            due: None,
            swept: Duration::ZERO,
            counts: Counts::default(),
        }
    }

    /// Sources added earlier go before later ones where both list a name.
    pub fn add(&mut self, terms: SourceTerms) -> SourceId {
        self.sources.push(Source { terms, known: None, heard: None });
        SourceId(self.sources.len() as u16 - 1)
    }

    pub fn states(&self) -> Vec<SourceState> {
        let state = |(place, source): (usize, &Source)| SourceState {
            name: source.terms.name.clone(),
            known: source.known,
            heard: source.heard,
            listed: self.seen.values().filter(|seen| seen.by.contains_key(&SourceId(place as u16))).count(),
        };
        self.sources.iter().enumerate().map(state).collect()
    }

    /// Names and what is believed of them now, handed on or not.
    pub fn believed(&self) -> impl Iterator<Item = (Arc<str>, Entry)> {
        self.seen.iter().filter_map(|(name, seen)| Some((name.clone(), seen.wanted()?)))
    }

    /// Lives that are remembered as over.
    pub fn dead(&self) -> usize {
        self.dead.len()
    }

    /// Names that are kept, listed or not.
    pub fn names(&self) -> usize {
        self.seen.len()
    }

    fn judge(&self, source: &Source, word: &Word) -> Verdict {
        let (epoch, revision) = word.at();
        let direct = source.terms.pace.is_none();
        match (word, source.known) {
            (_, Some((known, _))) if epoch < known => Verdict::Stale,
            (_, Some((known, at))) if epoch == known && revision < at => Verdict::Stale,
            (Word::Whole { .. }, _) => Verdict::Taken,
            (_, Some((known, _))) if epoch > known => Verdict::Gap,
            (Word::Changes { .. }, _) if direct => Verdict::Taken,
            (Word::Changes { .. }, Some((_, at))) if revision == at => Verdict::Stale,
            (Word::Changes { after, .. }, Some((_, at))) if *after <= at => Verdict::Taken,
            (Word::Nothing { .. }, Some(_)) => Verdict::Taken,
            _ => Verdict::Gap,
        }
    }

    /// Takes up what a source says. What a direct source changes is to go to the module now; the rest is told by
    /// [`hand`](Fleet::hand).
    pub fn hear(&mut self, now: Duration, from: SourceId, word: Word) -> Heard {
        let source = &self.sources[from.0 as usize];
        let verdict = self.judge(source, &word);
        let (direct, known) = (source.terms.pace.is_none(), source.known);
        self.counts.stale += usize::from(verdict == Verdict::Stale);
        self.counts.gaps += usize::from(verdict == Verdict::Gap);
        let source = &mut self.sources[from.0 as usize];
        source.heard = Some(now);
        if verdict != Verdict::Taken {
            return Heard { verdict, handover: None };
        }
        source.known = Some(word.at());
        let (epoch, whole, entries) = match word {
            Word::Nothing { .. } => return Heard { verdict, handover: None },
            Word::Whole { epoch, entries, .. } => (epoch, true, entries),
            Word::Changes { epoch, entries, .. } => (epoch, false, entries),
        };
        let same_epoch = known.is_some_and(|(known, _)| known == epoch);
        self.counts.epochs += usize::from(known.is_some() && !same_epoch);
        let mut touched = Vec::with_capacity(entries.len());
        if whole {
            let named: BTreeSet<&Arc<str>> = entries.iter().map(|told| &told.name).collect();
            let lists = |seen: &Seen| seen.by.contains_key(&from);
            let missing = self.seen.iter().filter(|(name, seen)| lists(seen) && !named.contains(name));
            for name in missing.map(|(name, _)| name.clone()).collect::<Vec<_>>() {
                self.drop_from(now, from, &name);
                touched.push(name);
            }
        }
        let alone = self.sources.len() == 1;
        let hand_whole = direct && whole && alone;
        if hand_whole {
            touched.clear();
        }
        for Told { name, at, what } in entries {
            match what {
                What::Listed(entry) => self.list(now, from, (epoch, at, same_epoch), &name, entry),
                What::Gone if self.knows_later(from, same_epoch, at, &name) => self.counts.stale += 1,
                What::Gone => self.drop_from(now, from, &name),
                What::Unreadable => self.counts.unreadable += 1,
            }
            touched.push(name);
        }
        self.counts.forgotten += self.dead.forget(now, &self.bounds);
        if direct {
            let entries = touched.into_iter().map(|name| self.handed(name)).collect();
            return Heard { verdict, handover: Some(Handover { whole: hand_whole, entries }) };
        }
        self.pending.extend(touched);
        if whole && let Some(pace) = self.pace() {
            // However much a reread found, it is one handover.
            let room = Pace { burst: pace.burst.max(self.pending.len() as f64), ..pace };
            self.bucket = Some(Bucket::full(&room));
        }
        self.due = Some(now);
        Heard { verdict, handover: None }
    }

    /// What the module hears of a name from now on.
    fn handed(&mut self, name: Arc<str>) -> Handed {
        let Some(seen) = self.seen.get_mut(&name) else { return Handed { name, entry: None } };
        seen.handed = seen.wanted();
        let entry = seen.handed.clone();
        if seen.by.is_empty() && seen.flapping.is_over(Duration::ZERO, &Pace::default()) {
            self.seen.remove(&name);
        }
        Handed { name, entry }
    }

    fn list(
        &mut self,
        now: Duration,
        from: SourceId,
        (epoch, at, same_epoch): (Epoch, Revision, bool),
        name: &Arc<str>,
        mut entry: Entry,
    ) {
        let returns = self.sources[from.0 as usize].terms.returns;
        if returns == Returns::AsTold {
            let seen = self.seen.entry(name.clone()).or_default();
            seen.by.insert(from, Listing { epoch, at, entry, barred: false });
            return;
        }
        let outlived = returns == Returns::UnlessDrained && self.knows_younger(now, from, entry.life, name);
        if outlived || self.knows_later(from, same_epoch, at, name) {
            self.counts.stale += 1;
            return;
        }
        let mut barred = false;
        match self.seen.get(name).and_then(|seen| seen.by.get(&from)) {
            Some(prior) if prior.entry.life == entry.life => {
                if prior.entry.standing == Standing::Draining {
                    entry.standing = Standing::Draining;
                }
                barred = prior.barred;
            }
            // The name stayed, and another life has it now.
            Some(_) => self.drop_from(now, from, name),
            None => {}
        }
        barred |= self.dead.bars(name, from, epoch, entry.life);
        self.counts.barred += usize::from(barred);
        let seen = self.seen.entry(name.clone()).or_default();
        seen.by.insert(from, Listing { epoch, at, entry, barred });
    }

    /// Words of one epoch may overlap, where a whole was read while it changed.
    fn knows_later(&self, from: SourceId, same_epoch: bool, at: Revision, name: &Arc<str>) -> bool {
        let prior = self.seen.get(name).and_then(|seen| seen.by.get(&from));
        same_epoch && prior.is_some_and(|prior| at < prior.at)
    }

    /// An old list may have a name in an earlier life: taken at its word, one that has just started would pass for warm. All
    /// read the same clock, so a later start is a later life, unless it is still to come.
    fn knows_younger(&self, now: Duration, from: SourceId, life: Life, name: &Arc<str>) -> bool {
        let prior = self.seen.get(name).and_then(|seen| seen.by.get(&from)).map(|prior| prior.entry.life);
        prior.is_some_and(|prior| life.started < prior.started && prior.started <= Some(now))
    }

    /// A source does not list a name any more: that life is over, in other sources' words too if it was drained.
    fn drop_from(&mut self, now: Duration, from: SourceId, name: &Arc<str>) {
        let Some(seen) = self.seen.get_mut(name) else { return };
        let Some(listing) = seen.by.remove(&from) else { return };
        let drained = listing.entry.standing == Standing::Draining;
        let ends = match self.sources[from.0 as usize].terms.returns {
            Returns::AsTold => false,
            Returns::UnlessDrained => drained,
            Returns::InNewLife => true,
        };
        if listing.barred || !ends {
            return;
        }
        let death = Death { source: from, epoch: listing.epoch, life: listing.entry.life, drained };
        for (other, listing) in &mut seen.by {
            let strict = self.sources[other.0 as usize].terms.returns == Returns::InNewLife;
            listing.barred |= strict && death.bars(*other, listing.epoch, listing.entry.life);
        }
        self.dead.lay(now, name, death);
    }

    fn pace(&self) -> Option<Pace> {
        self.sources.iter().find_map(|source| source.terms.pace)
    }

    /// When [`hand`](Fleet::hand) is to be called next, if nothing is heard before.
    pub fn due(&self) -> Option<Duration> {
        self.due
    }

    /// What the module is to hear now of paced sources: what takes endpoints out at once, the rest by the pace.
    pub fn hand(&mut self, now: Duration) -> Option<Handover> {
        let pace = self.pace()?;
        self.sweep(now, &pace);
        let mut bucket = self.bucket.unwrap_or(Bucket::full(&pace));
        bucket.refill(now, &pace);
        let gathered = self.handed_at.map_or(Duration::ZERO, |at| at + pace.gather);
        // The first is a whole list, so that the module knows there is one, be it empty.
        let first = self.handed_at.is_none() && self.sources.iter().any(|source| source.known.is_some());
        let (mut entries, mut later, mut next) = (Vec::new(), BTreeSet::new(), None);
        let mut wait = |until: Duration| next = Some(next.map_or(until, |next: Duration| next.min(until)));
        let mut came = false;
        for name in std::mem::take(&mut self.pending) {
            let Some(seen) = self.seen.get_mut(&name) else { continue };
            let wanted = seen.wanted();
            if wanted == seen.handed {
                continue;
            }
            let runs = |entry: &&Entry| entry.standing == Standing::Running;
            let (comes, was) = (wanted.as_ref().filter(runs), seen.handed.clone());
            let was = was.as_ref().filter(runs);
            let ends = was.is_some_and(|was| comes.is_none_or(|comes| comes.life != was.life));
            if ends || was.is_none() && comes.is_none() {
                if ends {
                    seen.flapping.left(now, &pace);
                    self.counts.held += usize::from(seen.flapping.held_until > now && comes.is_some());
                }
                // That a life ended is told at once, though another waits for its turn.
                let told = wanted.clone().filter(|entry| entry.standing != Standing::Running);
                if told != seen.handed {
                    entries.push(Handed { name: name.clone(), entry: told.clone() });
                }
                seen.handed = told;
                if comes.is_none() {
                    continue;
                }
            }
            let held = if seen.handed.is_some() { Duration::ZERO } else { seen.flapping.held_until };
            let from = gathered.max(held);
            if from > now || !bucket.take() {
                wait(if from > now { from } else { bucket.next(&pace).max(now + LEAST_WAIT) });
                later.insert(name);
                continue;
            }
            came = true;
            seen.handed = wanted.clone();
            entries.push(Handed { name, entry: wanted });
        }
        (self.pending, self.bucket, self.due) = (later, Some(bucket), next);
        if came || first {
            self.handed_at = Some(now);
        }
        let whole = first && self.sources.len() == 1;
        (whole || !entries.is_empty()).then_some(Handover { whole, entries })
    }

    /// Lets go of names that no source lists and whose coming and going is long past.
    fn sweep(&mut self, now: Duration, pace: &Pace) {
        if now.saturating_sub(self.swept) < pace.steady / 4 {
            return;
        }
        self.swept = now;
        let pending = &self.pending;
        self.seen.retain(|name, seen| {
            let needed = !seen.by.is_empty() || seen.handed.is_some() || pending.contains(name);
            needed || !seen.flapping.is_over(now, pace)
        });
        self.counts.forgotten += self.dead.forget(now, &self.bounds);
    }
}
