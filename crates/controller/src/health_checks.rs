//! HTTP health checks of endpoints. Each check uses its own connection and reports exactly one outcome.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use dahliaroad::HealthCheckOutcome;
use dahliaroad_runtime::{EndpointProcess, HealthCheckRequest, Inbox};
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, mpsc};
use tokio::time::{Instant, timeout};

use crate::counters;
use crate::startup::ResourceLimits;

/// The path that health checks request.
const HEALTH_PATH: &str = "/health/live";
/// The maximum time to the response. It is longer than the wait in a healthy endpoint's queue, and shorter than the time
/// until the next check is worth sending.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(600);
/// The response time below which a 503 counts as unavailable. A later 503 is caused by the endpoint's own time-out for
/// requests that wait in its queue, and counts as no answer.
const UNAVAILABLE_RESPONSE_TIME_LIMIT: Duration = Duration::from_millis(300);
/// The maximum number of checks in flight. Each check holds a descriptor, and all checks together may hold a quarter of the
/// controller's descriptors.
const MAX_IN_FLIGHT: usize = 128;
/// The maximum length of what is read of a response at once, and so of its head, in bytes. All checks together may read this
/// much for each.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// Runs the requested checks until the channel of requests is closed.
pub async fn run(
    mut checks: mpsc::Receiver<HealthCheckRequest>,
    connect_timeout: Duration,
    limits: ResourceLimits,
    inbox: Inbox,
) {
    // A connect time-out of zero, from settings without one, would make every check fail.
    let connect_timeout = if connect_timeout.is_zero() { RESPONSE_TIMEOUT } else { connect_timeout };
    let in_flight = Arc::new(Semaphore::new(MAX_IN_FLIGHT.min(limits.descriptors_per_use())));
    while let Some(HealthCheckRequest { endpoint, process, address }) = checks.recv().await {
        let Ok(permit) = in_flight.clone().acquire_owned().await else { return };
        let inbox = inbox.clone();
        tokio::task::spawn_local(async move {
            let outcome = check_process(&process, address, connect_timeout).await;
            drop(permit);
            let generation = process.generation();
            counters::HEALTH_CHECKS_PASSED.add(usize::from(outcome == HealthCheckOutcome::Passed));
            inbox
                .send(Box::new(move |runtime, now| {
                    runtime.health_check_finished(now, endpoint, generation, outcome)
                }))
                .await;
        });
    }
}

/// Checks an endpoint, unless its process has ended while the check waited.
async fn check_process(
    process: &EndpointProcess,
    address: SocketAddr,
    connect_timeout: Duration,
) -> HealthCheckOutcome {
    if process.has_ended() {
        return HealthCheckOutcome::Rejected;
    }
    counters::HEALTH_CHECKS_SENT.add(1);
    check(address, connect_timeout).await
}

/// Checks one endpoint and returns the outcome.
async fn check(address: SocketAddr, connect_timeout: Duration) -> HealthCheckOutcome {
    let Ok(Ok(stream)) = timeout(connect_timeout, TcpStream::connect(address)).await else {
        return HealthCheckOutcome::Failed;
    };
    let handshake = http1::Builder::new().max_buf_size(MAX_HEAD_BYTES).handshake(TokioIo::new(stream));
    let Ok((mut sender, connection)) = handshake.await else {
        return HealthCheckOutcome::Failed;
    };
    let request = Request::get(HEALTH_PATH).header(header::HOST, address.to_string());
    let Ok(request) = request.body(Empty::<Bytes>::new()) else { return HealthCheckOutcome::Failed };
    let response = async {
        let mut response = std::pin::pin!(sender.send_request(request));
        tokio::select! {
            biased;
            response = &mut response => response.ok(),
            // The connection may end before the response is received here, if the endpoint closes it right after its answer.
            // At its end the connection has passed on everything that it read, so the response is still awaited.
            _ = connection => response.await.ok(),
        }
    };
    let sent_at = Instant::now();
    match timeout(RESPONSE_TIMEOUT, response).await {
        Ok(Some(response)) => outcome_of(response.status(), sent_at.elapsed()),
        Ok(None) => HealthCheckOutcome::Failed,
        Err(_) => HealthCheckOutcome::TimedOut,
    }
}

fn outcome_of(status: StatusCode, response_time: Duration) -> HealthCheckOutcome {
    match status {
        StatusCode::OK => HealthCheckOutcome::Passed,
        StatusCode::SERVICE_UNAVAILABLE if response_time < UNAVAILABLE_RESPONSE_TIME_LIMIT => {
            HealthCheckOutcome::Unavailable
        }
        StatusCode::SERVICE_UNAVAILABLE => HealthCheckOutcome::TimedOut,
        _ => HealthCheckOutcome::Failed,
    }
}

#[cfg(test)]
mod tests;
