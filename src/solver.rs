//! The solver: splits demand by flow over servers so that their loads are even, by the alternating method of the paper
//! (IV-B), in whose letters it is written. An iterate is carried over to what changed, so that few iterations are needed.

use crate::arithmetic::{on_simplex, relative_change};

/// The solver, in the paper's letters (IV-B), and halvings for one server's side.
const RHO: f64 = 0.1;
const OMEGA: f64 = 0.3 * RHO;
const TAU: f64 = 1.0;
const STOP: f64 = 0.001;
pub(crate) const ITERATIONS: usize = 30;
const HALVINGS: usize = 40;
/// Each block is solved in units in which its squared coefficients sum to this, so that OMEGA holds it: in
/// the paper's, without its bound on L, the iteration swings apart (condition in IV-C).
const UNIT: f64 = OMEGA / RHO;

/// An iterate of the solver in the paper's letters: `phi` and `theta` are the duals, `gamma` is the flow
/// side, a row a flow, each on the simplex.
#[derive(Default)]
pub struct Split {
    /// What the iterate was solved for.
    pub capacity: Vec<f64>,
    pub l: f64,
    pub delta: Vec<f64>,
    pub a: Vec<Vec<f64>>,
    pub gamma: Vec<Vec<f64>>,
    pub theta: Vec<f64>,
    pub phi: Vec<Vec<f64>>,
}

impl Split {
    /// Carries the iterate over to other capacities as loads, so that what changed needs no iterations:
    /// shares and duals scale with capacity, the load and the flow duals with the number of servers, comers
    /// start in proportion, those that left are cleared, and all get back their sums at every optimum.
    pub fn carry_over(&mut self, demand: &[f64], capacity: &[f64], count: f64) {
        self.grow(demand.len(), capacity.len());
        let total = demand.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let (before, sum) = (self.capacity.iter().sum::<f64>(), capacity.iter().sum::<f64>());
        let fewer = self.capacity.iter().filter(|old| **old > 0.0).count() as f64 / count.max(1.0);
        for (j, &new) in capacity.iter().enumerate() {
            let (old, even) = (self.capacity[j], new / sum.max(f64::MIN_POSITIVE));
            let carry = |part: &mut f64, fresh: f64| {
                *part = if old > 0.0 { *part * even * before / old } else { fresh };
            };
            carry(&mut self.theta[j], -even);
            self.a.iter_mut().chain(&mut self.gamma).for_each(|row| carry(&mut row[j], even));
            for (row, demand) in self.phi.iter_mut().zip(demand) {
                row[j] = if old > 0.0 { row[j] * fewer } else { demand / total / count };
            }
            if old <= 0.0 || new <= 0.0 {
                self.delta[j] = 0.0;
                self.phi.iter_mut().filter(|_| new <= 0.0).for_each(|row| row[j] = 0.0);
            }
        }
        self.capacity.clone_from_slice(capacity);
        self.l = if self.l > 0.0 { self.l * fewer } else { 1.0 / count.max(1.0) };
        let ones = self.gamma.iter_mut().chain(&mut self.a).chain([&mut self.theta]).map(|row| (row, 1.0));
        for (row, wanted) in ones.chain(self.phi.iter_mut().zip(demand.iter().map(|d| d / total))) {
            let sum = row.iter().sum::<f64>().abs().max(f64::MIN_POSITIVE);
            row.iter_mut().for_each(|part| *part *= wanted / sum);
        }
    }

    fn grow(&mut self, flows: usize, size: usize) {
        self.theta.resize(size, 0.0);
        self.capacity.resize(size, 0.0);
        self.delta.resize(size, 0.0);
        for rows in [&mut self.a, &mut self.gamma, &mut self.phi] {
            rows.resize(flows, Vec::new());
            rows.iter_mut().for_each(|row| row.resize(size, 0.0));
        }
    }

