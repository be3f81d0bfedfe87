//! Every decision of a pilot. A host tells it what happened by calling the methods of [`Pilot`] in the
//! order of the happenings and carries out the [`Orders`] that each call returns; `interface.rs` holds
//! the types of both. After each call the rules in [`RULES`] are gone through, first to last and over
//! again, until none fires. The design, and where this departs from it, is in `docs/design.md`.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::interface::*;

/// Rounds that a capacity is averaged over, the least busy fraction it is divided by, and how far from
/// the average it may lie: the design's defaults.
const ROUNDS: f64 = 10.0;
const LEAST_BUSY: f64 = 0.2;
const SPREAD: f64 = 4.0;
/// Where crossing zones costs, a zone's flow stays at home up to this load, or to the
/// fleet's own; the rest roams over what the residents leave, at least this part of each endpoint.
const KEEP: f64 = 0.65;
/// Of what its ramp allows, the part of all tries that a ramping endpoint may get: neither its capacity
/// nor the tries to come are known well.
const CAUTION: f64 = 0.7;
/// Failed part of all tries, or unheard part of demand, from which proxies' shares may not be the tables'.
const PILING: f64 = 0.25;
/// A ramping endpoint's part may pass the slowest warm-up by what its fall multiple leaves above this.
const FALL_MARGIN: f64 = 2.0;
const LEAST_SPARE: f64 = 0.05;
/// What a comer gets of its estimate at first, to be doubled each round: the design's default.
const FIRST_PART: f64 = 0.25;
/// The design's staging: the most a weight moves a round, the least worth a push, the channel's part.
const STEP: f64 = 0.2;
const WORTH_PUSHING: f64 = 0.1;
const CHANNEL_PART: f64 = 1.0 / 3.0;
/// A line that would get a smaller share than this is not worth its place in the table.
const LEAST_LINE: f64 = 0.005;
/// Of the messages a proxy may get, the part that ordinary pushes use; the rest waits for drains.
const ORDINARY_MESSAGES: f64 = 0.6;
/// Of the lines that may wait, the part that may be filled: our count of what waits is a guess.
const QUEUE_PART: f64 = 0.8;
/// How often the rules are looked at when nothing is heard, and how long after the last line of a
/// report its round is closed.
const TICK: Duration = Duration::from_millis(100);
const REPORT_TAIL: Duration = Duration::from_millis(20);
/// A proxy's demand follows its reports by this much a round: calls come in bunches.
const DEMAND_GAIN: f64 = 0.3;
/// How long a proxy whose stream broke still counts as demand: it goes on sending, and when it is back
/// what was cut or let in for fewer would be wrong at once.
const MEMORY: Duration = Duration::from_secs(20);
/// Suspicion: the failed part of recent tries, above what the better quarter of the fleet shows (all
/// slow at once is nobody's fault), on at least this many failures. Older rounds fade by half.
const FAILED_PART: f64 = 0.3;
const FEWEST_FAILED: f64 = 2.0;
const SILENT_PART: f64 = 0.9;
const FADE: f64 = 0.5;
/// Probes that must fail to confirm a suspicion, and be answered in a row to end it; the pause between.
const STRIKES: f64 = 2.0;
const ANSWERS: u32 = 3;
const PROBE_PAUSE: Duration = Duration::from_millis(500);
const PROBE_LOST: Duration = Duration::from_secs(3);
/// Levels come down when the fleet is this busy and demand passes the target part of capacity; calls
/// above it would only wait past their goals. The least level keeps a class measurable, and a change
/// under the least step is not worth a line.
const HOT: f64 = 0.85;
const TARGET: f64 = 0.85;
const HEAT_GAIN: f64 = 0.7;
const LEAST_LEVEL: f64 = 0.02;
const LEVEL_STEP: f64 = 0.05;
/// More calls a second than any proxy has: lets all in where levels are rates.
const ALL_CALLS: f64 = 1e6;
/// The least part of the open endpoints that stays in the tables, whatever the probes say.
const KEPT_OPEN: f64 = 1.0 / 3.0;

/// The min-max split of flows over servers by proximal Jacobian ADMM, in the paper's letters (IV-B).
/// `phi` and `theta` are the duals; `gamma` is the flow side, a row a flow, each on the simplex.
#[derive(Default)]
pub struct Split {
    l: f64,
    delta: Vec<f64>,
    a: Vec<Vec<f64>>,
    pub gamma: Vec<Vec<f64>>,
    theta: Vec<f64>,
    phi: Vec<Vec<f64>>,
}

const RHO: f64 = 0.1;
const OMEGA: f64 = 0.3 * RHO;
const TAU: f64 = 1.0;
const STOP: f64 = 0.001;
const ITERATIONS: usize = 30;
/// Each block is solved in units that make its squared coefficients in the constraints sum to this, so
/// that the proximal term OMEGA holds it: in the paper's units, without its bound on L, the iteration
/// swings apart (the convergence condition of IV-C asks for OMEGA in proportion to that sum).
const UNIT: f64 = OMEGA / RHO;

