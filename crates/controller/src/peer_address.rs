//! The address of a peer, which a reload of the configuration may change while the program runs.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::sync::watch;
use tokio::time::sleep;

/// The delay between attempts to connect to a new address. It is short because the peer at the old address goes away soon.
const MOVE_RETRY_DELAY: Duration = Duration::from_millis(50);

/// The current address of a peer, with notification of its changes.
#[derive(Clone)]
pub struct PeerAddress(watch::Receiver<SocketAddr>);

impl PeerAddress {
    /// Creates the address from a channel whose latest value is the current address.
    pub fn new(latest: watch::Receiver<SocketAddr>) -> PeerAddress {
        PeerAddress(latest)
    }

    /// Returns the address in the last accepted configuration.
    pub fn current(&self) -> SocketAddr {
        *self.0.borrow()
    }

    /// Waits until the peer's address differs from `old`, and returns the connection that `open` makes to the new address.
    /// Failed attempts are repeated after a delay; until one succeeds, the caller keeps its current connection.
    pub async fn connect_after_move<Connection, E>(
        &mut self,
        old: SocketAddr,
        open: impl AsyncFn(SocketAddr) -> Result<Connection, E>,
    ) -> Connection {
        loop {
            let new = self.0.wait_for(|new| *new != old).await.map(|new| *new);
            // The sender is dropped only when the program ends, so this branch has nothing to return.
            let Ok(new) = new else { return std::future::pending().await };
            match open(new).await {
                Ok(connection) => return connection,
                Err(_) => sleep(MOVE_RETRY_DELAY).await,
            }
        }
    }
}
