//! Every decision of a pilot. A host calls the methods of [`Pilot`] in the order of the happenings and
//! carries out the [`Orders`] that each returns; `interface.rs` holds the types of both, `state.rs` what is
//! kept in mind. After each call the rules in [`RULES`] are gone through, first to last and over again,
//! until none fires. The design, and where this departs from it, is in `docs/design.md`.

use std::time::Duration;

use crate::interface::*;
use crate::state::{Fleet, Group, Pilot, Proxy, Split, Table};

/// Capacity, the design's defaults: rounds averaged over, least busy fraction, factor around the mean.
const ROUNDS: f64 = 10.0;
const LEAST_BUSY: f64 = 0.2;
const SPREAD: f64 = 4.0;
/// Staging, the design's defaults: a comer's first part, most and least move of a weight, channel's part.
const FIRST_PART: f64 = 0.25;
const STEP: f64 = 0.2;
const WORTH_PUSHING: f64 = 0.1;
const CHANNEL_PART: f64 = 1.0 / 3.0;
/// A line that would get a smaller share than this is not worth its place in the table.
const LEAST_LINE: f64 = 0.005;
/// Of the messages a proxy may get, the part open to moves, and to levels and easing; drains may use all.
const FOR_MOVES: f64 = 0.5;
const FOR_HASTE: f64 = 0.6;
/// Of the lines that may wait, the part that may be filled: our count of what waits is a guess.
const QUEUE_PART: f64 = 0.8;
/// The pause between looks at the rules, and from a report's last line to its round's close.
const TICK: Duration = Duration::from_millis(100);
const REPORT_TAIL: Duration = Duration::from_millis(20);
/// No rate is taken over less: a proxy's first report may cover a moment only.
const LEAST_SPAN: f64 = 0.1;
/// Where crossing zones costs, a zone's flow stays at home up to this load, or to the fleet's own; the
/// rest roams over what the residents leave, at least this part of each endpoint.
const KEEP: f64 = 0.65;
const LEAST_SPARE: f64 = 0.05;
/// The part of a ramping endpoint's present estimate that the calls to come may take (neither is known
/// well), and how far under the fall multiple its ramp must stay while the fleet is calm.
const CAUTION: f64 = 0.7;
const FALL_MARGIN: f64 = 2.5;
/// Failed part of tries, or unheard part of demand, from which proxies may stray from their tables.
const PILING: f64 = 0.25;
/// How far a round moves a proxy's demand (calls come in bunches) and the fleet's state (jams build fast).
const DEMAND_GAIN: f64 = 0.6;
const STATE_GAIN: f64 = 0.7;
/// How long a proxy whose stream broke still counts as demand.
const MEMORY: Duration = Duration::from_secs(20);
/// Suspicion: the failed part of recent tries above what the better quarter of the fleet shows, on at
/// least this many failures; older rounds fade. A silent probe counts where the last part fails.
const FAILED_PART: f64 = 0.3;
const FEWEST_FAILED: f64 = 2.0;
const FADE: f64 = 0.5;
const SILENT_PART: f64 = 0.9;
/// Under this busy fraction a suspected endpoint fails by itself and not for a queue; the least part of
/// its estimate that it keeps then, to show when it is well again.
const IDLE: f64 = 0.5;
const LEAST_TRUST: f64 = 0.1;
/// Failed probes that confirm (an answer halves their count), answers in a row that end it, and pauses.
const STRIKES: f64 = 2.0;
const ANSWERS: u32 = 3;
const PROBE_PAUSE: Duration = Duration::from_millis(500);
const PROBE_LOST: Duration = Duration::from_secs(3);
/// The least part of the open endpoints that stays in the tables, whatever the probes say.
const KEPT_OPEN: f64 = 1.0 / 3.0;
/// Levels come down when the fleet is busier than the target and demand passes that part of capacity:
/// calls above it would wait past their goals. The least level keeps a class measurable.
const TARGET: f64 = 0.78;
const LEAST_LEVEL: f64 = 0.02;
const LEVEL_STEP: f64 = 0.05;
/// More calls a second than any proxy has: lets all in where levels are rates.
const ALL_CALLS: f64 = 1e6;

/// The solver, in the paper's letters (IV-B): penalty, proximal factor, dual step, relative change that
/// ends it, iterations a round, and halvings for one server's side.
const RHO: f64 = 0.1;
const OMEGA: f64 = 0.3 * RHO;
const TAU: f64 = 1.0;
const STOP: f64 = 0.001;
const ITERATIONS: usize = 30;
const HALVINGS: usize = 40;
/// Each block's squared coefficients sum to this in the units it is solved in, so that OMEGA holds it: in
/// the paper's units, without its bound on L, the iteration swings apart (see the condition in IV-C).
const UNIT: f64 = OMEGA / RHO;