impl Split {
    /// Splits the flows' `demand` over servers of the given `capacity`; 0 means the server takes part
    /// in no flow. Starts from the last round's iterate.
    pub fn solve(&mut self, demand: &[f64], capacity: &[f64]) {
        let servers: Vec<usize> = (0..capacity.len()).filter(|&j| capacity[j] > 0.0).collect();
        let total: f64 = demand.iter().sum();
        self.fit(demand.len(), capacity, &servers);
        if servers.is_empty() || total <= 0.0 {
            return;
        }
        // Units again: demand sums to one and capacities average one, so that no step drowns in a scale.
        let mean = servers.iter().map(|&j| capacity[j]).sum::<f64>() / servers.len() as f64;
        let d = |q: usize, j: usize| demand[q] / total / (capacity[j] / mean);
        let flows = 0..demand.len();
        for _ in 0..ITERATIONS {
            let load = |a: &[Vec<f64>], j: usize| flows.clone().map(|q| a[q][j] * d(q, j)).sum::<f64>();
            let (count, old_l) = (servers.len() as f64, self.l);
            let (mut pull, mut a, mut gamma) = (0.0, self.a.clone(), self.gamma.clone());
            let mut delta = self.delta.clone();
            let held = RHO + OMEGA / UNIT;
            for &j in &servers {
                let now = load(&self.a, j);
                pull += RHO * (now + self.delta[j]) - self.theta[j];
                let free = RHO * (old_l - now) + self.theta[j] + OMEGA / UNIT * self.delta[j];
                delta[j] = (free / held).max(0.0);
                self.server_side(j, &mut a, flows.clone().map(|q| d(q, j)).collect());
            }
            let held_l = OMEGA / UNIT * count;
            let l = ((pull + held_l * old_l - 1.0) / (RHO * count + held_l)).max(0.0);
            for q in flows.clone() {
                let wish = servers
                    .iter()
                    .map(|&j| (RHO * self.a[q][j] + OMEGA / UNIT * self.gamma[q][j] - self.phi[q][j]) / held);
                let row = on_simplex(&wish.collect::<Vec<_>>());
                servers.iter().zip(row).for_each(|(&j, part)| gamma[q][j] = part);
            }
            for &j in &servers {
                self.theta[j] += TAU * RHO * (l - load(&a, j) - delta[j]);
                for q in flows.clone() {
                    self.phi[q][j] += TAU * RHO * (gamma[q][j] - a[q][j]);
                }
            }
            let (mut moved, mut size) = ((l - old_l).powi(2), l * l);
            for (new, old) in a.iter().zip(&self.a).chain(gamma.iter().zip(&self.gamma)) {
                for (x, y) in new.iter().zip(old) {
                    moved += (x - y).powi(2);
                    size += x * x;
                }
            }
            (self.l, self.delta, self.a, self.gamma) = (l, delta, a, gamma);
            // While L is held at 0 the rest may stand still before it has begun.
            if l > 0.0 && moved.sqrt() < STOP * size.sqrt() {
                break;
            }
        }
    }

    /// One server's side: rises with its own load only, so a search over that load finds it.
    fn server_side(&self, j: usize, a: &mut [Vec<f64>], d: Vec<f64>) {
        let omega = OMEGA / UNIT * (1.0 + d.iter().map(|x| x * x).sum::<f64>());
        let wish = |q: usize, load: f64| {
            let pull = d[q] * (self.theta[j] + RHO * (self.l - self.delta[j] - load));
            let near = RHO * self.gamma[q][j] + omega * self.a[q][j] + self.phi[q][j];
            ((pull + near) / (RHO + omega)).clamp(0.0, 1.0)
        };
        let (mut low, mut high) = (0.0, d.iter().sum::<f64>());
        for _ in 0..40 {
            let middle = (low + high) / 2.0;
            let load: f64 = (0..d.len()).map(|q| d[q] * wish(q, middle)).sum();
            (low, high) = if load > middle { (middle, high) } else { (low, middle) };
        }
        (0..d.len()).for_each(|q| a[q][j] = wish(q, high));
    }

    /// Carries the iterate over to another set of servers: those that left are cleared, comers start in
    /// proportion to capacity, and the duals keep the sums that they have at every optimum.
    fn fit(&mut self, flows: usize, capacity: &[f64], servers: &[usize]) {
        let sum: f64 = capacity.iter().sum();
        let size = capacity.len();
        self.theta.resize(size, 0.0);
        self.delta.resize(size, 0.0);
        for rows in [&mut self.a, &mut self.gamma, &mut self.phi] {
            rows.resize(flows, Vec::new());
            rows.iter_mut().for_each(|row| row.resize(size, 0.0));
        }
        for (j, &c) in capacity.iter().enumerate() {
            let (was, is) = (self.theta[j] != 0.0, c > 0.0);
            if was == is {
                continue;
            }
            let part = if is { c / sum } else { 0.0 };
            (self.theta[j], self.delta[j]) = (-part, 0.0);
            for q in 0..flows {
                (self.a[q][j], self.gamma[q][j]) = (part, part);
                self.phi[q][j] = if is { 1.0 / (flows as f64 * servers.len() as f64) } else { 0.0 };
            }
        }
        let scale = -self.theta.iter().sum::<f64>();
        if scale > 0.0 {
            self.theta.iter_mut().for_each(|dual| *dual /= scale);
        }
        for row in self.gamma.iter_mut().chain(&mut self.a) {
            let sum: f64 = row.iter().sum();
            if sum > 0.0 {
                row.iter_mut().for_each(|part| *part /= sum);
            }
        }
        if self.l == 0.0 && !servers.is_empty() {
            self.l = 1.0 / servers.len() as f64;
        }
    }
}

/// The nearest point with parts of 0 or more that sum to one.
fn on_simplex(wish: &[f64]) -> Vec<f64> {
    let mut sorted = wish.to_vec();
    sorted.sort_by(|x, y| y.total_cmp(x));
    let (mut sum, mut cut) = (0.0, 0.0);
    for (place, part) in sorted.iter().enumerate() {
        sum += part;
        let here = (sum - 1.0) / (place + 1) as f64;
        if part - here > 0.0 {
            cut = here;
        }
    }
    wish.iter().map(|part| (part - cut).max(0.0)).collect()
}

/// What is known of the endpoints, in parallel arrays under the number of the endpoint.
#[derive(Default)]
struct Fleet {
    home: Vec<usize>,
    kind: Vec<u32>,
    weight: Vec<f64>,
    open: Vec<bool>,
    started: Vec<Option<Duration>>,
    /// When it was let in again, by the list or by its probes.
    admitted: Vec<Option<Duration>>,
    out: Vec<bool>,
    /// This round's sums, by the second: good answers, failed tries, and the good ones' time in all.
    good: Vec<f64>,
    failed: Vec<f64>,
    time: Vec<f64>,
    quietest: Vec<f64>,
    reported: Vec<Option<f64>>,
    /// Averages over the rounds it was heard in, and how many those were.
    rate: Vec<f64>,
    busy: Vec<f64>,
    rounds: Vec<f64>,
    capacity: Vec<f64>,
    /// Tries and failures of late, older rounds fading.
    recent: Vec<f64>,
    recent_failed: Vec<f64>,
    strikes: Vec<f64>,
    answers: Vec<u32>,
    probed: Vec<Option<Duration>>,
    probing: Vec<bool>,
}

