//! The decoded settings object: the deployment for the assigner, and the fields for the program that runs it.

use std::time::Duration;

use dahliaroad::Deployment;
use serde_json::Value;

use crate::deployment::Sections;
use crate::error::FieldError;
use crate::fields::Fields;

/// The startup settings of a controller instance.
pub struct StartupSettings {
    /// The part that the assigner is started with.
    pub deployment: Deployment,
    /// The names of the values in an endpoint's load report, in the order in which the report lists them.
    pub load_report_fields: Vec<String>,
    /// The number of ranges that the key space is divided into; 0 if tables do not belong to key ranges.
    pub key_ranges: u64,
    /// The names of the zones, indexed by zone number.
    pub zones: Vec<String>,
    /// The names of the machine kinds that endpoints run on, indexed by kind number; may be empty.
    pub kinds: Vec<String>,
    /// The names of the request classes, indexed by class number; an empty string for a class without a name.
    pub classes: Vec<String>,
    /// How long a turn waits for more inputs after its first input; the turn processes all of them together.
    pub turn_interval: Duration,
    /// Timeout for connecting to an endpoint; zero if the platform sets no limit.
    pub connect_timeout: Duration,
}

impl StartupSettings {
    /// Decodes the settings object.
    ///
    /// If the object has several errors, the error of the field that is read first is returned. The order of reading must
    /// not change, because the output of the simulation is compared byte by byte.
    pub fn decode(settings: Fields<'_>) -> Result<StartupSettings, FieldError> {
        let sections = Sections::split(settings)?;
        Ok(StartupSettings {
            deployment: sections.deployment()?,
            load_report_fields: sections.report.strings("fields")?,
            key_ranges: sections.domain.u64("key_ranges")?,
            zones: settings.strings("zones")?,
            kinds: kinds(settings)?,
            classes: sections.classes.iter().map(class_name).collect(),
            turn_interval: settings.duration_or_zero("round_ms")?,
            connect_timeout: sections.limits.duration_or_zero("connect_timeout_ms")?,
        })
    }
}

/// Returns the names of the machine kinds. The list may be missing, because the assigner uses only the kinds' numbers.
fn kinds(settings: Fields<'_>) -> Result<Vec<String>, FieldError> {
    if settings.optional("models").is_none() {
        return Ok(Vec::new());
    }
    settings.strings("models")
}

fn class_name(class: &Value) -> String {
    class.get("name").and_then(Value::as_str).unwrap_or_default().to_owned()
}
