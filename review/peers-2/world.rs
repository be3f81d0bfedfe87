//! What the stand-ins share: the listed endpoints, the proxies with the tables that they hold, and the record of the run.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::TcpStream;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

use crate::json::Json;
use crate::site::Site;

/// How long a proxy keeps away from an endpoint at which its own tries failed, where proxies do so.
pub const AVOIDS_FOR_MS: f64 = 5000.0;
/// The time from the relay's answer to a call until a proxy has applied its message (late_ms of the settings).
pub const MESSAGE_DELAY_MS: f64 = 176.0;

/// How an endpoint warms up. The settings bound both ends; the way between them is not disclosed.
#[derive(Clone, Copy)]
pub struct Cold {
    pub from: f64,
    pub warm_ms: f64,
    /// 1: as much more in each second; 2: little more at first.
    pub power: f64,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Condition {
    /// Serves calls.
    Up,
    /// Completes what it has and refuses new calls.
    Leaving,
    /// Refuses connections.
    Down,
}

pub struct Endpoint {
    pub name: String,
    pub zone: usize,
    pub address: String,
    pub condition: Condition,
    /// When the process started, in milliseconds of the run; `None` if that is long ago.
    pub started: Option<f64>,
    /// Seconds of work that it does in a second once it is warm.
    pub capacity: f64,
    /// The part of it that it does at its latest start, and how long it takes to become warm.
    pub cold: Cold,
    pub queue: f64,
    pub utilization: f64,
    pub listed: &'static str,
    /// Whether discovery has ever listed it. The relay rejects orders for an endpoint that it has not.
    pub ever_listed: bool,
    pub born_ms: f64,
    /// When the pilot was told that the endpoint leaves or is gone.
    pub told_ended: Option<f64>,
    /// When the pilot was told of the latest start.
    pub told_started: Option<f64>,
    /// Work that arrived since the latest start: the time, the seconds, and whether its proxy or the pilot knew.
    pub work: VecDeque<(f64, f64, bool)>,
    pub fallen: Option<f64>,
}

#[derive(Clone, Default)]
pub struct Table {
    pub lines: BTreeMap<String, f64>,
    pub levels: HashMap<usize, (f64, u32)>,
}

pub struct Proxy {
    pub zone: usize,
    pub rates: Vec<f64>,
    pub joined: Option<f64>,
    pub stream: u64,
    pub standing: BTreeMap<String, f64>,
    /// The table of each class; `None` before the first binding.
    pub bound: Vec<Option<u32>>,
    /// The relay's view of the binding, which is ahead of the proxy's by the time of a message.
    pub ordered: Vec<Option<u32>>,
    pub tables: HashMap<u32, Table>,
    pub withdrawn: Vec<String>,
    pub last_message: Option<f64>,
    pub messages: Vec<f64>,
    pub credit: Vec<f64>,
    pub gate: Vec<f64>,
    /// By endpoint: its own tries that failed in a row, and until when it keeps away.
    pub avoids: HashMap<usize, (u32, f64)>,
    /// Since when the proxy has no line to pick for a class although an open, warm endpoint is listed.
    pub bare_since: Vec<Option<f64>>,
}

#[derive(Clone)]
pub enum Change {
    Line(u32, String, f64),
    Clear(u32),
    Bind(Vec<usize>, u32, Table),
    Withdraw(String, bool),
    Level(u32, Vec<usize>, f64, u32),
}

pub struct Message {
    pub due: f64,
    pub ordered_at: f64,
    pub proxy: usize,
    pub stream: u64,
    pub changes: Vec<Change>,
    pub mark: Option<u32>,
}

#[derive(Clone, Default)]
pub struct Sums {
    pub total: f64,
    pub errors: f64,
    pub time: f64,
}

pub struct World {
    pub site: Site,
    start: Instant,
    pub wall_at_start_ms: f64,
    pub endpoints: Vec<Endpoint>,
    pub proxies: Vec<Proxy>,
    pub tables: HashMap<u32, Table>,
    pub messages: VecDeque<Message>,
    pub subscribers: Vec<TcpStream>,
    pub seq: u64,
    pub changes: Vec<(u64, Json)>,
    /// By zone and endpoint, what the proxies met since the last report.
    pub met: HashMap<(usize, usize), Sums>,
    /// By proxy and class, the requests that came and those that were not served.
    pub demand: HashMap<(usize, usize), (f64, f64)>,
    random: u64,
    pub record: Vec<String>,
    pub first_alive: Option<f64>,
    pub broken: Vec<String>,
    /// By endpoint and second: calls.
    pub calls: BTreeMap<(u64, usize), u32>,
    /// The same, of those that the endpoint took, ran and answered.
    pub answered: BTreeMap<(u64, usize), u32>,
    pub refused: BTreeMap<(u64, usize, usize), u32>,
    pub worst_bare: f64,
    pub worst_drain: f64,
    pub worst_cold: f64,
    pub most_messages: usize,
    pub longest_step: f64,
}

impl World {
    pub fn new(site: Site) -> World {
        let wall = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_secs_f64() * 1000.0;
        World {
            site,
            start: Instant::now(),
            wall_at_start_ms: wall,
            endpoints: Vec::new(),
            proxies: Vec::new(),
            tables: HashMap::new(),
            messages: VecDeque::new(),
            subscribers: Vec::new(),
            seq: 41,
            changes: Vec::new(),
            met: HashMap::new(),
            demand: HashMap::new(),
            random: 0x2545_f491_4f6c_dd1d,
            record: Vec::new(),
            first_alive: None,
            broken: Vec::new(),
            calls: BTreeMap::new(),
            answered: BTreeMap::new(),
            refused: BTreeMap::new(),
            worst_bare: 0.0,
            worst_drain: 0.0,
            worst_cold: 0.0,
            most_messages: 0,
            longest_step: 0.0,
        }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1000.0
    }

