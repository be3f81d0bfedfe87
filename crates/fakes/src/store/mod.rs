//! The state of a registry, shared by its servers. Leases expire, members lag, the history is compacted, and the
//! registry can be replaced or restored from a backup.

mod history;

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::sync::futures::Notified;
use tokio::time::{Instant, sleep};

use history::History;
pub use history::{Change, KeyRecord};

/// Interval between checks for expired leases.
const LEASE_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The id of the first cluster.
const FIRST_CLUSTER: u64 = 7;

/// Key that is written to create a revision to compact.
const COMPACTION_KEY: &str = "~compaction";

/// The state of one member of the registry.
#[derive(Clone, Copy, Debug, Default)]
pub struct Member {
    /// Number of revisions that the member is behind the leader.
    pub lag: u64,
    /// Whether the member has no leader.
    pub leaderless: bool,
}

/// A member's view of the registry at one time.
#[derive(Clone, Debug)]
pub struct MemberView {
    /// The cluster's id.
    pub cluster: u64,
    /// The last revision that the member has.
    pub revision: u64,
    /// Revisions before this one can no longer be read.
    pub compacted: u64,
    /// Whether the member has no leader.
    pub leaderless: bool,
}

/// The user that clients have to log in as.
struct User {
    name: String,
    password: String,
}

#[derive(Default)]
struct Inner {
    history: History,
    backup: Option<History>,
    /// The end of each lease, by the lease's id.
    leases: BTreeMap<u64, Instant>,
    members: Vec<Member>,
    /// Number of revisions that automatic compaction keeps; `None` if only explicit requests compact.
    kept_revisions: Option<u64>,
    user: Option<User>,
    /// The valid tokens.
    tokens: Vec<String>,
    /// Number of login attempts.
    logins: usize,
    reads: usize,
    /// Number of further reads that are each followed by a compaction.
    compact_after_reads: usize,
}

/// The state of a registry. Clones share the same state.
#[derive(Clone, Default)]
pub struct Store {
    inner: Arc<Mutex<Inner>>,
    changed: Arc<Notify>,
}

impl Store {
    /// Creates an empty registry with this number of members, at least one.
    pub fn new(members: usize) -> Store {
        let store = Store::default();
        let mut inner = store.lock();
        inner.members = vec![Member::default(); members.max(1)];
        inner.history = History::new(FIRST_CLUSTER);
        drop(inner);
        store
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(|poisoned| poisoned.into_inner())
    }

