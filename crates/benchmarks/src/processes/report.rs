//! The report of the figures, as text and as JSON.

use std::path::Path;

use serde::Serialize;
use serde_json::{Value, json};

use super::arguments::Arguments;
use super::run::{ProcessFigures, RunFigures};
use crate::output::{WriteError, write_file};

/// All runs of one program at one size.
#[derive(Debug, Serialize)]
pub struct SizeRuns {
    /// The path of the program.
    pub program: String,
    /// The number of entries of the list.
    pub endpoints: usize,
    /// The runs that gave figures.
    pub runs: Vec<RunFigures>,
    /// The errors of the runs that failed.
    pub failed: Vec<String>,
}

/// A printed figure of each process.
struct Metric {
    name: &'static str,
    unit: &'static str,
    /// Returns the figure; `None` if it was not measured.
    value: fn(&ProcessFigures) -> Option<f64>,
}

impl Metric {
    const fn new(
        name: &'static str,
        unit: &'static str,
        value: fn(&ProcessFigures) -> Option<f64>,
    ) -> Metric {
        Metric { name, unit, value }
    }
}

const METRICS: [Metric; 17] = [
    Metric::new("ready", "ms", |process| Some(process.ready_ms)),
    Metric::new("first table", "ms", |process| Some(process.first_table_ms)),
    Metric::new("processor up to the first table", "ms", |process| Some(process.first_table_processor_ms)),
    Metric::new("processor until settled", "ms", |process| Some(process.start_up_processor_ms)),
    Metric::new("peak memory until settled", "MB", |process| Some(process.start_up_peak_mb)),
    Metric::new("lines ordered until settled", "", |process| Some(process.start_up_weights)),
    Metric::new("tables", "", |process| Some(process.tables)),
    Metric::new("proxies bound when settled", "", |process| Some(process.proxies_bound)),
    Metric::new("processor at rest", "ms/s", |process| Some(process.rest_processor_ms)),
    Metric::new("processor with changes", "ms/s", |process| Some(process.changes_processor_ms)),
    Metric::new("processor of the changes alone", "ms/s", |process| {
        Some(process.changes_processor_ms - process.rest_processor_ms)
    }),
    Metric::new("processor with changes and reports", "ms/s", |process| Some(process.reports_processor_ms)),
    Metric::new("received with changes and reports", "B/s", |process| Some(process.received_bytes)),
    Metric::new("sent with changes and reports", "B/s", |process| Some(process.sent_bytes)),
    Metric::new("peak memory at the end", "MB", |process| Some(process.peak_mb)),
    Metric::new("ready after all were killed", "ms", |process| process.restart_ready_ms),
    Metric::new("first table after all were killed", "ms", |process| process.restart_first_table_ms),
];

/// Returns the options as JSON, with the names of the command line.
pub fn plan(arguments: &Arguments) -> Value {
    json!({
        "endpoints": arguments.endpoints,
        "processes": arguments.processes,
        "balancers": arguments.controllers(),
        "me": arguments.first_number,
        "proxies": arguments.proxies,
        "requests": arguments.requests,
        "changes": arguments.changes,
        "seconds": arguments.seconds,
        "seed": arguments.seed,
        "runs": arguments.runs,
        "restart": arguments.restart,
    })
}

/// Prints the median and the range of a metric's values, or nothing if there are no values.
fn print_values(metric: &Metric, mut values: Vec<f64>) {
    values.sort_by(f64::total_cmp);
    let (Some(least), Some(most)) = (values.first(), values.last()) else { return };
    let median = values[values.len() / 2];
    let Metric { name, unit, .. } = metric;
    println!("  {name:36} {median:12.1} {unit:4}  [{least:.1} .. {most:.1}]");
}

impl SizeRuns {
    /// Prints the median and the range of each figure over all processes and runs.
    pub fn print(&self) {
        let SizeRuns { program, endpoints, runs, failed } = self;
        let bytes = runs.first().map_or(0, |run| run.list_bytes);
        let bytes_per_endpoint = bytes as f64 / *endpoints as f64;
        let processes = runs.first().map_or(0, |run| run.processes.len());
        println!("{program}:");
        println!(
            "  {endpoints} endpoints, {bytes} bytes ({bytes_per_endpoint:.1} each), processes {processes}, runs {}, failed {}",
            runs.len(),
            failed.len()
        );
        for metric in &METRICS {
            let all = runs.iter().flat_map(|run| &run.processes);
            print_values(metric, all.filter_map(metric.value).collect());
        }
        for error in failed {
            println!("  failed: {error}");
        }
    }
}

/// Writes all figures of all runs to a file.
pub fn write(
    path: &Path,
    machine: &Value,
    arguments: &Arguments,
    sizes: &[SizeRuns],
) -> Result<(), WriteError> {
    let report = json!({"machine": machine, "plan": plan(arguments), "sizes": sizes});
    write_file(path, &format!("{report:#}\n"))
}