impl Fleet {
    fn grow(&mut self, size: usize) {
        let size = size.max(self.home.len());
        self.home.resize(size, 0);
        self.kind.resize(size, 0);
        self.open.resize(size, false);
        self.out.resize(size, false);
        self.probing.resize(size, false);
        self.answers.resize(size, 0);
        self.quietest.resize(size, f64::INFINITY);
        self.reported.resize(size, None);
        for times in [&mut self.started, &mut self.admitted, &mut self.probed] {
            times.resize(size, None);
        }
        let (sums, recent) = ([&mut self.good, &mut self.failed, &mut self.time], &mut self.recent);
        let kept = [&mut self.rate, &mut self.busy, &mut self.rounds, &mut self.capacity, &mut self.strikes];
        let rest = [recent, &mut self.recent_failed, &mut self.weight];
        sums.into_iter().chain(kept).chain(rest).for_each(|figures| figures.resize(size, 0.0));
    }
}

struct Proxy {
    home: usize,
    /// When its stream broke, if it has: it goes on sending by the tables it holds.
    left: Option<Duration>,
    bound: bool,
    heard: bool,
    /// Calls a second by class.
    rates: Vec<f64>,
    /// When it was sent messages of late.
    messages: VecDeque<Duration>,
}

/// Classes that may go to the same endpoints, and so make one flow from each home.
struct Group {
    classes: ClassSet,
    members: Vec<usize>,
    confined: bool,
}

#[derive(Default, Clone)]
struct Table {
    /// The weight each endpoint has come to by steps, and the one that proxies were last sent.
    weight: Vec<f64>,
    sent: Vec<f64>,
}

pub struct Pilot {
    site: Deployment,
    now: Duration,
    asked_for_list: bool,
    wake_at: Option<Duration>,
    last_round: Duration,
    last_heard: Option<Duration>,
    recast: bool,
    queued: f64,
    queued_at: Duration,
    fleet: Fleet,
    proxies: BTreeMap<ProxyId, Proxy>,
    homes: usize,
    groups: Vec<Group>,
    splits: Vec<Split>,
    tables: Vec<Table>,
    /// By class: the part that is let in, and the level that proxies were last told.
    levels: Vec<f64>,
    told: Vec<(f64, Tries)>,
    /// Good answers a second and busy fraction of the fleet, of the last rounds.
    handled: f64,
    heat: f64,
    /// Tries a second that the proxies make, or will once what is let in has come to them.
    tries: f64,
    tried: f64,
    /// The failed part of the last round's tries.
    failing: f64,
}

struct Rule {
    when: fn(&Pilot) -> bool,
    then: fn(&mut Pilot, &mut Orders),
}

/// In order: what the list says, what the sums and probes say, then the tables from the most urgent
/// change to the least, and last what is needed to be called again.
const RULES: &[Rule] = &[
    Rule { when: |p| p.site.list_on_request && !p.asked_for_list, then: Pilot::ask_for_list },
    Rule { when: Pilot::round_is_due, then: Pilot::close_round },
    Rule { when: |p| p.confirmed_bad().is_some(), then: Pilot::shut_out },
    Rule { when: |p| p.confirmed_good().is_some(), then: Pilot::let_in },
    Rule { when: |p| p.recast, then: Pilot::split },
    Rule { when: |p| p.withdrawn_table().is_some(), then: Pilot::publish_withdrawals },
    Rule { when: |p| p.unbound_proxy().is_some(), then: Pilot::bind },
    Rule { when: |p| p.moved_level().is_some(), then: Pilot::publish_levels },
    Rule { when: |p| p.moved_table().is_some(), then: Pilot::publish_moves },
    Rule { when: |p| p.probe_due().is_some(), then: Pilot::probe },
    Rule { when: |p| p.wake_at.is_none_or(|at| at <= p.now), then: Pilot::ask_to_be_woken },
];

impl Pilot {
    pub fn new(site: Deployment) -> Self {
        let confined_class = |class: &usize| site.classes[*class].own_zone;
        let (confined, free): (Vec<_>, Vec<_>) = (0..site.classes.len()).partition(confined_class);
        let homes = if confined.is_empty() && site.crossing_price <= 0.0 { 1 } else { site.zones };
        let groups: Vec<Group> = [(free, false), (confined, true)]
            .into_iter()
            .filter(|(members, _)| !members.is_empty())
            .map(|(members, confined)| Group {
                classes: ClassSet(members.iter().map(|class| 1 << class).sum()),
                members,
                confined,
            })
            .collect();
        let all_in = if site.level_unit == LevelUnit::Share { 1.0 } else { ALL_CALLS };
        Pilot {
            now: Duration::ZERO,
            asked_for_list: false,
            wake_at: None,
            last_round: Duration::ZERO,
            last_heard: None,
            recast: false,
            queued: 0.0,
            queued_at: Duration::ZERO,
            fleet: Fleet::default(),
            proxies: BTreeMap::new(),
            splits: (0..=homes).map(|_| Split::default()).collect(),
            tables: vec![Table::default(); homes * groups.len()],
            levels: vec![1.0; site.classes.len()],
            told: vec![(all_in, Tries::AgainIfNeverRan); site.classes.len()],
            handled: 0.0,
            tries: 0.0,
            tried: 0.0,
            failing: 0.0,
            heat: 0.0,
            homes,
            groups,
            site,
        }
    }

