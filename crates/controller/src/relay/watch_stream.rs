//! Reads the relay's watch stream, which reports the joined proxies and their acknowledgements.

use std::convert::Infallible;
use std::future::pending;
use std::net::SocketAddr;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::Duration;

use dahliaroad::{AttemptId, Orders, ProxyId};
use dahliaroad_pacing::Backoff;
use dahliaroad_runtime::{Inbox, Runtime};
use rand_chacha::ChaCha8Rng;
use tokio::time::{Instant, sleep, timeout};

use super::attempts::Acknowledgement;
use super::codec::{
    Notification, ProxyAcknowledgement, ProxyJoined, SUBSCRIBE_CALL, decode_notification,
    decode_subscribe_answer,
};
use super::connection::Connection;
use super::error::RelayError;
use super::joined_proxies::{JoinedProxies, JoinedProxy, ProxyEvent};
use super::order::{CallStamp, Target, order_targets};
use super::outbox::SharedOutbox;
use super::resubscription::Resubscription;
use super::{INITIAL_BACKOFF, MAX_BACKOFF, RelayHealth};
use crate::counters;
use crate::known_names::KnownNames;
use crate::logging::escape_for_log;
use crate::peer_address::PeerAddress;

/// The longest silence before the stream counts as broken: two missed keepalives and a third one that is late.
const MAX_SILENCE: Duration = Duration::from_millis(2500);
/// The maximum number of orders that a log line names.
const MAX_LOGGED_ORDERS: usize = 8;
/// While the dispatcher probes an unreachable relay, the watch stream waits for a successful probe, but tries to
/// reconnect by itself after this time.
const MAX_WAIT_FOR_PROBES: Duration = Duration::from_secs(2);
/// The upper limit of a proxy's request rate, in requests per second. No proxy reaches it, and sums of rates below it
/// stay finite.
const MAX_REQUEST_RATE: f64 = 1e9;

/// What was done with a notification.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum NotificationOutcome {
    Accepted,
    /// The notification carried nothing whose loss matters.
    Ignored,
    /// The notification may have reported that a proxy joined or left. The relay has to report all joined proxies
    /// again, on a new connection.
    Unreadable,
}

/// The task that reads the watch stream.
pub struct WatchStream {
    address: PeerAddress,
    /// The address of the current connection, or of the latest attempt to connect.
    followed_address: SocketAddr,
    known_names: Rc<KnownNames>,
    outbox: Rc<SharedOutbox>,
    inbox: Inbox,
    health: Rc<RelayHealth>,
    proxies: JoinedProxies,
}

/// Opens a connection and subscribes to notifications on it.
async fn subscribe(address: SocketAddr) -> Result<Connection, RelayError> {
    let mut connection = Connection::open(address).await?;
    connection.write(SUBSCRIBE_CALL).await?;
    decode_subscribe_answer(connection.read_answer().await?)?;
    counters::SUBSCRIPTIONS.add(1);
    Ok(connection)
}

/// Waits for the outcome of `attempt`; waits forever if there is no attempt.
async fn attempt_outcome<T>(attempt: &mut Option<Pin<Box<impl Future<Output = T>>>>) -> T {
    match attempt {
        Some(attempt) => attempt.await,
        None => pending().await,
    }
}

impl WatchStream {
    /// Creates a watch stream of the relay at `address`, not connected yet.
    pub fn new(
        address: PeerAddress,
        known_names: Rc<KnownNames>,
        outbox: Rc<SharedOutbox>,
        inbox: Inbox,
        health: Rc<RelayHealth>,
    ) -> WatchStream {
        let followed_address = address.current();
        let proxies = JoinedProxies::default();
        WatchStream { address, followed_address, known_names, outbox, inbox, health, proxies }
    }

    /// Reads the stream, and subscribes again whenever it breaks off; never returns.
    pub async fn run(mut self, rng: ChaCha8Rng) {
        let mut backoff = Backoff::equal_jitter(INITIAL_BACKOFF, MAX_BACKOFF, rng.clone());
        let mut resubscription = Resubscription::new(rng);
        loop {
            let Err(error) = self.follow_connections(&mut backoff, &mut resubscription).await;
            counters::WATCH_STREAMS_LOST.add(1);
            tracing::warn!(
                address = %self.followed_address, reason = %error, "relay: watch stream broke off; reconnecting"
            );
            // While the dispatcher probes, its probes detect when the relay is back. After 2 s the watch stream tries
            // to reconnect by itself.
            let _ = timeout(MAX_WAIT_FOR_PROBES, self.health.until_calls_resumed()).await;
            sleep(backoff.next_delay()).await;
        }
    }

