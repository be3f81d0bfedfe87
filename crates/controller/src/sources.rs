//! The operator's sources of endpoints: registries and zone files. Each is added to membership and followed by its own task.

mod follower;
mod settings;
mod statistics;

use std::collections::BTreeMap;
use std::io;

use dahliaroad_config::{OperatorConfig, Protocol, RegistryConfig};
use dahliaroad_membership::{Membership, Pacing, SourceId, SourceSettings};
use tokio::sync::watch;

use crate::counters;
pub use follower::{FollowContext, SourceFollower};
use follower::{FollowedRegistry, FollowedTarget};
pub use settings::tombstone_limits;
pub use statistics::SourceStatistics;

/// Why the sources in the operator's file cannot be followed.
#[derive(Debug, thiserror::Error)]
pub enum SourceError {
    /// The file with a registry's password or token could not be read.
    #[error("{registry}: {path}: {reason}")]
    SecretFile { registry: String, path: String, reason: io::Error },
}

/// The sources in the operator's file.
pub struct Sources {
    /// The followers, in the order of the file.
    pub followers: Vec<SourceFollower>,
    /// The members' addresses. They must be kept for as long as the sources are followed, because the followers wait for
    /// changes to them.
    pub members: RegistryMembers,
}

/// The addresses of the registries' members, which a reload may change.
pub struct RegistryMembers {
    /// The channel to the followers of each registry, by the registry's name.
    senders: BTreeMap<String, watch::Sender<Vec<String>>>,
    /// The operator's file as read at the start.
    config: OperatorConfig,
}

impl Sources {
    /// Adds the sources to membership in the order of the file, and creates their followers.
    pub fn add(config: &OperatorConfig, membership: &mut Membership) -> Result<Sources, SourceError> {
        let pacing = settings::pacing(&config.membership);
        let mut followers = Vec::new();
        let mut senders = BTreeMap::new();
        for registry in &config.registries {
            let sender = watch::Sender::new(registry.members.clone());
            let secret = read_secret(registry)?;
            let followed_registry = || FollowedRegistry {
                config: registry.clone(),
                secret: secret.clone(),
                members: sender.subscribe(),
            };
            match registry.protocol {
                Protocol::Watch => {
                    let source = add_source(membership, &registry.name, pacing);
                    let target = FollowedTarget::EtcdPrefix(followed_registry());
                    followers.push(SourceFollower::new(registry.name.clone(), source, target));
                }
                Protocol::BlockingRead => {
                    for service in &registry.services {
                        let name = format!("{}/{service}", registry.name);
                        let source = add_source(membership, &name, pacing);
                        let target = FollowedTarget::ConsulService {
                            registry: followed_registry(),
                            service: service.clone(),
                        };
                        followers.push(SourceFollower::new(name, source, target));
                    }
                }
            }
            senders.insert(registry.name.clone(), sender);
        }
        for zone in &config.zone_files {
            let source = add_source(membership, &zone.name, pacing);
            let target = FollowedTarget::ZoneFile(zone.clone());
            followers.push(SourceFollower::new(zone.name.clone(), source, target));
        }
        Ok(Sources { followers, members: RegistryMembers { senders, config: config.clone() } })
    }
}

fn add_source(membership: &mut Membership, name: &str, pacing: Pacing) -> SourceId {
    membership.add_source(SourceSettings { pacing: Some(pacing), ..SourceSettings::new(name) })
}

/// Reads the password or token from the registry's secret file, without trailing whitespace. Returns `None` if the registry
/// has no secret file.
fn read_secret(registry: &RegistryConfig) -> Result<Option<String>, SourceError> {
    let Some(path) = &registry.secret_file else { return Ok(None) };
    let text = std::fs::read_to_string(path).map_err(|reason| SourceError::SecretFile {
        registry: registry.name.clone(),
        path: path.clone(),
        reason,
    })?;
    Ok(Some(text.trim_end().to_owned()))
}

impl RegistryMembers {
    /// Applies the new addresses of the registries' members. Other changes of the file take effect at the next start.
    pub fn reload(&self, new: &OperatorConfig) {
        if without_members(&self.config) != without_members(new) {
            tracing::warn!(
                "options: only registries' members are reloaded; other changes take effect at the next start"
            );
        }
        for registry in &new.registries {
            let Some(sender) = self.senders.get(&registry.name) else { continue };
            sender.send_if_modified(|members| {
                let has_moved = *members != registry.members;
                members.clone_from(&registry.members);
                counters::PEERS_MOVED.add(usize::from(has_moved));
                has_moved
            });
        }
    }
}

/// Returns the file's content without registry members, for comparison.
fn without_members(config: &OperatorConfig) -> OperatorConfig {
    let mut config = config.clone();
    config.registries.iter_mut().for_each(|registry| registry.members.clear());
    config
}
