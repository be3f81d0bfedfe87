//! A fake registry of either protocol, with a link in front of each member.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicUsize, Ordering::Relaxed};

use dahliaroad_demo::Fleet;
use dahliaroad_fakes::{FaultyLink, Store, consul, etcd};
use serde_json::json;

const MEMBERS: usize = 3;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum RegistryKind {
    Etcd,
    Consul,
}

/// The registry, with a link in front of each member, and the operator's file that names the links.
pub struct Registry {
    pub kind: RegistryKind,
    pub store: Store,
    pub links: Vec<FaultyLink>,
    pub file: PathBuf,
}

impl Registry {
    pub async fn start(kind: RegistryKind) -> Registry {
        static FILES: AtomicUsize = AtomicUsize::new(0);
        let name = format!("options-{}-{}.xml", std::process::id(), FILES.fetch_add(1, Relaxed));
        let file = std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(name);
        let mut registry = Registry { kind, store: Store::new(MEMBERS), links: Vec::new(), file };
        registry.open_members().await;
        registry
    }

    /// Moves all members to new addresses and returns the old links, which work until the test cuts them.
    pub async fn open_members(&mut self) -> Vec<FaultyLink> {
        let loopback: SocketAddr = "127.0.0.1:0".parse().unwrap();
        let mut links = Vec::new();
        for member in 0..MEMBERS {
            let server = match self.kind {
                RegistryKind::Etcd => {
                    etcd::serve(self.store.clone(), member, loopback, usize::MAX).await.unwrap()
                }
                RegistryKind::Consul => consul::serve(self.store.clone(), member, loopback).await.unwrap(),
            };
            links.push(FaultyLink::to(server).await.unwrap());
        }
        let old = std::mem::replace(&mut self.links, links);
        std::fs::write(&self.file, self.options()).unwrap();
        old
    }

    fn options(&self) -> String {
        let (protocol, prefix, services) = match self.kind {
            RegistryKind::Etcd => ("watch", " prefix=\"fleet/\"", ""),
            RegistryKind::Consul => ("blocking-read", "", "<service name=\"fleet\"/>"),
        };
        let member = |link: &FaultyLink| format!("<member address=\"{}\"/>", link.address);
        let members: String = self.links.iter().map(member).collect();
        format!(
            r#"<dahliaroad xmlns="urn:dahliaroad:options:1">
              <fleet><pace hold="10ms" longest-hold="20ms"/></fleet>
              <sources discovery="off"><registry name="main" protocol="{protocol}"{prefix}>{members}{services}
                <limits connect="200ms" answer="300ms" nudge="300ms" first-pause="5ms" longest-pause="200ms"
                  rereads="100" rereads-per-minute="6000" wait="500ms" floor="5ms"/>
              </registry></sources></dahliaroad>"#,
        )
    }

    pub fn put(&self, fleet: &Fleet, name: &str, state: &str) {
        self.put_started(fleet, name, state, Some(fleet.world.endpoints.borrow()[name].started_ms));
    }

    /// Puts an endpoint's entry with this start, or without any.
    pub fn put_started(&self, fleet: &Fleet, name: &str, state: &str, started_ms: Option<u64>) {
        let endpoints = fleet.world.endpoints.borrow();
        let endpoint = &endpoints[name];
        let mut value = json!({"address": endpoint.address, "zone": endpoint.zone, "kind": endpoint.kind, "weight": endpoint.capacity,
            "state": state});
        if let Some(started_ms) = started_ms {
            value["started_ms"] = json!(started_ms);
        }
        self.store.put(&format!("fleet/{name}"), &value.to_string());
    }

    pub fn delete(&self, name: &str) {
        self.store.delete(&format!("fleet/{name}"));
    }
}
