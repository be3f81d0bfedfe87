//! Maps the platform's fields of the settings object to the [`Deployment`] that the assigner is started with.

use std::time::Duration;

use dahliaroad::{AdmissionUnit, ClassSettings, Deployment};
use serde_json::Value;

use crate::error::FieldError;
use crate::fields::Fields;

/// A set of classes is stored as the bits of one `u64`.
const MAX_CLASSES: usize = 64;
/// The numbers of proxies and tables are below 65,536.
const MAX_PROXIES: usize = 65_535;
/// Far more zones than any service has; a longer list is taken for a mistake.
const MAX_ZONES: usize = 1024;

const ADMISSION_UNITS: [(&str, AdmissionUnit); 3] = [
    ("ratio", AdmissionUnit::Ratio),
    ("rps", AdmissionUnit::RequestsPerSecond),
    ("silent", AdmissionUnit::Ignored),
];

/// Values of the field `registry_mode`, and whether the endpoint list must be polled in that mode.
const REGISTRY_MODES: [(&str, bool); 2] = [("pushed", false), ("on_request", true)];

/// The sections of the settings object, under the platform's names.
pub(crate) struct Sections<'a> {
    settings: Fields<'a>,
    pub(crate) domain: Fields<'a>,
    rules: Fields<'a>,
    pub(crate) limits: Fields<'a>,
    pub(crate) report: Fields<'a>,
    pub(crate) classes: &'a [Value],
    /// For each class, whether only endpoints in the proxy's own zone may serve it. May be shorter than `classes`.
    own_zone_only: &'a [Value],
    zones: &'a [Value],
}

impl<'a> Sections<'a> {
    /// Reads the sections and checks the lengths of `classes` and `class_own_zone`.
    pub(crate) fn split(settings: Fields<'a>) -> Result<Sections<'a>, FieldError> {
        let domain = settings.object("domain")?;
        let rules = settings.object("rules")?;
        let limits = settings.object("limits")?;
        let report = settings.object("report")?;
        let own_zone_only = match domain.optional("class_own_zone") {
            Some(_) => domain.array("class_own_zone")?,
            None => &[],
        };
        let classes = settings.array("classes")?;
        let zones = settings.array("zones")?;
        settings.check_count("classes", classes.len(), 1..=MAX_CLASSES)?;
        domain.check_count("class_own_zone", own_zone_only.len(), 0..=classes.len())?;
        Ok(Sections { settings, domain, rules, limits, report, classes, own_zone_only, zones })
    }

    /// Decodes the deployment. The fields are read in a fixed order, see
    /// [`StartupSettings::decode`](crate::StartupSettings::decode).
    pub(crate) fn deployment(&self) -> Result<Deployment, FieldError> {
        let Sections { settings, domain, rules, limits, .. } = self;
        let controllers = self.controllers()?;
        let controller_index = self.controller_index(controllers)?;
        let tables_by_key_range = domain.u64("key_ranges")? > 0;
        let messages_limited = domain.u64("pushes_allowed")? > 0;
        Ok(Deployment {
            controllers,
            controller_index,
            proxies: self.proxies()?,
            proxies_join_by_zone: domain.boolean("homed_by_zone")?,
            zones: settings.check_count("zones", self.zones.len(), 1..=MAX_ZONES)?,
            classes: self.class_settings()?,
            admission_unit: domain.choice("admit", &ADMISSION_UNITS)?,
            tables_by_key_range,
            endpoint_list_polled: settings.choice("registry_mode", &REGISTRY_MODES)?,
            removal_ends_traffic: self.removal_ends_traffic(),
            health_checks_allowed: limits.boolean("probes")?,
            report_interval: domain.duration_above_zero("report_every_ms")?,
            cross_zone_price: settings.object("deductions")?.non_negative_number("cross_zone")?,
            channel_lines_per_second: domain.non_negative_number("lines_per_s")?,
            channel_queue_lines: domain.non_negative_number("backlog")?,
            message_overhead_lines: domain.non_negative_number("per_message")?,
            proxies_eject_outliers: self.proxies_eject_outliers()?,
            initial_table_size: self.initial_table_size()?,
            messages_per_window: self.messages_per_window(messages_limited)?,
            message_window: self.message_window(messages_limited)?,
            cold_capacity_ratio: rules.non_negative_number("start_capacity")?,
            cold_overload_factor: rules.non_negative_number("fall_multiple")?,
            warm_up: rules.duration("warm_up_ms")?,
        })
    }

    fn controllers(&self) -> Result<usize, FieldError> {
        let count = self.settings.u32("balancers")? as usize;
        self.settings.check_count("balancers", count, 1..=u32::MAX as usize)
    }

    fn controller_index(&self, controllers: usize) -> Result<usize, FieldError> {
        let index = self.settings.u32("me")? as usize;
        self.settings.check_count("me", index, 0..=controllers - 1)
    }

    fn proxies(&self) -> Result<usize, FieldError> {
        let count = self.domain.u64("proxy_count")? as usize;
        self.domain.check_count("proxy_count", count, 0..=MAX_PROXIES)
    }

    fn class_settings(&self) -> Result<Vec<ClassSettings>, FieldError> {
        let classes = self.classes.iter().enumerate();
        classes.map(|(index, class)| self.class(class, self.own_zone_only.get(index))).collect()
    }

    fn class(&self, class: &Value, own_zone_only: Option<&Value>) -> Result<ClassSettings, FieldError> {
        let class = Fields::new("classes", class)?;
        Ok(ClassSettings {
            latency_objective: class.duration("on_time_ms")?,
            priority_weight: class.number("worth")?,
            own_zone_only: own_zone_only.and_then(Value::as_bool).unwrap_or(false),
        })
    }

    fn removal_ends_traffic(&self) -> bool {
        let traffic_may_continue = self.rules.optional("removal_not_binding").and_then(Value::as_bool);
        !traffic_may_continue.unwrap_or(false)
    }

    fn proxies_eject_outliers(&self) -> Result<bool, FieldError> {
        if self.domain.optional("ejects").is_none() {
            return Ok(false);
        }
        Ok(self.domain.u64("ejects")? > 0)
    }

    fn initial_table_size(&self) -> Result<usize, FieldError> {
        if self.domain.optional("standing").is_none() {
            return Ok(0);
        }
        Ok(self.domain.u32("standing")? as usize)
    }

    fn messages_per_window(&self, limited: bool) -> Result<Option<usize>, FieldError> {
        if !limited {
            return Ok(None);
        }
        Ok(Some(self.domain.u32("pushes_allowed")? as usize))
    }

    fn message_window(&self, limited: bool) -> Result<Duration, FieldError> {
        if !limited {
            return Ok(Duration::ZERO);
        }
        self.domain.duration("messages_over_ms")
    }
}