    /// The list of endpoints, whole or only what changed.
    pub fn list(&mut self, now: Duration, whole: bool, entries: &[Listed]) -> Orders {
        self.now = now;
        let size = entries.iter().map(|entry| entry.endpoint.0 as usize + 1).max().unwrap_or(0);
        self.fleet.grow(size);
        let first = self.fleet.open.iter().all(|open| !open);
        let fleet = &mut self.fleet;
        if whole {
            fleet.open.iter_mut().for_each(|open| *open = false);
        }
        for entry in entries {
            let e = entry.endpoint.0 as usize;
            if entry.open && !first && (fleet.weight[e] == 0.0 || entry.started != fleet.started[e]) {
                fleet.admitted[e] = Some(now);
            }
            fleet.home[e] = if self.homes > 1 { entry.zone.0 as usize } else { 0 };
            fleet.kind[e] = entry.kind;
            fleet.weight[e] = entry.weight.max(f64::MIN_POSITIVE);
            fleet.started[e] = entry.started;
            fleet.open[e] = entry.open;
        }
        self.recast = true;
        self.settle()
    }

    pub fn list_failed(&mut self, now: Duration) -> Orders {
        self.now = now;
        self.asked_for_list = false;
        Orders { wake_after: Some(TICK), ..Orders::default() }
    }

    pub fn joined(&mut self, now: Duration, proxy: ProxyId, zone: ZoneId, usual_rate: f64) -> Orders {
        self.now = now;
        let classes = self.site.classes.len();
        let rates = self.proxies.remove(&proxy).map(|before| before.rates);
        let state = Proxy {
            home: if self.homes > 1 { zone.0 as usize } else { 0 },
            left: None,
            bound: false,
            heard: false,
            rates: rates.unwrap_or(vec![usual_rate / classes as f64; classes]),
            messages: VecDeque::new(),
        };
        self.proxies.insert(proxy, state);
        self.recast |= (0..self.fleet.open.len()).any(|e| self.usable(e) && self.ramping(e));
        self.settle()
    }

    pub fn left(&mut self, now: Duration, proxy: ProxyId) -> Orders {
        self.now = now;
        if let Some(known) = self.proxies.get_mut(&proxy) {
            (known.left, known.bound) = (Some(now), false);
        }
        self.settle()
    }

    /// Sums of what one zone's proxies met at an endpoint.
    pub fn met(&mut self, now: Duration, endpoint: EndpointId, met: Met) -> Orders {
        self.hear(now);
        let e = endpoint.0 as usize;
        self.fleet.grow(e + 1);
        // By the second, line by line: what a proxy met out of reach comes late, over a long span, and
        // must not stretch the others' round.
        let seconds = met.span.as_secs_f64().max(0.1);
        let good = (met.tries - met.failed).max(0.0) / seconds;
        self.fleet.good[e] += good;
        self.fleet.failed[e] += met.failed / seconds;
        self.fleet.time[e] += good * met.answer_time.as_secs_f64();
        self.fleet.reported[e] = met.load.busy.filter(|busy| busy.is_finite()).or(self.fleet.reported[e]);
        self.settle()
    }

    /// Calls of a class that came to a proxy.
    pub fn came(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        class: ClassId,
        calls: f64,
        span: Duration,
    ) -> Orders {
        self.hear(now);
        if let Some(known) = self.proxies.get_mut(&proxy) {
            known.heard = true;
            let rate = &mut known.rates[class.0 as usize];
            *rate += DEMAND_GAIN * (calls / span.as_secs_f64().max(0.1) - *rate);
        }
        self.settle()
    }

    pub fn probed(&mut self, now: Duration, endpoint: EndpointId, end: ProbeEnd) -> Orders {
        self.now = now;
        let (e, fleet) = (endpoint.0 as usize, &mut self.fleet);
        fleet.probing[e] = false;
        match end {
            ProbeEnd::Answered => {
                fleet.answers[e] += 1;
                fleet.strikes[e] = (fleet.strikes[e] - 0.5).max(0.0);
            }
            // A probe waits in the same queue as calls do. Where some calls are still answered well,
            // its silence shows a jam, and shutting out would only move the jam on.
            ProbeEnd::Silent if fleet.recent_failed[e] < SILENT_PART * fleet.recent[e] => {
                fleet.answers[e] = 0;
            }
            ProbeEnd::Failed | ProbeEnd::Silent => {
                fleet.answers[e] = 0;
                fleet.strikes[e] += 1.0;
            }
            ProbeEnd::TurnedAway => {}
        }
        self.settle()
    }

    pub fn woken(&mut self, now: Duration) -> Orders {
        self.now = now;
        self.settle()
    }

    fn settle(&mut self) -> Orders {
        let mut orders = Orders::default();
        let drained = (self.now - self.queued_at).as_secs_f64() * self.site.lines_per_second * CHANNEL_PART;
        self.queued = (self.queued - drained).max(0.0);
        self.queued_at = self.now;
        while let Some(rule) = RULES.iter().find(|rule| (rule.when)(self)) {
            (rule.then)(self, &mut orders);
        }
        orders
    }

    fn hear(&mut self, now: Duration) {
        self.now = now;
        self.last_heard = Some(now);
    }

    fn ask_for_list(&mut self, orders: &mut Orders) {
        self.asked_for_list = true;
        orders.ask_for_list = true;
    }

    fn ask_to_be_woken(&mut self, orders: &mut Orders) {
        self.wake_at = Some(self.now + TICK);
        orders.wake_after = Some(TICK);
    }

    /// A round ends when its report is in, or without one when none comes: ramps go on.
    fn round_is_due(&self) -> bool {
        let since = self.now.saturating_sub(self.last_round);
        match self.last_heard {
            Some(heard) => self.now >= heard + REPORT_TAIL && since * 2 >= self.site.round,
            None => since * 2 >= self.site.round * 3,
        }
    }