/// The min-max split of flows over servers by proximal Jacobian ADMM.
impl Split {
    /// Splits `demand` by flow over servers of `capacity` (0: takes no part), from the last iterate on.
    pub fn solve(&mut self, demand: &[f64], capacity: &[f64]) {
        let servers: Vec<usize> = (0..capacity.len()).filter(|&j| capacity[j] > 0.0).collect();
        let total: f64 = demand.iter().sum();
        self.fit(demand.len(), capacity, &servers);
        if servers.is_empty() || total <= 0.0 {
            return;
        }
        // Units again: demand sums to one and capacities average one, so that no step drowns in a scale.
        let (flows, count) = (0..demand.len(), servers.len() as f64);
        let mean = servers.iter().map(|&j| capacity[j]).sum::<f64>() / count;
        let d = |q: usize, j: usize| demand[q] / total / (capacity[j] / mean);
        let load = |a: &[Vec<f64>], j: usize| flows.clone().map(|q| a[q][j] * d(q, j)).sum::<f64>();
        let (prox, prox_l) = (OMEGA / UNIT, OMEGA / UNIT * count);
        for _ in 0..ITERATIONS {
            let (mut a, mut gamma, mut delta) = (self.a.clone(), self.gamma.clone(), self.delta.clone());
            let mut pull = prox_l * self.l - 1.0;
            for &j in &servers {
                let now = load(&self.a, j);
                pull += RHO * (now + self.delta[j]) - self.theta[j];
                let slack = RHO * (self.l - now) + self.theta[j] + prox * self.delta[j];
                delta[j] = (slack / (RHO + prox)).max(0.0);
                self.server_side(j, &mut a, flows.clone().map(|q| d(q, j)).collect());
            }
            let l = (pull / (RHO * count + prox_l)).max(0.0);
            for (q, row) in gamma.iter_mut().enumerate() {
                let near = |&j: &usize| RHO * self.a[q][j] + prox * self.gamma[q][j] - self.phi[q][j];
                let wish: Vec<f64> = servers.iter().map(|j| near(j) / (RHO + prox)).collect();
                servers.iter().zip(on_simplex(&wish)).for_each(|(&j, part)| row[j] = part);
            }
            for &j in &servers {
                self.theta[j] += TAU * RHO * (l - load(&a, j) - delta[j]);
                flows.clone().for_each(|q| self.phi[q][j] += TAU * RHO * (gamma[q][j] - a[q][j]));
            }
            let both = a.iter().zip(&self.a).chain(gamma.iter().zip(&self.gamma));
            let cells = both.flat_map(|(new, old)| new.iter().zip(old));
            let (moved, all) = cells.fold(((l - self.l).powi(2), l * l), |(moved, all), (new, old)| {
                (moved + (new - old).powi(2), all + new * new)
            });
            (self.l, self.delta, self.a, self.gamma) = (l, delta, a, gamma);
            // While L is held at 0 the rest may stand still before it has begun.
            if l > 0.0 && moved.sqrt() < STOP * all.sqrt() {
                break;
            }
        }
    }

    /// One server's side: its wish falls as its own load rises, so halving finds where they agree.
    fn server_side(&self, j: usize, a: &mut [Vec<f64>], d: Vec<f64>) {
        let omega = OMEGA / UNIT * (1.0 + d.iter().map(|x| x * x).sum::<f64>());
        let wish = |q: usize, load: f64| {
            let pull = d[q] * (self.theta[j] + RHO * (self.l - self.delta[j] - load));
            let near = RHO * self.gamma[q][j] + omega * self.a[q][j] + self.phi[q][j];
            ((pull + near) / (RHO + omega)).clamp(0.0, 1.0)
        };
        let (mut low, mut high) = (0.0, d.iter().sum::<f64>());
        for _ in 0..HALVINGS {
            let middle = (low + high) / 2.0;
            let load: f64 = (0..d.len()).map(|q| d[q] * wish(q, middle)).sum();
            (low, high) = if load > middle { (middle, high) } else { (low, middle) };
        }
        (0..d.len()).for_each(|q| a[q][j] = wish(q, high));
    }

