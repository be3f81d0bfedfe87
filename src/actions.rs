//! The actions that rules select.

use crate::ids::ProxyId;

/// An action selected by a rule. Endpoints and tables are given by their indices in the state's lists.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Action {
    PollEndpointList,
    CloseRound,
    Eject { endpoint: usize },
    Reinstate { endpoint: usize },
    Reassign,
    Publish { table: usize },
    Bind { proxy: ProxyId },
    ReportLateWithdrawal { table: usize },
    CheckHealth { endpoint: usize },
    RequestWakeUp,
}
