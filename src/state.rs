//! What a pilot keeps in mind between calls. No decision and no tuned value lives here.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::interface::*;

/// An iterate of the solver in the paper's letters: `phi` and `theta` are the duals, `gamma` is the flow
/// side, a row a flow, each on the simplex.
#[derive(Default)]
pub struct Split {
    pub l: f64,
    pub delta: Vec<f64>,
    pub a: Vec<Vec<f64>>,
    pub gamma: Vec<Vec<f64>>,
    pub theta: Vec<f64>,
    pub phi: Vec<Vec<f64>>,
}

/// What is known of the endpoints, in parallel arrays under the number of the endpoint.
#[derive(Default)]
pub struct Fleet {
    pub home: Vec<usize>,
    pub kind: Vec<u32>,
    pub weight: Vec<f64>,
    pub open: Vec<bool>,
    pub started: Vec<Option<Duration>>,
    /// When it was let in again, by the list or by its probes.
    pub admitted: Vec<Option<Duration>>,
    pub out: Vec<bool>,
    /// Suspected when the last round closed.
    pub doubted: Vec<bool>,
    /// This round's sums, by the second: good answers, failed tries, and the good ones' time in all.
    pub good: Vec<f64>,
    pub failed: Vec<f64>,
    pub time: Vec<f64>,
    pub quietest: Vec<f64>,
    pub reported: Vec<Option<f64>>,
    /// Averages over the rounds it was heard in, and how many those were.
    pub rate: Vec<f64>,
    pub busy: Vec<f64>,
    pub rounds: Vec<f64>,
    pub capacity: Vec<f64>,
    /// Tries and failures of late, older rounds fading.
    pub recent: Vec<f64>,
    pub recent_failed: Vec<f64>,
    pub strikes: Vec<f64>,
    pub answers: Vec<u32>,
    pub probed: Vec<Option<Duration>>,
    pub probing: Vec<bool>,
}

impl Fleet {
    pub fn grow(&mut self, size: usize) {
        let size = size.max(self.len());
        self.home.resize(size, 0);
        self.kind.resize(size, 0);
        self.answers.resize(size, 0);
        self.quietest.resize(size, f64::INFINITY);
        self.reported.resize(size, None);
        for flags in [&mut self.open, &mut self.out, &mut self.doubted, &mut self.probing] {
            flags.resize(size, false);
        }
        for times in [&mut self.started, &mut self.admitted, &mut self.probed] {
            times.resize(size, None);
        }
        let round = [&mut self.good, &mut self.failed, &mut self.time, &mut self.strikes];
        let means = [&mut self.rate, &mut self.busy, &mut self.rounds, &mut self.capacity];
        let others = [&mut self.recent, &mut self.recent_failed, &mut self.weight];
        for figures in round.into_iter().chain(means).chain(others) {
            figures.resize(size, 0.0);
        }
    }

    /// Takes the list over; the first one tells what ran before, a later one what was let in just now.
    pub fn follow(&mut self, now: Duration, whole: bool, entries: &[Listed], homes: usize) {
        self.grow(entries.iter().map(|entry| entry.endpoint.0 as usize + 1).max().unwrap_or(0));
        let first = self.opened().next().is_none();
        if whole {
            self.open.fill(false);
        }
        for entry in entries {
            let e = entry.endpoint.0 as usize;
            if entry.open && !first && (self.weight[e] == 0.0 || entry.started != self.started[e]) {
                self.admitted[e] = Some(now);
            }
            self.home[e] = if homes > 1 { entry.zone.0 as usize } else { 0 };
            self.kind[e] = entry.kind;
            self.weight[e] = entry.weight.max(f64::MIN_POSITIVE);
            (self.started[e], self.open[e]) = (entry.started, entry.open);
        }
    }

    /// The mean of what was measured, of one kind or of all.
    pub fn mean_capacity(&self, kind: Option<u32>) -> Option<f64> {
        let known = |&e: &usize| self.rounds[e] > 0.0 && kind.is_none_or(|kind| kind == self.kind[e]);
        let known = (0..self.len()).filter(known).map(|e| self.rate[e] / self.busy[e]);
        let (sum, count) = known.fold((0.0, 0.0), |(sum, count), c| (sum + c, count + 1.0));
        (count > 0.0).then_some(sum / count)
    }

    pub fn len(&self) -> usize {
        self.home.len()
    }

    pub fn opened(&self) -> impl Iterator<Item = usize> + Clone {
        (0..self.len()).filter(|&e| self.open[e])
    }
}

pub struct Proxy {
    pub home: usize,
    /// When its stream broke, if it has: it goes on sending by the tables it holds.
    pub left: Option<Duration>,
    pub bound: bool,
    /// Reported on since it joined.
    pub heard: bool,
    /// Calls a second by class.
    pub rates: Vec<f64>,
    /// When it was sent messages of late.
    pub messages: VecDeque<Duration>,
}