    /// Carries the iterate over to another set of servers: those that left are cleared, comers start in
    /// proportion to capacity, and duals and shares get back the sums that they have at every optimum.
    fn fit(&mut self, flows: usize, capacity: &[f64], servers: &[usize]) {
        let (size, count, sum) = (capacity.len(), servers.len() as f64, capacity.iter().sum::<f64>());
        self.theta.resize(size, 0.0);
        self.delta.resize(size, 0.0);
        for rows in [&mut self.a, &mut self.gamma, &mut self.phi] {
            rows.resize(flows, Vec::new());
            rows.iter_mut().for_each(|row| row.resize(size, 0.0));
        }
        let changed = |&j: &usize| (self.theta[j] != 0.0) != (capacity[j] > 0.0);
        let changed: Vec<usize> = (0..size).filter(changed).collect();
        for &j in &changed {
            let comes = if capacity[j] > 0.0 { 1.0 } else { 0.0 };
            (self.theta[j], self.delta[j]) = (-comes * capacity[j] / sum.max(f64::MIN_POSITIVE), 0.0);
            for q in 0..flows {
                (self.a[q][j], self.gamma[q][j]) = (-self.theta[j], -self.theta[j]);
                self.phi[q][j] = comes / (flows as f64 * count);
            }
        }
        if count > 0.0 {
            self.l = if self.l > 0.0 { self.l } else { 1.0 / count };
            for row in self.gamma.iter_mut().chain(&mut self.a).chain([&mut self.theta]) {
                let sum = row.iter().sum::<f64>().abs().max(f64::MIN_POSITIVE);
                row.iter_mut().for_each(|part| *part /= sum);
            }
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
        cut = if *part > here { here } else { cut };
    }
    wish.iter().map(|part| (part - cut).max(0.0)).collect()
}

/// The effect deals with what the condition finds; a condition without a subject finds 0.
struct Rule {
    when: fn(&Pilot) -> Option<usize>,
    then: fn(&mut Pilot, usize, &mut Orders),
}

/// In order: what the list says, what the sums and probes say, then the tables from the most urgent
/// change to the least, and last what is needed to be called again.
const RULES: &[Rule] = &[
    Rule { when: |p| p.ask_for_list_at.filter(|at| *at <= p.now).map(|_| 0), then: Pilot::ask_for_list },
    Rule { when: Pilot::round_due, then: Pilot::close_round },
    Rule { when: Pilot::confirmed_bad, then: Pilot::shut_out },
    Rule { when: Pilot::confirmed_good, then: Pilot::let_in },
    Rule { when: |p| p.recast.then_some(0), then: |p, _, _| p.split(0.0) },
    Rule { when: Pilot::withdrawn_table, then: Pilot::publish },
    Rule { when: Pilot::unbound_proxy, then: Pilot::bind },
    Rule { when: Pilot::moved_table, then: Pilot::publish },
    Rule { when: Pilot::probe_due, then: Pilot::probe },
    Rule { when: |p| (p.wake_at <= p.now).then_some(0), then: Pilot::ask_to_be_woken },
];

impl Fleet {
    /// Open and not shut out; if all open ones are shut out, shutting out has nothing left to protect.
    fn usable(&self, e: usize) -> bool {
        self.open[e] && (!self.out[e] || self.opened().all(|other| self.out[other]))
    }

    /// Failed part of tries above the better quarter's: what all do at once is no one's fault.
    fn failing(&self, e: usize) -> f64 {
        let part = |e: usize| self.recent_failed[e] / self.recent[e].max(1.0);
        let mut parts: Vec<f64> = self.opened().map(part).collect();
        parts.sort_by(f64::total_cmp);
        part(e) - parts.get(parts.len() / 4).copied().unwrap_or(0.0)
    }

    fn suspected(&self, e: usize) -> bool {
        self.open[e] && self.recent_failed[e] >= FEWEST_FAILED && self.failing(e) > FAILED_PART
    }
}

impl Pilot {
    pub fn new(site: Deployment) -> Self {
        let groups = Group::all(&site.classes);
        // One origin, as in the paper, unless where a call comes from makes a difference.
        let anywhere = site.crossing_price <= 0.0 && groups.iter().all(|group| !group.confined);
        let homes = if anywhere { 1 } else { site.zones };
        let all_in = if site.level_unit == LevelUnit::Share { 1.0 } else { ALL_CALLS };
        let told = vec![(all_in, Tries::AgainIfNeverRan); site.classes.len()];
        Pilot::blank(site, homes, groups, told)
    }

    /// The list of endpoints, whole or only what changed.
    pub fn list(&mut self, now: Duration, whole: bool, entries: &[Listed]) -> Orders {
        self.fleet.follow(now, whole, entries, self.homes);
        self.recast = true;
        self.settle(now)
    }

    pub fn list_failed(&mut self, now: Duration) -> Orders {
        // Not at once again: a list service that fails is short of room as it is.
        self.ask_for_list_at = self.site.list_on_request.then_some(now + self.site.round);
        self.settle(now)
    }

    pub fn joined(&mut self, now: Duration, proxy: ProxyId, zone: ZoneId, usual_rate: f64) -> Orders {
        let classes = self.site.classes.len();
        let before = self.proxies.remove(&proxy).map(|before| before.rates);
        let rates = before.unwrap_or(vec![usual_rate / classes as f64; classes]);
        let home = if self.homes > 1 { zone.0 as usize } else { 0 };
        self.proxies.insert(proxy, Proxy::new(home, rates));
        self.now = now;
        self.recast |= (0..self.fleet.len()).any(|e| self.fleet.usable(e) && self.ramping(e));
        self.settle(now)
    }

    pub fn left(&mut self, now: Duration, proxy: ProxyId) -> Orders {
        if let Some(known) = self.proxies.get_mut(&proxy) {
            (known.left, known.bound) = (Some(now), false);
        }
        self.settle(now)
    }

