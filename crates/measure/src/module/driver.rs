//! Drives one decision module without sockets: it hears the list, proxies join, and seconds of reports follow.

use std::time::Duration;

use dahliaroad::Pilot;
use dahliaroad::interface::*;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::processor::timed;
use crate::sizes::Size;

/// A channel like the largest that was met: lines a second and lines that may wait, of all proxies of a pilot.
const LINES_PER_SECOND: f64 = 10_300.0;
const WAITING_LINES: f64 = 85_800.0;
const LINES_PER_MESSAGE: f64 = 6.0;
/// Lines of the table that a proxy starts with.
const STANDING: usize = 12;

/// Calls a second an endpoint can do, how far endpoints differ, and the part of it that is asked for.
const CAPACITY: f64 = 20.0;
const CAPACITY_RANGE: std::ops::Range<f64> = 0.8..1.25;
const LOAD: f64 = 0.5;
/// How far a second's calls differ from the mean.
const NOISE: std::ops::Range<f64> = 0.8..1.2;
const ANSWER_TIME: Duration = Duration::from_millis(50);

const START: Duration = Duration::from_secs(100);
const ROUND: Duration = Duration::from_secs(1);
const TICKS: u32 = 10;

/// What was heard and ordered: the same for the same seed and size, whatever the machine.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Counts {
    pub endpoint_reports: usize,
    pub demand_reports: usize,
    /// Lines of tables, each counted once, however many proxies hold the table.
    pub table_lines: usize,
    pub bindings: usize,
    pub acknowledgements: usize,
    pub probes: usize,
}

/// Processor time of one second's calls of the module.
#[derive(Clone, Copy, Debug, Default)]
pub struct RoundTime {
    pub endpoint_reports: Duration,
    pub demand_reports: Duration,
    pub acknowledgements: Duration,
    pub timers: Duration,
}

impl RoundTime {
    /// Of all calls together.
    pub fn total(&self) -> Duration {
        self.endpoint_reports + self.demand_reports + self.acknowledgements + self.timers
    }
}

/// A proxy that has to confirm what it was sent.
#[derive(Clone, Copy)]
struct Acknowledgement {
    proxy: ProxyId,
    mark: u32,
}

/// One call of the module.
#[derive(Clone, Copy)]
enum Message {
    Timer,
    Probe(EndpointId),
    Acknowledgement(Acknowledgement),
    Endpoint { zone: ZoneId, endpoint: EndpointId, met: Met },
    Demand { proxy: ProxyId, class: ClassId, came: Came },
}

impl Message {
    fn deliver(self, pilot: &mut Pilot, now: Duration) -> Orders {
        match self {
            Message::Timer => pilot.woken(now),
            Message::Probe(endpoint) => pilot.probed(now, endpoint, ProbeEnd::Answered),
            Message::Acknowledgement(said) => pilot.confirmed(now, said.proxy, said.mark),
            Message::Endpoint { zone, endpoint, met } => pilot.met(now, zone, endpoint, met),
            Message::Demand { proxy, class, came } => pilot.came(now, proxy, class, came),
        }
    }
}

/// What the module is told comes from here; its orders are counted, and confirmed at once.
pub struct Driver {
    size: Size,
    /// Points lost for each call that crosses zones; with 0 the module takes all zones for one.
    crossing_price: f64,
    random: ChaCha8Rng,
    list: Vec<Listed>,
    /// Calls a second that each endpoint can do.
    capacity: Vec<f64>,
    now: Duration,
    pilot: Option<Pilot>,
    /// Proxies bound, by table.
    bound: Vec<Vec<ProxyId>>,
    /// What is to be delivered next: a batch is timed as one, as reading the clock costs as much as a short call.
    batch: Vec<Message>,
    owed: Vec<Acknowledgement>,
    /// The last that came with orders.
    mark: u32,
    probes: Vec<EndpointId>,
    counts: Counts,
}

impl Driver {
    /// Lays out everything of its own, so that what is taken later is the module's.
    pub fn new(size: Size, crossing_price: f64, seed: u64) -> Driver {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let endpoints = 0..size.endpoints;
        let capacity = endpoints.clone().map(|_| CAPACITY * random.random_range(CAPACITY_RANGE)).collect();
        Driver {
            size,
            crossing_price,
            random,
            list: endpoints.map(|place| listed(place, size.zones)).collect(),
            capacity,
            now: START,
            pilot: None,
            bound: Vec::new(),
            batch: Vec::with_capacity(size.endpoints.max(size.proxies * size.classes)),
            owed: Vec::with_capacity(size.proxies),
            mark: 0,
            probes: Vec::new(),
            counts: Counts::default(),
        }
    }

    /// What was heard and ordered so far.
    pub fn counts(&self) -> &Counts {
        &self.counts
    }

    /// A module starts and hears the whole list.
    pub fn hear_list(&mut self) -> Duration {
        let mut time = Duration::ZERO;
        let pilot = self.pilot.insert(Pilot::new(deployment(&self.size, self.crossing_price)));
        let (now, list) = (self.now, &self.list);
        let orders = timed(&mut time, || pilot.list(now, true, list));
        self.carry_out(orders);
        time
    }

    /// All proxies join, one after the other, and confirm the tables that they get.
    pub fn join_proxies(&mut self) -> Duration {
        let mut time = Duration::ZERO;
        let rate = self.rate();
        for proxy in 0..self.size.proxies {
            let zone = ZoneId((proxy % self.size.zones) as u32);
            let (id, now) = (ProxyId(proxy as u32), self.now);
            let pilot = self.pilot.as_mut().expect("the list was heard");
            let orders = timed(&mut time, || pilot.joined(now, id, zone, rate));
            self.carry_out(orders);
            self.acknowledge(&mut time);
        }
        time
    }

