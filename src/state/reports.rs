//! Received load reports: the attempts of each zone's proxies at each endpoint.

use std::time::Duration;

use crate::events::EndpointReport;

/// Attempts of proxies at an endpoint, as rates per second.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct AttemptRates {
    /// Successful attempts per second.
    pub successes: f64,
    /// Failed attempts per second.
    pub failures: f64,
    /// The sum of the response times, in seconds, of the successful attempts of one second.
    pub response_seconds: f64,
}

impl AttemptRates {
    /// Returns the rates of one report that covers `seconds`.
    fn of(report: EndpointReport, seconds: f64) -> AttemptRates {
        let successes = (report.attempts - report.failures).max(0.0) / seconds;
        AttemptRates {
            successes,
            failures: report.failures / seconds,
            response_seconds: successes * report.response_time.as_secs_f64(),
        }
    }

    pub fn add(&mut self, other: AttemptRates) {
        self.successes += other.successes;
        self.failures += other.failures;
        self.response_seconds += other.response_seconds;
    }

    /// Returns the attempts per second, successful or failed.
    pub fn attempts(&self) -> f64 {
        self.successes + self.failures
    }
}

/// Which earlier reports a report adds to, and until when it is valid.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportValidity {
    /// A report received before this time is replaced by the new one. A report received since this time is
    /// part of the same report, so the two are summed.
    pub same_report_since: Duration,
    /// The time from which the report is no longer valid.
    pub valid_until: Duration,
    /// The time that the report covers, in seconds.
    pub seconds: f64,
}

/// The last report of one zone's proxies on one endpoint.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct EndpointStatistics {
    pub rates: AttemptRates,
    pub reported_at: Duration,
    pub valid_until: Duration,
    /// Whether no round has ended since the last report.
    pub is_new: bool,
}

impl EndpointStatistics {
    pub fn add(&mut self, now: Duration, report: EndpointReport, validity: ReportValidity) {
        if self.reported_at < validity.same_report_since {
            self.rates = AttemptRates::default();
        }
        self.is_new = true;
        self.reported_at = now;
        self.valid_until = validity.valid_until;
        self.rates.add(AttemptRates::of(report, validity.seconds));
    }
}
