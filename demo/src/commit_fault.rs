//! Faults that the relay injects into commit calls.

use std::time::Duration;

/// A fault that the relay injects into one commit call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CommitFault {
    /// The call is rejected as busy.
    Busy,
    /// The call is not applied, and the connection is closed.
    DisconnectedNotApplied,
    /// The call is applied, and the connection is closed.
    DisconnectedApplied,
    /// The call is not applied and never answered.
    UnansweredNotApplied,
    /// The call is applied and never answered.
    UnansweredApplied,
    /// The call is applied, and the response cannot be parsed.
    MalformedResponse,
    /// The call is not applied, and the response counts more orders than the call has.
    OvercountedResponse,
    /// The call is not applied. The response says that all orders were applied, but lacks the call's id.
    ResponseWithoutId,
    /// The call is not applied. The connection is closed after this many bytes of the call.
    CallTruncated(usize),
    /// The call is applied. The connection is closed after this many bytes of the response.
    ResponseTruncated(usize),
    /// The call is applied. Only this many bytes of the response are sent, and the connection stays open.
    ResponseStalled(usize),
}

/// What a silent relay does with the commit calls that it receives. It answers none of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SilentCallOutcome {
    /// The calls are not applied.
    #[default]
    NotApplied,
    /// The calls are applied at once.
    Applied,
    /// The calls are applied this long after the relay stops being silent, even if the caller has given up on them.
    AppliedLate(Duration),
}