    /// Sums of what one zone's proxies met at an endpoint.
    pub fn met(&mut self, now: Duration, endpoint: EndpointId, met: Met) -> Orders {
        let e = endpoint.0 as usize;
        self.fleet.grow(e + 1);
        self.last_heard = Some(now);
        let fleet = &mut self.fleet;
        // By the second, line by line: what a proxy met out of reach comes late, over a long span, and
        // must not stretch the others' round.
        let seconds = met.span.as_secs_f64().max(LEAST_SPAN);
        let good = (met.tries - met.failed).max(0.0) / seconds;
        fleet.good[e] += good;
        fleet.failed[e] += met.failed / seconds;
        fleet.time[e] += good * met.answer_time.as_secs_f64();
        fleet.reported[e] = met.load.busy.or(fleet.reported[e]);
        self.settle(now)
    }

    /// Calls of a class that came to a proxy.
    pub fn came(&mut self, now: Duration, proxy: ProxyId, class: ClassId, came: Came) -> Orders {
        self.last_heard = Some(now);
        if let Some(known) = self.proxies.get_mut(&proxy) {
            known.heard = true;
            let rate = &mut known.rates[class.0 as usize];
            *rate += DEMAND_GAIN * (came.calls / came.span.as_secs_f64().max(LEAST_SPAN) - *rate);
        }
        self.settle(now)
    }

    pub fn probed(&mut self, now: Duration, endpoint: EndpointId, end: ProbeEnd) -> Orders {
        let (e, fleet) = (endpoint.0 as usize, &mut self.fleet);
        fleet.probing[e] = false;
        // A probe waits in the same queue as calls do. Where some calls are still answered well, its
        // silence shows a jam, and shutting out would only move the jam on.
        let jam = end == ProbeEnd::Silent && fleet.recent_failed[e] < SILENT_PART * fleet.recent[e];
        match end {
            ProbeEnd::TurnedAway => {}
            ProbeEnd::Answered => {
                fleet.answers[e] += 1;
                fleet.strikes[e] *= FADE;
            }
            ProbeEnd::Failed | ProbeEnd::Silent => {
                fleet.answers[e] = 0;
                fleet.strikes[e] += if jam { 0.0 } else { 1.0 };
            }
        }
        self.settle(now)
    }

    pub fn woken(&mut self, now: Duration) -> Orders {
        self.settle(now)
    }

    fn settle(&mut self, now: Duration) -> Orders {
        let mut orders = Orders::default();
        self.now = now;
        self.let_queue_drain(self.site.lines_per_second * CHANNEL_PART);
        while let Some((rule, subject)) = RULES.iter().find_map(|rule| Some((rule, (rule.when)(self)?))) {
            (rule.then)(self, subject, &mut orders);
        }
        orders
    }

    fn ask_for_list(&mut self, _: usize, orders: &mut Orders) {
        self.ask_for_list_at = None;
        orders.ask_for_list = true;
    }

    fn ask_to_be_woken(&mut self, _: usize, orders: &mut Orders) {
        self.wake_at = self.now + TICK;
        orders.wake_after = Some(TICK);
    }

    /// A round ends when its report is in, or without one when none comes: ramps go on.
    fn round_due(&self) -> Option<usize> {
        let since = self.now.saturating_sub(self.last_round);
        let due = match self.last_heard {
            Some(heard) => self.now >= heard + REPORT_TAIL && since * 2 >= self.site.round,
            None => since * 2 >= self.site.round * 3,
        };
        due.then_some(0)
    }

    fn close_round(&mut self, _: usize, _: &mut Orders) {
        // A proxy whose stream broke goes on sending, and is back with all its calls at once: what is
        // let in for those that remain would then be far too much. Another pilot would take it over.
        let (now, memory) = (self.now, if self.site.pilots > 1 { Duration::ZERO } else { MEMORY });
        self.proxies.retain(|_, proxy| proxy.left.is_none_or(|at| at + memory > now));
        if self.last_heard.take().is_some() {
            self.learn();
            self.set_levels();
        }
        self.last_round = now;
        self.split(STEP);
    }