    fn count_tries(&mut self) {
        let let_in = |proxy: &Proxy| -> f64 {
            proxy.rates.iter().zip(&self.levels).map(|(rate, level)| rate * level).sum()
        };
        self.tries = self.tried.max(self.proxies.values().map(let_in).sum());
    }

    fn close_round(&mut self, _: &mut Orders) {
        // Where there is another pilot, it takes the proxy over.
        let (now, memory) = (self.now, if self.site.pilots > 1 { Duration::ZERO } else { MEMORY });
        self.proxies.retain(|_, proxy| proxy.left.is_none_or(|at| at + memory > now));
        if self.last_heard.take().is_some() {
            self.learn();
            self.estimate_capacity();
            self.set_levels();
        }
        self.last_round = self.now;
        self.recast = true;
        self.split_round();
    }

    /// Folds the round's sums into the averages. Only good answers teach capacity: errors and refusals
    /// are fast, and would make a failing endpoint look idle.
    fn learn(&mut self) {
        let (good, failed) = (self.fleet.good.iter().sum::<f64>(), self.fleet.failed.iter().sum::<f64>());
        self.handled += HEAT_GAIN * (good - self.handled);
        self.failing = failed / (good + failed).max(f64::MIN_POSITIVE);
        self.tried = (good + failed).max(self.tried + HEAT_GAIN * (good + failed - self.tried));
        for e in 0..self.fleet.home.len() {
            let cold = self.ramping(e);
            let fleet = &mut self.fleet;
            let (good, failed) = (fleet.good[e], fleet.failed[e]);
            fleet.recent[e] = fleet.recent[e] * FADE + good + failed;
            fleet.recent_failed[e] = fleet.recent_failed[e] * FADE + failed;
            if good > 0.0 && !cold {
                let time = fleet.time[e] / good;
                fleet.quietest[e] = fleet.quietest[e].min(time);
                let waiting = 1.0 - fleet.quietest[e] / time.max(f64::MIN_POSITIVE);
                let busy = fleet.reported[e].unwrap_or(waiting).max(LEAST_BUSY);
                fleet.rounds[e] = (fleet.rounds[e] + 1.0).min(ROUNDS);
                fleet.rate[e] += (good - fleet.rate[e]) / fleet.rounds[e];
                fleet.busy[e] += (busy - fleet.busy[e]) / fleet.rounds[e];
            }
            (fleet.good[e], fleet.failed[e], fleet.time[e]) = (0.0, 0.0, 0.0);
        }
    }

    fn age(&self, e: usize) -> Duration {
        self.fleet.started[e].map_or(Duration::MAX, |at| self.now.saturating_sub(at))
    }

    /// May still fall over, or is on its way back in.
    fn ramping(&self, e: usize) -> bool {
        self.age(e) < self.site.warm_up || self.ramp(e) < 1.0
    }

    /// The part of its capacity that an endpoint may be given: doubling from a quarter as the design
    /// has it, but never more than the slowest warm-up allows. All proxies' load is in the capacity
    /// that is split, so no cold endpoint is sent more than its part however late other pilots act.
    fn ramp(&self, e: usize) -> f64 {
        let age = self.age(e);
        let warm = (age.as_secs_f64() / self.site.warm_up.as_secs_f64().max(0.001)).min(1.0);
        let slowest = self.site.start_capacity + (1.0 - self.site.start_capacity) * warm;
        let calm = self.heat < HOT && self.failing < PILING / 2.0;
        let spare = if calm { self.site.fall_multiple / FALL_MARGIN } else { 1.0 };
        let cold = slowest * spare.max(1.0);
        let since = self.fleet.admitted[e].map_or(f64::INFINITY, |at| (self.now - at).as_secs_f64());
        let doubled = FIRST_PART * (since / self.site.round.as_secs_f64().max(0.001)).floor().exp2();
        cold.min(doubled).min(1.0)
    }

    /// Open and not shut out; if all open ones are shut out, shutting out has nothing left to protect.
    fn usable(&self, e: usize) -> bool {
        let fleet = &self.fleet;
        let none_left = !(0..fleet.open.len()).any(|e| fleet.open[e] && !fleet.out[e]);
        fleet.open[e] && (!fleet.out[e] || none_left)
    }

    fn estimate_capacity(&mut self) {
        let heard = |fleet: &Fleet, e: usize| fleet.rounds[e] > 0.0;
        let raw = |fleet: &Fleet, e: usize| fleet.rate[e] / fleet.busy[e];
        let size = self.fleet.home.len();
        let mean = |kind: Option<u32>| {
            let known =
                (0..size).filter(|&e| heard(&self.fleet, e) && kind.is_none_or(|k| k == self.fleet.kind[e]));
            let (sum, count) = known.fold((0.0, 0.0), |(sum, n), e| (sum + raw(&self.fleet, e), n + 1.0));
            (count > 0.0).then_some(sum / count)
        };
        let average = mean(None);
        let kinds: Vec<Option<f64>> = self.fleet.kind.iter().map(|&kind| mean(Some(kind))).collect();
        for e in 0..size {
            let full = match average {
                None => self.fleet.weight[e],
                Some(all) => {
                    // Rounds not heard yet count as the kind's mean, where one of it was heard: few calls
                    // say little, and a fleet being replaced would load small machines like large ones.
                    let (n, usual) = (self.fleet.rounds[e], kinds[e].unwrap_or(all));
                    let heard = if n > 0.0 { raw(&self.fleet, e) } else { usual };
                    ((n * heard + (ROUNDS - n) * usual) / ROUNDS).clamp(all / SPREAD, all * SPREAD)
                }
            };
            self.fleet.capacity[e] = if self.usable(e) { full * self.ramp(e) } else { 0.0 };
        }
    }

    /// How busy the usable endpoints last said they are, on the whole. Without reports, demand over
    /// capacity has to serve.
    fn busy_now(&self, load: f64) -> f64 {
        let fleet = &self.fleet;
        let said = (0..fleet.home.len()).filter_map(|e| Some((fleet.capacity[e], fleet.reported[e]?)));
        let (sum, busy) = said.fold((0.0, 0.0), |(sum, busy), (c, said)| (sum + c, busy + c * said));
        if sum > 0.0 { busy / sum } else { load }
    }

