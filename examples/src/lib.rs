//! A toy fleet: what a pilot meets on its platform, small enough to read and to play with. No call is ever
//! really made; what the proxies meet is worked out from the tables they hold.

mod collector;
mod discovery;
mod endpoints;
mod relay;
mod world;

use std::cell::RefCell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;

use tokio::net::TcpListener;
use tokio::task::{AbortHandle, spawn_local};

pub use collector::{Collector, frame};
pub use relay::Fault;
pub use world::{Proxy, State, World};

pub struct Fleet {
    pub world: Rc<World>,
    pub discovery: SocketAddr,
    pub relay: SocketAddr,
    endpoints: RefCell<Vec<(String, AbortHandle)>>,
}

impl Fleet {
    /// Starts discovery and the relay at these addresses; all runs on the caller's thread.
    pub async fn start(discovery: SocketAddr, relay: SocketAddr, classes: &[&str]) -> io::Result<Fleet> {
        let world = Rc::new(World::new(classes));
        let (lists, calls) = (TcpListener::bind(discovery).await?, TcpListener::bind(relay).await?);
        let (discovery, relay) = (lists.local_addr()?, calls.local_addr()?);
        spawn_local(discovery::serve(lists, world.clone()));
        spawn_local(relay::serve(calls, world.clone()));
        Ok(Fleet { world, discovery, relay, endpoints: RefCell::default() })
    }

    /// Starts an endpoint, listed or not yet, at an address of its own.
    pub async fn endpoint(&self, name: &str, zone: &str, kind: &str, speed: f64) -> io::Result<()> {
        self.stop(name);
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        self.world.add_endpoint(name, zone, kind, speed, listener.local_addr()?);
        let task = spawn_local(endpoints::serve(listener, name.to_owned(), self.world.clone()));
        self.endpoints.borrow_mut().push((name.to_owned(), task.abort_handle()));
        Ok(())
    }

    /// Its address refuses connections from now on.
    pub fn stop(&self, name: &str) {
        self.endpoints.borrow_mut().retain(|(other, task)| {
            let stays = other != name;
            if !stays {
                task.abort();
            }
            stays
        });
        self.world.set_state(name, State::Down);
    }
}
