//! Arithmetic that is independent of endpoints and tables.

/// One cell of a sparse matrix.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Cell {
    pub row: usize,
    pub column: usize,
    pub value: f64,
}

/// Scales the cells alternately until each column and each row adds up to its given sum, as far as possible:
/// iterative proportional fitting. Rows are scaled last.
pub(crate) fn fit_margins(cells: &mut [Cell], row_sums: &[f64], column_sums: &[f64], passes: usize) {
    let scale = |cells: &mut [Cell], sums: &[f64], axis: fn(&Cell) -> usize| {
        let mut current = vec![0.0; sums.len()];
        cells.iter().for_each(|cell| current[axis(cell)] += cell.value);
        cells.iter_mut().for_each(|cell| cell.value *= sums[axis(cell)] / current[axis(cell)]);
    };
    for _ in 0..passes {
        scale(cells, column_sums, |cell| cell.column);
        scale(cells, row_sums, |cell| cell.row);
    }
}

/// Max-min fairness: returns the limit at which the rates, each reduced to the limit, add up to `capacity`;
/// `None` if all rates fit unchanged.
pub(crate) fn fair_rate(mut rates: Vec<f64>, mut capacity: f64) -> Option<f64> {
    rates.sort_by(f64::total_cmp);
    for (index, &rate) in rates.iter().enumerate() {
        let equal_share = capacity / (rates.len() - index) as f64;
        if rate > equal_share {
            return Some(equal_share);
        }
        capacity -= rate;
    }
    None
}

/// Returns the factor by which retries may amplify the load of a table's entries. Requests that fail at one
/// entry are retried at the others, by weight. The factor is 1 if nothing fails.
pub(crate) fn retry_amplification(weights: &[f64], failure_ratio: impl Fn(usize) -> f64) -> f64 {
    let shares = shares_of(weights).enumerate();
    1.0 + shares.map(|(entry, share)| failure_ratio(entry) * redistribution_ratio(share)).sum::<f64>()
}

/// Returns the share of a table's requests that each entry receives, including retries, if all its other
/// entries fail.
pub(crate) fn worst_case_shares(weights: &[f64]) -> Vec<f64> {
    let max_amplification = retry_amplification(weights, |_| 1.0);
    shares_of(weights).map(|share| share * (max_amplification - redistribution_ratio(share))).collect()
}

/// Returns the share of a table's requests that each entry receives by its weight; 0 if the table is empty.
pub(crate) fn shares_of(weights: &[f64]) -> impl Iterator<Item = f64> {
    let sum = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    weights.iter().map(move |weight| weight / sum)
}

/// Returns the ratio of an entry's share of a table to the share of all other entries; 0 if there is no other
/// entry.
fn redistribution_ratio(share: f64) -> f64 {
    if share < 1.0 { share / (1.0 - share) } else { 0.0 }
}

/// Returns the ratio of a value to the sum of all values. If the sum is 0, this is an even share.
pub(crate) fn share_of_sum(value: f64, values: &[f64]) -> f64 {
    let sum: f64 = values.iter().sum();
    if sum > 0.0 { value / sum } else { 1.0 / values.len().max(1) as f64 }
}

/// Returns the value that a quarter of all values are below; 0 if there are no values.
pub(crate) fn lower_quartile(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 4).copied().unwrap_or(0.0)
}

/// Returns the nearest point whose coordinates are 0 or more and sum to one.
pub(crate) fn on_simplex(point: &[f64]) -> Vec<f64> {
    let mut sorted = point.to_vec();
    sorted.sort_by(|x, y| y.total_cmp(x));
    let mut sum = 0.0;
    let mut threshold = 0.0;
    for (index, value) in sorted.iter().enumerate() {
        sum += value;
        let candidate = (sum - 1.0) / (index + 1) as f64;
        if *value > candidate {
            threshold = candidate;
        }
    }
    point.iter().map(|value| (value - threshold).max(0.0)).collect()
}

/// Returns the Euclidean norm of the change of all cells, relative to the norm of the new cells. The rows are
/// pairs of new and old; the cells of all rows form one vector.
pub(crate) fn relative_change<'a>(rows: impl Iterator<Item = (&'a [f64], &'a [f64])>) -> f64 {
    let mut squared_change = 0.0;
    let mut squared_length = f64::MIN_POSITIVE;
    for (new, old) in rows.flat_map(|(new, old)| new.iter().zip(old)) {
        squared_change += (new - old) * (new - old);
        squared_length += new * new;
    }
    (squared_change / squared_length).sqrt()
}

/// A value and its weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Weighted {
    pub weight: f64,
    pub value: f64,
}

/// Returns the weighted mean of values; `None` if the total weight is 0.
pub(crate) fn weighted_mean(values: impl Iterator<Item = Weighted>) -> Option<f64> {
    let mut sum = 0.0;
    let mut total_weight = 0.0;
    for Weighted { weight, value } in values {
        sum += weight * value;
        total_weight += weight;
    }
    (total_weight > 0.0).then(|| sum / total_weight)
}
