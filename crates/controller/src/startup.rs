//! The platform's configuration file: what a controller instance is started with.

use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::{Path, PathBuf};

use dahliaroad_settings::{FieldError, Fields, StartupSettings};
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::EndpointList;
use crate::random::RandomSeed;

/// Limits where the file names none: the least that the platform gives anyone.
const DEFAULT_DESCRIPTORS: usize = 256;
const DEFAULT_MEMORY_MB: usize = 32;
const BYTES_PER_MB: usize = 1 << 20;

/// Why a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// Neither `--config` nor `ROUTER_CONFIG` names a file.
    #[error("ROUTER_CONFIG names no file")]
    NoFile,
    /// The file could not be read.
    #[error("{path}: {reason}")]
    Unreadable { path: PathBuf, reason: io::Error },
    /// The file was read and is wrong.
    #[error("{path}: {reason}")]
    Invalid { path: PathBuf, reason: InvalidConfiguration },
}

/// What is wrong with a configuration's text.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfiguration {
    /// No JSON, or a field missing or of the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is no hexadecimal number of 64 bits.
    #[error("seed: {0}")]
    Seed(ParseIntError),
    /// The settings object is wrong.
    #[error(transparent)]
    Settings(#[from] FieldError),
    /// Peers speak of them by name alone: two of one name would be taken for each other.
    #[error("settings: field '{field}' has {name:?} twice, or a name missing")]
    DuplicateName { field: &'static str, name: String },
    /// Peers speak of them by name alone: one without a name could not be spoken of.
    #[error("settings: field '{field}' has \"\" twice, or a name missing")]
    EmptyName { field: &'static str },
    /// A limit is no number of at least 1.
    #[error("limits: {name} is no limit")]
    Limit { name: &'static str },
}

/// The file as it is written.
#[derive(Deserialize)]
struct ConfigurationFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// In hexadecimal.
    seed: String,
    #[serde(rename = "store")]
    relay: RelayAddress,
    #[serde(rename = "known")]
    known_endpoints: Option<EndpointList>,
    limits: Option<Value>,
    settings: Value,
}

#[derive(Deserialize)]
struct RelayAddress {
    address: SocketAddr,
}

/// What the platform lets this instance use.
#[derive(Clone, Copy)]
pub struct ResourceLimits {
    /// Of files and sockets together.
    pub max_descriptors: usize,
    /// Of memory.
    pub memory_bytes: usize,
}

impl ResourceLimits {
    /// A quarter of the descriptors, which each of their uses may have: strangers, collectors, health checks. One at least:
    /// with none, health checks would wait for ever.
    pub fn descriptors_of_each_use(self) -> usize {
        (self.max_descriptors / 4).max(1)
    }

    fn read(limits: Option<&Value>) -> Result<ResourceLimits, InvalidConfiguration> {
        let limit = |name: &'static str, default: usize| {
            let Some(value) = limits.and_then(|limits| limits.get(name)) else { return Ok(default) };
            match value.as_f64() {
                Some(number) if number >= 1.0 => Ok(number as usize),
                _ => Err(InvalidConfiguration::Limit { name }),
            }
        };
        let max_descriptors = limit("sockets", DEFAULT_DESCRIPTORS)?;
        let memory_mb = limit("memory_mb", DEFAULT_MEMORY_MB)?;
        Ok(ResourceLimits { max_descriptors, memory_bytes: memory_mb.saturating_mul(BYTES_PER_MB) })
    }
}

/// What a file of the same deployment has in common with the one that the program was started with. The addresses of another
/// deployment's file lead to endpoints and proxies that are not this instance's.
#[derive(Clone, Debug)]
pub struct DeploymentIdentity {
    name: String,
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<String>,
}

impl DeploymentIdentity {
    /// The first part that differs, named as in the file.
    pub fn first_difference(&self, other: &DeploymentIdentity) -> Option<&'static str> {
        if self.name != other.name {
            Some("name")
        } else if self.zones != other.zones {
            Some("zones")
        } else if self.kinds != other.kinds {
            Some("models")
        } else if self.classes != other.classes {
            Some("classes")
        } else {
            None
        }
    }
}

/// A part of the file that takes effect at the program's start alone.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOnlyField {
    /// As in the file.
    pub name: &'static str,
    /// As written.
    pub value: Value,
}

/// A configuration, decoded and checked.
pub struct StartupConfiguration {
    /// The name of this instance.
    pub name: String,
    /// Where collectors connect.
    pub listen: SocketAddr,
    /// The platform's discovery.
    pub discovery: SocketAddr,
    /// The platform's relay.
    pub relay: SocketAddr,
    /// The endpoint list as it was last known to the platform.
    pub known_endpoints: Option<EndpointList>,
    /// What the decisions are started with.
    pub settings: StartupSettings,
    /// What this instance may use.
    pub limits: ResourceLimits,
    /// The seed of all random numbers.
    pub random: RandomSeed,
    /// Always the same fields in the same order.
    pub start_only: Vec<StartOnlyField>,
}

impl StartupConfiguration {
    /// Reads the file that `--config` or `ROUTER_CONFIG` names.
    pub fn read(path: Option<&Path>) -> Result<StartupConfiguration, StartupError> {
        let path = path.ok_or(StartupError::NoFile)?;
        let unreadable = |reason| StartupError::Unreadable { path: path.to_owned(), reason };
        let text = std::fs::read(path).map_err(unreadable)?;
        let invalid = |reason| StartupError::Invalid { path: path.to_owned(), reason };
        StartupConfiguration::parse(&text).map_err(invalid)
    }

    /// Decodes and checks the text of a file.
    pub fn parse(text: &[u8]) -> Result<StartupConfiguration, InvalidConfiguration> {
        let file: ConfigurationFile = serde_json::from_slice(text)?;
        let seed = u64::from_str_radix(&file.seed, 16).map_err(InvalidConfiguration::Seed)?;
        let settings = StartupSettings::decode(Fields::new("settings", &file.settings)?)?;
        check_distinct("zones", &settings.zones)?;
        check_distinct("classes", &settings.classes)?;
        let limits = ResourceLimits::read(file.limits.as_ref())?;
        let start_only = vec![
            StartOnlyField { name: "name", value: file.name.clone().into() },
            StartOnlyField { name: "listen", value: file.listen.to_string().into() },
            StartOnlyField { name: "limits", value: file.limits.unwrap_or_default() },
            StartOnlyField { name: "settings", value: file.settings },
        ];
        Ok(StartupConfiguration {
            name: file.name,
            listen: file.listen,
            discovery: file.discovery,
            relay: file.relay.address,
            known_endpoints: file.known_endpoints,
            settings,
            limits,
            random: RandomSeed(seed),
            start_only,
        })
    }

    /// What tells this deployment from others.
    pub fn identity(&self) -> DeploymentIdentity {
        DeploymentIdentity {
            name: self.name.clone(),
            zones: self.settings.zones.clone(),
            kinds: self.settings.kinds.clone(),
            classes: self.settings.classes.clone(),
        }
    }
}

fn check_distinct(field: &'static str, names: &[String]) -> Result<(), InvalidConfiguration> {
    for (position, name) in names.iter().enumerate() {
        if name.is_empty() {
            return Err(InvalidConfiguration::EmptyName { field });
        }
        if names[..position].contains(name) {
            return Err(InvalidConfiguration::DuplicateName { field, name: name.clone() });
        }
    }
    Ok(())
}
