//! Changes of the endpoint list: their effect on known endpoints, and which endpoint numbers may be reused.

use std::collections::BTreeSet;
use std::time::Duration;

use crate::events::{EndpointState, EndpointUpdate};
use crate::ids::EndpointId;
use crate::state::Assigner;

impl Assigner {
    /// Applies the endpoint list. Endpoints that are listed while no endpoint is open, at the start or after
    /// all endpoints have left, count as running before this controller started and begin no slow start.
    /// Otherwise an endpoint that is added or has restarted begins a slow start. An entry whose zone does not
    /// exist changes nothing for its endpoint.
    pub(crate) fn apply_endpoint_list(&mut self, now: Duration, complete: bool, entries: &[EndpointUpdate]) {
        let required_size = entries.iter().map(|entry| entry.endpoint.index() + 1).max();
        self.endpoints.grow(required_size.unwrap_or(0));
        let none_was_open = self.endpoints.open().next().is_none();
        if complete {
            self.endpoints.has_complete_list = true;
            self.remove_missing(now, entries);
        }
        for entry in entries {
            let endpoint = entry.endpoint.index();
            match entry.state {
                EndpointState::Removed => self.remove_from_list(now, endpoint),
                EndpointState::Released => self.release(now, endpoint),
                EndpointState::Running | EndpointState::Draining if !self.deployment.has_zone(entry.zone) => {
                }
                EndpointState::Running | EndpointState::Draining => {
                    self.apply_list_entry(now, entry, none_was_open)
                }
            }
        }
    }

    fn remove_missing(&mut self, now: Duration, entries: &[EndpointUpdate]) {
        let listed: BTreeSet<usize> = entries.iter().map(|entry| entry.endpoint.index()).collect();
        for endpoint in 0..self.endpoints.len() {
            if !listed.contains(&endpoint) {
                self.remove_from_list(now, endpoint);
            }
        }
    }

    fn apply_list_entry(&mut self, now: Duration, entry: &EndpointUpdate, none_was_open: bool) {
        let endpoint = entry.endpoint.index();
        let locality = if self.shards.localities > 1 { entry.zone.index() } else { 0 };
        let is_open = entry.state == EndpointState::Running;
        let is_new = !self.endpoints[endpoint].listing.was_ever_listed();
        let has_restarted = self.has_restarted(now, endpoint, entry.started_at);
        if is_open && !none_was_open && (is_new || has_restarted) {
            self.begin_slow_start(endpoint, now);
        }
        if is_new {
            self.endpoints[endpoint].listing.rank = self.lowest_free_rank(locality);
        }
        let listing = &mut self.endpoints[endpoint].listing;
        listing.locality = locality;
        listing.absent_since = None;
        listing.machine_kind = entry.machine_kind as usize;
        listing.weight = entry.weight.max(f64::MIN_POSITIVE);
        // While the known start is recent, an entry without it comes from an older list.
        listing.started_at = entry.started_at.or(listing.started_at);
        listing.is_open = is_open;
        listing.is_unlisted = false;
        listing.is_released = false;
    }

    /// Whether an entry with this start belongs to another process than the known one. A list omits a start that
    /// is long ago, and an older list may give it after all. Neither proves a restart of an endpoint that is open.
    fn has_restarted(&self, now: Duration, endpoint: usize, started_at: Option<Duration>) -> bool {
        let listing = &self.endpoints[endpoint].listing;
        match (listing.started_at, started_at) {
            (Some(_), None) => !listing.is_open,
            (None, Some(started_at)) if listing.is_open => {
                now.saturating_sub(started_at) < self.deployment.warm_up
            }
            (known, given) => known != given,
        }
    }

    fn lowest_free_rank(&self, locality: usize) -> usize {
        let listings = self.endpoints.iter().map(|endpoint| &endpoint.listing);
        let same_locality =
            listings.filter(|listing| listing.was_ever_listed() && listing.locality == locality);
        let used_ranks: BTreeSet<usize> = same_locality.map(|listing| listing.rank).collect();
        (0..).find(|rank| !used_ranks.contains(rank)).unwrap_or(0)
    }

    /// Marks an endpoint that left this controller's subset and is still running. If the endpoint was already
    /// draining or gone, its entries still have to be withdrawn at once.
    fn release(&mut self, now: Duration, endpoint: usize) {
        let endpoint_state = &mut self.endpoints[endpoint];
        endpoint_state.listing.absent_since = endpoint_state.listing.absent_since.or(Some(now));
        endpoint_state.listing.is_released |= endpoint_state.listing.is_open;
        endpoint_state.listing.is_open = false;
        endpoint_state.listing.is_unlisted = false;
        endpoint_state.health.forget_checks();
    }

    /// Removes an endpoint from the list. If removal does not end traffic, an endpoint that did not drain
    /// stays open until its health checks fail.
    fn remove_from_list(&mut self, now: Duration, endpoint: usize) {
        let removal_ends_traffic = self.deployment.removal_ends_traffic;
        let endpoint_state = &mut self.endpoints[endpoint];
        endpoint_state.listing.absent_since = endpoint_state.listing.absent_since.or(Some(now));
        let stays_open = !removal_ends_traffic && endpoint_state.listing.is_open;
        endpoint_state.listing.is_unlisted = stays_open;
        endpoint_state.listing.is_open = stays_open;
        endpoint_state.listing.is_released = false;
        endpoint_state.health.forget_checks();
    }

    /// Clears the endpoint that has been absent from the list for the longest time, if more endpoints are
    /// absent than listed, and returns its number for reuse. An endpoint that returns soon is therefore still
    /// known, and the remembered state stays bounded. The endpoint must not be in use: no ordered or pending
    /// entry and no health check may refer to it.
    pub fn reclaim_endpoint_id(&mut self) -> Option<EndpointId> {
        let absent = self.endpoints.iter().filter(|endpoint| endpoint.listing.absent_since.is_some()).count();
        if absent * 2 <= self.endpoints.len() {
            return None;
        }
        let candidates = (0..self.endpoints.len()).filter_map(|endpoint| {
            let absent_since = self.endpoints[endpoint].listing.absent_since?;
            Some((absent_since, endpoint))
        });
        let (_, endpoint) = candidates.filter(|(_, endpoint)| self.is_reclaimable(*endpoint)).min()?;
        self.endpoints.reset(endpoint);
        Some(EndpointId::from_index(endpoint))
    }

    fn is_reclaimable(&self, endpoint: usize) -> bool {
        let endpoint_state = &self.endpoints[endpoint];
        let is_in_use = endpoint_state.listing.is_open
            || endpoint_state.health.check_in_flight
            || endpoint_state.effective_capacity > 0.0;
        !is_in_use && self.tables.iter().all(|table| table.is_unreferenced(endpoint))
    }
}
