//! The versioned endpoint list that discovery serves to all controllers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeSet;
use std::rc::Rc;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::timeout;

use super::entries::Entry;
use super::traffic::Traffic;

/// The longest time that a request may wait for a change.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// The change of one entry, and the list's version after it.
struct Change {
    version: u64,
    index: usize,
}

/// The serialized complete list, and its version.
struct Rendered {
    version: u64,
    text: Rc<str>,
}

/// The list and its history of changes. The complete list is serialized at most once for each version.
pub struct EndpointList {
    entries: RefCell<Vec<Entry>>,
    changes: RefCell<Vec<Change>>,
    version: Cell<u64>,
    rendered: RefCell<Option<Rendered>>,
    changed: Notify,
    /// The bytes that controllers received and sent on connections to discovery.
    pub traffic: Traffic,
}

/// A controller's request for the complete list, or for the changes after a version. A request for changes waits at
/// most `wait` for a change.
#[derive(Debug, Default, PartialEq)]
pub struct ListRequest {
    after: Option<u64>,
    wait: Duration,
}

impl ListRequest {
    /// Parses the query of a request's path.
    pub fn of(path: &str) -> ListRequest {
        let query = path.split_once('?').map_or("", |(_, query)| query);
        let number = |name: &str| -> Option<u64> {
            query.split('&').find_map(|part| part.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
        };
        let wait = Duration::from_millis(number("wait_ms").unwrap_or(0)).min(MAX_WAIT);
        ListRequest { after: number("after"), wait }
    }
}

impl EndpointList {
    /// Creates a list with version 1.
    pub fn new(entries: Vec<Entry>) -> EndpointList {
        EndpointList {
            entries: RefCell::new(entries),
            changes: RefCell::default(),
            version: Cell::new(1),
            rendered: RefCell::default(),
            changed: Notify::new(),
            traffic: Traffic::default(),
        }
    }

    /// Changes the entry with this index: drains it, or restarts it if it is draining.
    pub fn change(&self, index: usize) {
        let mut entries = self.entries.borrow_mut();
        let entry = &mut entries[index];
        if entry.is_draining() {
            entry.restart();
        } else {
            entry.drain();
        }
        let version = self.version.get() + 1;
        self.version.set(version);
        self.changes.borrow_mut().push(Change { version, index });
        self.changed.notify_waiters();
    }

    fn message(&self, complete: bool, entries: &[String]) -> Rc<str> {
        let version = self.version.get();
        let entries = entries.join(",");
        format!(r#"{{"seq":{version},"whole":{complete},"hosts":[{entries}]}}"#).into()
    }

    /// Returns the serialized complete list.
    pub fn complete(&self) -> Rc<str> {
        let mut rendered = self.rendered.borrow_mut();
        let version = self.version.get();
        if let Some(current) = rendered.as_ref().filter(|rendered| rendered.version == version) {
            return current.text.clone();
        }
        let entries: Vec<String> = self.entries.borrow().iter().map(Entry::text).collect();
        let text = self.message(true, &entries);
        *rendered = Some(Rendered { version, text: text.clone() });
        text
    }

    /// Returns the serialized changes after a version.
    fn changes_after(&self, version: u64) -> Rc<str> {
        let changes = self.changes.borrow();
        let first = changes.partition_point(|change| change.version <= version);
        let indices: BTreeSet<usize> = changes[first..].iter().map(|change| change.index).collect();
        let entries = self.entries.borrow();
        let changed: Vec<String> = indices.into_iter().map(|index| entries[index].text()).collect();
        self.message(false, &changed)
    }

    /// Returns the answer to a request. Waits for a change for at most the request's wait time.
    pub async fn answer(&self, request: &ListRequest) -> Rc<str> {
        let known_versions = 1..=self.version.get();
        let Some(version) = request.after.filter(|version| known_versions.contains(version)) else {
            return self.complete();
        };
        let newer = async {
            while self.version.get() <= version {
                self.changed.notified().await;
            }
        };
        // After a timeout, the answer has no changes.
        let _ = timeout(request.wait, newer).await;
        self.changes_after(version)
    }
}
