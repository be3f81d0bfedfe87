//! Arithmetic that knows nothing of pilots.

/// Scales the cells (row, column, part) in turn until each row and each column adds up to its sum, as far
/// as they can: iterative proportional fitting. Rows come last.
pub fn fit_margins(cells: &mut [(usize, usize, f64)], rows: &[f64], columns: &[f64], times: usize) {
    let scale = |cells: &mut [(usize, usize, f64)], sums: &[f64], line: fn(&(usize, usize, f64)) -> usize| {
        let mut held = vec![0.0; sums.len()];
        cells.iter().for_each(|cell| held[line(cell)] += cell.2);
        cells.iter_mut().for_each(|cell| cell.2 *= sums[line(cell)] / held[line(cell)]);
    };
    for _ in 0..times {
        scale(cells, columns, |cell| cell.1);
        scale(cells, rows, |cell| cell.0);
    }
}

/// The level that holds `room` in all, where each is filled up to the level or to its own height;
/// `None` if there is room for all.
pub fn water_level(mut heights: Vec<f64>, mut room: f64) -> Option<f64> {
    heights.sort_by(f64::total_cmp);
    for (place, &height) in heights.iter().enumerate() {
        let even = room / (heights.len() - place) as f64;
        if height > even {
            return Some(even);
        }
        room -= height;
    }
    None
}

/// By how much second tries may swell a line of a table: what fails at a line goes on by weight to the others.
pub fn swell(weights: &[f64], failed_part: impl Fn(usize) -> f64) -> f64 {
    let parts = parts_of(weights).enumerate();
    1.0 + parts.map(|(line, part)| failed_part(line) * passed_on(part)).sum::<f64>()
}

/// What each line of a table gets of its calls, second tries included, if all its other lines fail.
pub fn worst_parts(weights: &[f64]) -> Vec<f64> {
    let most = swell(weights, |_| 1.0);
    parts_of(weights).map(|part| part * (most - passed_on(part))).collect()
}

fn parts_of(weights: &[f64]) -> impl Iterator<Item = f64> {
    let sum = weights.iter().sum::<f64>().max(f64::MIN_POSITIVE);
    weights.iter().map(move |weight| weight / sum)
}

/// The calls of a line with this part of a table, over what the others have of the rest: 0 if there is no other.
fn passed_on(part: f64) -> f64 {
    if part < 1.0 { part / (1.0 - part) } else { 0.0 }
}

/// The value that a quarter of all lie under; 0 if there are none.
pub fn lower_quarter(mut values: Vec<f64>) -> f64 {
    values.sort_by(f64::total_cmp);
    values.get(values.len() / 4).copied().unwrap_or(0.0)
}

/// The nearest point with parts of 0 or more that sum to one.
pub fn on_simplex(wish: &[f64]) -> Vec<f64> {
    let mut sorted = wish.to_vec();
    sorted.sort_by(|x, y| y.total_cmp(x));
    let (mut sum, mut cut) = (0.0, 0.0);
    for (place, part) in sorted.iter().enumerate() {
        sum += part;
        let here = (sum - 1.0) / (place + 1) as f64;
        cut = if *part > here { here } else { cut };
    }
    wish.iter().map(|part| (part - cut).max(0.0)).collect()
}

/// How far rows moved, against their length: Euclidean, all cells as one vector.
pub fn relative_change<'a>(rows: impl Iterator<Item = (&'a [f64], &'a [f64])>) -> f64 {
    let cells = rows.flat_map(|(new, old)| new.iter().zip(old));
    let (moved, all) = cells.fold((0.0, f64::MIN_POSITIVE), |(moved, all), (new, old)| {
        (moved + (new - old) * (new - old), all + new * new)
    });
    (moved / all).sqrt()
}

/// The mean of values with their weights; `None` if they weigh nothing.
pub fn weighted_mean(values: impl Iterator<Item = (f64, f64)>) -> Option<f64> {
    let (sum, all) =
        values.fold((0.0, 0.0), |(sum, all), (weight, value)| (sum + weight * value, all + weight));
    (all > 0.0).then(|| sum / all)
}