    /// The wall clock that all machines read, as long as nobody steps it.
    pub fn wall(&self) -> f64 {
        (self.wall_at_start_ms + self.now()).floor()
    }

    pub fn note(&mut self, text: impl AsRef<str>) {
        let line = format!("{:9.1} {}", self.now(), text.as_ref());
        self.record.push(line);
    }

    pub fn draw(&mut self) -> f64 {
        self.random ^= self.random << 13;
        self.random ^= self.random >> 7;
        self.random ^= self.random << 17;
        (self.random >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn add_endpoint(&mut self, name: &str, zone: usize, capacity: f64, address: String, born_ms: f64) {
        self.endpoints.push(Endpoint {
            name: name.to_owned(),
            zone,
            address,
            condition: Condition::Up,
            started: None,
            capacity,
            cold: Cold { from: self.site.start_capacity, warm_ms: self.site.warm_up_ms, power: 1.0 },
            queue: 0.0,
            utilization: 0.0,
            listed: "active",
            ever_listed: true,
            born_ms,
            told_ended: None,
            told_started: None,
            work: VecDeque::new(),
            fallen: None,
        });
    }

    /// Adds a proxy, which starts with a table of the listed endpoints of its zone.
    pub fn add_proxy(&mut self, zone: usize, rates: Vec<f64>) {
        let standing = self.endpoints.iter().filter(|endpoint| endpoint.zone == zone && endpoint.listed == "active");
        let standing = standing.map(|endpoint| (endpoint.name.clone(), 1.0)).take(self.site.standing).collect();
        let classes = rates.len();
        self.proxies.push(Proxy {
            zone,
            rates,
            joined: None,
            stream: 0,
            standing,
            bound: vec![None; classes],
            ordered: vec![None; classes],
            tables: HashMap::new(),
            withdrawn: Vec::new(),
            last_message: None,
            messages: Vec::new(),
            credit: vec![0.0; classes],
            gate: vec![1.0; classes],
            avoids: HashMap::new(),
            bare_since: vec![None; classes],
        });
    }

    pub fn entry(&self, endpoint: usize) -> Json {
        let e = &self.endpoints[endpoint];
        Json::parse(&format!(
            "{{\"host\":\"{}\",\"dial\":\"{}\",\"site\":\"{}\",\"class\":\"type-a\",\"block\":{},\"health\":\"{}\",\
             \"share\":1.0,\"born_ms\":{}}}",
            e.name, e.address, self.site.zones[e.zone], e.zone, e.listed, e.born_ms
        ))
        .unwrap()
    }

    pub fn whole_list(&self) -> Json {
        let listed = (0..self.endpoints.len()).filter(|&index| self.endpoints[index].listed != "left");
        let hosts = listed.map(|index| self.entry(index)).collect();
        self.list(true, hosts)
    }

    pub fn list(&self, whole: bool, hosts: Vec<Json>) -> Json {
        Json::Object(vec![
            ("seq".into(), Json::Number(self.seq as f64)),
            ("whole".into(), Json::Bool(whole)),
            ("hosts".into(), Json::List(hosts)),
        ])
    }

    /// Lists the endpoints in a new state, all in one version.
    pub fn publish(&mut self, endpoints: &[usize], health: &'static str) {
        self.seq += 1;
        for &index in endpoints {
            self.endpoints[index].listed = health;
            self.endpoints[index].ever_listed = true;
            let entry = self.entry(index);
            let text = format!("list {}: {entry}", self.seq);
            self.note(text);
            self.changes.push((self.seq, entry));
        }
    }

    /// Records that discovery has written these entries to the pilot.
    pub fn told(&mut self, hosts: &[Json]) {
        let now = self.now();
        for host in hosts {
            let name = host.text("host").unwrap_or_default().to_owned();
            let health = host.text("health").unwrap_or_default().to_owned();
            let Some(endpoint) = self.endpoints.iter_mut().find(|endpoint| endpoint.name == name) else { continue };
            if health == "active" {
                endpoint.told_ended = None;
                if endpoint.started.is_some() {
                    endpoint.told_started.get_or_insert(now);
                }
            } else if endpoint.told_ended.is_none() {
                endpoint.told_ended = Some(now);
                self.note(format!("told: {name} is {health}"));
            }
        }
    }

    /// The process starts anew and is cold.
    pub fn restart(&mut self, endpoint: usize, cold: Cold) {
        let now = self.now();
        let e = &mut self.endpoints[endpoint];
        e.condition = Condition::Up;
        e.started = Some(now);
        e.cold = cold;
        e.fallen = None;
        e.told_started = None;
        e.queue = 0.0;
        e.utilization = 0.0;
        e.work.clear();
        let name = e.name.clone();
        self.note(format!("{name} starts, cold"));
    }

    /// What an endpoint can do at a moment, in seconds of work a second.
    pub fn capacity_at(&self, endpoint: usize, now: f64) -> f64 {
        let e = &self.endpoints[endpoint];
        let Some(started) = e.started else { return e.capacity };
        let progress = ((now - started) / e.cold.warm_ms).clamp(0.0, 1.0);
        e.capacity * (e.cold.from + (1.0 - e.cold.from) * progress.powf(e.cold.power))
    }

    pub fn is_warm(&self, endpoint: &Endpoint, now: f64) -> bool {
        endpoint.started.is_none_or(|started| now >= started + self.site.warm_up_ms)
    }
}
