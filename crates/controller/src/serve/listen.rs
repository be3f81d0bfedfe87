//! Binds the listen address. The previous process may still hold the address while it shuts down.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use dahliaroad_pacing::Backoff;
use tokio::net::TcpListener;
use tokio::time::{Instant, sleep};

use super::ServeError;
use crate::random::{RandomSeed, RandomStream};

const INITIAL_BACKOFF: Duration = Duration::from_millis(20);
const MAX_BACKOFF: Duration = Duration::from_millis(320);
/// How long to retry while the address is in use. A controller has 30 s to be ready.
const ADDRESS_IN_USE_TIMEOUT: Duration = Duration::from_secs(20);

/// Binds the address. While the address is in use, retries until [`ADDRESS_IN_USE_TIMEOUT`] has passed. Any other error is
/// returned immediately.
pub async fn listen(address: SocketAddr, random: RandomSeed) -> Result<TcpListener, ServeError> {
    let random = random.stream(RandomStream::Listen);
    let mut backoff = Backoff::equal_jitter(INITIAL_BACKOFF, MAX_BACKOFF, random);
    let deadline = Instant::now() + ADDRESS_IN_USE_TIMEOUT;
    let mut is_logged = false;
    loop {
        let reason = match TcpListener::bind(address).await {
            Ok(listener) => return Ok(listener),
            Err(reason) => reason,
        };
        if reason.kind() != io::ErrorKind::AddrInUse || Instant::now() >= deadline {
            return Err(ServeError::Listen { address, reason });
        }
        if !is_logged {
            is_logged = true;
            tracing::warn!(%address, %reason, "listen address is not available; retrying with backoff");
        }
        sleep(backoff.next_delay()).await;
    }
}
