//! A running controller: starts its tasks and connects them to the runtime's inbox and to the outbox for the relay.

use std::rc::Rc;

use dahliaroad::Orders;
use dahliaroad_membership::{Freshness, Membership, SourceId, SourceMessage, Topology};
use dahliaroad_runtime::{Inbox, Input, Runtime};
use dahliaroad_settings::StartupSettings;
use rand::RngCore;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};

use super::ServeError;
use super::tasks::Tasks;
use crate::collectors;
use crate::counters;
use crate::discovery::{DiscoveryWatch, EndpointList};
use crate::health_checks;
use crate::known_names::KnownNames;
use crate::logging;
use crate::random::{RandomSeed, RandomStream};
use crate::relay::{Dispatcher, RelayHealth, SharedOutbox, WatchStream};
use crate::reload::Reloader;
use crate::signals::{Request, Signals};
use crate::sources::{FollowContext, SourceFollower, SourceStatistics};
use crate::startup::StartupConfiguration;

/// The maximum number of health checks that wait to be sent. A health check that finds the queue full counts as rejected.
const HEALTH_CHECK_QUEUE_CAPACITY: usize = 1024;

/// The parts that [`Controller::start`] builds a controller from.
pub struct ControllerParts {
    /// The decoded configuration file of the platform.
    pub configuration: StartupConfiguration,
    /// Applies configuration reloads.
    pub reloader: Reloader,
    /// The membership, with all sources added.
    pub membership: Membership,
    /// The membership source of the platform's discovery; `None` if the operator's file disables discovery.
    pub discovery_source: Option<SourceId>,
    /// Followers of the operator's sources.
    pub followers: Vec<SourceFollower>,
    /// The listening socket for collectors.
    pub listener: TcpListener,
}

/// A running controller. Dropping it aborts its tasks.
pub struct Controller {
    reloader: Reloader,
    random: RandomSeed,
    topology: Topology,
    known_names: Rc<KnownNames>,
    inbox: Inbox,
    outbox: Rc<SharedOutbox>,
    relay_health: Rc<RelayHealth>,
    tasks: Tasks,
}

impl Controller {
    /// Starts all tasks. The endpoint list that the configuration file contains applies until discovery has answered.
    pub async fn start(parts: ControllerParts) -> Controller {
        let ControllerParts { configuration, reloader, membership, discovery_source, followers, listener } =
            parts;
        let StartupConfiguration { settings, known_endpoints, limits, random, .. } = configuration;
        let StartupSettings { deployment, zones, kinds, classes, turn_interval, connect_timeout, .. } =
            settings;
        let first_stamp = random.stream(RandomStream::CallStamps).next_u32();
        let (inbox, inputs) = Inbox::channel();
        let mut controller = Controller {
            reloader,
            random,
            topology: Topology { zones: zones.clone(), kinds },
            inbox,
            outbox: Rc::new(SharedOutbox::new(classes.clone(), first_stamp)),
            known_names: Rc::new(KnownNames { zones, classes, proxies: deployment.proxies as u32 }),
            relay_health: Rc::default(),
            tasks: Tasks::default(),
        };
        let runtime = Runtime::new(deployment, membership);
        let (health_checks, health_check_queue) = mpsc::channel(HEALTH_CHECK_QUEUE_CAPACITY);
        let outbox = controller.outbox.clone();
        let event_loop = dahliaroad_runtime::run(runtime, inputs, outbox, health_checks, turn_interval);
        controller.tasks.start("event loop", event_loop);
        if let Some(source) = discovery_source {
            controller.start_discovery(source, known_endpoints).await;
        }
        controller.start_followers(followers);
        let inbox = controller.inbox.clone();
        controller
            .tasks
            .start("health checks", health_checks::run(health_check_queue, connect_timeout, limits, inbox));
        controller.start_relay();
        let known_names = controller.known_names.clone();
        let inbox = controller.inbox.clone();
        controller.tasks.start("collectors", collectors::listen(listener, known_names, limits, inbox));
        controller
    }