    /// A second: ticks of the timer, then a report from every endpoint, and from every proxy one a class.
    pub fn round(&mut self) -> RoundTime {
        let mut time = RoundTime::default();
        for _ in 0..TICKS {
            self.now += ROUND / TICKS;
            self.tick(&mut time.timers);
            self.acknowledge(&mut time.acknowledgements);
        }
        self.report_endpoints(&mut time.endpoint_reports);
        self.acknowledge(&mut time.acknowledgements);
        self.report_demand(&mut time.demand_reports);
        self.acknowledge(&mut time.acknowledgements);
        time
    }

    /// Calls a second that each proxy brings.
    fn rate(&self) -> f64 {
        self.capacity.iter().sum::<f64>() * LOAD / self.size.proxies as f64
    }

    fn tick(&mut self, time: &mut Duration) {
        self.batch.extend(self.probes.drain(..).map(Message::Probe));
        self.batch.push(Message::Timer);
        self.deliver_batch(time);
    }

    fn report_endpoints(&mut self, time: &mut Duration) {
        for (place, capacity) in self.capacity.iter().enumerate() {
            let zone = ZoneId((place % self.size.zones) as u32);
            let endpoint = EndpointId(place as u32);
            let busy = LOAD * self.random.random_range(NOISE);
            let load = LoadReport { busy: Some(busy) };
            let tries = capacity * busy;
            let met = Met { tries, failed: 0.0, answer_time: ANSWER_TIME, span: ROUND, load };
            self.batch.push(Message::Endpoint { zone, endpoint, met });
        }
        self.counts.endpoint_reports += self.batch.len();
        self.deliver_batch(time);
    }

    fn report_demand(&mut self, time: &mut Duration) {
        let rate = self.rate() / self.size.classes as f64;
        for proxy in 0..self.size.proxies {
            let proxy = ProxyId(proxy as u32);
            for class in 0..self.size.classes {
                let class = ClassId(class as u32);
                let calls = rate * self.random.random_range(NOISE);
                let came = Came { calls, span: ROUND };
                self.batch.push(Message::Demand { proxy, class, came });
            }
        }
        self.counts.demand_reports += self.batch.len();
        self.deliver_batch(time);
    }

    /// All that is owed is confirmed, and what is ordered upon that.
    fn acknowledge(&mut self, time: &mut Duration) {
        while !self.owed.is_empty() {
            self.batch.extend(self.owed.drain(..).map(Message::Acknowledgement));
            self.counts.acknowledgements += self.batch.len();
            self.deliver_batch(time);
        }
    }

    /// Delivers the batch, and carries out what it brought after all of it.
    fn deliver_batch(&mut self, time: &mut Duration) {
        let pilot = self.pilot.as_mut().expect("the list was heard");
        let (now, batch) = (self.now, &mut self.batch);
        let mut answers = Vec::new();
        timed(time, || {
            let orders = batch.drain(..).map(|message| message.deliver(pilot, now));
            answers.extend(orders.filter(|orders| *orders != Orders::default()));
        });
        for orders in answers {
            self.carry_out(orders);
        }
    }

    fn carry_out(&mut self, orders: Orders) {
        self.counts.table_lines += orders.weights.len();
        self.counts.bindings += orders.bindings.len();
        self.counts.probes += orders.probes.len();
        let mut tables: Vec<TableId> = orders.weights.iter().map(|(table, _, _)| *table).collect();
        tables.extend(orders.levels.iter().map(|(table, ..)| *table));
        let mut reached = self.proxies_of(tables);
        for (proxy, table, _) in orders.bindings {
            self.bind(proxy, table);
            reached.push(proxy);
        }
        self.probes.extend(orders.probes);
        reached.sort_unstable();
        reached.dedup();
        // Without a new mark, orders travel under that of the same moment.
        self.mark = orders.mark.unwrap_or(self.mark);
        let mark = self.mark;
        self.owed.extend(reached.into_iter().map(|proxy| Acknowledgement { proxy, mark }));
    }

    fn proxies_of(&self, mut tables: Vec<TableId>) -> Vec<ProxyId> {
        tables.dedup();
        let bound = tables.iter().filter_map(|table| self.bound.get(table.0 as usize));
        bound.flatten().copied().collect()
    }

    fn bind(&mut self, proxy: ProxyId, table: TableId) {
        let place = table.0 as usize;
        if self.bound.len() <= place {
            self.bound.resize(place + 1, Vec::new());
        }
        self.bound[place].push(proxy);
    }
}

fn listed(place: usize, zones: usize) -> Listed {
    Listed {
        endpoint: EndpointId(place as u32),
        zone: ZoneId((place % zones) as u32),
        kind: 0,
        weight: 1.0,
        started: None,
        phase: Phase::Running,
    }
}

fn class(place: usize) -> ClassTerms {
    ClassTerms { latency_goal: Duration::from_secs(1), value: 1.0 + place as f64, own_zone: false }
}

fn deployment(size: &Size, crossing_price: f64) -> Deployment {
    Deployment {
        pilots: size.pilots,
        me: 0,
        proxies: size.proxies * size.pilots,
        homed: true,
        zones: size.zones,
        classes: (0..size.classes).map(class).collect(),
        level_unit: LevelUnit::Share,
        sliced: false,
        list_on_request: false,
        dropping_binds: true,
        probes_allowed: true,
        round: ROUND,
        crossing_price,
        lines_per_second: LINES_PER_SECOND,
        waiting_lines: WAITING_LINES,
        lines_per_message: LINES_PER_MESSAGE,
        keep_away: false,
        standing: STANDING,
        messages: Some(12),
        messages_span: Duration::from_secs(10),
        start_capacity: 0.2,
        warm_up: Duration::from_secs(10),
        fall_multiple: 3.0,
    }
}
