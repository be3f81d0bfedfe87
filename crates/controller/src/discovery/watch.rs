//! Follows discovery's endpoint list: fetches the list once, then watches its changes without a gap, across failures of the
//! agent and changes of its address.

use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;

use dahliaroad_membership::{Epoch, SourceId, Topology};
use dahliaroad_pacing::Backoff;
use dahliaroad_runtime::Inbox;
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep};

use super::client::{Connection, DiscoveryError, ListRequest, connect_and_fetch};
use super::endpoint_list::{DecodedList, EndpointList};
use crate::counters;
use crate::peer_address::PeerAddress;

/// The maximum wait of a watch request for a change. The wait is short because an agent that has stopped answering is
/// noticed only at the end of the request.
const WATCH_WAIT: Duration = Duration::from_millis(2000);
/// The minimum wait of a watch request. With a wait of zero the request would not be a watch.
const MIN_WATCH_WAIT: Duration = Duration::from_millis(1);
/// The first backoff after a failure. The agent treats a request that follows within 200 ms as the same watch.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
const MAX_BACKOFF: Duration = Duration::from_millis(800);
/// The maximum backoff between two reads of the complete list that are made because entries could not be decoded.
const MAX_REREAD_BACKOFF: Duration = Duration::from_secs(30);

/// The state of the watch: the last revision received, and when to send the next request.
pub struct DiscoveryWatch {
    address: PeerAddress,
    /// The address of the current connection, or of the last attempt to connect.
    connected_address: SocketAddr,
    topology: Rc<Topology>,
    inbox: Inbox,
    source: SourceId,
    /// The epoch, which increases when revisions go back.
    epoch: Epoch,
    /// The last revision received; `None` while there is no revision from which a watch can continue.
    revision: Option<u64>,
    backoff: Backoff,
    /// When to read the complete list again, because an entry could not be decoded.
    reread_at: Option<Instant>,
    reread_backoff: Backoff,
}

impl DiscoveryWatch {
    /// Creates a watch that continues from `revision` if one is known from the configuration. A complete list, even one
    /// without changes, would make the assigner recompute the assignment while proxies are still joining, based only on
    /// the demand of the proxies that have joined so far.
    pub fn new(
        address: PeerAddress,
        topology: Rc<Topology>,
        inbox: Inbox,
        source: SourceId,
        revision: Option<u64>,
        random: ChaCha8Rng,
    ) -> DiscoveryWatch {
        DiscoveryWatch {
            connected_address: address.current(),
            address,
            topology,
            inbox,
            source,
            epoch: Epoch(0),
            revision,
            backoff: Backoff::equal_jitter(INITIAL_BACKOFF, MAX_BACKOFF, random.clone()),
            reread_at: None,
            reread_backoff: Backoff::equal_jitter(INITIAL_BACKOFF, MAX_REREAD_BACKOFF, random),
        }
    }

    /// Follows the list and retries failures with backoff. Never returns.
    pub async fn run(mut self) {
        loop {
            if let Err(reason) = self.follow_until_failure().await {
                counters::DISCOVERY_WATCHES_LOST.add(1);
                let address = self.connected_address;
                tracing::warn!(%address, %reason, "discovery: watch failed; retrying with backoff");
                self.inbox.send(Box::new(|runtime, now| runtime.assigner.endpoint_list_failed(now))).await;
            }
            sleep(self.backoff.next_delay()).await;
        }
    }

    /// Sends a list to the runtime. Returns whether all of its entries could be decoded.
    pub async fn forward(&self, list: &EndpointList) -> bool {
        let DecodedList { message, unreadable_entries } = list.decode(&self.topology, self.epoch);
        counters::INPUTS_REJECTED.add(unreadable_entries);
        let source = self.source;
        self.inbox.send(Box::new(move |runtime, now| runtime.apply(now, source, message).orders)).await;
        unreadable_entries == 0
    }

