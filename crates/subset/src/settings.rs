//! The settings of a subset.

use std::time::Duration;

/// Number of ready endpoints that a controller steers, without those that the safety minimums add.
pub const SUBSET_SIZE: usize = 512;

/// Approximate minimum number of controllers that steer each endpoint, or all of them if there are fewer. With few
/// controllers and a long list the subset is enlarged to reach it: an endpoint that no controller steers gets no requests.
pub const MIN_CONTROLLERS_PER_ENDPOINT: usize = 8;

/// The settings that determine a subset, together with the list.
#[derive(Clone, Copy, Debug)]
pub struct SubsetSettings {
    /// The index of this controller among all controllers, from 0.
    pub controller_index: usize,
    /// The number of controllers.
    pub controllers: usize,
    /// The number of ready endpoints to steer; [`SUBSET_SIZE`] except in tests.
    pub size: usize,
    /// The time from an endpoint's start until it is warm.
    pub warm_up: Duration,
}