impl Proxy {
    pub fn new(home: usize, rates: Vec<f64>) -> Self {
        Proxy { home, left: None, bound: false, heard: false, rates, messages: VecDeque::new() }
    }

    pub fn messages_since(&self, start: Duration) -> usize {
        self.messages.iter().filter(|&&at| at >= start).count()
    }

    /// Orders of one moment travel as one message.
    pub fn note_message(&mut self, now: Duration, span: Duration) {
        if self.messages.back() != Some(&now) {
            self.messages.push_back(now);
        }
        while self.messages.front().is_some_and(|&at| at + span < now) {
            self.messages.pop_front();
        }
    }
}

/// Classes that may go to the same endpoints, and so make one flow from each home.
pub struct Group {
    pub classes: ClassSet,
    pub members: Vec<usize>,
    pub confined: bool,
}

impl Group {
    pub fn all(classes: &[ClassTerms]) -> Vec<Group> {
        let group = |confined: bool| {
            let members = (0..classes.len()).filter(|&class| classes[class].own_zone == confined);
            let members: Vec<usize> = members.collect();
            Group { classes: ClassSet(members.iter().map(|class| 1 << class).sum()), members, confined }
        };
        [false, true].map(group).into_iter().filter(|group| !group.members.is_empty()).collect()
    }
}

/// By endpoint: the weight it has come to by steps, and the one that proxies were last sent. By class:
/// the level and the way of trying again that they were last told.
#[derive(Default, Clone)]
pub struct Table {
    pub weight: Vec<f64>,
    pub sent: Vec<f64>,
    pub told: Vec<(f64, Tries)>,
}

/// The fleet on the whole, of the last rounds: good answers and tries a second, the busy fraction, and
/// the failed part of tries in the last round alone.
#[derive(Default)]
pub struct State {
    pub handled: f64,
    pub tries: f64,
    pub heat: f64,
    pub failing: f64,
}

pub struct Pilot {
    pub(crate) site: Deployment,
    pub(crate) now: Duration,
    pub(crate) ask_for_list_at: Option<Duration>,
    pub(crate) wake_at: Duration,
    pub(crate) last_round: Duration,
    pub(crate) last_heard: Option<Duration>,
    /// Endpoints or proxies came or went since the last split.
    pub(crate) recast: bool,
    /// Lines thought to wait in the channel, as of the time beside it.
    pub(crate) queued: (f64, Duration),
    pub(crate) fleet: Fleet,
    pub(crate) proxies: BTreeMap<ProxyId, Proxy>,
    pub(crate) homes: usize,
    pub(crate) groups: Vec<Group>,
    /// One a home for its residents, and one for what roams.
    pub(crate) splits: Vec<Split>,
    /// By home, then by group.
    pub(crate) tables: Vec<Table>,
    pub(crate) state: State,
    /// By class: the part that is let in.
    pub(crate) levels: Vec<f64>,
}

impl Pilot {
    pub(crate) fn blank(site: Deployment, homes: usize, groups: Vec<Group>, told: Vec<(f64, Tries)>) -> Self {
        Pilot {
            now: Duration::ZERO,
            ask_for_list_at: site.list_on_request.then_some(Duration::ZERO),
            wake_at: Duration::ZERO,
            last_round: Duration::ZERO,
            last_heard: None,
            recast: false,
            queued: (0.0, Duration::ZERO),
            fleet: Fleet::default(),
            proxies: BTreeMap::new(),
            splits: (0..=homes).map(|_| Split::default()).collect(),
            tables: vec![Table { told: told.clone(), ..Table::default() }; homes * groups.len()],
            state: State::default(),
            levels: vec![1.0; told.len()],
            homes,
            groups,
            site,
        }
    }

    pub(crate) fn age(&self, e: usize) -> Duration {
        self.fleet.started[e].map_or(Duration::MAX, |at| self.now.saturating_sub(at))
    }

    pub(crate) fn joined_proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.values().filter(|proxy| proxy.left.is_none())
    }

    pub(crate) fn proxies_of(&self, table: usize) -> impl Iterator<Item = &Proxy> {
        let home = table / self.groups.len();
        self.proxies.values().filter(move |proxy| proxy.bound && proxy.home == home)
    }

    pub(crate) fn note_messages(&mut self, table: usize, lines: usize) {
        let (now, span, home) = (self.now, self.site.messages_span, table / self.groups.len());
        for proxy in self.proxies.values_mut().filter(|proxy| proxy.bound && proxy.home == home) {
            proxy.note_message(now, span);
            self.queued.0 += lines as f64 + self.site.lines_per_message;
        }
    }

    /// What was queued has gone out at this many lines a second since it was last looked at.
    pub(crate) fn let_queue_drain(&mut self, rate: f64) {
        let (queued, since) = self.queued;
        let sent = self.now.saturating_sub(since).as_secs_f64() * rate;
        self.queued = ((queued - sent).max(0.0), self.now);
    }
}
