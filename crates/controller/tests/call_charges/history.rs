//! Generated histories: the outcomes of calls, and endpoints that drain or are new.

use std::collections::BTreeMap;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use crate::harness::DRAIN_GRACE;
use crate::harness::scripted_relay::CommitCall;
use crate::relay::{Outcome, Relay};
use crate::scene::{ENDPOINTS, Scene};
use crate::{CHECK_INTERVAL, MAX_MESSAGES};

/// Endpoints that never end.
const PERMANENT_ENDPOINTS: u32 = 4;
/// How long the trouble of a generated history lasts.
const TROUBLE: Duration = Duration::from_secs(15);
/// After it all messages of the trouble have left the window, and what is owed is sent.
const SETTLE_TIME: Duration = Duration::from_secs(12);

/// A history of outcomes and of endpoints that come and go.
#[derive(Clone, Copy, Debug)]
pub struct History {
    pub seed: u64,
    /// Whether the outcome of calls may be unknown. Drains may then have to wait for the messages that such calls count as.
    pub has_unknown_outcomes: bool,
}

impl History {
    fn outcomes(self) -> impl FnMut(&CommitCall) -> Outcome {
        let mut random = ChaCha8Rng::seed_from_u64(self.seed);
        let started_at = Instant::now();
        move |call| {
            if started_at.elapsed() > TROUBLE {
                return Outcome::Answered;
            }
            let applied = random.random_bool(0.5);
            match random.random_range(0..20) {
                0..2 => Outcome::StoppedAt(random.random_range(0..call.orders().len())),
                2 => Outcome::Unreadable,
                3 => Outcome::Busy,
                4..6 if self.has_unknown_outcomes => Outcome::Lost { applied },
                6..8 if self.has_unknown_outcomes => Outcome::UnreadableAnswer { applied },
                _ => Outcome::Answered,
            }
        }
    }

    /// Plays the history, and checks the limits.
    pub async fn play(self) {
        let scene = Scene::start(self.outcomes()).await;
        let started_at = Instant::now();
        let mut changes = EndpointChanges::new(self.seed, started_at);
        let mut longest = Duration::ZERO;
        while started_at.elapsed() < TROUBLE + SETTLE_TIME {
            sleep(CHECK_INTERVAL).await;
            if started_at.elapsed() < TROUBLE {
                changes.play_due(&scene).await;
            }
            changes.make_known(&mut scene.relay.borrow_mut());
            longest = longest.max(changes.longest_held(&scene.relay.borrow()));
        }
        self.check(&scene, &changes, longest);
    }

    fn check(self, scene: &Scene, changes: &EndpointChanges, longest: Duration) {
        let relay = scene.relay.borrow();
        let messages = relay.most_messages();
        let log = scene.controller.log.borrow().join("\n");
        println!("{self:?}: {messages} messages, drains held for {longest:?}, {} calls", relay.calls);
        assert!(messages <= MAX_MESSAGES, "{self:?}: {messages} messages\n{log}");
        assert!(
            changes.ended.keys().all(|name| !relay.holds(name)),
            "{self:?}: a drained endpoint is held at the end\n{log}"
        );
        assert!(self.has_unknown_outcomes || longest <= DRAIN_GRACE, "{self:?}: held for {longest:?}\n{log}");
        let mut started = (ENDPOINTS..changes.next_number).map(|number| format!("e{number}"));
        assert!(started.all(|name| relay.holds(&name)), "{self:?}\n{log}");
    }
}

/// The endpoints that drain or are new in a history.
struct EndpointChanges {
    random: ChaCha8Rng,
    next_at: Instant,
    /// The number of the next new endpoint.
    next_number: u32,
    /// When the relay gets to know each new endpoint.
    known_at: BTreeMap<String, Instant>,
    /// When each drained endpoint was listed as draining.
    ended: BTreeMap<String, Instant>,
}

impl EndpointChanges {
    fn new(seed: u64, started_at: Instant) -> EndpointChanges {
        EndpointChanges {
            random: ChaCha8Rng::seed_from_u64(seed + 1000),
            next_at: started_at,
            next_number: ENDPOINTS,
            known_at: BTreeMap::new(),
            ended: BTreeMap::new(),
        }
    }

    /// Starts an unknown endpoint or drains one, if a change is due.
    async fn play_due(&mut self, scene: &Scene) {
        let now = Instant::now();
        if now < self.next_at {
            return;
        }
        self.next_at = now + Duration::from_millis(self.random.random_range(300..1500));
        if self.random.random_bool(0.5) {
            let name = format!("e{}", self.next_number);
            scene.start_unknown_endpoint(&name, self.next_number).await;
            self.known_at.insert(name, now + Duration::from_millis(self.random.random_range(100..2300)));
            self.next_number += 1;
        } else if (self.ended.len() as u32) < ENDPOINTS - PERMANENT_ENDPOINTS {
            let name = format!("e{}", ENDPOINTS - 1 - self.ended.len() as u32);
            scene.fleet.world.set_health(&name, "leaving");
            self.ended.insert(name, now);
        }
    }

    /// Has the relay know the new endpoints whose time has come.
    fn make_known(&mut self, relay: &mut Relay) {
        let now = Instant::now();
        self.known_at.retain(|name, at| {
            let is_known = *at <= now;
            is_known.then(|| relay.unknown_endpoints.remove(name));
            !is_known
        });
    }

    /// Returns for how long a drained endpoint that is still held has been draining.
    fn longest_held(&self, relay: &Relay) -> Duration {
        let held = self.ended.iter().filter(|(name, _)| relay.holds(name));
        held.map(|(_, since)| since.elapsed()).max().unwrap_or_default()
    }
}
