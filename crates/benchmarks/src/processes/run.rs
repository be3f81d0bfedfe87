//! One run at one size: the start, and then three phases: at rest, with changes, and with changes and reports.

use std::path::Path;
use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use tokio::time::{Instant, MissedTickBehavior, interval, timeout_at};

use super::arguments::Arguments;
use super::controllers::{Controllers, RunError, StartTimes, Usage};
use crate::units::milliseconds;

/// The stream of random numbers for changes. The entries are drawn from the seed's first stream.
const CHANGES_STREAM: u64 = 1;

/// The figures of one process in one run. The JSON keys are those that published figures quote.
#[derive(Clone, Debug, Default, Serialize)]
pub struct ProcessFigures {
    /// Time from the start until the process answered.
    pub ready_ms: f64,
    /// Time from the start until the process ordered its first table.
    pub first_table_ms: f64,
    /// Processor time up to the first table.
    #[serde(rename = "hear_processor_ms")]
    pub first_table_processor_ms: f64,
    /// Processor time until the end of start-up, when the process has sent all orders of its start.
    #[serde(rename = "settled_processor_ms")]
    pub start_up_processor_ms: f64,
    /// Peak memory until the end of start-up.
    #[serde(rename = "settled_peak_mb")]
    pub start_up_peak_mb: f64,
    /// Weights ordered until the end of start-up.
    #[serde(rename = "lines_at_start")]
    pub start_up_weights: f64,
    /// Tables at the end of start-up.
    pub tables: f64,
    /// Proxies bound at the end of start-up.
    pub proxies_bound: f64,
    /// Processor time a second at rest.
    pub rest_processor_ms: f64,
    /// Processor time a second with changes.
    pub changes_processor_ms: f64,
    /// Processor time a second with changes and reports.
    pub reports_processor_ms: f64,
    /// Bytes received a second with changes and reports.
    pub received_bytes: f64,
    /// Bytes sent a second with changes and reports.
    pub sent_bytes: f64,
    /// Peak memory in the whole run.
    pub peak_mb: f64,
    /// Time until the process answered after all processes were killed and started again simultaneously.
    #[serde(rename = "again_ready_ms")]
    pub restart_ready_ms: Option<f64>,
    /// Time until the first table of the process after the simultaneous restart.
    #[serde(rename = "again_first_table_ms")]
    pub restart_first_table_ms: Option<f64>,
}

/// The figures of one run.
#[derive(Clone, Debug, Serialize)]
pub struct RunFigures {
    /// The length of the serialized complete list.
    pub list_bytes: usize,
    /// The figures of each process.
    pub processes: Vec<ProcessFigures>,
}

/// The resource usage of a process a second, over an interval.
struct Rates {
    processor_ms: f64,
    received_bytes: f64,
    sent_bytes: f64,
}

impl Rates {
    fn between(before: &Usage, after: &Usage, time: Duration) -> Rates {
        let seconds = time.as_secs_f64();
        let bytes = |before: u64, after: u64| (after - before) as f64 / seconds;
        Rates {
            processor_ms: milliseconds(after.processor.saturating_sub(before.processor)) / seconds,
            received_bytes: bytes(before.bytes.received, after.bytes.received),
            sent_bytes: bytes(before.bytes.sent, after.bytes.sent),
        }
    }
}

/// The sequence of changes of entries, drawn from the seed. An entry that was drained is the next to be restarted.
struct Changes {
    random: ChaCha8Rng,
    draining: Option<usize>,
}

impl Changes {
    fn new(seed: u64) -> Changes {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        random.set_stream(CHANGES_STREAM);
        Changes { random, draining: None }
    }

    /// Returns the index of the entry that changes next.
    fn next(&mut self, endpoints: usize) -> usize {
        let drawn = self.random.random_range(0..endpoints);
        match self.draining.take() {
            Some(draining) => draining,
            None => *self.draining.insert(drawn),
        }
    }
}

/// The state of a run.
struct Run<'a> {
    arguments: &'a Arguments,
    endpoints: usize,
    controllers: Controllers,
    changes: Changes,
}

