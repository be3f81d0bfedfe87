//! Reload on SIGHUP: reads both configuration files again, and applies the fields that may change while the program runs.

use std::net::SocketAddr;
use std::path::PathBuf;

use dahliaroad_config::OperatorConfig;
use tokio::sync::watch;

use crate::arguments::Arguments;
use crate::counters;
use crate::operator_file::{self, OperatorFileError};
use crate::peer_address::PeerAddress;
use crate::sources::RegistryMembers;
use crate::startup::{DeploymentIdentity, StartOnlyField, StartupConfiguration, StartupError};

/// Why a reload was rejected.
#[derive(Debug, thiserror::Error)]
enum ReloadError {
    /// The platform's file cannot be used.
    #[error(transparent)]
    Configuration(#[from] StartupError),
    /// The platform's file belongs to another deployment.
    #[error(
        "the file belongs to another deployment: its field '{field}' differs from the running configuration"
    )]
    OtherDeployment { field: &'static str },
    /// The operator's file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
}

/// Applies reloads. Holds the values that a reload may change, and the fields of the configuration at the start that a
/// reloaded file is compared with.
pub struct Reloader {
    configuration_path: Option<PathBuf>,
    options_path: Option<PathBuf>,
    identity: DeploymentIdentity,
    start_only: Vec<StartOnlyField>,
    discovery: watch::Sender<SocketAddr>,
    relay: watch::Sender<SocketAddr>,
    members: RegistryMembers,
}

impl Reloader {
    /// Creates a reloader that compares reloaded files with the configuration of the start.
    pub fn new(
        configuration: &StartupConfiguration,
        arguments: &Arguments,
        members: RegistryMembers,
    ) -> Reloader {
        Reloader {
            configuration_path: arguments.config.clone(),
            options_path: arguments.options.clone(),
            identity: configuration.identity(),
            start_only: configuration.start_only.clone(),
            discovery: watch::Sender::new(configuration.discovery),
            relay: watch::Sender::new(configuration.relay),
            members,
        }
    }

    /// The address of discovery, which reloads update.
    pub fn discovery(&self) -> PeerAddress {
        PeerAddress::new(self.discovery.subscribe())
    }

    /// The address of the relay, which reloads update.
    pub fn relay(&self) -> PeerAddress {
        PeerAddress::new(self.relay.subscribe())
    }

    /// Reads and checks both files completely, then applies the changes. If either file is invalid, nothing changes.
    pub fn reload(&self) {
        let (configuration, options) = match self.read_files() {
            Ok(files) => files,
            Err(reason) => {
                counters::RELOADS_REJECTED.add(1);
                tracing::error!(%reason, "configuration: reload rejected; the running configuration is kept");
                return;
            }
        };
        self.members.reload(&options);
        counters::RELOADS.add(1);
        let StartupConfiguration { discovery, relay, .. } = configuration;
        tracing::info!(%discovery, %relay, "configuration: reloaded");
        for (running, new) in self.start_only.iter().zip(&configuration.start_only) {
            if running != new {
                tracing::warn!(
                    field = new.name,
                    "configuration: changed field takes effect at the next start only"
                );
            }
        }
        self.discovery.send_replace(discovery);
        self.relay.send_replace(relay);
    }

    fn read_files(&self) -> Result<(StartupConfiguration, OperatorConfig), ReloadError> {
        let configuration = StartupConfiguration::read(self.configuration_path.as_deref())?;
        if let Some(field) = self.identity.first_difference(&configuration.identity()) {
            return Err(ReloadError::OtherDeployment { field });
        }
        let options = operator_file::read(self.options_path.as_deref())?;
        Ok((configuration, options))
    }
}
