//! HTTP client of discovery: one connection with one request at a time. Every wait has a time limit.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt, Empty};
use hyper::body::{Body, Incoming};
use hyper::client::conn::http1::{self, SendRequest};
use hyper::{Request, StatusCode, header};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::{Instant, timeout, timeout_at};

use super::endpoint_list::EndpointList;

/// The maximum time to connect. The agent is on this machine, so a connection that takes longer will not succeed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// The maximum time from the end of a request's [wait](ListRequest::wait()) to the head of its response.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(800);
/// The maximum time from the end of a request's wait to the end of the list. By the protocol, a change that discovery's
/// watch withholds for longer than this counts as delivered.
const LIST_TIMEOUT: Duration = Duration::from_millis(2000);
/// The maximum size of a response body, far above the size of any valid endpoint list.
const MAX_LIST_BYTES: usize = 8 << 20;
/// The path of the endpoint list.
const LIST_PATH: &str = "/registry/instances";

/// Why a request for discovery's list failed.
#[derive(Debug, thiserror::Error)]
pub enum DiscoveryError {
    /// The agent did not accept the connection within [`CONNECT_TIMEOUT`].
    #[error("connect timed out")]
    ConnectTimeout,
    /// The connection failed.
    #[error(transparent)]
    Connect(io::Error),
    /// The connection broke, or the response is not valid HTTP.
    #[error(transparent)]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error(transparent)]
    InvalidRequest(#[from] hyper::http::Error),
    /// The head of the response did not arrive within [`RESPONSE_TIMEOUT`] after the wait.
    #[error("response timed out")]
    ResponseTimeout,
    /// The status of the response is not 200.
    #[error("unexpected response status {0}")]
    Status(StatusCode),
    /// The body did not end within [`LIST_TIMEOUT`] after the wait.
    #[error("response body timed out")]
    ListTimeout,
    /// The body is longer than [`MAX_LIST_BYTES`].
    #[error("response body exceeds {MAX_LIST_BYTES} bytes")]
    ListTooLong,
    /// The body is not an endpoint list.
    #[error(transparent)]
    InvalidList(#[from] serde_json::Error),
    /// The revision went back, and the response contains only changes. The changes between the two revisions are unknown.
    #[error("revision went back to {revision} in a list of changes; the complete list is needed")]
    RevisionWentBack { revision: u64 },
}

/// An open connection to the agent.
pub struct Connection {
    address: SocketAddr,
    sender: SendRequest<Empty<Bytes>>,
}

impl Connection {
    /// Connects to the agent within [`CONNECT_TIMEOUT`].
    pub async fn open(address: SocketAddr) -> Result<Connection, DiscoveryError> {
        let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address))
            .await
            .map_err(|_| DiscoveryError::ConnectTimeout)?
            .map_err(DiscoveryError::Connect)?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
        // This task ends when the sender is dropped.
        tokio::task::spawn_local(connection);
        Ok(Connection { address, sender })
    }

    /// The address of the agent.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

/// Connects to an agent and fetches its complete list.
pub async fn connect_and_fetch(address: SocketAddr) -> Result<(Connection, EndpointList), DiscoveryError> {
    let mut connection = Connection::open(address).await?;
    let list = ListRequest::complete().send(&mut connection).await?;
    Ok((connection, list))
}

/// A request for the complete endpoint list or for its changes.
pub struct ListRequest {
    path: String,
    /// The maximum time that the agent waits for a change before it answers.
    wait: Duration,
}

impl ListRequest {
    /// A request for the complete list, which the agent answers immediately.
    pub fn complete() -> ListRequest {
        ListRequest { path: LIST_PATH.to_owned(), wait: Duration::ZERO }
    }

    /// A request for the changes after a revision. The agent answers when there is a change, or after `wait`.
    pub fn changes_after(revision: u64, wait: Duration) -> ListRequest {
        let path = format!("{LIST_PATH}?after={revision}&wait_ms={}", wait.as_millis());
        ListRequest { path, wait }
    }

    /// The maximum time that the agent waits for a change before it answers.
    pub fn wait(&self) -> Duration {
        self.wait
    }

    /// Sends the request and decodes the list in its response.
    pub async fn send(&self, connection: &mut Connection) -> Result<EndpointList, DiscoveryError> {
        let list_deadline = Instant::now() + self.wait + LIST_TIMEOUT;
        let request = Request::get(&self.path)
            .header(header::HOST, connection.address.to_string())
            .body(Empty::new())?;
        let response = timeout(self.wait + RESPONSE_TIMEOUT, connection.sender.send_request(request))
            .await
            .map_err(|_| DiscoveryError::ResponseTimeout)??;
        if response.status() != StatusCode::OK {
            return Err(DiscoveryError::Status(response.status()));
        }
        let body = timeout_at(list_deadline, read_body(response.into_body()))
            .await
            .map_err(|_| DiscoveryError::ListTimeout)??;
        Ok(serde_json::from_slice(&body)?)
    }
}

/// Reads a body frame by frame into one buffer, so that a long list is never held twice in memory.
async fn read_body(mut body: Incoming) -> Result<Vec<u8>, DiscoveryError> {
    let announced_length = body.size_hint().lower().min(MAX_LIST_BYTES as u64);
    let mut text = Vec::with_capacity(announced_length as usize);
    while let Some(frame) = body.frame().await {
        let Ok(data) = frame?.into_data() else { continue };
        if text.len() + data.len() > MAX_LIST_BYTES {
            return Err(DiscoveryError::ListTooLong);
        }
        text.extend_from_slice(&data);
    }
    Ok(text)
}

#[cfg(test)]
mod tests;