    /// Under overload, lets in what capacity allows, the class with most value for its work first; the
    /// latency goal is the only hint of a call's work. Demand above capacity is not proof: refused
    /// clients that come again count as demand, and after a cut the demand of comers is known before
    /// the capacity they bring. So the endpoints must be hot to begin with, and what they handle now at
    /// the heat they show raises the estimate when the average is behind.
    fn set_levels(&mut self) {
        let classes = self.site.classes.len();
        let rate = |class: usize| self.proxies.values().map(|proxy| proxy.rates[class]).sum::<f64>();
        let rates: Vec<f64> = (0..classes).map(rate).collect();
        let (demand, capacity) = (rates.iter().sum::<f64>(), self.fleet.capacity.iter().sum::<f64>());
        let load = demand / capacity.max(f64::MIN_POSITIVE);
        let shedding = self.levels.iter().any(|&level| level < 1.0);
        self.heat += HEAT_GAIN * (self.busy_now(load) - self.heat);
        let over = shedding || (load > TARGET && self.heat > HOT);
        let shown = self.handled / self.heat.max(LEAST_BUSY);
        let mut room = if over { TARGET * capacity.max(shown) } else { f64::INFINITY };
        let worth = |class: usize| {
            self.site.classes[class].value / self.site.classes[class].latency_goal.as_secs_f64().max(0.001)
        };
        let mut order: Vec<usize> = (0..classes).collect();
        order.sort_by(|&x, &y| worth(y).total_cmp(&worth(x)));
        for class in order {
            let level = (room / rates[class].max(f64::MIN_POSITIVE)).clamp(LEAST_LEVEL, 1.0);
            room = (room - rates[class]).max(0.0);
            self.levels[class] = level;
        }
    }

    /// The level as the proxies read it. One rate serves every proxy of a pilot, so the busiest are cut
    /// first, down to where the class as a whole comes to its part.
    fn level_told(&self, class: usize) -> f64 {
        let level = self.levels[class];
        if level >= 1.0 {
            return if self.site.level_unit == LevelUnit::Share { 1.0 } else { ALL_CALLS };
        }
        if self.site.level_unit == LevelUnit::Share {
            return level;
        }
        let mut rates: Vec<f64> = self.proxies.values().map(|proxy| proxy.rates[class]).collect();
        rates.sort_by(f64::total_cmp);
        let mut room = level * rates.iter().sum::<f64>();
        for (place, &rate) in rates.iter().enumerate() {
            let even = room / (rates.len() - place) as f64;
            if rate >= even {
                return even;
            }
            room -= rate;
        }
        ALL_CALLS
    }

    /// While anything is refused no call is tried again: a jam turns calls away, and each tried again
    /// elsewhere adds to it.
    fn tries_told(&self) -> Tries {
        let shedding = self.levels.iter().any(|&level| level < 1.0);
        if shedding { Tries::Once } else { Tries::AgainIfNeverRan }
    }

    /// A class whose level proxies were told too differently; all tables have the same.
    fn moved_level(&self) -> Option<usize> {
        let off = |&class: &usize| {
            let (level, (told, tries)) = (self.level_told(class), self.told[class]);
            (level - told).abs() > LEVEL_STEP * told || tries != self.tries_told()
        };
        let spare = self.joined_proxies().all(|proxy| self.messages_left(proxy, ORDINARY_MESSAGES));
        let usable = spare && !self.site.sliced && self.site.level_unit != LevelUnit::Ignored;
        (0..self.told.len()).filter(|_| usable).find(off)
    }

    fn publish_levels(&mut self, orders: &mut Orders) {
        let Some(class) = self.moved_level() else { return };
        let (level, tries) = (self.level_told(class), self.tries_told());
        self.told[class] = (level, tries);
        for (place, group) in self.groups.iter().enumerate() {
            if group.members.contains(&class) {
                for home in 0..self.homes {
                    let table = TableId((home * self.groups.len() + place) as u32);
                    orders.levels.push((table, ClassSet(1 << class), level, tries));
                }
            }
        }
        for proxy in self.proxies.values_mut().filter(|proxy| proxy.bound) {
            proxy.note_message(self.now);
            self.queued += 1.0 + self.site.lines_per_message;
        }
    }

    fn demand(&self, home: usize, group: usize) -> f64 {
        let at_home = self.proxies.values().filter(|proxy| proxy.home == home);
        at_home.flat_map(|proxy| self.groups[group].members.iter().map(|&class| proxy.rates[class])).sum()
    }

    fn split_round(&mut self) {
        self.split_with(STEP);
    }

    /// Between rounds: endpoints came or went.
    fn split(&mut self, _: &mut Orders) {
        self.split_with(0.0);
    }

