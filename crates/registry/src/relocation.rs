//! Relocation to other members of a registry. The new connection is established before the old one is closed.

use std::time::Duration;

use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use crate::client::{MemberAddress, RegistryClient};
use crate::follower::RequestError;

/// Time between two rounds of connection attempts to the new members.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// A connection to one of the new members.
pub(crate) struct Relocation<Connection> {
    /// The new members. The first one is the connected member.
    pub members: Vec<MemberAddress>,
    /// The connection to the first member.
    pub connection: Connection,
    /// Receiver of the addresses. The addresses of `members` are marked as seen, later ones are not.
    pub addresses: watch::Receiver<Vec<MemberAddress>>,
}

/// Waits until the registry's addresses change, then until one of the new members answers.
pub(crate) async fn next_relocation<C: RegistryClient>(
    client: &C,
    mut addresses: watch::Receiver<Vec<MemberAddress>>,
    connect_timeout: Duration,
) -> Relocation<C::Connection> {
    if addresses.changed().await.is_err() {
        return std::future::pending().await;
    }
    loop {
        let mut members = addresses.borrow_and_update().clone();
        for member in 0..members.len() {
            let attempt = connect_and_check(client, &members[member]);
            if let Ok(Ok(connection)) = timeout(connect_timeout, attempt).await {
                members.rotate_left(member);
                return Relocation { members, connection, addresses };
            }
        }
        tokio::select! {
            () = sleep(RETRY_INTERVAL) => {}
            _ = addresses.changed() => {}
        }
    }
}

async fn connect_and_check<C: RegistryClient>(
    client: &C,
    address: &MemberAddress,
) -> Result<C::Connection, RequestError> {
    let mut connection = client.connect(address).await?;
    client.check(&mut connection).await?;
    Ok(connection)
}
