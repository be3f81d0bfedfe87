//! The assigner together with the membership, the subset of endpoints that it steers, and their ids.

use std::sync::Arc;
use std::time::Duration;

use dahliaroad::{
    Assigner, Deployment, EndpointId, EndpointReport, EndpointState, EndpointUpdate, HealthCheckOutcome,
    Orders, ZoneId,
};
use dahliaroad_membership::{Entry, Freshness, Membership, ServingState, SourceId, SourceMessage};
use dahliaroad_subset::{SUBSET_SIZE, Subset, SubsetSettings, SubsetState, SubsetUpdate, UpdateBatch};

use thiserror::Error;

use crate::counters;
use crate::endpoint_ids::EndpointIds;

/// The result of applying a source's message.
#[derive(Debug)]
pub struct AppliedMessage {
    /// Whether the message was accepted, or why not.
    pub freshness: Freshness,
    /// The orders with which the assigner responds at once.
    pub orders: Orders,
}

/// Why a load report of an endpoint is ignored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum UnknownEndpoint {
    /// The subset contains all listed endpoints, and this endpoint is not among them.
    #[error("endpoint is not listed")]
    NotListed,
    /// The subset does not contain all listed endpoints; this endpoint is outside it or not listed.
    #[error("endpoint is not steered")]
    NotSteered,
}

/// The assigner and the state of all endpoints. Times are since 1970 and never decrease.
pub struct Runtime {
    /// The assigner.
    pub assigner: Assigner,
    /// The assigner's ids of endpoints.
    pub endpoint_ids: EndpointIds,
    /// The sources' entries of endpoints, merged.
    pub membership: Membership,
    subset: Subset,
}

impl Runtime {
    /// Creates a runtime whose subset has the size that all controllers use, [`SUBSET_SIZE`].
    pub fn new(deployment: Deployment, membership: Membership) -> Runtime {
        Runtime::with_subset_size(deployment, membership, SUBSET_SIZE)
    }

    /// Creates a runtime with a subset of another size, for tests.
    pub fn with_subset_size(deployment: Deployment, membership: Membership, size: usize) -> Runtime {
        let Deployment { controller_index, controllers, warm_up, .. } = deployment;
        let subset = Subset::new(SubsetSettings { controller_index, controllers, size, warm_up });
        let assigner = Assigner::new(deployment);
        Runtime { assigner, endpoint_ids: EndpointIds::default(), membership, subset }
    }

    /// Returns the subset of endpoints that the assigner steers.
    pub fn subset(&self) -> &Subset {
        &self.subset
    }

    /// Applies a source's message. Changes that are paced or delayed reach the assigner later, by
    /// [`apply_due_changes`](Runtime::apply_due_changes).
    pub fn apply(&mut self, now: Duration, source: SourceId, message: SourceMessage) -> AppliedMessage {
        let applied = self.membership.apply(now, source, message);
        counters::update_source_counters(&self.membership.counts);
        let batch = applied.changes.and_then(|changes| self.subset.apply(now, changes));
        let orders = self.update_assigner(now, batch).unwrap_or_default();
        AppliedMessage { freshness: applied.freshness, orders }
    }

    /// Notifies the assigner of due changes: those that were paced or delayed, and the changes of the subset that follow from
    /// the passing of time.
    pub fn apply_due_changes(&mut self, now: Duration) -> Orders {
        let changes = self.membership.take_changes(now);
        counters::DELAYED_RETURNS.set(self.membership.counts.delayed_returns);
        let batch = match changes {
            Some(changes) => self.subset.apply(now, changes),
            None => self.subset.advance(now),
        };
        self.update_assigner(now, batch).unwrap_or_default()
    }

    /// Replaces in the subset the endpoints that the assigner has ejected. Returns the assigner's orders if the subset
    /// changed.
    pub fn replace_ejected(&mut self, now: Duration) -> Option<Orders> {
        let ejected = self.assigner.ejected();
        let names: Vec<Arc<str>> = ejected.map(|endpoint| self.endpoint_ids.name(endpoint)).collect();
        let batch = self.subset.set_ejected(names.iter().map(|name| &**name));
        self.update_assigner(now, batch)
    }

