//! The demand of each proxy, estimated from demand reports.

use std::time::Duration;

use crate::events::DemandReport;
use crate::ids::{ClassId, ProxyId};
use crate::state::{Assigner, ClassDemand, Flow};

/// The minimum number of seconds that a report is assumed to cover, because a proxy's first report may cover
/// a very short time.
pub(crate) const MIN_REPORT_SECONDS: f64 = 0.1;
/// A report covers at most five or six report intervals of a period without requests, however long the period
/// was. A report that covers more than this many intervals may therefore be truncated; the time since the
/// last report is used if it is longer.
const LONG_SILENCE_INTERVALS: u32 = 4;
/// How far a report of many requests moves the estimate. The value is below 1, because requests arrive in
/// bursts.
const DEMAND_GAIN: f64 = 0.6;
/// How far a report moves a proxy's baseline demand.
const BASELINE_GAIN: f64 = 0.1;

/// Demand, in requests per second.
pub(crate) struct Demand {
    /// Demand by flow: by locality and then by group of traffic classes.
    pub by_flow: Vec<f64>,
    /// Baseline demand by shard.
    pub baseline_by_shard: Vec<f64>,
}

impl ClassDemand {
    /// Moves the estimate towards a report.
    fn update(&mut self, now: Duration, report: DemandReport, report_interval: Duration) {
        let interval = self.covered_seconds(now, report.interval, report_interval);
        self.reported_at = now;
        // Few requests, received or expected, are weak evidence and therefore have a low gain.
        let expected = self.rate * interval;
        let requests = report.requests.max(expected).max(1.0);
        let gain = DEMAND_GAIN * requests / (requests + 1.0);
        self.mean_requests += gain * (report.requests - self.mean_requests);
        self.mean_interval_seconds += gain * (interval - self.mean_interval_seconds);
        // Without requests there is no report, so a rare request ends the interval that its report covers.
        // The reported intervals are therefore too short, and the mean rate over few of them would be too
        // high by this factor.
        let reports_per_interval = (report_interval.as_secs_f64() / self.mean_interval_seconds).min(1.0);
        let bias = 1.0 + (1.0 - reports_per_interval) * gain / (2.0 - gain);
        self.rate = self.mean_requests / self.mean_interval_seconds / bias;
    }

    /// Returns the seconds that a report covers. A report after a long period without requests covers the
    /// whole period, because no report means no request.
    fn covered_seconds(&self, now: Duration, interval: Duration, report_interval: Duration) -> f64 {
        let since_last = now.saturating_sub(self.reported_at);
        let ends_silence = interval > report_interval * LONG_SILENCE_INTERVALS;
        let covered = if ends_silence { interval.max(since_last) } else { interval };
        covered.as_secs_f64().max(MIN_REPORT_SECONDS)
    }
}

impl Assigner {
    /// Records a demand report. Reports on unknown proxies are ignored.
    pub(crate) fn record_demand_report(
        &mut self,
        now: Duration,
        proxy: ProxyId,
        class: ClassId,
        report: DemandReport,
    ) {
        let Some(proxy) = self.proxies.get_mut(&proxy) else { return };
        proxy.has_reported = true;
        proxy.demand_by_class[class.index()].update(now, report, self.deployment.report_interval);
        let rate: f64 = proxy.rates().sum();
        proxy.baseline_demand += BASELINE_GAIN * (rate - proxy.baseline_demand);
    }

    /// Returns the demand of all proxies.
    pub(crate) fn demand(&self) -> Demand {
        let mut by_flow = vec![0.0; self.shards.localities * self.groups.len()];
        let mut baseline_by_shard = vec![0.0; self.shards.len()];
        for proxy in self.proxies.values() {
            baseline_by_shard[proxy.shard] += proxy.baseline_demand;
            let locality = self.shards.locality_of(proxy.shard);
            for (group, classes) in self.groups.iter().enumerate() {
                let rates = classes.members.iter().map(|&class| proxy.demand_by_class[class].rate);
                by_flow[self.shards.flow_index(Flow { locality, group })] += rates.sum::<f64>();
            }
        }
        Demand { by_flow, baseline_by_shard }
    }

    /// Changes the set of proxies, and scales this controller's part of each endpoint's throughput with their
    /// demand. Proxies that come from another controller sent their requests to the same endpoints before,
    /// and proxies that leave continue to do so. Measuring the part again would cost rounds of needless
    /// rejections.
    ///
    /// After the last proxy has left, the part keeps its value for the last demand above 0. Proxies that
    /// return one by one then restore the previous part instead of a multiple of it.
    pub(crate) fn change_proxies(&mut self, change: impl FnOnce(&mut Assigner)) {
        let before = self.total_demand();
        if before > 0.0 {
            self.load.last_demand = before;
        }
        change(self);
        if self.deployment.controllers <= 1 {
            return;
        }
        let ratio = self.total_demand() / self.load.last_demand;
        if !ratio.is_normal() {
            return;
        }
        for endpoint in self.endpoints.iter_mut() {
            endpoint.history.success_rate *= ratio;
        }
    }
}