    /// Splits `demand` by flow over servers of `capacity` (0: takes no part), from the last iterate on.
    pub fn solve(&mut self, demand: &[f64], capacity: &[f64]) {
        let servers: Vec<usize> = (0..capacity.len()).filter(|&j| capacity[j] > 0.0).collect();
        let total: f64 = demand.iter().sum();
        self.carry_over(demand, capacity, servers.len() as f64);
        if servers.is_empty() || total <= 0.0 {
            return;
        }
        // Units again: demand sums to one and capacities average one, so that no step drowns in a scale.
        let (flows, count) = (0..demand.len(), servers.len() as f64);
        let mean = servers.iter().map(|&j| capacity[j]).sum::<f64>() / count;
        let d = |q: usize, j: usize| demand[q] / total / (capacity[j] / mean);
        let load = |a: &[Vec<f64>], j: usize| flows.clone().map(|q| a[q][j] * d(q, j)).sum::<f64>();
        let (prox, prox_l) = (OMEGA / UNIT, OMEGA / UNIT * count);
        for _ in 0..ITERATIONS {
            let (mut a, mut gamma, mut delta) = (self.a.clone(), self.gamma.clone(), self.delta.clone());
            let mut pull = prox_l * self.l - 1.0;
            for &j in &servers {
                let now = load(&self.a, j);
                pull += RHO * (now + self.delta[j]) - self.theta[j];
                let slack = RHO * (self.l - now) + self.theta[j] + prox * self.delta[j];
                delta[j] = (slack / (RHO + prox)).max(0.0);
                self.server_side(j, &mut a, flows.clone().map(|q| d(q, j)).collect());
            }
            let l = (pull / (RHO * count + prox_l)).max(0.0);
            for (q, row) in gamma.iter_mut().enumerate() {
                let near = |&j: &usize| RHO * self.a[q][j] + prox * self.gamma[q][j] - self.phi[q][j];
                let wish: Vec<f64> = servers.iter().map(|j| near(j) / (RHO + prox)).collect();
                servers.iter().zip(on_simplex(&wish)).for_each(|(&j, part)| row[j] = part);
            }
            for &j in &servers {
                self.theta[j] += TAU * RHO * (l - load(&a, j) - delta[j]);
                flows.clone().for_each(|q| self.phi[q][j] += TAU * RHO * (gamma[q][j] - a[q][j]));
            }
            let both = a.iter().zip(&self.a).chain(gamma.iter().zip(&self.gamma));
            let levels = ([l], [self.l]);
            let all = both.map(|(new, old)| (&new[..], &old[..])).chain([(&levels.0[..], &levels.1[..])]);
            let change = relative_change(all);
            (self.l, self.delta, self.a, self.gamma) = (l, delta, a, gamma);
            // While L is held at 0 the rest may stand still before it has begun.
            if l > 0.0 && change < STOP {
                break;
            }
        }
    }

    /// One server's side: its wish falls as its own load rises, so halving finds where they agree.
    fn server_side(&self, j: usize, a: &mut [Vec<f64>], d: Vec<f64>) {
        let omega = OMEGA / UNIT * (1.0 + d.iter().map(|x| x * x).sum::<f64>());
        let wish = |q: usize, load: f64| {
            let pull = d[q] * (self.theta[j] + RHO * (self.l - self.delta[j] - load));
            let near = RHO * self.gamma[q][j] + omega * self.a[q][j] + self.phi[q][j];
            ((pull + near) / (RHO + omega)).clamp(0.0, 1.0)
        };
        let (mut low, mut high) = (0.0, d.iter().sum::<f64>());
        for _ in 0..HALVINGS {
            let middle = (low + high) / 2.0;
            let load: f64 = (0..d.len()).map(|q| d[q] * wish(q, middle)).sum();
            (low, high) = if load > middle { (middle, high) } else { (low, middle) };
        }
        (0..d.len()).for_each(|q| a[q][j] = wish(q, high));
    }
}