    /// Reads one connection and its replacements in turn, until a connection breaks off before it is replaced.
    async fn follow_connections(
        &mut self,
        backoff: &mut Backoff,
        resubscription: &mut Resubscription,
    ) -> Result<Infallible, RelayError> {
        self.followed_address = self.address.current();
        let mut connection = subscribe(self.followed_address).await?;
        self.health.on_watch_stream_subscribed();
        resubscription.on_subscribed();
        loop {
            self.followed_address = connection.address();
            resubscription.on_new_connection();
            self.proxies.on_stream_begin();
            connection = self.follow_connection(connection, backoff, resubscription).await?;
        }
    }

    /// Reads one connection until another one replaces it: at the relay's new address, or because the relay has to
    /// report all joined proxies again. The old connection is closed only then. The initial state on the new connection
    /// makes up for notifications that the old one did not deliver. The old connection is read for as long as
    /// attempts at a new one fail.
    async fn follow_connection(
        &mut self,
        mut connection: Connection,
        backoff: &mut Backoff,
        resubscription: &mut Resubscription,
    ) -> Result<Connection, RelayError> {
        let mut address = self.address.clone();
        let mut moved = pin!(address.connect_after_move(connection.address(), subscribe));
        let mut attempt = None;
        loop {
            tokio::select! {
                read = connection.read(MAX_SILENCE) => {
                    read?;
                }
                new = &mut moved => {
                    counters::PEERS_MOVED.add(1);
                    return Ok(new);
                }
                () = resubscription.until_due(), if attempt.is_none() => {
                    counters::RESUBSCRIPTIONS.add(1);
                    attempt = Some(Box::pin(subscribe(connection.address())));
                    continue;
                }
                outcome = attempt_outcome(&mut attempt) => match outcome {
                    Ok(new) => return Ok(new),
                    Err(reason) => {
                        tracing::warn!(
                            address = %self.followed_address, %reason,
                            "relay: resubscription failed; keeping the connection and retrying"
                        );
                        attempt = None;
                        resubscription.on_attempt_failed(Instant::now());
                        continue;
                    }
                }
            }
            self.health.mark_heard();
            let outcome = self.handle_line(connection.last_line()).await?;
            // The backoff is reset only once the initial state is complete, so a relay that breaks off earlier each
            // time is not contacted again at once.
            if self.proxies.has_complete_initial_state() {
                backoff.reset();
            }
            if outcome == NotificationOutcome::Unreadable {
                resubscription.on_unreadable(Instant::now());
            }
        }
    }

    async fn handle_line(&mut self, line: &[u8]) -> Result<NotificationOutcome, RelayError> {
        counters::NOTIFICATIONS.add(1);
        let outcome = self.handle(decode_notification(line)?).await;
        if outcome != NotificationOutcome::Accepted {
            counters::INPUTS_REJECTED.add(1);
            tracing::warn!(
                address = %self.followed_address, input = %escape_for_log(line),
                "relay: notification cannot be used; ignoring it"
            );
        }
        if outcome == NotificationOutcome::Unreadable {
            self.proxies.on_unreadable();
        }
        Ok(outcome)
    }

    async fn handle(&mut self, notification: Notification) -> NotificationOutcome {
        let events = match notification {
            Notification::ProxyJoined(joined) => match check_join(&joined, &self.known_names) {
                Some(joined) => self.proxies.on_proxy_joined(joined),
                None => return NotificationOutcome::Unreadable,
            },
            Notification::ProxyLeft(proxy) => self.proxies.on_proxy_left(ProxyId(proxy)),
            Notification::Keepalive => self.proxies.on_keepalive(),
            Notification::Acknowledged(acknowledgement)
                if self.known_names.has_proxy(acknowledgement.proxy) =>
            {
                self.acknowledge(acknowledgement).await;
                Vec::new()
            }
            Notification::Acknowledged(_) | Notification::Ignored => return NotificationOutcome::Ignored,
            Notification::UnreadableJoinOrLeave => return NotificationOutcome::Unreadable,
        };
        for event in events {
            self.notify_assigner(event).await;
        }
        NotificationOutcome::Accepted
    }

