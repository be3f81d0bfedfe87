//! How much each proxy brings, from demand reports.

use std::time::Duration;

use crate::events::DemandReport;
use crate::ids::{ClassId, ProxyId};
use crate::state::{Assigner, ClassDemand, Flow};

/// Reports are taken to cover this many seconds at least: a proxy's first one may cover a moment only.
pub(crate) const MIN_REPORT_SECONDS: f64 = 0.1;
/// A report covers five or six report intervals of a silence at most, however long that was. One that covers more than this
/// many may be cut short: the time since the last report counts if it is longer.
const LONG_SILENCE_INTERVALS: u32 = 4;
/// How far a report of many requests moves the estimate. It is below 1, as requests arrive in bursts.
const DEMAND_GAIN: f64 = 0.6;
/// How far a report moves a proxy's baseline.
const BASELINE_GAIN: f64 = 0.1;

/// Demand, in requests a second.
pub(crate) struct Demand {
    /// By flow, that is by locality and then by group of traffic classes.
    pub by_flow: Vec<f64>,
    /// What each shard usually brings.
    pub baseline_by_shard: Vec<f64>,
}

impl ClassDemand {
    /// Moves the estimate towards a report.
    fn update(&mut self, now: Duration, report: DemandReport, report_interval: Duration) {
        let interval = self.covered_seconds(now, report.interval, report_interval);
        self.reported_at = now;
        // Few requests, whether they came or were due, say little, and so count less.
        let expected = self.rate * interval;
        let requests = report.requests.max(expected).max(1.0);
        let gain = DEMAND_GAIN * requests / (requests + 1.0);
        self.mean_requests += gain * (report.requests - self.mean_requests);
        self.mean_interval_seconds += gain * (interval - self.mean_interval_seconds);
        // A rare request ends the interval that its report covers, as without requests there is no report. So
        // intervals read short, and the mean rate of few of them would be too high by this factor.
        let reports_per_interval = (report_interval.as_secs_f64() / self.mean_interval_seconds).min(1.0);
        let bias = 1.0 + (1.0 - reports_per_interval) * gain / (2.0 - gain);
        self.rate = self.mean_requests / self.mean_interval_seconds / bias;
    }

    /// The seconds that a report covers. One that ends a long silence covers all of it: no report means no request.
    fn covered_seconds(&self, now: Duration, interval: Duration, report_interval: Duration) -> f64 {
        let since_last = now.saturating_sub(self.reported_at);
        let ends_silence = interval > report_interval * LONG_SILENCE_INTERVALS;
        let covered = if ends_silence { interval.max(since_last) } else { interval };
        covered.as_secs_f64().max(MIN_REPORT_SECONDS)
    }
}

impl Assigner {
    /// Takes in a demand report; those on unknown proxies are left out.
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

    /// The demand of all proxies.
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

    /// Changes which proxies there are. Proxies that come from another controller brought their requests to the same
    /// endpoints before, and those that go still do. So this controller's own part of what each endpoint serves moves
    /// with them; learning it anew would cost rounds of needless rejections.
    ///
    /// Once the last proxy has gone, the part stays that of the demand before, so that proxies which return one by one bring
    /// back what they had, and no multiple of it.
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
