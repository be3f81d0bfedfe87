//! The proxies that are joined according to the watch stream's notifications. Does no I/O and reads no clock.

use std::collections::BTreeSet;

use dahliaroad::{ProxyId, ZoneId};

/// The number of keepalives, without a join between them, that complete the initial state. The relay reports the
/// proxies that are joined when a stream begins, but does not mark the end of these reports. Keepalives are sent a
/// second apart; between two of them the relay has reported all of these proxies, even if the reports arrived in
/// pieces and with other notifications in between.
const KEEPALIVES_TO_COMPLETE_INITIAL_STATE: u32 = 2;

/// A change that a notification causes for the assigner.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ProxyEvent {
    /// A proxy has joined.
    Joined(JoinedProxy),
    /// A proxy has left.
    Left(ProxyId),
    /// A proxy that was joined before may have left and joined again, in which case it is bound to none of the
    /// controller's tables.
    BindingUnconfirmed(ProxyId),
}

/// A proxy that has joined.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct JoinedProxy {
    /// The proxy's number.
    pub proxy: ProxyId,
    /// The proxy's zone.
    pub zone: ZoneId,
    /// The proxy's approximate number of requests per second.
    pub request_rate: f64,
}

/// The proxies that are joined.
#[derive(Debug, Default)]
pub struct JoinedProxies {
    joined: BTreeSet<ProxyId>,
    /// Present from a subscription until its initial state is complete.
    initial_state: Option<InitialState>,
}

/// The proxies that are joined when a stream begins.
#[derive(Debug, Default)]
struct InitialState {
    notified: BTreeSet<ProxyId>,
    /// The number of keepalives since the latest join notification.
    keepalives: u32,
    /// Whether a notification could not be read. If so, a missing proxy may be the one that the notification was
    /// about.
    has_unreadable: bool,
}

impl JoinedProxies {
    /// Handles the start of a stream, which begins with its initial state.
    pub fn on_stream_begin(&mut self) {
        self.initial_state = Some(InitialState::default());
    }

    /// Whether all proxies that were joined when the stream began have been reported.
    pub fn has_complete_initial_state(&self) -> bool {
        self.initial_state.is_none()
    }

    /// Handles a notification that a proxy is joined. A proxy that is reported a second time on one stream has left
    /// and rejoined in between.
    pub fn on_proxy_joined(&mut self, joined: JoinedProxy) -> Vec<ProxyEvent> {
        let proxy = joined.proxy;
        let is_initial = self.initial_state.as_mut().is_some_and(|initial| {
            initial.keepalives = 0;
            initial.notified.insert(proxy)
        });
        if is_initial && self.joined.contains(&proxy) {
            return vec![ProxyEvent::BindingUnconfirmed(proxy)];
        }
        let mut events = self.on_proxy_left(proxy);
        self.joined.insert(proxy);
        events.push(ProxyEvent::Joined(joined));
        events
    }

    /// Handles a notification that a proxy has left.
    pub fn on_proxy_left(&mut self, proxy: ProxyId) -> Vec<ProxyEvent> {
        let was_joined = self.joined.remove(&proxy);
        was_joined.then_some(ProxyEvent::Left(proxy)).into_iter().collect()
    }

    /// Handles a keepalive. Once the initial state must be complete, proxies missing from it have left unnoticed.
    pub fn on_keepalive(&mut self) -> Vec<ProxyEvent> {
        let Some(initial) = &mut self.initial_state else { return Vec::new() };
        initial.keepalives += 1;
        let is_complete =
            |initial: &mut InitialState| initial.keepalives >= KEEPALIVES_TO_COMPLETE_INITIAL_STATE;
        let Some(initial) = self.initial_state.take_if(is_complete) else { return Vec::new() };
        if initial.has_unreadable {
            return Vec::new();
        }
        let missing: Vec<ProxyId> = self.joined.difference(&initial.notified).copied().collect();
        missing.into_iter().flat_map(|proxy| self.on_proxy_left(proxy)).collect()
    }

    /// Handles a notification of a join or departure that could not be read.
    pub fn on_unreadable(&mut self) {
        if let Some(initial) = &mut self.initial_state {
            initial.has_unreadable = true;
        }
    }
}

#[cfg(test)]
mod tests;
