//! What to ask a registry next, of which member, and what its answers are worth. One core for both protocols: no
//! socket, no clock, seeded chance only. [`Follower::next`] tells what is to be done now, one thing at a time;
//! [`Follower::answered`] takes up how it ended, and tells what the source says by it.
//!
//! Watches, by the etcd v3 API: the whole is read in pages that are pinned at one revision, then a watch goes on from
//! the next one. What a break leaves out is told by a watch from the last revision that came whole; where that has
//! been compacted away, by reading the whole anew. Blocking reads, by the HTTP form with an index: each answer
//! is the whole, and the next question waits for an index beyond it.

use std::time::Duration;

use dahliaroad_fleet::{EntryUpdate, Epoch, Revision, SourceMessage};
use rand_chacha::ChaCha8Rng;

use crate::backoff::{Backoff, TokenBucket};
use crate::member::Members;

/// How a registry is followed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Means {
    Watch,
    BlockingRead,
}

/// Limits of time and number. Each is set in the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    pub connect: Duration,
    pub answer: Duration,
    /// A watch that has been silent for so long is asked for a sign.
    pub nudge: Duration,
    pub initial_backoff: Duration,
    pub max_backoff: Duration,
    /// Entries of a page.
    pub page: u32,
    /// Reads of the whole, at once and a minute.
    pub rereads: f64,
    pub rereads_per_minute: f64,
    /// How long a blocking read may wait at the registry.
    pub wait: Duration,
    /// A blocking read that comes back at once is not repeated sooner.
    pub floor: Duration,
    /// How old an answer may be that no leader vouches for.
    pub oldest: Duration,
    /// Entries in all; a registry with more is not followed further.
    pub most: usize,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            connect: Duration::from_secs(1),
            answer: Duration::from_secs(2),
            nudge: Duration::from_secs(2),
            initial_backoff: Duration::from_millis(50),
            max_backoff: Duration::from_secs(5),
            page: 500,
            rereads: 20.0,
            rereads_per_minute: 60.0,
            wait: Duration::from_secs(10),
            floor: Duration::from_millis(100),
            oldest: Duration::from_secs(5),
            most: 200_000,
        }
    }
}

/// What an answer tells of the registry itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    pub cluster: u64,
    /// The member's, when it answered.
    pub revision: Revision,
}

/// One thing to ask.
#[derive(Clone, Debug, PartialEq)]
pub enum Ask {
    Connect,
    Authenticate,
    /// How the member stands.
    Status,
    /// A part of the whole: keys behind `after`, as of `at`, or as they are now.
    Read {
        after: Option<Vec<u8>>,
        at: Option<Revision>,
        limit: u32,
    },
    Watch {
        from: Revision,
    },
    /// What the watch tells next.
    Next,
    /// The watch is to say how far it has come, then [`Next`](Ask::Next).
    Nudge,
    /// The whole, once it is beyond this index; `fresh`: vouched for by the leader.
    Poll {
        index: u64,
        wait: Duration,
        fresh: bool,
    },
}

/// How an ask ended.
#[derive(Clone, Debug)]
pub enum Answer {
    Connected,
    Authenticated,
    ServingState {
        header: Header,
        led: bool,
    },
    Page {
        header: Header,
        entries: Vec<EntryUpdate>,
        last: Option<Vec<u8>>,
        more: bool,
    },
    Watching {
        header: Header,
    },
    /// Events of a watch; `partial`: those of its last revision go on in the next.
    Batch {
        header: Header,
        entries: Vec<EntryUpdate>,
        partial: bool,
    },
    Progress {
        header: Header,
    },
    Polled {
        index: u64,
        led: bool,
        age: Duration,
        entries: Vec<EntryUpdate>,
    },
    Failed(Failure),
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Failure {
    /// No connection.
    Unreachable(String),
    /// The connection ended, or what came cannot be read.
    Broken(String),
    /// Nothing came in time.
    Silent,
    /// The revision asked for is not kept any more.
    Compacted,
    TooLarge,
    Unauthorised,
    /// The member has no leader.
    Leaderless,
    /// The registry said no.
    Refused(String),
}

#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Of the member with this number, within this time.
    Ask(usize, Ask, Duration),
    /// Nothing before then.
    Rest(Duration),
}

/// What has happened so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Tally {
    pub links: usize,
    pub failures: usize,
    pub reads: usize,
    pub resumed: usize,
    pub compacted: usize,
    pub epochs: usize,
    pub lagging: usize,
    /// Reads in pages that no revision holds together, where compaction leaves no other way.
    pub loose: usize,
}

/// What has been read of the whole so far.
#[derive(Clone, Debug, Default)]
struct Sweep {
    first: Option<Revision>,
    entries: Vec<EntryUpdate>,
    after: Option<Vec<u8>>,
}

