//! A server of the etcd v3 API over a [`Store`]. It implements the part of the API that followers use.

mod messages;
mod watch;

use std::io;
use std::net::SocketAddr;

use dahliaroad_registry::proto::auth_server::{Auth, AuthServer};
use dahliaroad_registry::proto::kv_server::{Kv, KvServer};
use dahliaroad_registry::proto::maintenance_server::{Maintenance, MaintenanceServer};
use dahliaroad_registry::proto::watch_server::WatchServer;
use dahliaroad_registry::proto::{
    AuthenticateRequest, AuthenticateResponse, RangeRequest, RangeResponse, StatusRequest, StatusResponse,
};
use tokio::net::TcpListener;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status};

use crate::store::{MemberView, Store};
use messages::{header, key_value, prefix};

/// Estimated size of a key in a response without its name and value, in bytes.
const KEY_OVERHEAD: usize = 16;

/// One member's server.
#[derive(Clone)]
struct MemberServer {
    store: Store,
    member: usize,
    /// Maximum size of a response to a range request, in bytes. Larger responses are refused, as the message size limit
    /// of a client or server would do.
    max_response_bytes: usize,
}

/// Serves one member on an address until the Tokio runtime ends. Returns the bound address.
pub async fn serve(
    store: Store,
    member: usize,
    address: SocketAddr,
    max_response_bytes: usize,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let member_server = MemberServer { store: store.clone(), member, max_response_bytes };
    let server = Server::builder()
        .add_service(KvServer::new(member_server.clone()))
        .add_service(WatchServer::new(member_server.clone()))
        .add_service(AuthServer::new(member_server.clone()))
        .add_service(MaintenanceServer::new(member_server));
    tokio::spawn(server.serve_with_incoming(TcpIncoming::from(listener).with_nodelay(Some(true))));
    tokio::spawn(store.expire_leases_periodically());
    Ok(address)
}

impl MemberServer {
    fn view(&self) -> MemberView {
        self.store.view(self.member)
    }

    fn check_token<T>(&self, request: &Request<T>) -> Result<(), Status> {
        let token = request.metadata().get("authorization").and_then(|token| token.to_str().ok());
        if self.store.is_authorized(token) {
            return Ok(());
        }
        match token {
            None => Err(Status::invalid_argument("etcdserver: user name is empty")),
            Some(_) => Err(Status::unauthenticated("etcdserver: invalid auth token")),
        }
    }

    /// Returns the view that a range request reads. A linearizable request reads the leader's view, and fails if
    /// there is no leader.
    fn readable_view(&self, range: &RangeRequest) -> Result<MemberView, Status> {
        let mut view = self.view();
        if range.serializable {
            return Ok(view);
        }
        if view.leaderless {
            return Err(Status::unavailable("etcdserver: no leader"));
        }
        view.revision = self.store.leader().revision;
        Ok(view)
    }
}

/// Returns the revision that a range request reads: the last one if the request names none.
fn requested_revision(range: &RangeRequest, view: &MemberView) -> Result<u64, Status> {
    let revision = if range.revision > 0 { range.revision as u64 } else { view.revision };
    if revision < view.compacted {
        return Err(Status::out_of_range("etcdserver: mvcc: required revision has been compacted"));
    }
    if revision > view.revision {
        return Err(Status::out_of_range("etcdserver: mvcc: required revision is a future revision"));
    }
    Ok(revision)
}

#[tonic::async_trait]
impl Kv for MemberServer {
    async fn range(&self, request: Request<RangeRequest>) -> Result<Response<RangeResponse>, Status> {
        self.check_token(&request)?;
        let range = request.into_inner();
        let view = self.readable_view(&range)?;
        let revision = requested_revision(&range, &view)?;
        let limit = if range.limit > 0 { range.limit as usize } else { usize::MAX };
        let from = String::from_utf8_lossy(&range.key).into_owned();
        let page = self.store.read(&prefix(&range.range_end), &from, revision, limit);
        let bytes: usize =
            page.keys.iter().map(|(name, key)| name.len() + key.value.len() + KEY_OVERHEAD).sum();
        if bytes > self.max_response_bytes {
            return Err(Status::resource_exhausted("grpc: trying to send message larger than max"));
        }
        Ok(Response::new(RangeResponse {
            header: header(&view, self.member),
            more: page.more,
            count: page.keys.len() as i64,
            kvs: page.keys.into_iter().map(|(name, key)| key_value(&name, key)).collect(),
        }))
    }
}

#[tonic::async_trait]
impl Auth for MemberServer {
    async fn authenticate(
        &self,
        request: Request<AuthenticateRequest>,
    ) -> Result<Response<AuthenticateResponse>, Status> {
        let AuthenticateRequest { name, password } = request.into_inner();
        let token = self.store.log_in(&name, &password).ok_or_else(|| {
            Status::invalid_argument("etcdserver: authentication failed, invalid user ID or password")
        })?;
        Ok(Response::new(AuthenticateResponse { header: header(&self.view(), self.member), token }))
    }
}

#[tonic::async_trait]
impl Maintenance for MemberServer {
    async fn status(&self, request: Request<StatusRequest>) -> Result<Response<StatusResponse>, Status> {
        self.check_token(&request)?;
        let view = self.view();
        Ok(Response::new(StatusResponse {
            header: header(&view, self.member),
            version: "3.5.0".into(),
            leader: u64::from(!view.leaderless),
            ..StatusResponse::default()
        }))
    }
}
