//! Decodes the events that the simulator sends to an instance.

use std::time::Duration;

use dahliaroad::{
    ClassId, DemandReport, EndpointLoad, EndpointReport, EndpointState, HealthCheckOutcome, Nonce, ProxyId,
    ZoneId,
};
use dahliaroad_settings::{Fields, StartupSettings, duration_from_millis};
use serde_json::Value;

use crate::error::EventFault;

/// The field of a load report that gives the busy fraction of an endpoint's cores.
const UTILIZATION_FIELD: &str = "busy";

const ENDPOINT_STATES: [(&str, EndpointState); 3] = [
    ("Running", EndpointState::Running),
    ("Stopping", EndpointState::Draining),
    ("Deleted", EndpointState::Removed),
];

const HEALTH_CHECK_OUTCOMES: [(&str, HealthCheckOutcome); 8] = [
    ("done", HealthCheckOutcome::Passed),
    ("busy", HealthCheckOutcome::Rejected),
    ("ecanceled", HealthCheckOutcome::Rejected),
    ("skipped", HealthCheckOutcome::Rejected),
    ("err", HealthCheckOutcome::Failed),
    ("econnrefused", HealthCheckOutcome::Failed),
    ("econnreset", HealthCheckOutcome::Failed),
    ("etimedout", HealthCheckOutcome::TimedOut),
];

/// The kind of an endpoint list message.
#[derive(Clone, Copy)]
enum ListMode {
    Failed,
    Changes,
    Complete,
}

const LIST_MODES: [(&str, ListMode); 4] = [
    ("failed", ListMode::Failed),
    ("delta", ListMode::Changes),
    ("full", ListMode::Complete),
    ("cached", ListMode::Complete),
];

/// An entry of the endpoint list.
#[derive(Debug, PartialEq)]
pub struct ListedEndpoint<'a> {
    pub name: &'a str,
    pub zone: ZoneId,
    pub kind: u32,
    pub weight: f64,
    /// When the endpoint started, since the start of the simulation; `None` if it started earlier.
    pub started: Option<Duration>,
    pub state: EndpointState,
}

/// An event of a running instance.
#[derive(Debug)]
pub enum Event<'a> {
    EndpointList {
        /// Whether the list is complete: endpoints that are not in it have been removed.
        complete: bool,
        entries: Vec<ListedEndpoint<'a>>,
    },
    EndpointListFailed,
    Timer,
    ProxyJoined {
        proxy: ProxyId,
        zone: ZoneId,
        /// A rough estimate of the proxy's requests per second.
        estimated_rate: f64,
    },
    ProxyLeft {
        proxy: ProxyId,
    },
    EndpointReport {
        endpoint: &'a str,
        zone: ZoneId,
        report: EndpointReport,
    },
    DemandReport {
        proxy: ProxyId,
        class: ClassId,
        report: DemandReport,
    },
    HealthCheckFinished {
        endpoint: &'a str,
        outcome: HealthCheckOutcome,
    },
    Acknowledged {
        proxy: ProxyId,
        nonce: Nonce,
    },
    /// Another instance's weight for a key range. The assigner does not use it, but its endpoint gets a number.
    KeyRangeWeight {
        endpoint: &'a str,
    },
    /// An event that is checked, but not used.
    Ignored,
}

/// Decodes events for one instance. The instance's settings define which zones, classes and key ranges exist.
pub struct EventDecoder {
    zones: u32,
    classes: u32,
    key_ranges: u64,
    load_report_fields: Vec<String>,
}

impl EventDecoder {
    /// Creates a decoder for an instance with these settings.
    pub fn new(settings: &StartupSettings) -> Self {
        EventDecoder {
            zones: settings.deployment.zones as u32,
            classes: settings.deployment.classes.len() as u32,
            key_ranges: settings.key_ranges,
            load_report_fields: settings.load_report_fields.clone(),
        }
    }

