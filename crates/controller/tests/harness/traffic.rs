//! What proxies send by the tables they hold, and which of it breaks the rules of drains and of pickable endpoints.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad_demo::Fleet;
use tokio::task::spawn_local;
use tokio::time::{Instant, MissedTickBehavior, interval};

use super::{ControllerProcess, report_load};

/// How long after a drain or removal could be read proxies may go on sending, by the settings of `demo`.
pub const DRAIN_GRACE: Duration = Duration::from_millis(3000);

/// Has all proxies send by their tables every 10 ms, and counts what breaks a rule.
#[derive(Default)]
pub struct TrafficMonitor {
    /// Since when it could be read that an endpoint drains or is gone.
    pub ended_at: RefCell<BTreeMap<String, Instant>>,
    pub calls: Cell<usize>,
    /// Calls to an endpoint that ended longer than [`DRAIN_GRACE`] ago.
    pub calls_past_grace: Cell<usize>,
    /// Calls of a class without an endpoint to pick, while endpoints run.
    pub calls_without_endpoint: Cell<usize>,
    /// The longest time between an endpoint's end and a call to it.
    pub longest_use_after_end: Cell<Duration>,
    /// Endpoints called past the grace, and how long after their end the last such call was.
    pub late_endpoints: RefCell<BTreeMap<String, Duration>>,
}

impl TrafficMonitor {
    /// Starts to monitor a fleet, and to send its load reports to this controller.
    pub fn start(fleet: &Rc<Fleet>, controller: &ControllerProcess) -> Rc<TrafficMonitor> {
        let traffic = Rc::new(TrafficMonitor::default());
        spawn_local(traffic.clone().watch(fleet.clone()));
        report_load(fleet, controller);
        traffic
    }

    /// From now on this endpoint is to get no calls.
    pub fn mark_ended(&self, name: &str) {
        self.ended_at.borrow_mut().entry(name.to_owned()).or_insert(Instant::now());
    }

    /// All proxies send one call of each class to each endpoint that they may pick.
    fn tick(&self, fleet: &Fleet) {
        let ended_at = self.ended_at.borrow();
        for proxy in fleet.world.proxies.borrow().values() {
            for held in proxy.bound.keys().map(|class| proxy.held.get(class)) {
                let held = held.filter(|weights| !weights.is_empty());
                self.calls_without_endpoint
                    .set(self.calls_without_endpoint.get() + usize::from(held.is_none()));
                for name in held.into_iter().flat_map(|weights| weights.keys()) {
                    self.calls.set(self.calls.get() + 1);
                    let since_end = ended_at.get(name).map(Instant::elapsed).unwrap_or_default();
                    self.longest_use_after_end.set(self.longest_use_after_end.get().max(since_end));
                    if since_end > DRAIN_GRACE {
                        self.calls_past_grace.set(self.calls_past_grace.get() + 1);
                        self.late_endpoints.borrow_mut().insert(name.clone(), since_end);
                    }
                }
            }
        }
    }

    async fn watch(self: Rc<Self>, fleet: Rc<Fleet>) {
        let mut tick = interval(Duration::from_millis(10));
        tick.set_missed_tick_behavior(MissedTickBehavior::Skip);
        loop {
            tick.tick().await;
            self.tick(&fleet);
        }
    }
}
