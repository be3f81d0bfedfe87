//! The discovery server. It responds with the complete endpoint list, or to a long poll with the changes of the list.

use std::io;
use std::rc::Rc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::world::World;

/// Upper bound of a poll's wait. A longer requested wait is shortened to it.
const MAX_WAIT_MS: u64 = 60_000;

/// Serves one connection until it ends.
pub async fn serve(stream: TcpStream, world: Rc<World>) {
    let service = service_fn(|request: Request<Incoming>| {
        let query = request.uri().query().unwrap_or_default().to_owned();
        respond(query, world.clone())
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn respond(query: String, world: Rc<World>) -> io::Result<Response<Full<Bytes>>> {
    world.list_requests.set(world.list_requests.get() + 1);
    let after = query_number(&query, "after");
    let first = world.first_requested_version.get().or(Some(after));
    world.first_requested_version.set(first);
    if let Some(version) = after {
        let wait_ms = query_number(&query, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        // If the list does not change in time, the response is an empty list.
        let _ = timeout(Duration::from_millis(wait_ms), wait_for_newer_list(&world, version)).await;
    }
    if world.discovery_silent.get() {
        std::future::pending::<()>().await;
    }
    if world.disconnect_next_discovery_response.take() {
        return Err(io::ErrorKind::ConnectionReset.into());
    }
    let response_override = world.response_override.borrow().clone();
    let body = response_override.unwrap_or_else(|| world.list(after).to_string());
    Ok(Response::new(Full::from(body)))
}

/// Waits until the endpoint list is newer than `version`.
async fn wait_for_newer_list(world: &World, version: u64) {
    while world.list_version.get() <= version {
        world.state_changed.notified().await;
    }
}

/// Returns a numeric parameter of the query string.
fn query_number(query: &str, name: &str) -> Option<u64> {
    let value = query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('='));
    value.and_then(|value| value.parse().ok())
}
