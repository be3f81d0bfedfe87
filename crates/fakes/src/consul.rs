//! A server of Consul's health API with blocking reads over HTTP, backed by a [`Store`]. A service's instances are the
//! keys `SERVICE/ID`, whose values have the same format as with etcd.

use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::header::HeaderValue;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde_json::{Value, json};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, timeout_at};

use crate::store::{KeyRecord, MemberView, Store};

/// Delay before the next attempt after a connection could not be accepted.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(10);
/// Time since the last contact with a leader that a member without a leader reports, in milliseconds.
const LEADERLESS_LAST_CONTACT_MS: u64 = 60_000;

/// Serves one member on an address until the Tokio runtime ends. Returns the bound address.
pub async fn serve(store: Store, member: usize, address: SocketAddr) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(store.clone().expire_leases_periodically());
    tokio::spawn(accept(listener, store, member));
    Ok(address)
}

async fn accept(listener: TcpListener, store: Store, member: usize) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        let _ = stream.set_nodelay(true);
        tokio::spawn(serve_connection(stream, store.clone(), member));
    }
}

async fn serve_connection(stream: TcpStream, store: Store, member: usize) {
    let service = service_fn(|request| {
        let store = store.clone();
        async move { Ok::<_, Infallible>(respond(request, &store, member).await) }
    });
    let _ = http1::Builder::new().serve_connection(TokioIo::new(stream), service).await;
}

async fn respond(request: Request<Incoming>, store: &Store, member: usize) -> Response<Full<Bytes>> {
    if request.uri().path() == "/v1/status/leader" {
        return response(StatusCode::OK, &store.view(member), "\"127.0.0.1:8300\"".into());
    }
    let token = request.headers().get("x-consul-token").and_then(|token| token.to_str().ok());
    if !store.is_authorized(token) {
        return response(StatusCode::FORBIDDEN, &store.view(member), "Permission denied".into());
    }
    let read = BlockingRead::of(&request);
    read.respond(store, member).await
}

/// A read of one service's instances. It is answered when the index differs from the client's, or after the maximum
/// wait.
struct BlockingRead {
    service: String,
    /// The index that the client knows; 0 if it knows none.
    index: u64,
    max_wait: Duration,
    /// Whether a member without a leader may answer.
    stale: bool,
    /// Whether the leader has to answer, if there is one.
    consistent: bool,
}

impl BlockingRead {
    fn of(request: &Request<Incoming>) -> BlockingRead {
        let path = request.uri().path();
        let query = request.uri().query().unwrap_or_default();
        let index = parameter(query, "index").and_then(|index| index.parse().ok());
        let wait_ms = parameter(query, "wait").and_then(|wait| wait.strip_suffix("ms")?.parse().ok());
        BlockingRead {
            service: path.strip_prefix("/v1/health/service/").unwrap_or_default().to_owned(),
            index: index.unwrap_or(0),
            max_wait: Duration::from_millis(wait_ms.unwrap_or(0)),
            stale: parameter(query, "stale").is_some(),
            consistent: parameter(query, "consistent").is_some(),
        }
    }

    async fn respond(&self, store: &Store, member: usize) -> Response<Full<Bytes>> {
        let deadline = Instant::now() + self.max_wait;
        loop {
            let changed = store.changed();
            let mut view = store.view(member);
            if self.consistent && !view.leaderless {
                view = store.leader();
            }
            if view.leaderless && !self.stale {
                return response(StatusCode::INTERNAL_SERVER_ERROR, &view, "No cluster leader".into());
            }
            if self.is_answered_by(&view) || timeout_at(deadline, changed).await.is_err() {
                return self.entries(store, &view);
            }
        }
    }

    /// Whether the view answers this read. A lower index answers it too: it comes from another or a restored cluster,
    /// which the client has to detect.
    fn is_answered_by(&self, view: &MemberView) -> bool {
        self.index == 0 || view.revision != self.index
    }

    fn entries(&self, store: &Store, view: &MemberView) -> Response<Full<Bytes>> {
        let prefix = format!("{}/", self.service);
        let page = store.read(&prefix, &prefix, view.revision, usize::MAX);
        let entries: Vec<Value> =
            page.keys.iter().map(|(name, key)| entry(&self.service, &name[prefix.len()..], key)).collect();
        response(StatusCode::OK, view, Value::Array(entries).to_string())
    }
}

fn parameter<'a>(query: &'a str, name: &str) -> Option<&'a str> {
    query.split('&').find_map(|part| {
        let (key, value) = part.split_once('=').unwrap_or((part, ""));
        (key == name).then_some(value)
    })
}

/// Converts a key to an instance in the API's format. A value that cannot be parsed is returned as the port, so that a
/// follower rejects it.
fn entry(service: &str, name: &str, key: &KeyRecord) -> Value {
    let Ok(value) = serde_json::from_slice::<Value>(&key.value) else {
        let port = String::from_utf8_lossy(&key.value);
        return json!({"Service": {"ID": name, "Service": service, "Port": port}});
    };
    let address = value["address"].as_str().unwrap_or_default();
    let (ip, port) = address.rsplit_once(':').unwrap_or((address, "0"));
    let status = if value["state"] == "aside" { "critical" } else { "passing" };
    let weight = value["weight"].as_f64().unwrap_or(1.0);
    json!({
        "Node": {"Node": "n", "Address": ip, "Datacenter": "dc1"},
        "Service": {"ID": name, "Service": service, "Address": ip, "Port": port.parse::<u16>().unwrap_or(0),
            "Meta": metadata(&value), "Weights": {"Passing": weight, "Warning": 1.0},
            "CreateIndex": key.created, "ModifyIndex": key.modified},
        "Checks": [{"CheckID": "c", "Status": status}],
    })
}

fn metadata(value: &Value) -> Value {
    let kind = value["kind"].as_str().unwrap_or_default();
    let mut metadata = json!({"zone": value["zone"], "kind": kind});
    if value["state"] == "draining" {
        metadata["drain"] = json!("true");
    }
    if let Some(started_ms) = value["started_ms"].as_f64() {
        metadata["started_ms"] = json!(started_ms.to_string());
    }
    metadata
}

fn response(status: StatusCode, view: &MemberView, body: String) -> Response<Full<Bytes>> {
    let known_leader = if view.leaderless { "false" } else { "true" };
    let last_contact_ms = if view.leaderless { LEADERLESS_LAST_CONTACT_MS } else { 0 };
    let mut response = Response::new(Full::from(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert("x-consul-index", view.revision.into());
    headers.insert("x-consul-knownleader", HeaderValue::from_static(known_leader));
    headers.insert("x-consul-lastcontact", last_contact_ms.into());
    response
}
