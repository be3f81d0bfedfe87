//! The machine that the measurement runs on, and the processor time of one thread.

use std::time::Duration;

use rustix::time::{ClockId, clock_gettime};

/// What is printed beside the figures.
#[derive(Clone, Debug)]
pub struct Machine {
    pub cores: usize,
    pub processor: String,
    pub memory_bytes: u64,
}

impl Machine {
    pub fn read() -> Machine {
        let cores = std::thread::available_parallelism().map_or(1, |cores| cores.get());
        Machine { cores, processor: processor_name(), memory_bytes: memory_bytes() }
    }

    /// What a measurement may hold at most: half of the memory.
    pub fn budget_bytes(&self) -> u64 {
        self.memory_bytes / 2
    }
}

/// The first value of a key in one of the system's files of `key: value` lines.
fn system_value(file: &str, key: &str) -> Option<String> {
    let text = std::fs::read_to_string(file).ok()?;
    let line = text.lines().find(|line| line.starts_with(key))?;
    Some(line.split_once(':')?.1.trim().to_owned())
}

fn processor_name() -> String {
    system_value("/proc/cpuinfo", "model name").unwrap_or_else(|| "unknown processor".to_owned())
}

fn memory_bytes() -> u64 {
    let kilobytes = system_value("/proc/meminfo", "MemTotal");
    let kilobytes = kilobytes.and_then(|value| value.trim_end_matches("kB").trim().parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}

/// Processor time that this thread has used so far.
pub fn thread_processor_time() -> Duration {
    let time = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(time.tv_sec as u64, time.tv_nsec as u32)
}
