//! The latency from a change in a registry to the order at the relay, its cost, and the recovery time after a broken
//! connection.

mod arguments;
mod deployment;
mod error;
mod observations;
mod operator_file;
mod phases;
mod records;

use std::error::Error;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde_json::{Value, json};
use tokio::time::{Instant, sleep};

pub use arguments::Arguments;
use deployment::Deployment;
use error::RegistryError;
use phases::{Recovery, change_steadily, recover_from_break};

/// The pause between the start and the first change. The orders of the start arrive within it, and are not counted.
const REST_BEFORE_CHANGES: Duration = Duration::from_secs(2);
/// The pause after the last change. The orders that follow the last changes arrive within it, and are counted.
const REST_AFTER_CHANGES: Duration = Duration::from_secs(1);

/// Measures one source and prints the figures. The JSON keys are those that published figures quote.
pub async fn measure(arguments: Arguments) -> Result<(), Box<dyn Error>> {
    let figures = figures(&arguments).await?;
    if arguments.json {
        println!("{figures}");
    } else {
        println!("{figures:#}");
    }
    Ok(())
}

async fn figures(arguments: &Arguments) -> Result<Value, RegistryError> {
    let begin = Instant::now();
    let (mut deployment, controller) = Deployment::start(arguments).await?;
    let first_list = begin.elapsed();
    sleep(REST_BEFORE_CHANGES).await;
    deployment.record_requests();
    let processor_before = controller.processor_time()?;
    let weights_before = deployment.observations.weights;
    let changes = change_steadily(&mut deployment, arguments).await;
    let processor = controller.processor_time()? - processor_before;
    sleep(REST_AFTER_CHANGES).await;
    deployment.record_requests();
    let observations = &deployment.observations;
    let mut figures = json!({
        "source": format!("{:?}", arguments.source),
        "endpoints": arguments.endpoints,
        "changes_per_second": arguments.changes,
        "seconds": arguments.seconds,
        "changes": changes,
        "first_list_ms": first_list.as_millis() as u64,
        "drain_to_order": quantiles(&observations.drains),
        "new_life_to_order": quantiles(&observations.starts),
        "never_ordered": observations.awaited(),
        "lines_ordered": observations.weights - weights_before,
        "processor_of_one_core": rounded(processor.as_secs_f64() / arguments.seconds, 1000.0),
    });
    if arguments.source.is_registry() && arguments.changes_during_break > 0 {
        deployment.observations.clear_awaited();
        let resumed = recover_from_break(&mut deployment, arguments, false).await?;
        let reread = recover_from_break(&mut deployment, arguments, true).await?;
        figures["after_a_break"] = recovery(&resumed);
        figures["after_compaction"] = recovery(&reread);
    }
    figures["peak_memory_mb"] = json!(rounded(controller.peak_memory_mb()?, 10.0));
    Ok(figures)
}

/// Rounds a value to a multiple of `1 / parts`.
fn rounded(value: f64, parts: f64) -> f64 {
    (value * parts).round() / parts
}

/// Returns quantiles of a histogram of microseconds, in milliseconds with two decimals.
fn quantiles(histogram: &Histogram<u64>) -> Value {
    let at = |quantile| (histogram.value_at_quantile(quantile) as f64 / 10.0).round() / 100.0;
    json!({"count": histogram.len(), "p50_ms": at(0.5), "p99_ms": at(0.99), "max_ms": at(1.0)})
}

fn recovery(recovery: &Recovery) -> Value {
    json!({"ms": recovery.time.as_millis() as u64, "bytes": recovery.bytes})
}
