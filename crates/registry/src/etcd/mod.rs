//! Client of the etcd v3 API over gRPC: KV.Range, Watch.Watch, Auth.Authenticate, Maintenance.Status.

mod channel;
mod codec;
#[cfg(test)]
mod tests;
mod value;
mod watch_stream;

use std::time::Duration;

use dahliaroad_membership::{Revision, Topology};
use tonic::transport::Endpoint;

use crate::client::{MemberAddress, RegistryClient};
use crate::follower::{RegistryRequest, RegistryResponse, RequestError, SnapshotPage};
use crate::proto::auth_client::AuthClient;
use crate::proto::kv_client::KvClient;
use crate::proto::maintenance_client::MaintenanceClient;
use crate::proto::{AuthenticateRequest, RangeRequest, StatusRequest};

use channel::{MAX_MESSAGE_LENGTH, MemberChannel};
use codec::EntryDecoder;
use watch_stream::WatchStream;

/// User and password of a login.
#[derive(Clone, Default)]
pub struct Credentials {
    /// Name of the user.
    pub user: String,
    /// Password of the user.
    pub password: String,
}

/// Client that follows all keys with a prefix.
pub struct EtcdClient {
    /// Name of the source in the operator's file, for log lines.
    pub source: String,
    /// The prefix. The rest of a key is the endpoint's name.
    pub prefix: Vec<u8>,
    /// Names of the zones and kinds that entries refer to.
    pub topology: Topology,
    /// The login, if the registry requires one.
    pub credentials: Option<Credentials>,
    /// Timeout of the TCP connection.
    pub connect_timeout: Duration,
}

/// A connection to one member.
pub struct Connection {
    channel: MemberChannel,
    watch: Option<WatchStream>,
}

impl EtcdClient {
    fn entry_decoder(&self) -> EntryDecoder<'_> {
        EntryDecoder { source: &self.source, prefix: &self.prefix, topology: &self.topology }
    }

    async fn authenticate(&self, connection: &mut Connection) -> Result<RegistryResponse, RequestError> {
        let Credentials { user, password } = self.credentials.clone().unwrap_or_default();
        let mut client = AuthClient::new(connection.channel.channel());
        let response = client.authenticate(AuthenticateRequest { name: user, password }).await;
        let token = response.map_err(|status| codec::request_error(&status))?.into_inner().token;
        let token = token
            .parse()
            .map_err(|_| RequestError::InvalidResponse("login response has no valid token".to_owned()))?;
        connection.channel.set_token(token);
        Ok(RegistryResponse::Authenticated)
    }

    async fn status(&self, connection: &mut Connection) -> Result<RegistryResponse, RequestError> {
        let mut client = MaintenanceClient::new(connection.channel.channel());
        let response = client.status(connection.channel.request(StatusRequest {})).await;
        let response = response.map_err(|status| codec::request_error(&status))?.into_inner();
        let header = codec::header(response.header)?;
        Ok(RegistryResponse::Status { header, has_leader: response.leader != 0 })
    }

    async fn read_page(
        &self,
        connection: &mut Connection,
        after: Option<Vec<u8>>,
        revision: Option<Revision>,
        limit: u32,
    ) -> Result<RegistryResponse, RequestError> {
        let range = RangeRequest {
            key: after.map_or_else(|| self.prefix.clone(), codec::next_key),
            range_end: codec::range_end(&self.prefix),
            limit: i64::from(limit),
            revision: revision.map_or(0, |revision| revision.0 as i64),
            serializable: false,
        };
        let client = KvClient::new(connection.channel.channel());
        let mut client = client.max_decoding_message_size(MAX_MESSAGE_LENGTH);
        let response = client.range(connection.channel.request(range)).await;
        let response = response.map_err(|status| codec::request_error(&status))?.into_inner();
        let decoder = self.entry_decoder();
        let entries = response.kvs.iter().filter_map(|pair| decoder.decode_put(pair)).collect();
        Ok(RegistryResponse::Page(SnapshotPage {
            header: codec::header(response.header)?,
            entries,
            last_key: response.kvs.last().map(|pair| pair.key.clone()),
            more: response.more,
        }))
    }

    async fn create_watch(
        &self,
        connection: &mut Connection,
        from: Revision,
    ) -> Result<RegistryResponse, RequestError> {
        connection.watch = Some(WatchStream::open(&connection.channel, &self.prefix, from).await?);
        self.receive_updates(connection).await
    }

    async fn receive_updates(&self, connection: &mut Connection) -> Result<RegistryResponse, RequestError> {
        let no_watch = || RequestError::Disconnected("connection has no watch".to_owned());
        let watch = connection.watch.as_mut().ok_or_else(no_watch)?;
        let response = watch.next_batch().await?;
        self.entry_decoder().decode_watch_response(response)
    }

    async fn request_progress(&self, connection: &mut Connection) -> Result<RegistryResponse, RequestError> {
        let no_requests =
            || RequestError::Disconnected("connection has no watch to request progress of".to_owned());
        let watch = connection.watch.as_ref().ok_or_else(no_requests)?;
        watch.request_progress()?;
        self.receive_updates(connection).await
    }
}

impl RegistryClient for EtcdClient {
    type Connection = Connection;

    async fn connect(&self, address: &MemberAddress) -> Result<Connection, RequestError> {
        let unreachable = |error: tonic::transport::Error| {
            let cause = std::error::Error::source(&error).map(|cause| format!(": {cause}"));
            RequestError::Unreachable(format!("{error}{}", cause.unwrap_or_default()))
        };
        let endpoint = Endpoint::from_shared(format!("http://{address}")).map_err(unreachable)?;
        let endpoint = endpoint.connect_timeout(self.connect_timeout);
        let channel = endpoint.connect().await.map_err(unreachable)?;
        Ok(Connection { channel: MemberChannel::new(channel), watch: None })
    }

    /// Logs in if credentials are set, otherwise requests the status. Receiving a token proves that a member answers.
    /// The follower requests its own token afterwards.
    async fn check(&self, connection: &mut Connection) -> Result<(), RequestError> {
        match self.credentials {
            Some(_) => self.authenticate(connection).await.map(drop),
            None => self.status(connection).await.map(drop),
        }
    }

    async fn send(&self, connection: &mut Connection, request: RegistryRequest) -> RegistryResponse {
        let result = match request {
            RegistryRequest::Authenticate => self.authenticate(connection).await,
            RegistryRequest::Status => self.status(connection).await,
            RegistryRequest::ReadPage { after, revision, limit } => {
                self.read_page(connection, after, revision, limit).await
            }
            RegistryRequest::CreateWatch { from } => self.create_watch(connection, from).await,
            RegistryRequest::ReceiveUpdates => self.receive_updates(connection).await,
            RegistryRequest::RequestProgress => self.request_progress(connection).await,
            RegistryRequest::Connect | RegistryRequest::BlockingRead { .. } => Err(RequestError::Unsupported),
        };
        result.into()
    }
}
