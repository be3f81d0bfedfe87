//! Accepts connections at an address until its server moves to another address and abandons this one.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, sleep_until};

use crate::world::World;

/// How long connections stay open after their address was abandoned.
const CONNECTION_CLOSE_DELAY: Duration = Duration::from_millis(1500);

/// How long an abandoned address still accepts connections. Without this time, a connection that the operating system
/// established before the address was abandoned, but that was not accepted yet, would be reset.
const LATE_ACCEPT_WINDOW: Duration = Duration::from_millis(300);

/// Accepts and serves connections. The address is abandoned when the sender of `address_guard` is dropped. It accepts
/// connections for [`LATE_ACCEPT_WINDOW`] after that, and open connections are closed [`CONNECTION_CLOSE_DELAY`] after
/// it was abandoned.
pub async fn accept(
    listener: TcpListener,
    mut address_guard: watch::Receiver<()>,
    world: Rc<World>,
    serve: impl AsyncFn(TcpStream, Rc<World>) + Clone + 'static,
) {
    let mut connections = JoinSet::new();
    let mut accept_until = None;
    loop {
        let deadline = accept_until.unwrap_or_else(Instant::now);
        tokio::select! {
            biased;
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { return };
                let world = world.clone();
                let serve = serve.clone();
                connections.spawn_local(async move { serve(stream, world).await });
                while connections.try_join_next().is_some() {}
            }
            _ = address_guard.changed(), if accept_until.is_none() => {
                accept_until = Some(Instant::now() + LATE_ACCEPT_WINDOW);
            }
            () = sleep_until(deadline), if accept_until.is_some() => break,
        }
    }
    drop(listener);
    sleep(CONNECTION_CLOSE_DELAY - LATE_ACCEPT_WINDOW).await;
    world.abandoned_addresses.set(world.abandoned_addresses.get() + 1);
}