    /// Passes the outcome of a health check to the assigner. `generation` is that of the request. If the id has passed to
    /// another process since the request, the outcome says nothing about that process, and the health check counts as
    /// rejected.
    pub fn health_check_finished(
        &mut self,
        now: Duration,
        endpoint: EndpointId,
        generation: u64,
        outcome: HealthCheckOutcome,
    ) -> Orders {
        let outdated = self.endpoint_ids.generation(endpoint) != generation;
        counters::OUTDATED_HEALTH_CHECKS.add(usize::from(outdated));
        let outcome = if outdated { HealthCheckOutcome::Rejected } else { outcome };
        self.assigner.health_check_finished(now, endpoint, outcome)
    }

    /// Passes a load report of the named endpoint to the assigner. Only listed endpoints get ids: if a report could assign
    /// one, any collector could exhaust them.
    pub fn endpoint_report(
        &mut self,
        now: Duration,
        zone: ZoneId,
        name: &str,
        report: EndpointReport,
    ) -> Result<Orders, UnknownEndpoint> {
        match self.endpoint_ids.find(name) {
            Some(endpoint) => Ok(self.assigner.endpoint_report(now, zone, endpoint, report)),
            None if self.subset.steers_all() => Err(UnknownEndpoint::NotListed),
            None => Err(UnknownEndpoint::NotSteered),
        }
    }

    /// Passes a batch of the subset's updates to the assigner and releases the ids that it no longer needs.
    fn update_assigner(&mut self, now: Duration, batch: Option<UpdateBatch>) -> Option<Orders> {
        let batch = batch?;
        counters::ENDPOINT_LISTS.add(1);
        self.report_subset_change(&batch);
        let updates: Vec<EndpointUpdate> =
            batch.entries.iter().filter_map(|update| self.endpoint_update(update)).collect();
        let orders = self.assigner.update_endpoints(now, batch.complete, &updates);
        while let Some(endpoint) = self.assigner.reclaim_endpoint_id() {
            self.subset.remove_released(&self.endpoint_ids.name(endpoint));
            self.endpoint_ids.release(endpoint);
        }
        Some(orders)
    }

    /// Converts an update of the subset to the assigner's form. Returns `None` if the endpoint is no longer steered or listed
    /// and has no id: the assigner does not know it.
    fn endpoint_update(&mut self, update: &SubsetUpdate) -> Option<EndpointUpdate> {
        match &update.state {
            SubsetState::Listed(entry) => Some(self.listed_update(&update.name, entry)),
            SubsetState::Released => self.unlisted_update(&update.name, EndpointState::Released),
            SubsetState::Removed => self.unlisted_update(&update.name, EndpointState::Removed),
        }
    }

    fn listed_update(&mut self, name: &str, entry: &Entry) -> EndpointUpdate {
        EndpointUpdate {
            endpoint: self.endpoint_ids.assign(name, entry.address, entry.incarnation.started),
            zone: entry.zone,
            machine_kind: entry.kind,
            weight: entry.weight,
            started_at: entry.started_at(),
            state: match entry.serving_state {
                ServingState::Running => EndpointState::Running,
                ServingState::OutOfRotation | ServingState::Draining => EndpointState::Draining,
            },
        }
    }

    fn unlisted_update(&mut self, name: &str, state: EndpointState) -> Option<EndpointUpdate> {
        let endpoint = self.endpoint_ids.find(name)?;
        if state == EndpointState::Removed {
            self.endpoint_ids.process_ended(endpoint);
        }
        Some(EndpointUpdate {
            endpoint,
            zone: ZoneId(0),
            machine_kind: 0,
            weight: 0.0,
            started_at: None,
            state,
        })
    }
}