    fn split_with(&mut self, step: f64) {
        self.recast = false;
        self.estimate_capacity();
        self.count_tries();
        let size = self.fleet.home.len();
        let homes = 0..self.homes;
        let demands: Vec<Vec<f64>> = homes
            .clone()
            .map(|home| (0..self.groups.len()).map(|group| self.demand(home, group)).collect())
            .collect();
        let capacity = self.fleet.capacity.clone();
        let total: f64 = demands.iter().flatten().sum();
        let load = total / capacity.iter().sum::<f64>();
        let keep = if self.fleet.rounds.iter().any(|&n| n > 0.0) { KEEP } else { 0.0 }.max(load);
        let (mut spare, mut roaming, mut staying) = (capacity.clone(), 0.0, Vec::new());
        for home in homes.clone() {
            let at_home = |e: usize| if self.fleet.home[e] == home { capacity[e] } else { 0.0 };
            let local: Vec<f64> = (0..size).map(at_home).collect();
            let held = local.iter().sum::<f64>() * keep;
            let all: f64 = demands[home].iter().sum();
            let stay = if held >= all { 1.0 } else { held / all };
            let parts: Vec<f64> = (0..self.groups.len())
                .map(|group| if self.groups[group].confined { 1.0 } else { stay })
                .collect();
            let residents: Vec<f64> = demands[home].iter().zip(&parts).map(|(d, part)| d * part).collect();
            self.splits[home].solve(&residents, &local);
            roaming += all - residents.iter().sum::<f64>();
            for (resident, row) in residents.iter().zip(&self.splits[home].gamma) {
                (0..size).for_each(|e| spare[e] -= resident * row[e]);
            }
            staying.push(parts);
        }
        (0..size).for_each(|e| spare[e] = spare[e].max(LEAST_SPARE * capacity[e]));
        self.splits[self.homes].solve(&[roaming.max(f64::MIN_POSITIVE)], &spare);
        let far = &self.splits[self.homes].gamma[0];
        let (mut targets, mut coming) = (Vec::new(), vec![0.0; size]);
        for home in homes {
            for (group, &part) in staying[home].iter().enumerate() {
                let local = self.splits[home].gamma[group].iter();
                let row: Vec<f64> =
                    local.zip(far).map(|(near, far)| part * near + (1.0 - part) * far).collect();
                let tries = self.tries * demands[home][group] / total.max(f64::MIN_POSITIVE);
                coming.iter_mut().zip(&row).for_each(|(sum, share)| *sum += tries * share);
                targets.push(row);
            }
        }
        let ease = |e: usize| match self.ramping(e) {
            true => (CAUTION * capacity[e] / coming[e].max(f64::MIN_POSITIVE)).min(1.0),
            false => 1.0,
        };
        let eased: Vec<f64> = (0..size).map(ease).collect();
        for (table, mut row) in targets.into_iter().enumerate() {
            row.iter_mut().zip(&eased).for_each(|(share, part)| *share *= part);
            self.step_table(table, &row, step);
        }
    }

    /// When many tries fail, further tries and what proxies avoid by themselves pile onto whatever still
    /// answers, whatever its share. What proxies meet that came back and were not heard since may be so.
    fn piling(&self) -> bool {
        let part = |pick: fn(&Proxy) -> bool| -> f64 {
            self.joined_proxies().filter(|proxy| pick(proxy)).flat_map(|proxy| &proxy.rates).sum()
        };
        self.failing > PILING || part(|proxy| !proxy.heard) > PILING * part(|_| true)
    }

    /// Moves a table towards the split. Lines that come, go or are ramping move at once: a step limit
    /// would hold load on a cold endpoint or keep a gone one. A ramping line gets no more of all tries
    /// than its part of the estimate, however loaded the rest is: under overload or in a cut, a fair
    /// share pushes it over. It is set against what the stepped lines hold, not what they aim at.
    fn step_table(&mut self, table: usize, targets: &[f64], step: f64) {
        let ramping: Vec<bool> = (0..targets.len()).map(|e| self.ramping(e)).collect();
        let piling = self.piling();
        let Table { weight, sent } = &mut self.tables[table];
        weight.resize(targets.len(), 0.0);
        sent.resize(targets.len(), 0.0);
        let (mut held, mut aimed) = (0.0, 0.0);
        for (e, &target) in targets.iter().enumerate() {
            if target < LEAST_LINE {
                weight[e] = 0.0;
            } else if weight[e] > 0.0 && !ramping[e] {
                weight[e] = target.clamp(weight[e] * (1.0 - step), weight[e] * (1.0 + step));
                (held, aimed) = (held + weight[e], aimed + target);
            }
        }
        let scale = if aimed > 0.0 { held / aimed } else { 1.0 };
        for (e, &target) in targets.iter().enumerate().filter(|(_, target)| **target >= LEAST_LINE) {
            if ramping[e] && piling && held > 0.0 {
                weight[e] = 0.0;
            } else if ramping[e] {
                weight[e] = scale * target;
            } else if weight[e] == 0.0 {
                weight[e] = scale * target;
            }
        }
    }

    fn joined_proxies(&self) -> impl Iterator<Item = &Proxy> {
        self.proxies.values().filter(|proxy| proxy.left.is_none())
    }

    fn proxies_of(&self, table: usize) -> impl Iterator<Item = &Proxy> {
        let home = table / self.groups.len();
        self.proxies.values().filter(move |proxy| proxy.bound && proxy.home == home)
    }

    /// Whether each proxy may get one more message, using up to `part` of what is allowed.
    fn messages_left(&self, proxy: &Proxy, part: f64) -> bool {
        let Some(most) = self.site.messages else { return true };
        let recent = |at: &&Duration| **at + self.site.messages_span >= self.now;
        (proxy.messages.iter().filter(recent).count() as f64) < (most as f64 * part).floor()
    }

    fn lines_worth_pushing(&self, table: usize) -> Vec<usize> {
        let Table { weight, sent } = &self.tables[table];
        let worth = |&e: &usize| (weight[e] - sent[e]).abs() > WORTH_PUSHING * sent[e];
        (0..weight.len()).filter(worth).collect()
    }

    fn cost(&self, table: usize, lines: usize) -> f64 {
        self.proxies_of(table).count() as f64 * (lines as f64 + self.site.lines_per_message)
    }

    fn withdrawn_table(&self) -> Option<usize> {
        (0..self.tables.len()).find(|&table| {
            let Table { weight, sent } = &self.tables[table];
            let eased = |e: usize| self.ramping(e) && weight[e] < (1.0 - WORTH_PUSHING) * sent[e];
            let gone = (0..sent.len()).any(|e| sent[e] > 0.0 && (!self.usable(e) || eased(e)));
            let lines = self.lines_worth_pushing(table).len();
            let room = self.queued + self.cost(table, lines) <= QUEUE_PART * self.site.waiting_lines;
            gone && room && self.proxies_of(table).all(|proxy| self.messages_left(proxy, 1.0))
        })
    }

