//! Client of Consul's health API over HTTP/1.1 with blocking reads. Consul's documentation describes them under
//! "Blocking Queries", "Consistency Modes" and "Health: List Service Instances".

mod instance;
#[cfg(test)]
mod tests;

use std::time::Duration;

use bytes::Bytes;
use dahliaroad_membership::{EntryUpdate, Topology};
use http_body_util::{BodyExt, Empty, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap};
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::de::IgnoredAny;
use serde_json::value::RawValue;
use tokio::net::TcpStream;

use crate::client::{MemberAddress, RegistryClient};
use crate::follower::{BlockingSnapshot, RegistryRequest, RegistryResponse, RequestError};

/// Maximum length of a response body, in bytes. Longer responses are rejected before memory is allocated for them.
const MAX_RESPONSE_LENGTH: usize = 64 << 20;
/// The least average length of a response's instances in bytes. An instance with all its fields is longer, and memory is
/// taken for each element of a response as for an instance.
const MIN_MEAN_INSTANCE_LENGTH: usize = 32;
/// The number of instances that a response may have whatever their length.
const MAX_SHORT_INSTANCES: usize = 1024;
/// Maximum length of the part of an error response that is quoted, in bytes.
const MAX_QUOTED_ERROR_LENGTH: usize = 100;
/// Path of "Status: Get Raft Leader", a request that is cheap for the registry.
const LEADER_PATH: &str = "/v1/status/leader";

/// Client that follows the instances of one service.
pub struct ConsulClient {
    /// Name of the source in the operator's file, for log lines.
    pub source: String,
    /// Name of the service.
    pub service: String,
    /// Names of the zones and kinds that entries refer to.
    pub topology: Topology,
    /// Access token, if the registry requires one.
    pub token: Option<String>,
    /// Whether any server may answer, including one that lags behind the leader.
    pub allow_stale: bool,
}

/// A connection to one member.
pub struct Connection {
    sender: SendRequest<Empty<Bytes>>,
    address: MemberAddress,
}

/// A response whose body has been read.
struct FullResponse {
    status: StatusCode,
    headers: HeaderMap,
    body: Bytes,
}

impl ConsulClient {
    async fn get(&self, connection: &mut Connection, path: &str) -> Result<Response<Incoming>, RequestError> {
        let disconnected = |error: hyper::Error| RequestError::Disconnected(error.to_string());
        let request = Request::get(path).header(HOST, &connection.address);
        let request = match &self.token {
            Some(token) => request.header("x-consul-token", token),
            None => request,
        };
        let request = request.body(Empty::new());
        let request = request.map_err(|error| RequestError::Rejected(error.to_string()))?;
        connection.sender.ready().await.map_err(disconnected)?;
        connection.sender.send_request(request).await.map_err(disconnected)
    }

    async fn get_full(&self, connection: &mut Connection, path: &str) -> Result<FullResponse, RequestError> {
        let response = self.get(connection, path).await?;
        let status = response.status();
        let headers = response.headers().clone();
        let body = Limited::new(response.into_body(), MAX_RESPONSE_LENGTH).collect().await;
        let body = body.map_err(|error| match error.is::<LengthLimitError>() {
            true => RequestError::ResponseTooLarge,
            false => RequestError::Disconnected(error.to_string()),
        })?;
        Ok(FullResponse { status, headers, body: body.to_bytes() })
    }

    async fn blocking_read(
        &self,
        connection: &mut Connection,
        index: u64,
        wait: Duration,
        consistent: bool,
    ) -> Result<RegistryResponse, RequestError> {
        let mode = match (consistent, self.allow_stale) {
            (true, _) => "&consistent",
            (false, true) => "&stale",
            (false, false) => "",
        };
        let service = percent_encoded(&self.service);
        let wait = wait.as_millis();
        let path = format!("/v1/health/service/{service}?index={index}&wait={wait}ms{mode}");
        let response = self.get_full(connection, &path).await?;
        check_status(&response)?;
        self.decode_snapshot(&response).map(RegistryResponse::Snapshot)
    }