    /// Folds the round's sums into the averages. Only good answers teach capacity: errors and refusals
    /// are fast, and would make a failing endpoint look idle.
    fn learn(&mut self) {
        let (good, failed) = (self.fleet.good.iter().sum::<f64>(), self.fleet.failed.iter().sum::<f64>());
        self.state.handled += STATE_GAIN * (good - self.state.handled);
        self.state.failing = failed / (good + failed).max(f64::MIN_POSITIVE);
        let tries = good + failed;
        self.state.tries = tries.max(self.state.tries + STATE_GAIN * (tries - self.state.tries));
        for e in 0..self.fleet.len() {
            let ramping = self.ramping(e);
            let fleet = &mut self.fleet;
            let (good, failed) = (fleet.good[e], fleet.failed[e]);
            // What was said before does not show the heat of now.
            fleet.reported[e] = fleet.reported[e].filter(|_| good + failed > 0.0);
            fleet.recent[e] = fleet.recent[e] * FADE + good + failed;
            fleet.recent_failed[e] = fleet.recent_failed[e] * FADE + failed;
            if good > 0.0 && !ramping && !fleet.doubted[e] {
                let time = (fleet.time[e] / good).max(f64::MIN_POSITIVE);
                fleet.quietest[e] = fleet.quietest[e].min(time);
                let busy = fleet.reported[e].unwrap_or(1.0 - fleet.quietest[e] / time).max(LEAST_BUSY);
                fleet.rounds[e] = (fleet.rounds[e] + 1.0).min(ROUNDS);
                fleet.rate[e] += (good - fleet.rate[e]) / fleet.rounds[e];
                fleet.busy[e] += (busy - fleet.busy[e]) / fleet.rounds[e];
            }
            (fleet.good[e], fleet.failed[e], fleet.time[e]) = (0.0, 0.0, 0.0);
        }
        for e in 0..self.fleet.len() {
            let idle = self.fleet.reported[e].is_some_and(|busy| busy < IDLE);
            let doubted = idle && self.fleet.suspected(e);
            if self.fleet.doubted[e] && !doubted {
                self.fleet.admitted[e] = Some(self.now);
            }
            self.fleet.doubted[e] = doubted;
        }
        self.estimate_capacity();
    }

    /// May still fall over, or is on its way back in.
    fn ramping(&self, e: usize) -> bool {
        self.age(e) < self.site.warm_up || self.ramp(e) < 1.0
    }

    /// The part of its capacity that an endpoint may be given: doubling from a quarter as in the design,
    /// but within the slowest warm-up, or, in a calm fleet, well under the fall multiple: the slowest
    /// leaves a faster one idle for long.
    fn ramp(&self, e: usize) -> f64 {
        let warm = (self.age(e).as_secs_f64() / self.site.warm_up.as_secs_f64().max(LEAST_SPAN)).min(1.0);
        let slowest = self.site.start_capacity + (1.0 - self.site.start_capacity) * warm;
        let calm = self.state.heat < TARGET && self.state.failing < PILING / 2.0;
        let spare = if calm { (self.site.fall_multiple / FALL_MARGIN).max(1.0) } else { 1.0 };
        let since = |at: Duration| self.now.saturating_sub(at).as_secs_f64();
        let rounds = self.fleet.admitted[e].map_or(f64::INFINITY, since) / self.site.round.as_secs_f64();
        (slowest * spare).min(FIRST_PART * rounds.floor().exp2()).min(1.0)
    }

    fn estimate_capacity(&mut self) {
        let average = self.fleet.mean_capacity(None);
        for e in 0..self.fleet.len() {
            let fleet = &self.fleet;
            let part = if fleet.usable(e) { self.ramp(e) } else { 0.0 };
            // Probes may never confirm (shallow ones meet no errors): the part it answers is all it gets.
            let answered = if fleet.suspected(e) { 1.0 - fleet.failing(e) } else { 1.0 };
            let trust = if fleet.doubted[e] { answered.powi(2).max(LEAST_TRUST) } else { answered };
            let full = average.map_or(fleet.weight[e], |all| {
                // Rounds not heard yet count as the kind's mean, where one of it was heard: few calls
                // say little, and a fleet being replaced would load small machines like large ones.
                let usual = fleet.mean_capacity(Some(fleet.kind[e])).unwrap_or(all);
                let n = fleet.rounds[e];
                let heard = if n > 0.0 { fleet.rate[e] / fleet.busy[e] } else { usual };
                ((n * heard + (ROUNDS - n) * usual) / ROUNDS).clamp(all / SPREAD, all * SPREAD)
            });
            self.fleet.capacity[e] = full * part * trust;
        }
    }

    /// Under overload, lets in what capacity allows, the class with most value for its latency goal (the
    /// only hint of its work) first. Demand above capacity is no proof: the refused come again, and after
    /// a cut demand is known before the capacity that comes with it. So endpoints must be hot or failing
    /// to begin with, and what they handle at the heat they show raises an average that is behind.
    fn set_levels(&mut self) {
        let (classes, fleet) = (&self.site.classes, &self.fleet);
        let rate = |class: usize| self.proxies.values().map(|proxy| proxy.rates[class]).sum::<f64>();
        let rates: Vec<f64> = (0..classes.len()).map(rate).collect();
        let capacity: f64 = fleet.capacity.iter().sum();
        let load = rates.iter().sum::<f64>() / capacity.max(f64::MIN_POSITIVE);
        let said = (0..fleet.len()).filter_map(|e| Some((fleet.capacity[e], fleet.reported[e]?)));
        let (sum, busy) = said.fold((0.0, 0.0), |(sum, busy), (c, said)| (sum + c, busy + c * said));
        let heat = if sum > 0.0 { busy / sum } else { load };
        self.state.heat += STATE_GAIN * (heat - self.state.heat);
        let pressed = self.state.heat > TARGET || self.state.failing > PILING / 2.0;
        let over = self.shedding() || (load > TARGET && pressed);
        let shown = self.state.handled / self.state.heat.max(LEAST_BUSY);
        let mut room = if over { TARGET * capacity.max(shown) } else { f64::INFINITY };
        let worth = |c: usize| classes[c].value / classes[c].latency_goal.as_secs_f64().max(LEAST_SPAN);
        let mut order: Vec<usize> = (0..classes.len()).collect();
        order.sort_by(|&x, &y| worth(y).total_cmp(&worth(x)));
        for class in order {
            let rate = rates[class].max(f64::MIN_POSITIVE);
            self.levels[class] = (room / rate).clamp(LEAST_LEVEL, 1.0);
            room = (room - rate).max(0.0);
        }
    }

