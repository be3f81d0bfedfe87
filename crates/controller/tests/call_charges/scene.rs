//! A controller with its fleet and a scripted relay.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad_demo::Fleet;
use serde_json::json;
use tokio::task::spawn_local;
use tokio::time::Instant;

use crate::harness::scripted_relay::{CommitCall, ScriptedRelay};
use crate::harness::{ControllerProcess, configuration, start_fleet, wait_until, zone};
use crate::relay::{Outcome, Relay, serve};

pub const ENDPOINTS: u32 = 12;
const PROXIES: [u32; 2] = [0, 1];

/// A controller, its fleet, and the relay between it and the proxies.
pub struct Scene {
    pub fleet: Fleet,
    pub controller: ControllerProcess,
    pub relay: Rc<RefCell<Relay>>,
}

impl Scene {
    /// Starts everything, and waits until all proxies are bound. `outcome_of` chooses the outcomes of calls.
    pub async fn start(outcome_of: impl FnMut(&CommitCall) -> Outcome + 'static) -> Scene {
        let (fleet, scripted) = (start_fleet(ENDPOINTS).await, ScriptedRelay::listen().await);
        let mut config = configuration(&fleet, fleet.world.list(None));
        config["store"]["address"] = json!(scripted.address);
        let controller = ControllerProcess::start(config).await;
        let stream = scripted.accept_subscription().await;
        stream.start_keepalives();
        for node in PROXIES {
            stream.hello(node).await;
        }
        let relay = Rc::new(RefCell::new(Relay::default()));
        spawn_local(serve(scripted, stream, relay.clone(), outcome_of));
        let scene = Scene { fleet, controller, relay };
        scene
            .wait_for("bound proxies", |relay| {
                PROXIES.iter().all(|node| relay.bindings.contains_key(&(*node).into()))
            })
            .await;
        scene
    }

    pub async fn wait_for(&self, what: &str, holds: impl Fn(&Relay) -> bool) {
        wait_until(what, || holds(&self.relay.borrow())).await;
    }

    /// Lists a new endpoint that the relay does not know yet.
    pub async fn start_unknown_endpoint(&self, name: &str, number: u32) {
        self.relay.borrow_mut().unknown_endpoints.insert(name.to_owned());
        self.fleet.start_endpoint(name, zone(number), "large", 20.0).await.unwrap();
    }

    /// Drains an endpoint. Returns how long it stays in tables that are in use.
    pub async fn drain(&self, number: u32) -> Duration {
        let name = format!("e{number}");
        let drained_at = Instant::now();
        self.fleet.world.set_health(&name, "leaving");
        self.wait_for("withdrawal", |relay| !relay.holds(&name)).await;
        drained_at.elapsed()
    }
}
