//! The printed form of the report.

use std::fmt::{self, Display, Formatter};

use super::Report;
use super::metrics::{BYTES_PER_MB, METRICS};
use super::quantiles::COLUMNS;
use crate::machine::Machine;
use crate::simulated_fleet::reactions::ReactionKind;

/// The largest number of sampled services that are printed one by one.
const MAX_SAMPLED_LINES: usize = 5;

impl Display for Report<'_> {
    fn fmt(&self, formatter: &mut Formatter) -> fmt::Result {
        self.write_sizes(formatter)?;
        self.write_controllers(formatter)?;
        self.write_reactions(formatter)?;
        self.write_holders(formatter)?;
        self.write_counts(formatter)
    }
}

/// Writes an empty line and the head of a table of quantiles.
fn write_head(formatter: &mut Formatter, title: &str) -> fmt::Result {
    let [median, percentile_99, most] = COLUMNS;
    writeln!(formatter, "\n{title:40} {median:>12} {percentile_99:>12} {most:>12}")
}

impl Report<'_> {
    fn write_sizes(&self, formatter: &mut Formatter) -> fmt::Result {
        let Machine { cores, processor, memory_mb, load_average, .. } = self.machine;
        writeln!(formatter, "machine: {cores} cores, {processor}, {memory_mb} MB, load {load_average}")?;
        writeln!(formatter, "sizes: {}", self.sizes())?;
        let sampled = self.sampled();
        for line in sampled.iter().take(MAX_SAMPLED_LINES) {
            writeln!(formatter, "SAMPLED: {line}")?;
        }
        let more = sampled.len().saturating_sub(MAX_SAMPLED_LINES);
        if more > 0 {
            writeln!(formatter, "SAMPLED: {more} more services")?;
        }
        let elapsed = self.elapsed.as_secs_f64();
        let peak = self.peak_bytes as f64 / BYTES_PER_MB;
        writeln!(formatter, "elapsed {elapsed:.1} s; peak heap of the process {peak:.0} MB")
    }

    fn write_controllers(&self, formatter: &mut Formatter) -> fmt::Result {
        write_head(formatter, "of each pilot")?;
        for metric in &METRICS {
            writeln!(formatter, "{:40} {}", metric.label, self.quantiles(metric))?;
        }
        writeln!(formatter, "{:40} {}", "all proxies bound after, virtual ms", self.bound_after())
    }

    fn write_reactions(&self, formatter: &mut Formatter) -> fmt::Result {
        write_head(formatter, "from a change to its order")?;
        for kind in ReactionKind::ALL {
            let label = format!("{} ({}), virtual ms", kind.name(), self.reactions(kind).len());
            writeln!(formatter, "{label:40} {}", self.reaction_virtual_times(kind))?;
            let label = format!("{}, processor ms", kind.name());
            writeln!(formatter, "{label:40} {}", self.reaction_processor_times(kind))?;
        }
        Ok(())
    }

    fn write_holders(&self, formatter: &mut Formatter) -> fmt::Result {
        if !self.sampled().is_empty() {
            writeln!(
                formatter,
                "\nfor sampled services, the figures below count only the pilots that were run"
            )?;
        }
        let holders = self.holder_spread();
        write_head(formatter, "pilots an endpoint, by zone")?;
        writeln!(formatter, "{:40} {}", "most held, of the zone's mean", holders.most)?;
        writeln!(formatter, "{:40} {}", "least held, of the zone's mean", holders.least)?;
        writeln!(formatter, "least held of all zones: {:.3} of the mean", holders.least_of_all)
    }

    fn write_counts(&self, formatter: &mut Formatter) -> fmt::Result {
        let attempts = self.sum_attempts(|controller| controller.measured.attempts);
        let failed = self.sum_attempts(|controller| controller.measured.failed_attempts);
        let in_zone = self.sum_attempts(|controller| controller.measured.attempts_in_zone);
        writeln!(
            formatter,
            "tries reported: {attempts}, of which failed: {failed}, within the zone: {in_zone}"
        )?;
        let unserved = self.sum(|controller| controller.unserved);
        let late = self.sum(|controller| controller.late);
        writeln!(formatter, "proxies without an endpoint to pick: {unserved}; drained endpoints late: {late}")
    }
}
