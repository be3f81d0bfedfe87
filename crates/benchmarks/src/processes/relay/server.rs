//! The server for connections to the fake relay.

use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::interval;

use super::Relay;
use super::protocol::{KEEPALIVE, Request, SUBSCRIBE, SUBSCRIBED, committed_response};

const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Serves a relay on a new address until the caller's `LocalSet` ends. Returns the address.
pub async fn serve(relay: Rc<Relay>) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let relay = relay.clone();
            spawn_local(async move {
                // Other errors are ignored, as a connection breaks when its controller is killed. A request that
                // cannot be parsed is a fault.
                if let Err(error) = serve_connection(&relay, stream).await
                    && error.kind() == io::ErrorKind::InvalidData
                {
                    eprintln!(
                        "dahliaroad-benchmarks: the fake relay cannot parse a request and closes the connection: {error}"
                    );
                }
            });
        }
    });
    Ok(address)
}

async fn serve_connection(relay: &Relay, stream: TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut stream = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        if stream.read_line(&mut line).await? == 0 {
            return Ok(());
        }
        relay.traffic.add_sent(line.len());
        let request: Request = serde_json::from_str(&line)?;
        if request.method == SUBSCRIBE {
            return send_notifications(relay, &mut stream).await;
        }
        let count = relay.commit(request.params.orders);
        write(relay, &mut stream, &committed_response(&request.id, count)).await?;
    }
}

/// Sends the joined proxies, then each later notification, and a keepalive each second.
async fn send_notifications(relay: &Relay, stream: &mut BufReader<TcpStream>) -> io::Result<()> {
    let mut notifications = relay.subscribe();
    write(relay, stream, SUBSCRIBED).await?;
    for notification in relay.joined_notifications() {
        write(relay, stream, &notification).await?;
    }
    let mut keepalive = interval(KEEPALIVE_INTERVAL);
    loop {
        let notification = tokio::select! {
            notification = notifications.recv() => notification,
            _ = keepalive.tick() => Some(KEEPALIVE.to_owned()),
        };
        let Some(notification) = notification else { return Ok(()) };
        write(relay, stream, &notification).await?;
    }
}

async fn write(relay: &Relay, stream: &mut BufReader<TcpStream>, line: &str) -> io::Result<()> {
    relay.traffic.add_received(line.len());
    stream.write_all(line.as_bytes()).await
}
