//! Owns the module and its timers. Peers' tasks hand in calls of its methods through a bounded channel;
//! orders leave through the relay's box and the probes' channel, neither of which can hold it up.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use dahliaroad::Pilot;
use dahliaroad::interface::{EndpointId, Orders};
use tokio::sync::mpsc;
use tokio::time::{Instant, sleep_until};

use crate::counters;
use crate::endpoints::Probe;
use crate::relay::Outbox;

/// Inputs that may wait; more than a second's sums, so that a burst does not slow its collector down.
const WAITING: usize = 1024;
/// Inputs taken up in one turn, so that a flood cannot put the timers off.
const A_TURN: usize = 4096;

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

    pub async fn tell(&self, call: impl FnOnce(&mut Seat, Duration) -> Orders + 'static) {
        // The receiver lives as long as the program.
        let _ = self.0.send(Box::new(call)).await;
    }
}

/// The numbers that endpoints' names stand under, and where each listens.
#[derive(Default)]
pub struct Roster {
    numbers: HashMap<Arc<str>, u32>,
    names: Vec<Arc<str>>,
    dials: Vec<Option<SocketAddr>>,
}

impl Roster {
    pub fn find(&self, name: &str) -> Option<EndpointId> {
        self.numbers.get(name).copied().map(EndpointId)
    }

    pub fn list(&mut self, name: &str, dial: Option<SocketAddr>) -> EndpointId {
        let number = self.find(name).unwrap_or_else(|| {
            let (number, name) = (self.names.len() as u32, Arc::<str>::from(name));
            self.names.push(name.clone());
            self.dials.push(None);
            self.numbers.insert(name, number);
            EndpointId(number)
        });
        self.dials[number.0 as usize] = dial.or(self.dials[number.0 as usize]);
        number
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

pub async fn run(
    mut seat: Seat,
    mut calls: mpsc::Receiver<Call>,
    outbox: Rc<Outbox>,
    probes: mpsc::Sender<Probe>,
    turn: Duration,
) {
    let clock = Clock::new();
    let mut wake_at = Instant::now();
    let mut waiting = Vec::new();
    loop {
        let taken = tokio::select! {
            taken = calls.recv_many(&mut waiting, A_TURN) => taken,
            () = sleep_until(wake_at) => 0,
        };
        if taken > 0 {
            // What comes together is decided on together, as one message to each proxy.
            tokio::time::sleep(turn).await;
            while waiting.len() < A_TURN {
                let Ok(call) = calls.try_recv() else { break };
                waiting.push(call);
            }
        }
        counters::TURNS.add(1);
        let now = clock.read();
        let mut all: Vec<Orders> = waiting.drain(..).map(|call| call(&mut seat, now)).collect();
        if wake_at <= Instant::now() {
            wake_at = Instant::now() + Duration::from_secs(1);
            all.push(seat.pilot.woken(now));
        }
        for orders in all {
            if let Some(after) = orders.wake_after {
                wake_at = Instant::now() + after;
            }
            for note in &orders.notes {
                log::info!("{note}");
            }
            for &endpoint in &orders.probes {
                let dial = seat.roster.dials[endpoint.0 as usize];
                if let Some(probe) = dial.map(|dial| Probe { endpoint, dial }) {
                    let _ = probes.try_send(probe);
                }
            }
            outbox.add(&orders, &seat.roster);
        }
        outbox.close_turn();
    }
}