    fn decode_snapshot(&self, response: &FullResponse) -> Result<BlockingSnapshot, RequestError> {
        let headers = &response.headers;
        let no_index = || RequestError::InvalidResponse("response has no index".to_owned());
        let index = numeric_header(headers, "x-consul-index").ok_or_else(no_index)?;
        let has_leader = headers.get("x-consul-knownleader").is_none_or(|known| known == "true");
        let leader_contact_age =
            Duration::from_millis(numeric_header(headers, "x-consul-lastcontact").unwrap_or(0));
        let instances = split_instances(&response.body)?;
        let entries = instances.iter().filter_map(|instance| self.decode_instance(instance)).collect();
        Ok(BlockingSnapshot { index, has_leader, leader_contact_age, entries })
    }

    fn decode_instance(&self, instance: &RawValue) -> Option<EntryUpdate> {
        let decoded = instance::decode(instance.get(), &self.topology);
        if let Some(error) = decoded.error {
            let input = format!("{:.200}", instance.get());
            tracing::warn!(
                source = self.source,
                service = self.service,
                reason = %error,
                input,
                "registry: instance cannot be decoded; listed as unreadable if it has a valid name"
            );
        }
        decoded.update
    }
}

/// Splits the body of a response into its instances, which are not decoded yet.
fn split_instances(body: &[u8]) -> Result<Vec<&RawValue>, RequestError> {
    let invalid = |error: serde_json::Error| RequestError::InvalidResponse(error.to_string());
    // `IgnoredAny` is zero-sized, so this count of the elements allocates nothing.
    let count = serde_json::from_slice::<Vec<IgnoredAny>>(body).map_err(invalid)?.len();
    if count > MAX_SHORT_INSTANCES.max(body.len() / MIN_MEAN_INSTANCE_LENGTH) {
        return Err(RequestError::InvalidResponse(format!("{count} elements are too short for instances")));
    }
    serde_json::from_slice(body).map_err(invalid)
}

/// Returns the error that a response's status indicates, if any.
fn check_status(response: &FullResponse) -> Result<(), RequestError> {
    match response.status {
        StatusCode::OK => Ok(()),
        StatusCode::FORBIDDEN | StatusCode::UNAUTHORIZED => Err(RequestError::Unauthorised),
        status => {
            let quoted = &response.body[..response.body.len().min(MAX_QUOTED_ERROR_LENGTH)];
            let text = String::from_utf8_lossy(quoted);
            match text.to_lowercase().contains("no cluster leader") {
                true => Err(RequestError::NoLeader),
                false => Err(RequestError::Rejected(format!("{status}: {text}"))),
            }
        }
    }
}

fn numeric_header(headers: &HeaderMap, name: &str) -> Option<u64> {
    headers.get(name)?.to_str().ok()?.parse().ok()
}

/// Encodes text as a path segment: all characters except the unreserved ones (RFC 3986, section 2.3) are
/// percent-encoded.
fn percent_encoded(text: &str) -> String {
    let is_unreserved = |byte: u8| byte.is_ascii_alphanumeric() || b"-._~".contains(&byte);
    let encode = |byte: u8| match is_unreserved(byte) {
        true => char::from(byte).to_string(),
        false => format!("%{byte:02X}"),
    };
    text.bytes().map(encode).collect()
}

impl RegistryClient for ConsulClient {
    type Connection = Connection;

    async fn connect(&self, address: &MemberAddress) -> Result<Connection, RequestError> {
        let stream = TcpStream::connect(address).await;
        let stream = stream.map_err(|error| RequestError::Unreachable(error.to_string()))?;
        let _ = stream.set_nodelay(true);
        let handshake = http1::handshake(TokioIo::new(stream)).await;
        let (sender, connection) = handshake.map_err(|error| RequestError::Unreachable(error.to_string()))?;
        // The task ends when the sender is dropped.
        tokio::spawn(connection);
        Ok(Connection { sender, address: address.clone() })
    }

    async fn check(&self, connection: &mut Connection) -> Result<(), RequestError> {
        let response = self.get_full(connection, LEADER_PATH).await?;
        match response.status.is_success() {
            true => Ok(()),
            false => Err(RequestError::Rejected(response.status.to_string())),
        }
    }

    async fn send(&self, connection: &mut Connection, request: RegistryRequest) -> RegistryResponse {
        let result = match request {
            RegistryRequest::BlockingRead { index, wait, consistent } => {
                self.blocking_read(connection, index, wait, consistent).await
            }
            _ => Err(RequestError::Unsupported),
        };
        result.into()
    }
}