    /// Decodes the event `name`. The first error in the order of reading is returned. The order of reading must not
    /// change, because it is part of the output that the simulator compares.
    pub fn decode<'a>(&self, name: &str, fields: Fields<'a>) -> Result<Event<'a>, EventFault> {
        match name {
            "directory_update" => self.endpoint_list(fields),
            "due" => {
                fields.u64("ctx")?;
                Ok(Event::Timer)
            }
            "enrolled" => self.proxy_joined(fields),
            "unsubscribed" => Ok(Event::ProxyLeft { proxy: proxy(fields)? }),
            "traffic_report" => self.endpoint_report(fields),
            "offered_load" => self.demand_report(fields),
            "health" => self.health_check_finished(fields),
            "confirmed" => acknowledged(fields),
            "whisper" => {
                fields.u32("src")?;
                fields.string("octets")?;
                Ok(Event::Ignored)
            }
            "custody" => {
                self.check_key_range(fields)?;
                fields.boolean("flag")?;
                Ok(Event::Ignored)
            }
            "recorded" => self.key_range_weight(fields),
            "heat" => self.key_range_load(fields),
            _ => Err(EventFault::UnknownEvent),
        }
    }

    fn endpoint_list<'a>(&self, fields: Fields<'a>) -> Result<Event<'a>, EventFault> {
        let complete = match fields.choice("mode", &LIST_MODES)? {
            ListMode::Failed => return Ok(Event::EndpointListFailed),
            ListMode::Changes => false,
            ListMode::Complete => true,
        };
        let entries = fields.array("members_list")?.iter();
        let entries: Result<Vec<ListedEndpoint>, EventFault> =
            entries.map(|entry| self.listed_endpoint(entry)).collect();
        Ok(Event::EndpointList { complete, entries: entries? })
    }

    fn listed_endpoint<'a>(&self, entry: &'a Value) -> Result<ListedEndpoint<'a>, EventFault> {
        let entry = Fields::new("members_list", entry)?;
        let started_ms = match entry.optional("started_at_ms") {
            Some(_) => Some(entry.number("started_at_ms")?).filter(|started_ms| *started_ms > 0.0),
            None => None,
        };
        let state = entry.choice("lifecycle", &ENDPOINT_STATES)?;
        Ok(ListedEndpoint {
            name: entry.string("endpoint")?,
            zone: self.zone(entry)?,
            kind: entry.u32("shape")?,
            weight: entry.non_negative_number("share")?,
            started: started_ms.map(duration_from_millis).transpose()?,
            state,
        })
    }

    fn proxy_joined<'a>(&self, fields: Fields<'a>) -> Result<Event<'a>, EventFault> {
        fields.boolean("flag")?;
        let proxy = proxy(fields)?;
        let zone = self.zone(fields)?;
        let estimated_rate = fields.non_negative_number("share")?;
        Ok(Event::ProxyJoined { proxy, zone, estimated_rate })
    }

    fn endpoint_report<'a>(&self, fields: Fields<'a>) -> Result<Event<'a>, EventFault> {
        let endpoint = fields.string("endpoint")?;
        let report = EndpointReport {
            attempts: fields.non_negative_number("total")?,
            failures: fields.non_negative_number("lost")?,
            response_time: duration_from_millis(fields.non_negative_number("spent_ms")?)?,
            interval: interval(fields)?,
            load: self.load_report(fields)?,
        };
        Ok(Event::EndpointReport { endpoint, zone: self.zone(fields)?, report })
    }

    fn demand_report<'a>(&self, fields: Fields<'a>) -> Result<Event<'a>, EventFault> {
        fields.non_negative_number("lost")?;
        let proxy = proxy(fields)?;
        let class = self.class(fields)?;
        let requests = fields.non_negative_number("total")?;
        let report = DemandReport { requests, interval: interval(fields)? };
        Ok(Event::DemandReport { proxy, class, report })
    }

    fn health_check_finished<'a>(&self, fields: Fields<'a>) -> Result<Event<'a>, EventFault> {
        fields.non_negative_number("spent_ms")?;
        let outcome = fields.choice("state_code", &HEALTH_CHECK_OUTCOMES)?;
        let endpoint = fields.string("endpoint")?;
        self.load_report(fields)?;
        Ok(Event::HealthCheckFinished { endpoint, outcome })
    }

    fn key_range_weight<'a>(&self, fields: Fields<'a>) -> Result<Event<'a>, EventFault> {
        self.check_key_range(fields)?;
        let endpoint = fields.string("endpoint")?;
        fields.non_negative_number("share")?;
        Ok(Event::KeyRangeWeight { endpoint })
    }

    fn key_range_load<'a>(&self, fields: Fields<'a>) -> Result<Event<'a>, EventFault> {
        self.check_key_range(fields)?;
        self.class(fields)?;
        for field in ["total", "lost", "covers_ms"] {
            fields.non_negative_number(field)?;
        }
        Ok(Event::Ignored)
    }

    fn zone(&self, fields: Fields<'_>) -> Result<ZoneId, EventFault> {
        number_below(fields, "dc", self.zones).map(ZoneId)
    }

    fn class(&self, fields: Fields<'_>) -> Result<ClassId, EventFault> {
        number_below(fields, "kind", self.classes).map(ClassId)
    }

    fn check_key_range(&self, fields: Fields<'_>) -> Result<(), EventFault> {
        let key_range = fields.u64("route_table")?;
        if key_range >= self.key_ranges {
            return Err(EventFault::KeyRangeDoesNotExist { key_range });
        }
        Ok(())
    }

    /// Decodes a load report, whose values are in the order of the settings' list of fields. Some or all values may be
    /// missing.
    fn load_report(&self, fields: Fields<'_>) -> Result<EndpointLoad, EventFault> {
        if fields.optional("telemetry").is_none() {
            return Ok(EndpointLoad::default());
        }
        let values = fields.array("telemetry")?;
        let mut named = self.load_report_fields.iter().zip(values);
        let utilization = named.rfind(|(name, _)| *name == UTILIZATION_FIELD);
        Ok(EndpointLoad { utilization: utilization.and_then(|(_, value)| value.as_f64()) })
    }
}

fn acknowledged(fields: Fields<'_>) -> Result<Event<'_>, EventFault> {
    fields.non_negative_number("spent_ms")?;
    let proxy = proxy(fields)?;
    let nonce = fields.u32("rev")?;
    Ok(Event::Acknowledged { proxy, nonce })
}

fn proxy(fields: Fields<'_>) -> Result<ProxyId, EventFault> {
    Ok(ProxyId(fields.u32("edge")?))
}

/// Reads the length of the period that a report covers.
fn interval(fields: Fields<'_>) -> Result<Duration, EventFault> {
    Ok(duration_from_millis(fields.non_negative_number("covers_ms")?)?)
}

fn number_below(fields: Fields<'_>, field: &'static str, limit: u32) -> Result<u32, EventFault> {
    let number = fields.u32(field)?;
    if number >= limit {
        return Err(EventFault::NumberDoesNotExist { field, number });
    }
    Ok(number)
}

#[cfg(test)]
mod tests;
