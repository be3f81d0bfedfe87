//! Follows one source of the operator's file.

use std::path::Path;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad_config::{RegistryConfig, ZoneFileConfig};
use dahliaroad_dns::{Schema, ZoneFollower, ZoneStatistics};
use dahliaroad_membership::{Freshness, SourceId, SourceMessage, Topology};
use dahliaroad_registry::consul::ConsulClient;
use dahliaroad_registry::etcd::{Credentials, EtcdClient};
use dahliaroad_registry::{FollowMode, Follower, FollowerStatistics, follow};
use tokio::sync::watch;

use super::settings::registry_limits;
use super::statistics::SourceStatistics;
use crate::random::{RandomSeed, RandomStream};

/// The default interval between checks of a zone file for changes. It is a small part of any drain's grace period.
const DEFAULT_ZONE_POLL_INTERVAL: Duration = Duration::from_millis(250);

/// The context of a follower: random seed, topology and statistics.
#[derive(Clone)]
pub struct FollowContext {
    /// The seed of the followers' backoff.
    pub random: RandomSeed,
    /// The zones and machine kinds that endpoints may name.
    pub topology: Topology,
    /// The statistics that the followers update.
    pub statistics: Rc<SourceStatistics>,
}

/// What one follower follows.
pub enum FollowedTarget {
    /// The etcd keys with a prefix, followed by watches.
    EtcdPrefix(FollowedRegistry),
    /// The instances of a Consul service, followed by blocking reads.
    ConsulService { registry: FollowedRegistry, service: String },
    /// A zone file, followed by polling.
    ZoneFile(ZoneFileConfig),
}

/// A registry and its members' current addresses, which a reload may change.
pub struct FollowedRegistry {
    /// The registry's element in the operator's file.
    pub config: RegistryConfig,
    /// The password or token.
    pub secret: Option<String>,
    /// The current members' addresses.
    pub members: watch::Receiver<Vec<String>>,
}

/// Follows one source that has been added to membership.
pub struct SourceFollower {
    name: String,
    source: SourceId,
    target: FollowedTarget,
}

impl SourceFollower {
    /// Creates a follower of a source that has been added to membership.
    pub fn new(name: String, source: SourceId, target: FollowedTarget) -> SourceFollower {
        SourceFollower { name, source, target }
    }

    /// The source's name, from the operator's file.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The source's id in membership.
    pub fn source(&self) -> SourceId {
        self.source
    }

    /// Follows the source and passes its messages to `report`. Never returns.
    pub async fn follow(self, context: FollowContext, report: impl AsyncFnMut(SourceMessage) -> Freshness) {
        let SourceFollower { name, source, target } = self;
        match target {
            FollowedTarget::EtcdPrefix(registry) => {
                follow_etcd(&name, source, registry, context, report).await;
            }
            FollowedTarget::ConsulService { registry, service } => {
                follow_consul(&name, source, registry, service, context, report).await;
            }
            FollowedTarget::ZoneFile(zone) => follow_zone_file(&name, source, zone, context, report).await,
        }
    }
}

async fn follow_etcd(
    name: &str,
    source: SourceId,
    registry: FollowedRegistry,
    context: FollowContext,
    report: impl AsyncFnMut(SourceMessage) -> Freshness,
) {
    let FollowedRegistry { config, secret, members } = registry;
    let FollowContext { random, topology, statistics } = context;
    let limits = registry_limits(&config.limits);
    let connect_timeout = limits.connect_timeout;
    let credentials = config.user.zip(secret);
    let credentials = credentials.map(|(user, password)| Credentials { user, password });
    let follower = Follower::new(
        FollowMode::Watch,
        limits,
        members.borrow().len(),
        credentials.is_some(),
        random.stream(RandomStream::Source(source)),
    );
    let client = EtcdClient {
        source: name.to_owned(),
        prefix: config.prefix.into_bytes(),
        topology,
        credentials,
        connect_timeout,
    };
    let record_statistics = |current: &FollowerStatistics| statistics.set_registry(source, *current);
    follow(name, client, follower, members, connect_timeout, report, record_statistics).await;
}

async fn follow_consul(
    name: &str,
    source: SourceId,
    registry: FollowedRegistry,
    service: String,
    context: FollowContext,
    report: impl AsyncFnMut(SourceMessage) -> Freshness,
) {
    let FollowedRegistry { config, secret, members } = registry;
    let FollowContext { random, topology, statistics } = context;
    let limits = registry_limits(&config.limits);
    let connect_timeout = limits.connect_timeout;
    let follower = Follower::new(
        FollowMode::BlockingRead,
        limits,
        members.borrow().len(),
        false,
        random.stream(RandomStream::Source(source)),
    );
    let client =
        ConsulClient { source: name.to_owned(), service, topology, token: secret, allow_stale: config.stale };
    let record_statistics = |current: &FollowerStatistics| statistics.set_registry(source, *current);
    follow(name, client, follower, members, connect_timeout, report, record_statistics).await;
}

async fn follow_zone_file(
    name: &str,
    source: SourceId,
    zone: ZoneFileConfig,
    context: FollowContext,
    report: impl AsyncFnMut(SourceMessage) -> Freshness,
) {
    let FollowContext { topology, statistics, .. } = context;
    let follower = ZoneFollower::new(Schema { service: zone.service, topology }, name, &zone.path);
    let poll_interval = zone.poll_interval.unwrap_or(DEFAULT_ZONE_POLL_INTERVAL);
    let record_statistics = |current: &ZoneStatistics| statistics.set_zone(source, *current);
    dahliaroad_dns::follow_zone_file(
        &zone.apex,
        Path::new(&zone.path),
        follower,
        poll_interval,
        report,
        record_statistics,
    )
    .await;
}
