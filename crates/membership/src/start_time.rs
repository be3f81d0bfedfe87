//! Comparison of the start times of two processes. Sources omit the start time of a process that started long ago, or do
//! not know it, so a missing start time alone proves neither an earlier process nor a later one.

use std::time::Duration;

/// What is known of the start of a listed process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartTime {
    /// The source gives the start time.
    Given(Duration),
    /// The source omits the start time. The process started at this time at the latest.
    Omitted(Duration),
}

/// How one start relates to another one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum StartOrder {
    /// It is earlier than the other one.
    Earlier,
    /// Both start times are given and equal.
    Same,
    /// It is later than the other one.
    Later,
    /// At least one start time is omitted, and both may be the start of the same process.
    Unknown,
}

impl StartTime {
    /// Whether the source gives the start time.
    pub fn is_given(self) -> bool {
        matches!(self, StartTime::Given(_))
    }

    /// Returns how this start relates to `other`.
    pub fn compare(self, other: StartTime) -> StartOrder {
        match (self, other) {
            (StartTime::Given(one), StartTime::Given(other)) if one < other => StartOrder::Earlier,
            (StartTime::Given(one), StartTime::Given(other)) if one > other => StartOrder::Later,
            (StartTime::Given(_), StartTime::Given(_)) => StartOrder::Same,
            (StartTime::Given(one), StartTime::Omitted(latest)) if one > latest => StartOrder::Later,
            (StartTime::Omitted(latest), StartTime::Given(other)) if other > latest => StartOrder::Earlier,
            _ => StartOrder::Unknown,
        }
    }
}