/// How far the silence of a watch has come.
#[derive(Clone, Copy, PartialEq)]
enum Silence {
    None,
    /// It is to be asked how far it has come.
    Noticed,
    Nudged,
}

enum Stage {
    Resting(Duration),
    Connecting,
    Authenticating,
    Checking,
    Reading(Sweep),
    Opening,
    Listening { partial: Vec<EntryUpdate>, silence: Silence },
    Polling { fresh: bool },
}

/// Compacted away so often in a row, the whole is read without pinning it: each page is true by itself, and what the
/// pages do not agree on is told by the watch that follows, or by the next read.
const LOOSE_AFTER: u32 = 3;
const LARGEST_PAGE: u32 = 16_384;

pub struct Follower {
    means: Means,
    limits: Limits,
    /// It has to say who it is.
    named: bool,
    members: Members,
    stage: Stage,
    backoff: Backoff,
    rereads: TokenBucket,
    polls: TokenBucket,
    page: u32,
    /// Pages of this size were too large.
    too_large: u32,
    compacted_in_a_row: u32,
    cluster: Option<u64>,
    epoch: Epoch,
    /// All up to here has been told, and can be gone on from.
    position: Option<Revision>,
    /// The last revision told in this epoch, whether it can be gone on from or not.
    told: Option<Revision>,
    /// Names refused in a row.
    unauthorised: u32,
    pub tally: Tally,
}

impl Follower {
    /// `chance` tells which member is asked first, and spreads the pauses.
    pub fn new(
        means: Means,
        limits: Limits,
        members: usize,
        named: bool,
        mut chance: ChaCha8Rng,
    ) -> Follower {
        use rand::Rng;
        let first = chance.random_range(0..members.max(1));
        Follower {
            means,
            named,
            members: Members::new(members, first),
            stage: Stage::Connecting,
            backoff: Backoff::new(limits.initial_backoff, limits.max_backoff, chance),
            rereads: TokenBucket::new(limits.rereads, limits.rereads_per_minute),
            polls: TokenBucket::new(8.0, 60.0 / limits.floor.as_secs_f64().max(0.001)),
            page: limits.page.max(1),
            too_large: u32::MAX,
            compacted_in_a_row: 0,
            cluster: None,
            epoch: Epoch(1),
            position: None,
            told: None,
            unauthorised: 0,
            tally: Tally::default(),
            limits,
        }
    }

    /// What is to be done now.
    pub fn next(&mut self, now: Duration) -> Step {
        if let Stage::Resting(until) = self.stage {
            if now < until {
                return Step::Rest(until);
            }
            self.stage = Stage::Connecting;
        }
        let beginning = matches!(&self.stage, Stage::Reading(sweep) if sweep.first.is_none());
        if beginning && let Err(until) = self.rereads.take(now) {
            return Step::Rest(until);
        }
        let polled = matches!(self.stage, Stage::Polling { .. });
        if polled && let Err(until) = self.polls.take(now) {
            return Step::Rest(until);
        }
        let answer = self.limits.answer;
        let (ask, within) = match &mut self.stage {
            Stage::Resting(until) => return Step::Rest(*until),
            Stage::Connecting => (Ask::Connect, self.limits.connect),
            Stage::Authenticating => (Ask::Authenticate, answer),
            Stage::Checking => (Ask::Status, answer),
            Stage::Reading(sweep) => {
                let loose = self.compacted_in_a_row >= LOOSE_AFTER;
                self.tally.reads += usize::from(sweep.first.is_none());
                self.tally.loose += usize::from(sweep.first.is_none() && loose);
                let at = sweep.first.filter(|_| !loose);
                (Ask::Read { after: sweep.after.clone(), at, limit: self.page }, answer)
            }
            Stage::Opening => {
                let from = Revision(self.position.map_or(0, |at| at.0) + 1);
                (Ask::Watch { from }, answer)
            }
            Stage::Listening { silence, .. } => match silence {
                Silence::None => (Ask::Next, self.limits.nudge),
                Silence::Noticed => {
                    *silence = Silence::Nudged;
                    (Ask::Nudge, answer)
                }
                Silence::Nudged => (Ask::Next, answer),
            },
            Stage::Polling { fresh } => {
                let index = self.position.map_or(0, |at| at.0);
                // A question that does not wait is answered by what is there.
                let (index, wait) = if *fresh { (0, Duration::ZERO) } else { (index, self.limits.wait) };
                // A registry adds up to a sixteenth to the wait, to spread the answers.
                (Ask::Poll { index, wait, fresh: *fresh }, wait + wait / 16 + answer)
            }
        };
        Step::Ask(self.members.now(), ask, within)
    }

