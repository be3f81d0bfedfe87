//! Serving states of endpoints.

use thiserror::Error;

/// Whether an endpoint may receive requests, ordered from the least to the most restricted state.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum ServingState {
    /// The endpoint accepts new requests.
    #[default]
    Running,
    /// The endpoint must not receive requests for now, because of a failed health check or maintenance. The same process
    /// may return.
    OutOfRotation,
    /// The endpoint completes its requests and must not receive new ones in this incarnation.
    Draining,
}

/// The error for an unknown serving state name from a source.
#[derive(Clone, Debug, Error, PartialEq, Eq)]
#[error("unknown state {0:?}; expected running, aside or draining")]
pub struct UnknownServingState(pub String);

impl ServingState {
    const ALL: [ServingState; 3] =
        [ServingState::Running, ServingState::OutOfRotation, ServingState::Draining];

    /// Returns the name of the state in the data of sources.
    pub fn as_str(self) -> &'static str {
        match self {
            ServingState::Running => "running",
            ServingState::OutOfRotation => "aside",
            ServingState::Draining => "draining",
        }
    }

    /// Parses the name of a state in the data of a source. A missing name means `Running`.
    pub fn from_name(name: Option<&str>) -> Result<ServingState, UnknownServingState> {
        let Some(name) = name else { return Ok(ServingState::Running) };
        let state = ServingState::ALL.into_iter().find(|state| state.as_str() == name);
        state.ok_or_else(|| UnknownServingState(name.to_owned()))
    }
}