    fn shedding(&self) -> bool {
        self.levels.iter().any(|&level| level < 1.0)
    }

    /// A level as proxies read it; a rate is the same for all of a pilot's, so the busiest are cut first.
    /// While anything is refused no call is tried again: a jam turns calls away, and tries add to it.
    fn telling(&self, class: usize) -> (f64, Tries) {
        let tries = if self.shedding() { Tries::Once } else { Tries::AgainIfNeverRan };
        let level = self.levels[class];
        match self.site.level_unit {
            LevelUnit::Share => return (level, tries),
            LevelUnit::Ignored => return (ALL_CALLS, tries),
            LevelUnit::CallsPerSecond => {}
        }
        let mut rates: Vec<f64> = self.proxies.values().map(|proxy| proxy.rates[class]).collect();
        rates.sort_by(f64::total_cmp);
        let mut room = level * rates.iter().sum::<f64>();
        for (place, &rate) in rates.iter().enumerate().filter(|_| level < 1.0) {
            let even = room / (rates.len() - place) as f64;
            if rate >= even {
                return (even, tries);
            }
            room -= rate;
        }
        (ALL_CALLS, tries)
    }

    /// The classes of a table whose level its proxies were told too differently.
    fn levels_worth_telling(&self, table: usize) -> Vec<usize> {
        let off = |&class: &usize| {
            let ((level, tries), (told, tries_told)) = (self.telling(class), self.tables[table].told[class]);
            (level - told).abs() > LEVEL_STEP * told || tries != tries_told
        };
        let members = &self.groups[table % self.groups.len()].members;
        members.iter().copied().filter(off).collect()
    }

    /// Splits each home's flows over its own endpoints as far as they go, and what they do not hold
    /// over all that have room; then moves the tables towards it by at most `step`.
    fn split(&mut self, step: f64) {
        self.recast = false;
        self.estimate_capacity();
        let (size, capacity) = (self.fleet.len(), self.fleet.capacity.clone());
        let demand = |(home, group): (usize, &Group)| -> f64 {
            let at_home = self.proxies.values().filter(|proxy| proxy.home == home);
            at_home.flat_map(|proxy| group.members.iter().map(|&class| proxy.rates[class])).sum()
        };
        let places = (0..self.homes).flat_map(|home| self.groups.iter().map(move |group| (home, group)));
        let demands: Vec<f64> = places.map(demand).collect();
        let total = demands.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let load = total / capacity.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let keep = if self.fleet.mean_capacity(None).is_some() { KEEP.max(load) } else { load };
        let (mut spare, mut roaming, mut staying) = (capacity.clone(), f64::MIN_POSITIVE, Vec::new());
        for (home, flows) in demands.chunks(self.groups.len()).enumerate() {
            let at_home = |e: usize| if self.fleet.home[e] == home { capacity[e] } else { 0.0 };
            let local: Vec<f64> = (0..size).map(at_home).collect();
            let (held, all) = (local.iter().sum::<f64>() * keep, flows.iter().sum::<f64>());
            let stay = if held >= all { 1.0 } else { held / all };
            let parts = self.groups.iter().map(|group| if group.confined { 1.0 } else { stay });
            let parts: Vec<f64> = parts.collect();
            let residents: Vec<f64> = flows.iter().zip(&parts).map(|(flow, part)| flow * part).collect();
            roaming += all - residents.iter().sum::<f64>();
            self.splits[home].solve(&residents, &local);
            for (resident, row) in residents.iter().zip(&self.splits[home].gamma) {
                spare.iter_mut().zip(row).for_each(|(left, share)| *left -= resident * share);
            }
            staying.extend(parts);
        }
        spare.iter_mut().zip(&capacity).for_each(|(left, all)| *left = left.max(LEAST_SPARE * all));
        self.splits[self.homes].solve(&[roaming], &spare);
        let mut rows: Vec<Vec<f64>> = Vec::new();
        for (table, part) in staying.into_iter().enumerate() {
            let near = &self.splits[table / self.groups.len()].gamma[table % self.groups.len()];
            let both = near.iter().zip(&self.splits[self.homes].gamma[0]);
            rows.push(both.map(|(near, far)| part * near + (1.0 - part) * far).collect());
        }
        self.ease(&mut rows, &demands);
        for (table, row) in rows.iter().enumerate() {
            self.step_table(table, row, step);
        }
    }

