//! Injection of network faults: a TCP forwarder between a client and a server that breaks, silences or refuses
//! connections.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::Relaxed};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of the read buffer of each direction, in bytes.
const BUFFER_SIZE: usize = 16 << 10;

/// The faults that currently apply to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct LinkFaults {
    /// Number of times that all connections were broken. A connection that started at a lower number breaks.
    cuts: u64,
    /// Whether the link is silent: no bytes are forwarded, and no connection ends.
    silent: bool,
    /// Whether new connections are closed immediately.
    refuses: bool,
}

/// A TCP forwarder on loopback that injects faults.
pub struct FaultyLink {
    /// Address of the forwarder, to which clients connect instead of the server.
    pub address: SocketAddr,
    faults: watch::Sender<LinkFaults>,
    counts: Arc<Counts>,
}

#[derive(Default)]
struct Counts {
    connections: AtomicUsize,
    bytes: AtomicU64,
    /// Number of the byte at which the connection that carries it breaks; 0 for none.
    cut_at: AtomicU64,
}

impl FaultyLink {
    /// Starts a forwarder to a server. It runs until the Tokio runtime ends.
    pub async fn to(server: SocketAddr) -> io::Result<FaultyLink> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let faults = watch::Sender::new(LinkFaults::default());
        let counts = Arc::new(Counts::default());
        tokio::spawn(accept(listener, server, faults.subscribe(), counts.clone()));
        Ok(FaultyLink { address, faults, counts })
    }

    /// Breaks all open connections.
    pub fn cut(&self) {
        self.faults.send_modify(|faults| faults.cuts += 1);
    }

    /// Breaks a connection after this many further bytes on all connections. The connection that carries the last of
    /// them breaks there, in the middle of a message if that is where the byte is.
    pub fn cut_after(&self, bytes: u64) {
        self.counts.cut_at.store(self.counts.bytes.load(Relaxed) + bytes.max(1), Relaxed);
    }

    /// Cancels [`FaultyLink::cut_after`] if the byte has not been reached yet.
    pub fn cancel_cut(&self) {
        self.counts.cut_at.store(0, Relaxed);
    }

    /// Sets whether the link is silent. While it is, no bytes are forwarded, and no connection ends.
    pub fn set_silent(&self, silent: bool) {
        self.faults.send_modify(|faults| faults.silent = silent);
    }

    /// Sets whether the link refuses connections. While it does, new connections are closed immediately.
    pub fn set_refusing(&self, refuses: bool) {
        self.faults.send_modify(|faults| faults.refuses = refuses);
    }

    /// Returns the number of connections so far, including refused ones.
    pub fn connections(&self) -> usize {
        self.counts.connections.load(Relaxed)
    }

    /// Returns the number of bytes read so far in both directions.
    pub fn bytes(&self) -> u64 {
        self.counts.bytes.load(Relaxed)
    }
}

async fn accept(
    listener: TcpListener,
    server: SocketAddr,
    faults: watch::Receiver<LinkFaults>,
    counts: Arc<Counts>,
) {
    while let Ok((client, _)) = listener.accept().await {
        counts.connections.fetch_add(1, Relaxed);
        if !faults.borrow().refuses {
            tokio::spawn(forward(client, server, faults.clone(), counts.clone()));
        }
    }
}

/// Forwards the bytes of one connection until either side or a fault ends it.
async fn forward(
    client: TcpStream,
    server: SocketAddr,
    mut faults: watch::Receiver<LinkFaults>,
    counts: Arc<Counts>,
) {
    let Ok(server) = TcpStream::connect(server).await else { return };
    let _ = client.set_nodelay(true);
    let _ = server.set_nodelay(true);
    let cuts_at_start = faults.borrow_and_update().cuts;
    let (mut from_client, mut to_client) = client.into_split();
    let (mut from_server, mut to_server) = server.into_split();
    let mut upstream = vec![0; BUFFER_SIZE];
    let mut downstream = vec![0; BUFFER_SIZE];
    loop {
        let LinkFaults { silent, cuts, .. } = *faults.borrow();
        if cuts != cuts_at_start {
            return;
        }
        let (read, buffer, receiver) = tokio::select! {
            _ = faults.changed() => continue,
            read = from_client.read(&mut upstream), if !silent => (read, &upstream, &mut to_server),
            read = from_server.read(&mut downstream), if !silent => (read, &downstream, &mut to_client),
        };
        let Ok(length @ 1..) = read else { return };
        let cut = cut_within(length, &counts);
        let passed = cut.unwrap_or(length).min(length);
        if receiver.write_all(&buffer[..passed]).await.is_err() || cut.is_some() {
            return;
        }
    }
}

/// Counts bytes that were read. If the connection has to break within them, returns how many of them are still
/// forwarded; otherwise returns `None`.
fn cut_within(length: usize, counts: &Counts) -> Option<usize> {
    let before = counts.bytes.fetch_add(length as u64, Relaxed);
    let cut_at = counts.cut_at.load(Relaxed);
    if cut_at == 0 || before + (length as u64) < cut_at {
        return None;
    }
    counts.cut_at.store(0, Relaxed);
    Some(cut_at.saturating_sub(before) as usize)
}