    /// The registry is at other members now, and a link to the first of them is up.
    pub fn moved(&mut self, members: usize) {
        self.members = Members::new(members, 0);
        self.backoff.reset();
        self.enter();
    }

    /// What was told does not follow on what is known: the whole has to be told.
    pub fn refused(&mut self) {
        self.position = None;
        self.stage = match self.means {
            Means::Watch => Stage::Reading(Sweep::default()),
            Means::BlockingRead => Stage::Polling { fresh: true },
        };
    }

    /// What a link that is up is first used for.
    fn enter(&mut self) {
        self.tally.links += 1;
        self.stage = match (self.named, self.means) {
            (true, Means::Watch) => Stage::Authenticating,
            (false, Means::Watch) => Stage::Checking,
            (_, Means::BlockingRead) => Stage::Polling { fresh: false },
        };
    }

    /// Takes up how the last ask ended; what the registry says by it is to go to the fleet.
    pub fn answered(&mut self, now: Duration, answer: Answer) -> Option<SourceMessage> {
        match answer {
            Answer::Failed(failure) => self.failed(now, failure),
            Answer::Connected => self.enter(),
            Answer::Authenticated => self.stage = Stage::Checking,
            Answer::ServingState { header, led } => self.checked(now, header, led),
            Answer::Page { header, entries, last, more } => {
                return self.page(now, header, entries, last, more);
            }
            Answer::Watching { header } => self.watching(now, header),
            Answer::Batch { header, entries, partial } => return self.batch(header, entries, partial),
            Answer::Progress { header } => return self.progress(now, header),
            Answer::Polled { index, led, age, entries } => return self.polled(now, index, led, age, entries),
        }
        None
    }

    /// Whether an answer is of another cluster than what is known: nothing of that can be resumed then, and the whole
    /// is read anew.
    fn is_of_another(&mut self, header: Header) -> bool {
        if self.cluster.replace(header.cluster).is_none_or(|known| known == header.cluster) {
            return false;
        }
        self.begin_epoch();
        (self.position, self.told) = (None, None);
        self.reread();
        true
    }

    fn begin_epoch(&mut self) {
        self.tally.epochs += 1;
        self.epoch.0 += 1;
    }

    /// From its beginning.
    fn reread(&mut self) {
        self.stage = Stage::Reading(Sweep::default());
    }

    fn rest(&mut self, now: Duration) {
        self.stage = Stage::Resting(now + self.backoff.next());
    }

    /// The member is behind what is known: another is asked. Where all are, a read that the leader vouches for tells
    /// whether the registry went back.
    fn lag(&mut self, now: Duration) {
        self.tally.lagging += 1;
        self.members.leave();
        if self.members.all_left() {
            self.members.fit();
            self.reread();
        } else {
            self.rest(now);
        }
    }

    fn checked(&mut self, now: Duration, header: Header, led: bool) {
        // Only an answer shows that the login serves; that it was taken does not.
        self.unauthorised = 0;
        if !led {
            return self.failed(now, Failure::Leaderless);
        }
        if self.is_of_another(header) {
            return;
        }
        match self.position {
            Some(at) if header.revision < at => self.lag(now),
            Some(_) => self.stage = Stage::Opening,
            None => self.reread(),
        }
    }

    fn page(
        &mut self,
        now: Duration,
        header: Header,
        entries: Vec<EntryUpdate>,
        last: Option<Vec<u8>>,
        more: bool,
    ) -> Option<SourceMessage> {
        let Stage::Reading(sweep) = &mut self.stage else { return None };
        let first = *sweep.first.get_or_insert(header.revision);
        sweep.entries.extend(entries);
        let many = sweep.entries.len() > self.limits.most;
        if more && !many && last.is_some() {
            sweep.after = last;
        }
        if self.is_of_another(header) {
            return None;
        }
        if many {
            self.failed(now, Failure::Refused(format!("more than {} entries", self.limits.most)));
            return None;
        }
        if more {
            return None;
        }
        let Stage::Reading(sweep) = std::mem::replace(&mut self.stage, Stage::Opening) else { return None };
        // Vouched for by the leader: the registry itself went back, to a backup most likely.
        if self.told.is_some_and(|told| first < told) {
            self.begin_epoch();
        }
        (self.position, self.told) = (Some(first), Some(first));
        self.healthy();
        Some(SourceMessage::Whole { epoch: self.epoch, revision: first, entries: sweep.entries })
    }

    /// The link has carried something that was of use.
    fn healthy(&mut self) {
        self.backoff.reset();
        self.members.fit();
    }

    fn watching(&mut self, now: Duration, header: Header) {
        if self.is_of_another(header) {
            return;
        }
        // A member that is behind would be silent until it has come up, and none could tell why.
        if self.position.is_some_and(|at| header.revision < at) {
            return self.lag(now);
        }
        self.tally.resumed += 1;
        self.stage = Stage::Listening { partial: Vec::new(), silence: Silence::None };
    }