    async fn notify_assigner(&self, event: ProxyEvent) {
        match event {
            ProxyEvent::Joined(JoinedProxy { proxy, zone, request_rate }) => {
                counters::PROXIES_JOINED.add(1);
                let joined = move |runtime: &mut Runtime, now| {
                    runtime.assigner.proxy_joined(now, proxy, zone, request_rate)
                };
                self.inbox.send(Box::new(joined)).await;
            }
            ProxyEvent::Left(proxy) => {
                counters::PROXIES_LEFT.add(1);
                // This runs in a turn of the runtime, as the assigner's earlier orders for the proxy are in the
                // outbox only then.
                let outbox = self.outbox.clone();
                let left = move |runtime: &mut Runtime, now| {
                    outbox.with(|outbox| outbox.on_proxy_left(proxy));
                    runtime.assigner.proxy_left(now, proxy)
                };
                self.inbox.send(Box::new(left)).await;
            }
            ProxyEvent::BindingUnconfirmed(proxy) => {
                counters::PROXIES_REBOUND.add(1);
                let unconfirmed = move |runtime: &mut Runtime, _| {
                    runtime.assigner.proxy_binding_unconfirmed(proxy);
                    Orders::default()
                };
                self.inbox.send(Box::new(unconfirmed)).await;
            }
        }
    }

    async fn acknowledge(&self, acknowledgement: ProxyAcknowledgement) {
        let ProxyAcknowledgement { proxy, stamp, latency_ms } = acknowledgement;
        let proxy = ProxyId(proxy);
        let applied_at = time_before_now(latency_ms);
        let Acknowledgement { nonce, applied, undone } =
            self.outbox.with(|outbox| outbox.acknowledge(proxy, stamp, applied_at));
        if nonce.is_none() && applied.is_none() {
            return;
        }
        if !undone.is_empty() {
            counters::CALLS_APPLIED_LATE.add(1);
            log_undone(proxy, stamp, applied.map(|attempt| attempt.0), &undone);
        }
        let acknowledged = move |runtime: &mut Runtime, now| {
            if let Some(attempt) = applied {
                runtime.assigner.orders_applied(attempt);
                return_undone_orders(runtime, &undone, attempt);
            }
            match nonce {
                Some(nonce) => runtime.assigner.acknowledged(now, proxy, nonce),
                // No nonce is complete yet. This call only has the assigner apply its rules to the changes above.
                None => runtime.assigner.on_timer(now),
            }
        };
        self.inbox.send(Box::new(acknowledged)).await;
    }
}

/// Returns the proxy that has joined, or `None` if a value of the notification does not fit the deployment.
fn check_join(joined: &ProxyJoined, known_names: &KnownNames) -> Option<JoinedProxy> {
    let ProxyJoined { proxy, ref zone, request_rate } = *joined;
    let zone = known_names.zone(zone)?;
    let is_valid = known_names.has_proxy(proxy) && (0.0..MAX_REQUEST_RATE).contains(&request_rate);
    is_valid.then_some(JoinedProxy { proxy: ProxyId(proxy), zone, request_rate })
}

/// Reports to the assigner that the orders undone by a late call have to be given again. Runs in a turn of the
/// runtime.
fn return_undone_orders(runtime: &mut Runtime, undone: &[Target], attempt: AttemptId) {
    let undelivered = order_targets(undone.iter(), &runtime.endpoint_ids);
    runtime.assigner.orders_undelivered(&undelivered, Some(attempt));
}

/// Returns the time `ms` milliseconds ago, or the current time if `ms` is missing or not a valid duration.
fn time_before_now(ms: Option<f64>) -> Instant {
    let now = Instant::now();
    let span = ms.and_then(|ms| Duration::try_from_secs_f64(ms / 1000.0).ok());
    now.checked_sub(span.unwrap_or_default()).unwrap_or(now)
}

fn log_undone(proxy: ProxyId, stamp: CallStamp, attempt: Option<u64>, undone: &[Target]) {
    let named: Vec<String> =
        undone.iter().take(MAX_LOGGED_ORDERS).map(|target| format!("{target:?}")).collect();
    tracing::warn!(
        proxy = proxy.0,
        attempt,
        stamp = stamp.number(),
        orders = undone.len(),
        undone = %named.join(", "),
        "relay: proxy applied a call after a later one; giving the undone orders again"
    );
}

#[cfg(test)]
mod tests;
