//! Weighted tables: the current weights of each, what was ordered last, and which orders are unconfirmed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::orders::{AttemptId, RetryPolicy};

/// The admission settings that proxies apply to one class.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct AdmissionTarget {
    /// The admission rate, in the deployment's admission unit.
    pub rate: f64,
    pub retry_policy: RetryPolicy,
}

/// The unconfirmed orders of one table, each with the last attempt that carried it, if any did.
#[derive(Clone, Debug, Default)]
pub(crate) struct UnconfirmedOrders {
    /// Weight orders, by endpoint.
    weights: BTreeMap<usize, Option<AttemptId>>,
    /// Admission orders, by class.
    admissions: BTreeMap<usize, Option<AttemptId>>,
}

impl UnconfirmedOrders {
    pub fn has_weight(&self, endpoint: usize) -> bool {
        self.weights.contains_key(&endpoint)
    }

    pub fn has_admission(&self, class: usize) -> bool {
        self.admissions.contains_key(&class)
    }

    /// Records that the weight of this endpoint was ordered and is not confirmed.
    pub fn add_weight(&mut self, endpoint: usize, attempt: Option<AttemptId>) {
        self.weights.insert(endpoint, attempt);
    }

    /// Records that the admission of this class was ordered and is not confirmed.
    pub fn add_admission(&mut self, class: usize, attempt: Option<AttemptId>) {
        self.admissions.insert(class, attempt);
    }

    /// Removes the weight because it is ordered again. The outcome of earlier attempts no longer matters.
    pub fn remove_weight(&mut self, endpoint: usize) {
        self.weights.remove(&endpoint);
    }

    /// Removes the admission because it is ordered again. The outcome of earlier attempts no longer matters.
    pub fn remove_admission(&mut self, class: usize) {
        self.admissions.remove(&class);
    }

    /// Removes the orders that this attempt was the last to carry, because the attempt was applied.
    pub fn remove_applied(&mut self, attempt: AttemptId) {
        self.weights.retain(|_, carried_by| *carried_by != Some(attempt));
        self.admissions.retain(|_, carried_by| *carried_by != Some(attempt));
    }
}

/// The weight entries of a table that have to be ordered, the most urgent first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingPublication {
    /// The endpoint numbers of the entries.
    pub entries: Vec<usize>,
    /// The number of urgent entries, at the start of `entries`. They are exempt from the ordinary publish
    /// rate.
    pub urgent: usize,
    /// Whether one of the entries withdraws an endpoint that drains, is gone or is ejected.
    pub has_withdrawal: bool,
    /// Whether the entries bring a warm endpoint into a table without entries, so that its proxies have one.
    pub ends_emptiness: bool,
}

/// Since when a table has had a pending withdrawal, and whether it was reported to the operators.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PendingWithdrawal {
    pub since: Duration,
    pub is_reported: bool,
}

/// One weighted table.
#[derive(Clone, Debug, Default)]
pub(crate) struct Table {
    /// By endpoint: the current weight, reached by weight steps.
    pub weights: Vec<f64>,
    /// By endpoint: the weight that was ordered last.
    pub ordered_weights: Vec<f64>,
    /// By class: the admission that was ordered last.
    pub ordered_admissions: Vec<AdmissionTarget>,
    /// By class: the highest admission rate while all entries are cold, in the deployment's admission unit.
    pub admission_limits: Option<Vec<f64>>,
    /// Since when proxies have been ordered to apply these limits; `None` if that is pending.
    pub limited_since: Option<Duration>,
    pub pending: PendingPublication,
    pub withdrawal: Option<PendingWithdrawal>,
    pub unconfirmed: UnconfirmedOrders,
    pub published_at: Duration,
}

impl Table {
    /// Returns an empty table whose proxies apply `target` to each class.
    pub fn new(classes: usize, target: AdmissionTarget) -> Table {
        Table { ordered_admissions: vec![target; classes], ..Table::default() }
    }

    pub fn grow(&mut self, endpoints: usize) {
        self.weights.resize(endpoints, 0.0);
        self.ordered_weights.resize(endpoints, 0.0);
    }

    /// Whether no ordered, current or pending entry refers to this endpoint.
    pub fn is_unreferenced(&self, endpoint: usize) -> bool {
        let has_weight = |weights: &[f64]| weights.get(endpoint).is_some_and(|weight| *weight != 0.0);
        !has_weight(&self.ordered_weights)
            && !has_weight(&self.weights)
            && !self.pending.entries.contains(&endpoint)
    }

    /// Returns the number of entries that proxies were ordered to hold.
    pub fn ordered_entries(&self) -> usize {
        self.ordered_weights.iter().filter(|weight| **weight > 0.0).count()
    }

    /// Whether proxies that use the table may still hold an entry for this endpoint.
    pub fn may_hold(&self, endpoint: usize) -> bool {
        self.ordered_weights[endpoint] > 0.0 || self.unconfirmed.has_weight(endpoint)
    }

    /// Removes and returns the first `count` pending entries, which are ordered now.
    pub fn take_pending(&mut self, count: usize) -> Vec<usize> {
        let count = count.min(self.pending.entries.len());
        self.pending.entries.drain(..count).collect()
    }
}