    /// Connects to the agent and follows the list, also after the agent moves, until a request fails.
    async fn follow_until_failure(&mut self) -> Result<(), DiscoveryError> {
        self.connected_address = self.address.current();
        let mut connection = Connection::open(self.connected_address).await?;
        loop {
            let (moved_connection, list) = self.follow_until_moved(&mut connection).await?;
            counters::PEERS_MOVED.add(1);
            connection = moved_connection;
            self.connected_address = connection.address();
            // The list of a new agent that lags behind the known revision is skipped. That agent sends the changes after the
            // known revision, as the old agent would have.
            if self.revision.is_none_or(|revision| list.revision() >= revision) {
                self.accept(list, &ListRequest::complete(), Duration::ZERO).await?;
            }
        }
    }

    /// Follows the list at one address until the agent has moved and the agent at the new address has sent its complete
    /// list. The complete list is needed because the revisions of the new agent may belong to another history. What the old
    /// agent has written by then counts as delivered, so a response that has arrived is processed before the move.
    async fn follow_until_moved(
        &mut self,
        connection: &mut Connection,
    ) -> Result<(Connection, EndpointList), DiscoveryError> {
        let mut address = self.address.clone();
        let mut moved = pin!(address.connect_after_move(connection.address(), connect_and_fetch));
        loop {
            let request = self.next_request();
            let sent_at = Instant::now();
            tokio::select! {
                biased;
                list = request.send(connection) => self.accept(list?, &request, sent_at.elapsed()).await?,
                new = &mut moved => return Ok(new),
            }
        }
    }

    /// Returns a request for the complete list if it is due to be read again or no revision is known, otherwise a watch
    /// request.
    fn next_request(&self) -> ListRequest {
        let until_reread = self.reread_at.map(|at| at.saturating_duration_since(Instant::now()));
        let is_reread_due = until_reread.is_some_and(|until| until.is_zero());
        match self.revision {
            Some(revision) if !is_reread_due => {
                let wait = until_reread.map_or(WATCH_WAIT, |until| until.clamp(MIN_WATCH_WAIT, WATCH_WAIT));
                ListRequest::changes_after(revision, wait)
            }
            _ => ListRequest::complete(),
        }
    }

    /// Applies a response. Backs off if the response has no new revision and arrived before half of the request's wait was
    /// over. Otherwise an agent that immediately answers without changes would receive requests in a tight loop.
    async fn accept(
        &mut self,
        list: EndpointList,
        request: &ListRequest,
        elapsed: Duration,
    ) -> Result<(), DiscoveryError> {
        let has_progressed = self.revision != Some(list.revision());
        self.follow_revision(&list)?;
        if list.is_complete() {
            self.reread_at = None;
        }
        if !list.has_no_changes() {
            let is_readable = self.forward(&list).await;
            self.schedule_reread(is_readable, list.is_complete());
        }
        // The list is dropped before the backoff, because the backoff may be long and a complete list large.
        drop(list);
        if has_progressed || elapsed * 2 >= request.wait() {
            self.backoff.reset();
        } else {
            sleep(self.backoff.next_delay()).await;
        }
        Ok(())
    }

    /// Records the list's revision. A revision that goes back means that discovery has started a new history, whose state is
    /// known only from a complete list. If no revision is known, the list is treated as if its revision went back. Returns
    /// an error if the revision went back and the list is not complete.
    fn follow_revision(&mut self, list: &EndpointList) -> Result<(), DiscoveryError> {
        let went_back = self.revision.is_none_or(|revision| list.revision() < revision);
        self.epoch.0 += u32::from(went_back);
        if went_back && !list.is_complete() {
            self.revision = None;
            return Err(DiscoveryError::RevisionWentBack { revision: list.revision() });
        }
        self.revision = Some(list.revision());
        Ok(())
    }

    /// Schedules another read of the complete list if an entry could not be decoded; resets the reread backoff after a
    /// readable complete list.
    fn schedule_reread(&mut self, is_readable: bool, is_complete: bool) {
        if !is_readable {
            counters::UNREADABLE_LISTS.add(1);
            let delay = self.reread_backoff.next_delay();
            self.reread_at.get_or_insert(Instant::now() + delay);
        } else if is_complete {
            self.reread_backoff.reset();
        }
    }
}
