//! Server on the controller's listen address: receives load and demand reports from collectors and answers liveness probes
//! from anyone.
//!
//! A connection counts as a collector's once its peer has named a zone of the deployment. Until then the connection is
//! unidentified: it gets little memory and little time, and the oldest one is closed when a new connection needs its place.

mod connection;
mod connection_limit;
mod decode_schedule;
mod frame;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad_runtime::Inbox;
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{spawn_local, yield_now};
use tokio::time::sleep;

use crate::counters;
use crate::known_names::KnownNames;
use crate::startup::ResourceLimits;
use connection::CollectorConnection;
use connection_limit::{ConnectionLimit, ConnectionPermit};
use decode_schedule::DecodeSchedule;

/// The delay after a failed accept. The likely reason is a lack of file descriptors, and some are released soon.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// An accepted connection and the address of its peer.
struct AcceptedConnection {
    stream: TcpStream,
    peer: SocketAddr,
}

/// Accepts connections and serves each in its own task. Never returns.
pub async fn listen(
    listener: TcpListener,
    known_names: Rc<KnownNames>,
    limits: ResourceLimits,
    inbox: Inbox,
) {
    let limit = ConnectionLimit::new(limits);
    let schedule = Rc::new(DecodeSchedule::new());
    loop {
        let accepted = accept(&listener).await;
        counters::CONNECTIONS_ACCEPTED.add(1);
        limit.make_room_for_unidentified();
        let permit = limit.permit();
        let id = permit.id();
        let task = spawn_local(serve(accepted, permit, schedule.clone(), known_names.clone(), inbox.clone()));
        limit.add_unidentified(id, task.abort_handle());
        // Lets a connection that was just evicted close, and the new one start to read, before the next accept.
        yield_now().await;
    }
}

/// Accepts the next connection. Retries after [`ACCEPT_RETRY_DELAY`] if the accept fails.
async fn accept(listener: &TcpListener) -> AcceptedConnection {
    loop {
        match listener.accept().await {
            Ok((stream, peer)) => {
                let _ = stream.set_nodelay(true);
                return AcceptedConnection { stream, peer };
            }
            Err(error) => {
                tracing::warn!(reason = %error, "collectors: accept failed; retrying after a delay");
                sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Serves one connection to its end, then counts and logs the error that closed it.
async fn serve(
    accepted: AcceptedConnection,
    permit: ConnectionPermit,
    schedule: Rc<DecodeSchedule>,
    known_names: Rc<KnownNames>,
    inbox: Inbox,
) {
    let AcceptedConnection { stream, peer } = accepted;
    let mut connection = CollectorConnection::new(stream, peer, permit, schedule, known_names, inbox);
    let Err(error) = connection.run().await else { return };
    let closed_connections = if error.is_timeout() {
        &counters::CONNECTIONS_CLOSED_SILENT
    } else {
        &counters::CONNECTIONS_CLOSED_BROKEN
    };
    closed_connections.add(1);
    counters::INPUTS_REJECTED.add(usize::from(error.is_bad_input()));
    tracing::warn!(%peer, length = error.frame_length(), reason = %error, "collectors: connection closed");
}
