//! The machine that runs the benchmark, as described by `/proc`.

use std::fs::read_to_string;

use serde::Serialize;

/// The description of the machine that is printed with the figures.
#[derive(Clone, Debug, Serialize)]
pub struct Machine {
    /// The processor's model.
    pub processor: String,
    /// The number of cores of all processors.
    pub cores: usize,
    /// Total memory, in MB.
    pub memory_mb: u64,
    /// Memory that is available to programs, in MB.
    pub available_mb: u64,
    /// The mean number of threads that ran or waited for a core in the last minute. Other load slows a measurement
    /// down.
    pub load_average: f64,
}

impl Machine {
    /// Reads the description. Fields that cannot be read are empty or zero.
    pub fn read() -> Machine {
        let processors = read_to_string("/proc/cpuinfo").unwrap_or_default();
        let memory = read_to_string("/proc/meminfo").unwrap_or_default();
        Machine {
            processor: field(&processors, "model name").unwrap_or_default().to_owned(),
            cores: processors.lines().filter(|line| line.starts_with("processor")).count(),
            memory_mb: megabytes(&memory, "MemTotal"),
            available_mb: megabytes(&memory, "MemAvailable"),
            load_average: load_average(),
        }
    }
}

/// Returns the value of the first `name: value` line.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let fields = text.lines().filter_map(|line| line.split_once(':'));
    let mut named = fields.filter(|(key, _)| key.trim() == name);
    named.next().map(|(_, value)| value.trim())
}

fn load_average() -> f64 {
    let text = read_to_string("/proc/loadavg").unwrap_or_default();
    text.split_whitespace().next().and_then(|minute| minute.parse().ok()).unwrap_or(0.0)
}

fn megabytes(text: &str, name: &str) -> u64 {
    let kilobytes = field(text, name).and_then(|value| value.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}