    fn change(&self, change: impl FnOnce(&mut History)) {
        let mut inner = self.lock();
        change(&mut inner.history);
        if let Some(kept) = inner.kept_revisions {
            let until = inner.history.revision.saturating_sub(kept);
            inner.history.compact(until);
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Writes a key. Returns the new revision.
    pub fn put(&self, name: &str, value: &str) -> u64 {
        self.put_all(&[(name, Some(value))])
    }

    /// Deletes a key. Returns the new revision.
    pub fn delete(&self, name: &str) -> u64 {
        self.put_all(&[(name, None)])
    }

    /// Writes all entries in one revision, like a transaction, and returns the revision. A value of `None` deletes the
    /// key.
    pub fn put_all(&self, entries: &[(&str, Option<&str>)]) -> u64 {
        let mut revision = 0;
        self.change(|history| {
            history.revision += 1;
            revision = history.revision;
            for (name, value) in entries {
                history.set(name, value.map(|value| value.as_bytes().to_vec()), 0);
            }
        });
        revision
    }

    /// Writes a key that is deleted when its lease ends. Writing another key with the same lease renews the lease.
    pub fn put_leased(&self, name: &str, value: &str, lease: u64, time_to_live: Duration) {
        self.lock().leases.insert(lease, Instant::now() + time_to_live);
        self.change(|history| {
            history.revision += 1;
            history.set(name, Some(value.as_bytes().to_vec()), lease);
        });
    }

    /// Expires leases at their ends, for as long as the future is polled.
    pub async fn expire_leases_periodically(self) {
        loop {
            sleep(LEASE_CHECK_INTERVAL).await;
            self.expire_leases();
        }
    }

    /// Deletes the keys of leases that have ended, in one revision.
    fn expire_leases(&self) {
        let now = Instant::now();
        let mut inner = self.lock();
        let ended: Vec<u64> =
            inner.leases.iter().filter(|(_, end)| **end <= now).map(|(lease, _)| *lease).collect();
        inner.leases.retain(|lease, _| !ended.contains(lease));
        let expired = inner.history.keys.iter().filter(|(_, key)| ended.contains(&key.lease));
        let names: Vec<String> = expired.map(|(name, _)| name.clone()).collect();
        drop(inner);
        if !names.is_empty() {
            let deletions: Vec<(&str, Option<&str>)> =
                names.iter().map(|name| (name.as_str(), None)).collect();
            self.put_all(&deletions);
        }
    }

    /// Makes revisions before `until` unreadable.
    pub fn compact(&self, until: u64) {
        self.change(|history| history.compact(until));
    }

    /// Keeps only this number of revisions from now on.
    pub fn retain_revisions(&self, revisions: u64) {
        self.lock().kept_revisions = Some(revisions);
        self.change(|_| {});
    }

    /// Makes each of the next `reads` reads be followed by a change and a compaction up to that change.
    pub fn compact_after_reads(&self, reads: usize) {
        self.lock().compact_after_reads = reads;
    }

    /// Sets the state of the member with this number, counted from 0.
    pub fn set_member(&self, index: usize, member: Member) {
        self.lock().members[index] = member;
        self.changed.notify_waiters();
    }

    /// Takes a backup, which replaces the previous backup.
    pub fn back_up(&self) {
        let mut inner = self.lock();
        inner.backup = Some(inner.history.clone());
    }

    /// Restores the backup if there is one: as a new cluster, or with the same cluster id.
    pub fn restore(&self, as_new_cluster: bool) {
        let mut inner = self.lock();
        let Some(backup) = inner.backup.clone() else { return };
        let cluster = inner.history.cluster + u64::from(as_new_cluster);
        inner.history = backup;
        inner.history.cluster = cluster;
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Replaces the registry with a new cluster that has the same keys, each created again.
    pub fn replace(&self) {
        let mut inner = self.lock();
        let old = std::mem::take(&mut inner.history);
        inner.history = History::new(old.cluster + 1);
        for (name, key) in old.keys {
            inner.history.revision += 1;
            inner.history.set(&name, Some(key.value), 0);
        }
        drop(inner);
        self.changed.notify_waiters();
    }

    /// Requires clients to log in as this user from now on.
    pub fn set_user(&self, name: &str, password: &str) {
        let name = name.to_owned();
        let password = password.to_owned();
        self.lock().user = Some(User { name, password });
    }

    /// Invalidates all tokens.
    pub fn expire_tokens(&self) {
        self.lock().tokens.clear();
    }

    /// Logs in. Returns a token; `None` if the name or the password is wrong, or if no user is set.
    pub fn log_in(&self, name: &str, password: &str) -> Option<String> {
        let mut inner = self.lock();
        inner.logins += 1;
        let user = inner.user.as_ref()?;
        if user.name != name || user.password != password {
            return None;
        }
        let token = format!("token.{}", inner.logins);
        inner.tokens.push(token.clone());
        Some(token)
    }

    /// Whether a client with this token, or without a token, may read.
    pub fn is_authorized(&self, token: Option<&str>) -> bool {
        let inner = self.lock();
        inner.user.is_none() || token.is_some_and(|token| inner.tokens.iter().any(|known| known == token))
    }

    /// Returns the number of reads so far.
    pub fn reads(&self) -> usize {
        self.lock().reads
    }

    /// Returns the view of the member with this number, counted from 0.
    pub fn view(&self, member: usize) -> MemberView {
        let inner = self.lock();
        let Member { lag, leaderless } = inner.members[member];
        let History { cluster, revision, compacted, .. } = inner.history;
        MemberView { cluster, revision: revision.saturating_sub(lag), compacted, leaderless }
    }

    /// Returns the leader's view.
    pub fn leader(&self) -> MemberView {
        let inner = self.lock();
        let History { cluster, revision, compacted, .. } = inner.history;
        MemberView { cluster, revision, compacted, leaderless: false }
    }

    /// Reads a page of at most `limit` keys with a prefix, starting at the name `from`, as of a revision. Counts as a
    /// read.
    pub fn read(&self, prefix: &str, from: &str, revision: u64, limit: usize) -> Page {
        let mut inner = self.lock();
        inner.reads += 1;
        let all = inner.history.keys_at(revision);
        let mut keys: Vec<(String, KeyRecord)> = all
            .range(from.to_owned()..)
            .filter(|(name, _)| name.starts_with(prefix))
            .take(limit.saturating_add(1))
            .map(|(name, key)| (name.clone(), key.clone()))
            .collect();
        let more = keys.len() > limit;
        keys.truncate(limit);
        let compact = inner.compact_after_reads > 0;
        inner.compact_after_reads -= usize::from(compact);
        drop(inner);
        if compact {
            let revision = self.put(COMPACTION_KEY, "");
            self.compact(revision);
        }
        Page { keys, more }
    }

    /// Returns the changes of keys with a prefix in the revisions `revision` to `until`, both included.
    pub fn changes(&self, prefix: &str, revision: u64, until: u64) -> Vec<Change> {
        self.lock().history.changes(prefix, revision, until)
    }

    /// Returns all keys with their records.
    pub fn keys(&self) -> BTreeMap<String, KeyRecord> {
        self.lock().history.keys.clone()
    }

    /// Returns a future that waits for the next change. Call this before reading the state, so that no change is
    /// missed.
    pub fn changed(&self) -> Notified<'_> {
        self.changed.notified()
    }
}

/// A page of the keys that a read requested.
pub struct Page {
    /// The keys, sorted by name.
    pub keys: Vec<(String, KeyRecord)>,
    /// Whether there are further keys after these.
    pub more: bool,
}
