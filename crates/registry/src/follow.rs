//! The I/O loop of a follower: sends its requests to the registry's members, one at a time, and reports its messages.

use std::time::Duration;

use dahliaroad_membership::{Freshness, SourceMessage};
use tokio::sync::watch;
use tokio::time::{Instant, sleep_until, timeout};

use crate::client::{MemberAddress, RegistryClient};
use crate::follower::{
    Action, Follower, FollowerStatistics, RegistryRequest, RegistryResponse, RequestError,
};
use crate::relocation::{Relocation, next_relocation};

/// The result of one action of the follower.
enum Outcome<Connection> {
    /// The wait has elapsed.
    Waited,
    /// The response to the request, or its failure.
    Response(RegistryResponse),
    /// The registry's addresses changed during the action, and one of the new members is connected.
    Relocated(Relocation<Connection>),
}

/// The member connections of one follower.
struct Session<'a, C: RegistryClient> {
    /// Name of the source, for log lines.
    source: &'a str,
    client: &'a C,
    members: Vec<MemberAddress>,
    connection: Option<C::Connection>,
}

/// Follows a registry for as long as the future is polled.
///
/// `source` is the registry's configured name, for log lines. `addresses` are the registry's members. If they change,
/// the follower moves to the new members once one of them answers. `report` passes a message to the membership and
/// returns its freshness. `on_statistics` receives the counters after each request.
pub async fn follow<C: RegistryClient>(
    source: &str,
    client: C,
    mut follower: Follower,
    mut addresses: watch::Receiver<Vec<MemberAddress>>,
    connect_timeout: Duration,
    mut report: impl AsyncFnMut(SourceMessage) -> Freshness,
    mut on_statistics: impl FnMut(&FollowerStatistics),
) {
    let start = Instant::now();
    let members = addresses.borrow_and_update().clone();
    let mut session = Session { source, client: &client, members, connection: None };
    let mut relocation = Box::pin(next_relocation(&client, addresses, connect_timeout));
    loop {
        let action = follower.next_action(start.elapsed());
        let outcome = tokio::select! {
            outcome = session.perform(&action, start) => outcome,
            relocation = &mut relocation => Outcome::Relocated(relocation),
        };
        match outcome {
            Outcome::Waited => {}
            Outcome::Relocated(target) => {
                let addresses = session.relocate(target);
                follower.switch_members(session.members.len());
                relocation = Box::pin(next_relocation(&client, addresses, connect_timeout));
            }
            Outcome::Response(response) => {
                session.log_failure(&action, &response);
                if let Some(message) = follower.on_response(start.elapsed(), response)
                    && report(message).await == Freshness::Gap
                {
                    follower.on_gap();
                }
                on_statistics(&follower.statistics);
            }
        }
    }
}

impl<C: RegistryClient> Session<'_, C> {
    /// Performs an action: waits until its time, or sends its request.
    async fn perform(&mut self, action: &Action, start: Instant) -> Outcome<C::Connection> {
        match action {
            Action::Wait { until } => {
                sleep_until(start + *until).await;
                Outcome::Waited
            }
            Action::Send { member, request, timeout: limit } => {
                let response = timeout(*limit, self.send(*member, request)).await;
                Outcome::Response(response.unwrap_or(RegistryResponse::Failed(RequestError::Timeout)))
            }
        }
    }

    /// Sends a request on the current connection. [`RegistryRequest::Connect`] establishes a new connection instead.
    async fn send(&mut self, member: usize, request: &RegistryRequest) -> RegistryResponse {
        if *request != RegistryRequest::Connect {
            return match &mut self.connection {
                Some(connection) => self.client.send(connection, request.clone()).await,
                None => RegistryResponse::Failed(RequestError::Disconnected("no connection".to_owned())),
            };
        }
        // The follower no longer uses the old connection.
        self.connection = None;
        match self.client.connect(&self.members[member]).await {
            Ok(connection) => {
                self.connection = Some(connection);
                RegistryResponse::Connected
            }
            Err(error) => RegistryResponse::Failed(error),
        }
    }

    /// Switches to a connection to other members. Returns the receiver of later address changes.
    fn relocate(&mut self, target: Relocation<C::Connection>) -> watch::Receiver<Vec<MemberAddress>> {
        self.members = target.members;
        self.connection = Some(target.connection);
        tracing::info!(
            source = self.source,
            member = self.members[0],
            "registry: members changed; connected to a new member"
        );
        target.addresses
    }

    /// Logs a failed request. The timeout of a watch without updates is not logged, because a watch sends nothing while
    /// nothing changes.
    fn log_failure(&self, action: &Action, response: &RegistryResponse) {
        let RegistryResponse::Failed(error) = response else { return };
        let Action::Send { member, request, .. } = action else { return };
        if *error == RequestError::Timeout && *request == RegistryRequest::ReceiveUpdates {
            return;
        }
        let member = &self.members[*member];
        tracing::warn!(source = self.source, member, ?request, reason = %error, "registry: request failed");
    }
}