    /// A ramping endpoint gets no more of all tries, made or let in, than its part of the estimate: under
    /// overload or in a cut, its fair share would push it over.
    fn ease(&self, rows: &mut [Vec<f64>], demands: &[f64]) {
        let let_in =
            |proxy: &Proxy| -> f64 { proxy.rates.iter().zip(&self.levels).map(|(r, l)| r * l).sum() };
        let tries = self.state.tries.max(self.proxies.values().map(let_in).sum());
        let total = demands.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        for e in (0..self.fleet.len()).filter(|&e| self.ramping(e)) {
            let coming: f64 = rows.iter().zip(demands).map(|(row, flow)| row[e] * tries * flow / total).sum();
            let part = CAUTION * self.fleet.capacity[e] / coming.max(f64::MIN_POSITIVE);
            rows.iter_mut().for_each(|row| row[e] *= part.min(1.0));
        }
    }

    /// When many tries fail, further tries and what proxies avoid by themselves pile onto whatever still
    /// answers, whatever its share. What proxies meet that came back and were not heard since may be so.
    fn piling(&self) -> bool {
        let part = |pick: fn(&Proxy) -> bool| -> f64 {
            self.joined_proxies().filter(|proxy| pick(proxy)).flat_map(|proxy| &proxy.rates).sum()
        };
        self.state.failing > PILING || part(|proxy| !proxy.heard) > PILING * part(|_| true)
    }

    /// Moves a table towards the split. Lines that come, go, ramp or are doubted move at once: steps would
    /// hold load on a cold endpoint. They are set against what stepped lines hold; no table goes empty.
    fn step_table(&mut self, table: usize, targets: &[f64], step: f64) {
        let ramping: Vec<bool> = (0..targets.len()).map(|e| self.ramping(e)).collect();
        let piling = self.piling();
        let doubted = &self.fleet.doubted;
        let Table { weight, sent, .. } = &mut self.tables[table];
        weight.resize(targets.len(), 0.0);
        sent.resize(targets.len(), 0.0);
        let (mut held, mut aimed) = (0.0, 0.0);
        let steady =
            |e: usize, weight: f64| weight > 0.0 && !ramping[e] && !doubted[e] && targets[e] >= LEAST_LINE;
        for (e, weight) in weight.iter_mut().enumerate().filter(|(e, weight)| steady(*e, **weight)) {
            *weight = targets[e].clamp(*weight * (1.0 - step), *weight * (1.0 + step));
            (held, aimed) = (held + *weight, aimed + targets[e]);
        }
        let scale = if aimed > 0.0 { held / aimed } else { 1.0 };
        for (e, weight) in weight.iter_mut().enumerate().filter(|(e, weight)| !steady(*e, **weight)) {
            let kept_out = targets[e] < LEAST_LINE || (ramping[e] && piling);
            *weight = if kept_out && held > 0.0 { 0.0 } else { scale * targets[e] };
        }
    }

    /// Whether a proxy may get one more message, using up to `part` of what is allowed. Past what haste
    /// may use they are spaced out: no row of drains, one by one, finds the last message gone.
    fn messages_left(&self, proxy: &Proxy, part: f64) -> bool {
        let Some(most) = self.site.messages else { return true };
        let span = self.site.messages_span;
        let sent = proxy.messages_since(self.now.saturating_sub(span)) as f64;
        let pause = span.div_f64((most as f64 * (1.0 - FOR_HASTE)).max(1.0));
        let spaced = proxy.messages.back().is_none_or(|&at| self.now >= at + pause);
        sent < (most as f64 * part).floor() && (spaced || sent < (most as f64 * FOR_HASTE).floor())
    }

    fn lines_worth_pushing(&self, table: usize) -> Vec<usize> {
        let Table { weight, sent, .. } = &self.tables[table];
        let worth = |&e: &usize| (weight[e] - sent[e]).abs() > WORTH_PUSHING * sent[e];
        (0..weight.len()).filter(worth).collect()
    }

    /// Whether a push of what moved in a table fits: into the messages of its proxies, and with what
    /// waits into so many lines.
    fn fits(&self, table: usize, messages: f64, lines: f64) -> bool {
        let lines_moved = self.lines_worth_pushing(table).len() + self.levels_worth_telling(table).len();
        let moved = lines_moved as f64 + self.site.lines_per_message;
        let cost = self.proxies_of(table).count() as f64 * moved;
        self.queued.0 + cost <= lines
            && self.proxies_of(table).all(|proxy| self.messages_left(proxy, messages))
    }

    /// A table with a line to an endpoint that is gone, or that ramps with too much.
    fn withdrawn_table(&self) -> Option<usize> {
        (0..self.tables.len()).find(|&table| {
            let Table { weight, sent, .. } = &self.tables[table];
            let eased = |e: usize| self.ramping(e) && weight[e] < (1.0 - WORTH_PUSHING) * sent[e];
            let gone = (0..sent.len()).any(|e| sent[e] > 0.0 && !self.fleet.usable(e));
            let messages = if gone { 1.0 } else { FOR_HASTE };
            let urgent = gone || (0..sent.len()).any(eased);
            urgent && self.fits(table, messages, QUEUE_PART * self.site.waiting_lines)
        })
    }

