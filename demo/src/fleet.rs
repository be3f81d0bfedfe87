//! The demo's servers: discovery, the relay and the endpoints.

use std::cell::{Cell, RefCell};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::{AbortHandle, spawn_local};

use crate::world::{EndpointState, World};
use crate::{discovery, endpoints, relay, serving};

/// Running servers that share one [`World`]. They run on the caller's thread, in its [`LocalSet`](tokio::task::LocalSet).
pub struct Fleet {
    /// The state that the servers share.
    pub world: Rc<World>,
    /// The current address of discovery.
    pub discovery: Cell<SocketAddr>,
    /// The current address of the relay.
    pub relay: Cell<SocketAddr>,
    /// Dropped when discovery and the relay move; their old addresses are then abandoned.
    address_guard: RefCell<watch::Sender<()>>,
    endpoints: RefCell<Vec<RunningEndpoint>>,
}

struct RunningEndpoint {
    name: String,
    server: AbortHandle,
}

impl Fleet {
    /// Starts discovery and the relay at these addresses. `classes` are the names of the request classes.
    pub async fn start(discovery: SocketAddr, relay: SocketAddr, classes: &[&str]) -> io::Result<Fleet> {
        let fleet = Fleet {
            world: Rc::new(World::new(classes)),
            discovery: Cell::new(discovery),
            relay: Cell::new(relay),
            address_guard: RefCell::default(),
            endpoints: RefCell::default(),
        };
        fleet.move_to(discovery, relay).await?;
        Ok(fleet)
    }

    /// Moves discovery and the relay to other addresses and abandons the old ones.
    pub async fn move_to(&self, discovery: SocketAddr, relay: SocketAddr) -> io::Result<()> {
        let discovery_listener = TcpListener::bind(discovery).await?;
        let relay_listener = TcpListener::bind(relay).await?;
        self.discovery.set(discovery_listener.local_addr()?);
        self.relay.set(relay_listener.local_addr()?);
        let guard = watch::Sender::new(());
        let world = &self.world;
        spawn_local(serving::accept(discovery_listener, guard.subscribe(), world.clone(), discovery::serve));
        spawn_local(serving::accept(relay_listener, guard.subscribe(), world.clone(), relay::serve));
        self.address_guard.replace(guard);
        Ok(())
    }

    /// Starts an endpoint at a free port and adds it to the endpoint list. A running endpoint of the same name is
    /// stopped. `capacity` is in requests per second.
    pub async fn start_endpoint(&self, name: &str, zone: &str, kind: &str, capacity: f64) -> io::Result<()> {
        self.stop_endpoint(name);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.world.add_endpoint(name, zone, kind, capacity, listener.local_addr()?);
        let task = spawn_local(endpoints::serve(listener, name.to_owned(), self.world.clone()));
        let running = RunningEndpoint { name: name.to_owned(), server: task.abort_handle() };
        self.endpoints.borrow_mut().push(running);
        Ok(())
    }

    /// Stops an endpoint. Its address refuses connections from then on.
    pub fn stop_endpoint(&self, name: &str) {
        for stopped in self.endpoints.borrow_mut().extract_if(.., |endpoint| endpoint.name == name) {
            stopped.server.abort();
        }
        self.world.set_state(name, EndpointState::Down);
    }
}
