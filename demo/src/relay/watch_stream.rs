//! The watch stream, which notifies a controller instance of proxies that join, leave or acknowledge orders.

use std::io;
use std::time::Duration;

use serde_json::json;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::interval;

use crate::world::World;

const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
const KEEPALIVE: &str = r#"{"jsonrpc":"2.0","method":"ping"}"#;

/// Serves one subscription until its connection is closed.
pub async fn serve(stream: &mut BufReader<TcpStream>, world: &World) -> io::Result<()> {
    let (sender, mut lines) = mpsc::unbounded_channel();
    stream.write_all(b"{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":true}\n").await?;
    for (node, proxy) in world.proxies.borrow().iter().filter(|(_, proxy)| proxy.joined) {
        let joined = json!({"jsonrpc": "2.0", "method": "hello", "params": proxy.announcement(*node)});
        let _ = sender.send(Some(joined.to_string()));
    }
    world.watch_streams.borrow_mut().push(sender);
    world.subscriptions.set(world.subscriptions.get() + 1);
    world.state_changed.notify_waiters();
    let mut keepalives = interval(KEEPALIVE_INTERVAL);
    loop {
        let line = tokio::select! {
            line = lines.recv() => line.flatten(),
            _ = keepalives.tick() => Some(KEEPALIVE.to_owned()),
        };
        let Some(line) = line.filter(|_| !world.relay_disconnects.get()) else { return Ok(()) };
        if !world.relay_silent.get() {
            stream.write_all(format!("{line}\n").as_bytes()).await?;
        }
    }
}
