//! The platform's configuration file, which a controller instance reads at its start and at each reload.

use std::io;
use std::net::SocketAddr;
use std::num::ParseIntError;
use std::path::{Path, PathBuf};

use dahliaroad_settings::{FieldError, Fields, StartupSettings};
use serde::Deserialize;
use serde_json::Value;

use crate::discovery::EndpointList;
use crate::random::RandomSeed;

/// The default limit of file descriptors if the file names none: the smallest limit that the platform sets.
const DEFAULT_DESCRIPTORS: usize = 256;
/// The default limit of memory if the file names none: the smallest limit that the platform sets.
const DEFAULT_MEMORY_MB: usize = 32;
const BYTES_PER_MB: usize = 1 << 20;

/// Why a configuration file cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum StartupError {
    /// Neither `--config` nor `ROUTER_CONFIG` names a file.
    #[error("no configuration file: give one by --config or ROUTER_CONFIG")]
    NoFile,
    /// The file could not be read.
    #[error("{path}: {reason}")]
    Unreadable { path: PathBuf, reason: io::Error },
    /// The file was read, but its content is invalid.
    #[error("{path}: {reason}")]
    Invalid { path: PathBuf, reason: InvalidConfiguration },
}

/// Why the text of a configuration file is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfiguration {
    /// The text is not JSON, or a field is missing or has the wrong type.
    #[error(transparent)]
    Json(#[from] serde_json::Error),
    /// The seed is not a hexadecimal number of at most 64 bits.
    #[error("seed: {0}")]
    Seed(ParseIntError),
    /// The settings object is invalid.
    #[error(transparent)]
    Settings(#[from] FieldError),
    /// Two zones or two classes have the same name. Peers identify zones and classes by name alone, so they could not tell
    /// the two apart.
    #[error("settings: field '{field}' has the name {name:?} twice")]
    DuplicateName { field: &'static str, name: String },
    /// A zone or class has an empty name. Peers identify zones and classes by name alone, so they could not refer to it.
    #[error("settings: field '{field}' has an empty name")]
    EmptyName { field: &'static str },
    /// A limit is not a number of at least 1.
    #[error("limits: '{name}' is not a number of at least 1")]
    Limit { name: &'static str },
}

/// The JSON object of the file, with the field names that the file uses.
#[derive(Deserialize)]
struct ConfigurationFile {
    name: String,
    listen: SocketAddr,
    discovery: SocketAddr,
    /// A hexadecimal number.
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

/// The resources that the platform allows this instance to use.
#[derive(Clone, Copy)]
pub struct ResourceLimits {
    /// The maximum number of open files and sockets together.
    pub max_descriptors: usize,
    /// The memory limit in bytes.
    pub memory_bytes: usize,
}

impl ResourceLimits {
    /// The maximum number of descriptors for each of three uses: unidentified connections, collectors and health checks.
    /// This is a quarter of the descriptors, and at least 1: with 0, health checks would never be sent.
    pub fn descriptors_per_use(self) -> usize {
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

/// The parts of the configuration that two files of the same deployment have in common. A reload rejects a file whose
/// identity differs from the one at the start: its addresses lead to endpoints and proxies of another deployment.
#[derive(Clone, Debug)]
pub struct DeploymentIdentity {
    name: String,
    zones: Vec<String>,
    kinds: Vec<String>,
    classes: Vec<String>,
}

impl DeploymentIdentity {
    /// Returns the first field that differs, by its name in the file. Returns `None` if the identities are equal.
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

/// A field of the file that takes effect only when the program starts.
#[derive(Clone, Debug, PartialEq)]
pub struct StartOnlyField {
    /// The name of the field in the file.
    pub name: &'static str,
    /// The value of the field in the file.
    pub value: Value,
}

/// A decoded and checked configuration file.
pub struct StartupConfiguration {
    /// The name of this instance.
    pub name: String,
    /// The address on which this instance accepts collectors.
    pub listen: SocketAddr,
    /// The address of the platform's discovery.
    pub discovery: SocketAddr,
    /// The address of the platform's relay.
    pub relay: SocketAddr,
    /// The endpoint list that the platform last knew, if the file contains one.
    pub known_endpoints: Option<EndpointList>,
    /// The settings of the decision logic.
    pub settings: StartupSettings,
    /// The resource limits of this instance.
    pub limits: ResourceLimits,
    /// The seed of all random number streams.
    pub random: RandomSeed,
    /// The fields that take effect only at the start. Every configuration has the same fields in the same order.
    pub start_only: Vec<StartOnlyField>,
}

impl StartupConfiguration {
    /// Reads the file at `path`, which `--config` or `ROUTER_CONFIG` names.
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

    /// Returns what distinguishes this deployment from others.
    pub fn identity(&self) -> DeploymentIdentity {
        DeploymentIdentity {
            name: self.name.clone(),
            zones: self.settings.zones.clone(),
            kinds: self.settings.kinds.clone(),
            classes: self.settings.classes.clone(),
        }
    }
}

/// Checks that no name is empty and no name occurs twice.
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
