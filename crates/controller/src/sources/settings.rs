//! Merges the values of the operator's file with the defaults of membership and of the registries' followers.

use dahliaroad_config::{MembershipConfig, RegistryLimits};
use dahliaroad_membership::{Pacing, TombstoneLimits};
use dahliaroad_registry::FollowerLimits;

/// Returns the limits of the tombstones that membership keeps for removed endpoints.
pub fn tombstone_limits(config: &MembershipConfig) -> TombstoneLimits {
    let default = TombstoneLimits::default();
    TombstoneLimits {
        max_count: config.max_tombstones.unwrap_or(default.max_count),
        retention: config.tombstone_retention.unwrap_or(default.retention),
    }
}

/// Returns the pacing with which a source's changes reach the decisions.
pub fn pacing(config: &MembershipConfig) -> Pacing {
    let default = Pacing::default();
    Pacing {
        changes_per_second: config.changes_per_second.unwrap_or(default.changes_per_second),
        burst: config.burst.unwrap_or(default.burst),
        batch_interval: config.batch_interval.unwrap_or(default.batch_interval),
        initial_return_delay: config.initial_return_delay.unwrap_or(default.initial_return_delay),
        max_return_delay: config.max_return_delay.unwrap_or(default.max_return_delay),
        stable_after: config.stable_after.unwrap_or(default.stable_after),
    }
}

/// Returns the time-outs, rates and sizes of a registry's follower.
pub fn registry_limits(config: &RegistryLimits) -> FollowerLimits {
    let default = FollowerLimits::default();
    FollowerLimits {
        connect_timeout: config.connect_timeout.unwrap_or(default.connect_timeout),
        request_timeout: config.request_timeout.unwrap_or(default.request_timeout),
        progress_after: config.progress_after.unwrap_or(default.progress_after),
        initial_backoff: config.initial_backoff.unwrap_or(default.initial_backoff),
        max_backoff: config.max_backoff.unwrap_or(default.max_backoff),
        page_size: config.page_size.unwrap_or(default.page_size),
        snapshot_burst: config.snapshot_burst.unwrap_or(default.snapshot_burst),
        snapshots_per_minute: config.snapshots_per_minute.unwrap_or(default.snapshots_per_minute),
        max_poll_wait: config.max_poll_wait.unwrap_or(default.max_poll_wait),
        min_poll_interval: config.min_poll_interval.unwrap_or(default.min_poll_interval),
        max_staleness: config.max_staleness.unwrap_or(default.max_staleness),
        max_entries: config.max_entries.unwrap_or(default.max_entries),
    }
}
