//! The report as JSON. The keys are those that published figures quote.

use serde_json::{Value, json};

use super::Report;
use super::metrics::{BYTES_PER_MB, METRICS};
use crate::simulated_fleet::reactions::ReactionKind;

impl Report<'_> {
    /// Returns all figures.
    pub fn json(&self) -> Value {
        json!({
            "machine": self.machine,
            "sizes": self.sizes(),
            "sampled": self.sampled(),
            "repeatable": self.repeatable(),
            "measured": self.measured(),
        })
    }

    /// Returns the options, and the size of the largest service.
    pub fn sizes(&self) -> Value {
        let settings = self.settings;
        let largest = &self.services[0].service;
        json!({
            "scenario": format!("{:?}", settings.scenario),
            "sizes": format!("{:?}", settings.sizes),
            "pilots": settings.controllers,
            "pilots_run": self.controllers_run(),
            "endpoints": settings.endpoints,
            "services": settings.services,
            "proxies_per_pilot": settings.proxies_per_controller,
            "regions": settings.regions,
            "zones": settings.zones,
            "seconds": settings.seconds,
            "requests_per_proxy": settings.requests_per_proxy,
            "change_factor": settings.change_factor,
            "seed": settings.seed,
            "threads": settings.threads,
            "largest_service": {
                "endpoints": largest.endpoints,
                "pilots": largest.controllers,
                "zones": largest.zones.len(),
            },
        })
    }

    /// Returns the figures that are equal in each run with the same seed.
    fn repeatable(&self) -> Value {
        let holders = self.holder_spread();
        let mut figures = json!({
            "changes": self.services.iter().map(|service| service.changes).sum::<usize>(),
            "inputs": self.sum(|controller| controller.measured.inputs),
            "orders": self.sum(|controller| controller.measured.orders),
            "tries": self.sum_attempts(|controller| controller.measured.attempts),
            "failed_tries": self.sum_attempts(|controller| controller.measured.failed_attempts),
            "tries_in_zone": self.sum_attempts(|controller| controller.measured.attempts_in_zone),
            "unserved_proxies": self.sum(|controller| controller.unserved),
            "late_drains": self.sum(|controller| controller.late),
            "unfinished": self.sum(|controller| controller.unfinished),
            "bindings_completed": self.sum(|controller| controller.bound_after.len()),
            "bound_after_ms": self.bound_after(),
            "pilots_per_endpoint": {
                "most_of_mean": holders.most,
                "least_of_mean": holders.least,
                "least_of_all": holders.least_of_all,
            },
        });
        for metric in METRICS.iter().filter(|metric| metric.repeatable) {
            figures[metric.key] = json!(self.quantiles(metric));
        }
        for kind in ReactionKind::ALL {
            figures["reactions"][kind.name()] = json!({
                "count": self.reactions(kind).len(),
                "virtual_ms": self.reaction_virtual_times(kind),
            });
        }
        figures
    }

    /// Returns the figures that depend on the machine.
    fn measured(&self) -> Value {
        let mut figures = json!({
            "elapsed_s": self.elapsed.as_secs_f64(),
            "process_peak_mb": self.peak_bytes as f64 / BYTES_PER_MB,
        });
        for metric in METRICS.iter().filter(|metric| !metric.repeatable) {
            figures[metric.key] = json!(self.quantiles(metric));
        }
        for kind in ReactionKind::ALL {
            figures["reactions_processor_ms"][kind.name()] = json!(self.reaction_processor_times(kind));
        }
        figures
    }
}