    fn publish_withdrawals(&mut self, orders: &mut Orders) {
        if let Some(table) = self.withdrawn_table() {
            self.publish(table, orders);
        }
    }

    /// A table that moved enough, whose proxies have messages to spare, within the channel's part.
    fn moved_table(&self) -> Option<usize> {
        (0..self.tables.len()).filter(|_| !self.site.sliced).find(|&table| {
            let lines = self.lines_worth_pushing(table).len();
            let room = self.site.lines_per_second * CHANNEL_PART - self.queued;
            lines > 0
                && self.cost(table, lines) <= room
                && self.proxies_of(table).all(|proxy| self.messages_left(proxy, ORDINARY_MESSAGES))
        })
    }

    fn publish_moves(&mut self, orders: &mut Orders) {
        if let Some(table) = self.moved_table() {
            self.publish(table, orders);
        }
    }

    fn publish(&mut self, table: usize, orders: &mut Orders) {
        let mut lines = self.lines_worth_pushing(table);
        self.queued += self.cost(table, lines.len());
        lines.sort_by_key(|&e| self.tables[table].weight[e] > 0.0);
        for e in lines {
            let weight = self.tables[table].weight[e];
            orders.weights.push((TableId(table as u32), EndpointId(e as u32), weight));
            self.tables[table].sent[e] = weight;
        }
        let (now, home) = (self.now, table / self.groups.len());
        let bound = self.proxies.values_mut().filter(|proxy| proxy.bound && proxy.home == home);
        bound.for_each(|proxy| proxy.note_message(now));
    }

    fn unbound_proxy(&self) -> Option<ProxyId> {
        let waiting = |(_, proxy): &(&ProxyId, &Proxy)| {
            let tables = proxy.home * self.groups.len()..(proxy.home + 1) * self.groups.len();
            let lines: usize = tables.clone().map(|t| self.tables[t].sent.len() + 1).sum();
            let cost = lines as f64 + self.site.lines_per_message;
            !proxy.bound
                && proxy.left.is_none()
                && !self.site.sliced
                && tables.clone().any(|t| self.tables[t].sent.iter().any(|&weight| weight > 0.0))
                && self.queued + cost <= QUEUE_PART * self.site.waiting_lines
        };
        self.proxies.iter().find(waiting).map(|(&id, _)| id)
    }

    fn bind(&mut self, orders: &mut Orders) {
        let Some(id) = self.unbound_proxy() else { return };
        let proxy = self.proxies.get_mut(&id).expect("found just now");
        proxy.bound = true;
        proxy.note_message(self.now);
        for (place, group) in self.groups.iter().enumerate() {
            let table = proxy.home * self.groups.len() + place;
            let lines = self.tables[table].sent.iter().filter(|&&weight| weight > 0.0).count();
            self.queued += lines as f64 + 1.0;
            orders.bindings.push((id, TableId(table as u32), group.classes));
        }
        self.queued += self.site.lines_per_message;
    }

    /// Fails far more than the better quarter of the fleet does.
    fn suspected(&self, e: usize) -> bool {
        let fleet = &self.fleet;
        let part = |e: usize| fleet.recent_failed[e] / fleet.recent[e].max(1.0);
        let mut parts: Vec<f64> = (0..fleet.open.len()).filter(|&e| fleet.open[e]).map(part).collect();
        parts.sort_by(f64::total_cmp);
        let usual = parts.get(parts.len() / 4).copied().unwrap_or(0.0);
        fleet.open[e] && fleet.recent_failed[e] >= FEWEST_FAILED && part(e) > FAILED_PART + usual
    }

    fn confirmed_bad(&self) -> Option<usize> {
        let fleet = &self.fleet;
        let open = fleet.open.iter().filter(|&&open| open).count() as f64;
        let left = (0..fleet.open.len()).filter(|&e| fleet.open[e] && !fleet.out[e]).count() as f64;
        let spare = left - 1.0 >= (open * KEPT_OPEN).max(1.0);
        let bad = |&e: &usize| !fleet.out[e] && fleet.strikes[e] >= STRIKES && self.suspected(e);
        (0..fleet.open.len()).filter(|_| spare).find(bad)
    }

    fn shut_out(&mut self, _: &mut Orders) {
        let Some(e) = self.confirmed_bad() else { return };
        self.fleet.out[e] = true;
        self.fleet.answers[e] = 0;
        self.recast = true;
    }

    fn confirmed_good(&self) -> Option<usize> {
        (0..self.fleet.out.len()).find(|&e| self.fleet.out[e] && self.fleet.answers[e] >= ANSWERS)
    }

    fn let_in(&mut self, _: &mut Orders) {
        let Some(e) = self.confirmed_good() else { return };
        let fleet = &mut self.fleet;
        (fleet.out[e], fleet.admitted[e], fleet.strikes[e]) = (false, Some(self.now), 0.0);
        (fleet.recent[e], fleet.recent_failed[e]) = (0.0, 0.0);
        self.recast = true;
    }

    fn probe_due(&self) -> Option<usize> {
        let fleet = &self.fleet;
        let due = |&e: &usize| {
            let waited = fleet.probed[e].map_or(Duration::MAX, |at| self.now - at);
            let pause = if fleet.probing[e] { PROBE_LOST } else { PROBE_PAUSE };
            fleet.open[e] && waited >= pause && (fleet.out[e] || self.suspected(e))
        };
        (0..fleet.open.len()).filter(|_| self.site.probes_allowed).find(due)
    }

    fn probe(&mut self, orders: &mut Orders) {
        let Some(e) = self.probe_due() else { return };
        self.fleet.probed[e] = Some(self.now);
        self.fleet.probing[e] = true;
        orders.probes.push(EndpointId(e as u32));
    }
}

impl Proxy {
    /// Orders of one moment travel as one message.
    fn note_message(&mut self, now: Duration) {
        if self.messages.back() != Some(&now) {
            self.messages.push_back(now);
        }
        if self.messages.len() > 64 {
            self.messages.pop_front();
        }
    }
}