impl Run<'_> {
    /// Runs one phase, with or without changes. Returns the resource usage a second of each process.
    async fn phase(&mut self, changing: bool) -> Result<Vec<Rates>, RunError> {
        let before = self.controllers.usage()?;
        let begin = Instant::now();
        let end = begin + Duration::from_secs_f64(self.arguments.seconds);
        let mut tick = interval(Duration::from_secs_f64(1.0 / self.arguments.changes));
        tick.set_missed_tick_behavior(MissedTickBehavior::Burst);
        while timeout_at(end, tick.tick()).await.is_ok() {
            if changing {
                let index = self.changes.next(self.endpoints);
                self.controllers.list.change(index);
            }
        }
        let time = begin.elapsed();
        let after = self.controllers.usage()?;
        let both = before.iter().zip(&after);
        Ok(both.map(|(before, after)| Rates::between(before, after, time)).collect())
    }

    /// Starts all processes, and waits until they have sent all orders of their start.
    async fn start(&mut self, program: &Path) -> Result<Vec<ProcessFigures>, RunError> {
        let start_times = self.controllers.start(program).await?;
        self.controllers.wait_until_quiet().await;
        let mut figures: Vec<ProcessFigures> = start_times.iter().map(start_figures).collect();
        for (figures, usage) in figures.iter_mut().zip(self.controllers.usage()?) {
            figures.start_up_processor_ms = milliseconds(usage.processor);
            figures.start_up_peak_mb = usage.peak_memory_mb;
        }
        for (figures, controller) in figures.iter_mut().zip(&self.controllers.controllers) {
            let relay = controller.relay();
            figures.start_up_weights = relay.ordered().weights as f64;
            figures.tables = relay.tables() as f64;
            figures.proxies_bound = relay.bound_proxies() as f64;
        }
        Ok(figures)
    }

    async fn measure(&mut self, program: &Path) -> Result<Vec<ProcessFigures>, RunError> {
        let mut figures = self.start(program).await?;
        for (figures, rates) in figures.iter_mut().zip(self.phase(false).await?) {
            figures.rest_processor_ms = rates.processor_ms;
        }
        for (figures, rates) in figures.iter_mut().zip(self.phase(true).await?) {
            figures.changes_processor_ms = rates.processor_ms;
        }
        self.controllers.start_reports()?;
        for (figures, rates) in figures.iter_mut().zip(self.phase(true).await?) {
            figures.reports_processor_ms = rates.processor_ms;
            figures.received_bytes = rates.received_bytes;
            figures.sent_bytes = rates.sent_bytes;
        }
        for (figures, usage) in figures.iter_mut().zip(self.controllers.usage()?) {
            figures.peak_mb = usage.peak_memory_mb;
        }
        self.controllers.kill().await?;
        if self.arguments.restart {
            self.measure_restart(program, &mut figures).await?;
        }
        Ok(figures)
    }

    /// Starts all processes again simultaneously, and kills them.
    async fn measure_restart(
        &mut self,
        program: &Path,
        figures: &mut [ProcessFigures],
    ) -> Result<(), RunError> {
        let start_times = self.controllers.start(program).await?;
        for (figures, times) in figures.iter_mut().zip(start_times) {
            figures.restart_ready_ms = Some(milliseconds(times.ready));
            figures.restart_first_table_ms = Some(milliseconds(times.first_table));
        }
        self.controllers.kill().await
    }
}

fn start_figures(times: &StartTimes) -> ProcessFigures {
    ProcessFigures {
        ready_ms: milliseconds(times.ready),
        first_table_ms: milliseconds(times.first_table),
        first_table_processor_ms: milliseconds(times.processor),
        ..ProcessFigures::default()
    }
}

/// Measures one program once at one size.
pub async fn run(arguments: &Arguments, endpoints: usize, program: &Path) -> Result<RunFigures, RunError> {
    let controllers = Controllers::new(arguments, endpoints).await?;
    let list_bytes = controllers.list.complete().len();
    let changes = Changes::new(arguments.seed);
    let mut run = Run { arguments, endpoints, controllers, changes };
    let processes = run.measure(program).await?;
    Ok(RunFigures { list_bytes, processes })
}
