//! The report on all services: the figures, with the sizes and the machine, as text and as JSON.

mod json;
mod metrics;
mod quantiles;
mod text;

use std::time::Duration;

use crate::machine::Machine;
use crate::units::milliseconds;

use super::controller::ControllerFigures;
use super::reactions::{Reaction, ReactionKind};
use super::service::{ServiceFigures, ZoneHolders};
use super::settings::Settings;
use super::sizes::Service;
use metrics::Metric;
use quantiles::Quantiles;

/// The content of the report.
pub struct Report<'a> {
    /// The checked options.
    pub settings: &'a Settings,
    /// The machine that measured.
    pub machine: &'a Machine,
    /// The figures of each service, the largest first.
    pub services: &'a [ServiceFigures],
    /// The duration of the run.
    pub elapsed: Duration,
    /// The peak heap of the process, in bytes.
    pub peak_bytes: usize,
}

/// How evenly controllers hold the endpoints of each zone: numbers of controllers, divided by the zone's mean.
struct HolderSpread {
    /// Over the zones, the quotient for the endpoint that the most controllers hold.
    most: Quantiles,
    /// Over the zones, the quotient for the endpoint that the fewest controllers hold.
    least: Quantiles,
    /// The smallest quotient of all zones.
    least_of_all: f64,
}

impl Report<'_> {
    fn controllers(&self) -> impl Iterator<Item = &ControllerFigures> {
        self.services.iter().flat_map(|service| &service.controllers)
    }

    fn controllers_run(&self) -> usize {
        self.services.iter().map(|service| service.controllers.len()).sum()
    }

    fn quantiles(&self, metric: &Metric) -> Quantiles {
        let seconds = self.settings.seconds as f64;
        Quantiles::of(self.controllers().map(|controller| (metric.value)(controller, seconds)).collect())
    }

    fn reactions(&self, kind: ReactionKind) -> Vec<Reaction> {
        let all = self.controllers().flat_map(|controller| &controller.reactions);
        all.filter(|reaction| reaction.kind == kind).copied().collect()
    }

    fn reaction_virtual_times(&self, kind: ReactionKind) -> Quantiles {
        let reactions = self.reactions(kind);
        Quantiles::of(reactions.iter().map(|reaction| milliseconds(reaction.virtual_time)).collect())
    }

    fn reaction_processor_times(&self, kind: ReactionKind) -> Quantiles {
        let reactions = self.reactions(kind);
        Quantiles::of(reactions.iter().map(|reaction| milliseconds(reaction.processor)).collect())
    }

    fn bound_after(&self) -> Quantiles {
        let times = self.controllers().flat_map(|controller| &controller.bound_after);
        Quantiles::of(times.map(|time| milliseconds(*time)).collect())
    }

    fn sum(&self, count: impl Fn(&ControllerFigures) -> usize) -> usize {
        self.controllers().map(count).sum()
    }

    /// Adds up a count over all controllers. The counts are whole numbers, so the sum is exact.
    fn sum_attempts(&self, count: impl Fn(&ControllerFigures) -> f64) -> f64 {
        self.controllers().map(count).sum()
    }

    fn holder_spread(&self) -> HolderSpread {
        let all_zones = self.services.iter().flat_map(|service| &service.holders);
        let held: Vec<&ZoneHolders> = all_zones.filter(|zone| zone.mean > 0.0).collect();
        let most = held.iter().map(|zone| zone.most as f64 / zone.mean).collect();
        let least: Vec<f64> = held.iter().map(|zone| zone.least as f64 / zone.mean).collect();
        let least_of_all = least.iter().copied().fold(f64::INFINITY, f64::min);
        HolderSpread { most: Quantiles::of(most), least: Quantiles::of(least), least_of_all }
    }

    /// Returns a line for each service of which not all controllers were run.
    fn sampled(&self) -> Vec<String> {
        let services = self.services.iter().map(|figures| &figures.service);
        let sampled = services.filter(|service| service.controllers_run < service.controllers);
        sampled.map(sampled_line).collect()
    }
}

fn sampled_line(service: &Service) -> String {
    let Service { number, endpoints, controllers, controllers_run, .. } = service;
    format!("service {number}: {controllers_run} of {controllers} pilots, {endpoints} endpoints")
}