    /// Handles signals until a shutdown is requested. Returns an error if a task ends.
    pub async fn run(mut self, signals: &mut Signals) -> Result<(), ServeError> {
        loop {
            let request = tokio::select! {
                biased;
                request = signals.next() => request,
                error = self.tasks.wait_for_end() => return Err(error),
            };
            match request {
                Request::Shutdown => return Ok(()),
                Request::Reload => self.reloader.reload(),
                Request::LogCounters => {
                    // Logging the counters waits while the inbox is full; a shutdown must not wait for it.
                    tokio::select! {
                        biased;
                        () = signals.shutdown() => return Ok(()),
                        () = self.log_counters() => {}
                    }
                }
            }
        }
    }

    /// Starts the watch of discovery from the list that the controller last had. An empty list counts as none: if it
    /// were out of date, proxies would be bound to empty tables although endpoints run.
    async fn start_discovery(&mut self, source: SourceId, known_endpoints: Option<EndpointList>) {
        let known_endpoints = known_endpoints.filter(|list| !list.is_empty());
        let watch = DiscoveryWatch::new(
            self.reloader.discovery(),
            Rc::new(self.topology.clone()),
            self.inbox.clone(),
            source,
            known_endpoints.as_ref().and_then(EndpointList::base_revision),
            self.random.stream(RandomStream::Discovery),
        );
        if let Some(known_endpoints) = known_endpoints {
            watch.forward(&known_endpoints).await;
        }
        self.tasks.start("discovery watch", watch.run());
    }

    fn start_followers(&mut self, followers: Vec<SourceFollower>) {
        let statistics = Rc::new(SourceStatistics::default());
        for follower in followers {
            let context = FollowContext {
                random: self.random,
                topology: self.topology.clone(),
                statistics: statistics.clone(),
            };
            let inbox = self.inbox.clone();
            let source = follower.source();
            let name = format!("follower of source {}", follower.name());
            let report = async move |message| apply_message(&inbox, source, message).await;
            self.tasks.start(name, follower.follow(context, report));
        }
    }

    fn start_relay(&mut self) {
        let dispatcher = Dispatcher::new(
            self.reloader.relay(),
            self.outbox.clone(),
            self.inbox.clone(),
            self.relay_health.clone(),
            self.random.stream(RandomStream::RelayCalls),
        );
        self.tasks.start("relay dispatcher", dispatcher.run());
        let watch_stream = WatchStream::new(
            self.reloader.relay(),
            self.known_names.clone(),
            self.outbox.clone(),
            self.inbox.clone(),
            self.relay_health.clone(),
        );
        let random = self.random.stream(RandomStream::RelayWatch);
        self.tasks.start("relay watch stream", watch_stream.run(random));
    }

    async fn log_counters(&self) {
        counters::RELAY_SILENT_MS.set(self.relay_health.time_since_heard().as_millis() as usize);
        counters::LOG_LINES_DROPPED.set(logging::dropped_lines());
        tracing::info!("{}", counters::line());
        let known_names = self.known_names.clone();
        let log: Input = Box::new(move |runtime, now| {
            runtime.log_sources(now);
            runtime.log_admission_ratios(&known_names.classes);
            Orders::default()
        });
        self.inbox.send(log).await;
    }
}

/// Applies a source's message in the runtime and returns whether the message was accepted.
async fn apply_message(inbox: &Inbox, source: SourceId, message: SourceMessage) -> Freshness {
    let (freshness_sender, freshness) = oneshot::channel();
    let apply: Input = Box::new(move |runtime, now| {
        let applied = runtime.apply(now, source, message);
        let _ = freshness_sender.send(applied.freshness);
        applied.orders
    });
    inbox.send(apply).await;
    freshness.await.unwrap_or(Freshness::Accepted)
}
