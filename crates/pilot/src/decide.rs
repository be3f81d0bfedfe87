//! Owns the module and its timers. Peers' tasks hand in calls of its methods through a bounded channel;
//! orders leave through the relay's box and the probes' channel, neither of which can hold it up.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dahliaroad::Pilot;
use dahliaroad::interface::{EndpointId, Orders, ProbeEnd};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep, sleep_until};

use crate::counters;
use crate::endpoints::Probe;
use crate::relay::Outbox;

/// Inputs that may wait; more than a second's sums, so that a burst does not slow its collector down.
const WAITING: usize = 1024;
/// Inputs taken up in one turn, so that a flood cannot put the timers off.
const A_TURN: usize = 4096;
/// The module asks to be woken; should it ever not, it is all the same.
const LONGEST_SLEEP: Duration = Duration::from_secs(1);

/// What a peer's task hands in: it calls a method of the module at the time given.
pub type Call = Box<dyn FnOnce(&mut Seat, Duration) -> Orders>;

/// The way to the module, for the tasks of the peers.
#[derive(Clone)]
pub struct Desk(mpsc::Sender<Call>);

impl Desk {
    pub fn open() -> (Desk, mpsc::Receiver<Call>) {
        let (sender, receiver) = mpsc::channel(WAITING);
        (Desk(sender), receiver)
    }

    pub async fn tell(&self, call: Call) {
        // The receiver lives as long as the program.
        let _ = self.0.send(call).await;
    }
}

/// The numbers that endpoints' names stand under, and where each listens.
#[derive(Default)]
pub struct Roster {
    numbers: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
    dials: Vec<Option<SocketAddr>>,
    /// Numbers that were given back.
    free: BTreeSet<u32>,
}

impl Roster {
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.numbers.get(name).copied().map(EndpointId)
    }

    pub fn list(&mut self, name: &str, dial: Option<SocketAddr>) -> EndpointId {
        let number = self.find(name).unwrap_or_else(|| {
            let (number, name) = (self.free.pop_first(), Arc::<str>::from(name));
            let number = number.unwrap_or(self.names.len() as u32);
            self.names.resize(self.names.len().max(number as usize + 1), name.clone());
            self.dials.resize(self.names.len(), None);
            self.names[number as usize] = name.clone();
            self.numbers.insert(name, number);
            EndpointId(number)
        });
        self.dials[number.0 as usize] = dial.or(self.dials[number.0 as usize]);
        number
    }

    pub fn give_back(&mut self, endpoint: EndpointId) {
        counters::GIVEN_BACK.add(1);
        self.numbers.remove(&self.names[endpoint.0 as usize]);
        self.dials[endpoint.0 as usize] = None;
        self.free.insert(endpoint.0);
    }

    pub fn dial(&self, endpoint: EndpointId) -> Option<SocketAddr> {
        self.dials[endpoint.0 as usize]
    }

    pub fn name(&self, endpoint: EndpointId) -> Arc<str> {
        self.names[endpoint.0 as usize].clone()
    }
}

pub struct Seat {
    pub pilot: Pilot,
    pub roster: Roster,
}

/// Time since 1970 as it was at the start, carried on by a clock that never jumps: endpoints' starts are told
/// in Unix time.
struct Clock {
    start: Instant,
    since_1970: Duration,
}

impl Clock {
    fn new() -> Clock {
        let since_1970 = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        Clock { start: Instant::now(), since_1970 }
    }

    fn read(&self) -> Duration {
        self.since_1970 + self.start.elapsed()
    }
}

/// Takes up what came in together in one turn, as its orders make one message to each proxy; turns are at
/// least `turn` apart.
pub async fn run(
    mut seat: Seat,
    mut calls: mpsc::Receiver<Call>,
    outbox: Rc<Outbox>,
    probes: mpsc::Sender<Probe>,
    turn: Duration,
) {
    let clock = Clock::new();
    let mut wake_at = Instant::now();
    let mut taken = Vec::new();
    loop {
        tokio::select! {
            _ = calls.recv_many(&mut taken, A_TURN) => {
                sleep(turn).await;
                while taken.len() < A_TURN && let Ok(call) = calls.try_recv() {
                    taken.push(call);
                }
            }
            () = sleep_until(wake_at) => {}
        }
        counters::TURNS.add(1);
        let now = clock.read();
        if wake_at <= Instant::now() {
            wake_at = Instant::now() + LONGEST_SLEEP;
            taken.push(Box::new(|seat, now| seat.pilot.woken(now)));
        }
        while !taken.is_empty() {
            for call in std::mem::take(&mut taken) {
                let orders = call(&mut seat, now);
                outbox.send(&orders, &seat.roster);
                // The list need not be asked for: a watch stands all the time.
                orders.notes.iter().for_each(|note| log::info!("{note}"));
                wake_at = orders.wake_after.map_or(wake_at, |after| Instant::now() + after);
                for endpoint in orders.probes {
                    let probe = seat.roster.dial(endpoint).map(|dial| Probe { endpoint, dial });
                    // One that cannot be sent ends at once: each has exactly one result.
                    if probe.is_none_or(|probe| probes.try_send(probe).is_err()) {
                        let end = ProbeEnd::TurnedAway;
                        taken.push(Box::new(move |seat, now| seat.pilot.probed(now, endpoint, end)));
                    }
                }
            }
        }
        outbox.release();
    }
}