    fn batch(&mut self, header: Header, entries: Vec<EntryUpdate>, more: bool) -> Option<SourceMessage> {
        if self.is_of_another(header) {
            return None;
        }
        let Stage::Listening { partial, silence } = &mut self.stage else { return None };
        *silence = Silence::None;
        partial.extend(entries);
        if more {
            return None;
        }
        let after = self.position.unwrap_or_default();
        let entries: Vec<EntryUpdate> = partial.drain(..).filter(|told| told.at > after).collect();
        let revision = entries.iter().map(|told| told.at).max()?;
        (self.position, self.told) = (Some(revision), Some(revision));
        self.compacted_in_a_row = 0;
        self.healthy();
        Some(SourceMessage::Changes { epoch: self.epoch, after, revision, entries })
    }

    fn progress(&mut self, now: Duration, header: Header) -> Option<SourceMessage> {
        if self.is_of_another(header) {
            return None;
        }
        let at = self.position?;
        if header.revision < at {
            self.lag(now);
            return None;
        }
        let Stage::Listening { partial, silence } = &mut self.stage else { return None };
        *silence = Silence::None;
        if !partial.is_empty() {
            return None;
        }
        // All up to here has come: a later break resumes from here, which compaction reaches later.
        (self.position, self.told) = (Some(header.revision), Some(header.revision));
        self.compacted_in_a_row = 0;
        self.healthy();
        Some(SourceMessage::Nothing { epoch: self.epoch, revision: header.revision })
    }

    fn polled(
        &mut self,
        now: Duration,
        index: u64,
        led: bool,
        age: Duration,
        entries: Vec<EntryUpdate>,
    ) -> Option<SourceMessage> {
        let Stage::Polling { fresh } = self.stage else { return None };
        let revision = Revision(index);
        if entries.len() > self.limits.most {
            self.failed(now, Failure::Refused(format!("more than {} entries", self.limits.most)));
            return None;
        }
        let back = self.told.is_some_and(|told| revision < told);
        let stale = !led || age > self.limits.oldest;
        // Nobody vouches for it, or it is older than what is known: the leader is asked.
        if (back || stale) && !fresh {
            self.tally.lagging += usize::from(back);
            self.stage = Stage::Polling { fresh: true };
            return None;
        }
        if stale {
            self.failed(now, Failure::Leaderless);
            return None;
        }
        if back {
            self.begin_epoch();
        }
        self.tally.reads += 1;
        self.stage = Stage::Polling { fresh: false };
        self.healthy();
        // An index of 0 is none: it cannot be waited beyond, and the next question does not wait either.
        self.told = Some(revision);
        let known = self.position.replace(revision);
        match known {
            Some(at) if at == revision && index > 0 => {
                Some(SourceMessage::Nothing { epoch: self.epoch, revision })
            }
            _ => Some(SourceMessage::Whole { epoch: self.epoch, revision, entries }),
        }
    }

    fn failed(&mut self, now: Duration, failure: Failure) {
        // A silent watch may have nothing to tell: it is asked how far it has come before it is given up.
        if let Stage::Listening { silence: silence @ Silence::None, .. } = &mut self.stage
            && failure == Failure::Silent
        {
            *silence = Silence::Noticed;
            return;
        }
        self.tally.failures += 1;
        match (failure, &self.stage) {
            (Failure::Compacted, Stage::Reading(_)) => {
                self.compacted();
                // Fewer, larger pages leave compaction less time between them.
                self.page = (self.page * 2).min(LARGEST_PAGE).min(self.too_large / 2).max(1);
            }
            (Failure::Compacted, _) => self.compacted(),
            (Failure::TooLarge, Stage::Reading(_)) if self.page > 1 => {
                self.too_large = self.page;
                self.page /= 2;
                self.reread();
            }
            // It would come again: what it tells is read with the whole.
            (Failure::TooLarge, Stage::Listening { .. }) => {
                self.position = None;
                self.reread();
            }
            (Failure::Unauthorised, stage) if self.named && !matches!(stage, Stage::Authenticating) => {
                self.unauthorised += 1;
                match self.unauthorised {
                    1 => self.stage = Stage::Authenticating,
                    _ => self.rest(now),
                }
            }
            (Failure::Unauthorised, _) => self.rest(now),
            _ => {
                self.members.leave();
                self.rest(now);
            }
        }
    }

    fn compacted(&mut self) {
        self.tally.compacted += 1;
        self.compacted_in_a_row += 1;
        // What is known stands until the whole has been read; the read itself tells who is gone.
        self.reread();
    }
}