    fn moved_table(&self) -> Option<usize> {
        let lines = self.site.lines_per_second * CHANNEL_PART;
        let moved = |&table: &usize| {
            let tells = !self.levels_worth_telling(table).is_empty();
            let messages = if tells { FOR_HASTE } else { FOR_MOVES };
            (tells || !self.lines_worth_pushing(table).is_empty()) && self.fits(table, messages, lines)
        };
        (0..self.tables.len()).filter(|_| !self.site.sliced).find(moved)
    }

    /// All that has changed in a table goes at once: a message costs more than its lines.
    fn publish(&mut self, table: usize, orders: &mut Orders) {
        let (mut lines, levels) = (self.lines_worth_pushing(table), self.levels_worth_telling(table));
        self.note_messages(table, lines.len() + levels.len());
        // What leaves goes first, so that its share moves before anything else does.
        lines.sort_by_key(|&e| self.tables[table].weight[e] > 0.0);
        for e in lines {
            let weight = self.tables[table].weight[e];
            orders.weights.push((TableId(table as u32), EndpointId(e as u32), weight));
            self.tables[table].sent[e] = weight;
        }
        for class in levels {
            let (level, tries) = self.telling(class);
            orders.levels.push((TableId(table as u32), ClassSet(1 << class), level, tries));
            self.tables[table].told[class] = (level, tries);
        }
    }

    /// What binding a proxy costs at most: its tables with all lines and levels.
    fn binding_lines(&self) -> f64 {
        (self.groups.len() * (self.fleet.len() + 1) + self.site.classes.len()) as f64
            + self.site.lines_per_message
    }

    fn unbound_proxy(&self) -> Option<usize> {
        let fits = self.queued.0 + self.binding_lines() <= QUEUE_PART * self.site.waiting_lines;
        let can = fits && !self.site.sliced;
        let waiting = |proxy: &Proxy| {
            let tables = &self.tables[proxy.home * self.groups.len()..][..self.groups.len()];
            let ready = tables.iter().any(|table| table.sent.iter().any(|&weight| weight > 0.0));
            can && ready && !proxy.bound && proxy.left.is_none()
        };
        self.proxies.iter().find(|(_, proxy)| waiting(proxy)).map(|(id, _)| id.0 as usize)
    }

    fn bind(&mut self, id: usize, orders: &mut Orders) {
        self.queued.0 += self.binding_lines();
        let id = ProxyId(id as u32);
        let Some(proxy) = self.proxies.get_mut(&id) else { return };
        proxy.bound = true;
        proxy.note_message(self.now, self.site.messages_span);
        for (place, group) in self.groups.iter().enumerate() {
            let table = TableId((proxy.home * self.groups.len() + place) as u32);
            orders.bindings.push((id, table, group.classes));
        }
    }

    fn confirmed_bad(&self) -> Option<usize> {
        let (fleet, open) = (&self.fleet, self.fleet.opened().count() as f64);
        let mut left = fleet.opened().filter(|&e| !fleet.out[e]);
        let spare = left.clone().count() as f64 - 1.0 >= (open * KEPT_OPEN).max(1.0);
        left.find(|&e| spare && fleet.strikes[e] >= STRIKES && fleet.suspected(e))
    }

    fn shut_out(&mut self, e: usize, _: &mut Orders) {
        (self.fleet.out[e], self.fleet.answers[e]) = (true, 0);
        self.recast = true;
    }

    fn confirmed_good(&self) -> Option<usize> {
        (0..self.fleet.len()).find(|&e| self.fleet.out[e] && self.fleet.answers[e] >= ANSWERS)
    }

    fn let_in(&mut self, e: usize, _: &mut Orders) {
        let fleet = &mut self.fleet;
        (fleet.out[e], fleet.admitted[e], fleet.strikes[e]) = (false, Some(self.now), 0.0);
        (fleet.recent[e], fleet.recent_failed[e]) = (0.0, 0.0);
        self.recast = true;
    }

    fn probe_due(&self) -> Option<usize> {
        let fleet = &self.fleet;
        let due = |&e: &usize| {
            let waited = fleet.probed[e].map_or(Duration::MAX, |at| self.now.saturating_sub(at));
            let pause = if fleet.probing[e] { PROBE_LOST } else { PROBE_PAUSE };
            waited >= pause && (fleet.out[e] || fleet.suspected(e))
        };
        fleet.opened().filter(|_| self.site.probes_allowed).find(due)
    }

    fn probe(&mut self, e: usize, orders: &mut Orders) {
        (self.fleet.probed[e], self.fleet.probing[e]) = (Some(self.now), true);
        orders.probes.push(EndpointId(e as u32));
    }
}
