//! Splits demand by flow over servers so that their loads are even, with the alternating method of the paper
//! "Multi-Resource Load Balancing for Virtual Network Functions" (section IV-B) and in its notation. The
//! iterate is adapted to changed inputs, so that few iterations are needed.
//!
//! Symbols: a flow has index `q`, a server `j`. `l` is the largest load (L), `delta` each server's slack
//! below it (δ), `a` the servers' copies of the shares (â), `gamma` the flows' copies of them (γ). `theta`
//! (ϑ) and `phi` (φ) are the duals that make both copies agree.

use crate::arithmetic::{on_simplex, relative_change};

/// The penalty of the augmented Lagrangian (ρ).
const RHO: f64 = 0.1;
/// The step size of the duals (τ).
const TAU: f64 = 1.0;
/// The iteration stops when the change of the iterate, relative to its length, is below this.
const CONVERGENCE_THRESHOLD: f64 = 0.001;
/// The maximum number of iterations per round.
const MAX_ITERATIONS: usize = 30;
/// The number of bisection steps in the search for one server's load.
const BISECTION_STEPS: usize = 40;
/// The weight of the proximal terms. The paper has ω = 0.3ρ. Here each block is solved in units in which its
/// squared coefficients sum to 0.3, so that ω is ρ and meets the condition of the paper's section IV-C. In
/// the paper's units, without the paper's bound on L, the iteration diverges.
const PROXIMAL: f64 = RHO;

/// An iterate of the solver. It is kept from round to round, because consecutive problems are similar.
#[derive(Clone, Debug, Default)]
pub struct ShareSolver {
    /// The capacities for which the iterate was solved.
    capacity: Vec<f64>,
    l: f64,
    delta: Vec<f64>,
    a: Vec<Vec<f64>>,
    gamma: Vec<Vec<f64>>,
    theta: Vec<f64>,
    phi: Vec<Vec<f64>>,
}

/// The problem to solve. Demand is scaled to a sum of one and capacities to a mean of one, so that step sizes
/// do not depend on the scale of the inputs.
struct Problem<'a> {
    demand: &'a [f64],
    capacity: &'a [f64],
    total_demand: f64,
    mean_capacity: f64,
    /// The servers with a capacity above 0.
    servers: Vec<usize>,
}

impl Problem<'_> {
    fn flows(&self) -> std::ops::Range<usize> {
        0..self.demand.len()
    }

    /// Returns the load that all requests of a flow would cause at a server (d).
    fn coefficient(&self, q: usize, j: usize) -> f64 {
        self.demand[q] / self.total_demand / (self.capacity[j] / self.mean_capacity)
    }

    /// Returns the load of a server under shares `a`.
    fn load(&self, a: &[Vec<f64>], j: usize) -> f64 {
        self.flows().map(|q| a[q][j] * self.coefficient(q, j)).sum()
    }
}

impl ShareSolver {
    /// Returns the shares of the last solution, by flow and server. Each flow's shares sum to one.
    pub fn shares(&self) -> &[Vec<f64>] {
        &self.gamma
    }

    /// Splits `demand` by flow over servers of `capacity`, both per second, starting from the last iterate. A
    /// server of capacity 0 receives nothing.
    pub fn solve(&mut self, demand: &[f64], capacity: &[f64]) {
        let servers: Vec<usize> = (0..capacity.len()).filter(|&j| capacity[j] > 0.0).collect();
        let total_demand: f64 = demand.iter().sum();
        self.carry_over(demand, capacity, servers.len() as f64);
        if servers.is_empty() || total_demand <= 0.0 {
            return;
        }
        let mean_capacity = servers.iter().map(|&j| capacity[j]).sum::<f64>() / servers.len() as f64;
        let problem = Problem { demand, capacity, total_demand, mean_capacity, servers };
        for _ in 0..MAX_ITERATIONS {
            let change = self.iterate(&problem);
            // While L is held at 0, the other blocks may not change although the iteration has not yet made
            // progress.
            if self.l > 0.0 && change < CONVERGENCE_THRESHOLD {
                break;
            }
        }
    }

    /// Runs one iteration: all blocks from the last iterate, then the duals. Returns the relative change.
    fn iterate(&mut self, problem: &Problem) -> f64 {
        let servers = &problem.servers;
        let count = servers.len() as f64;
        let proximal_l = PROXIMAL * count;
        let mut a = self.a.clone();
        let mut delta = self.delta.clone();
        let mut l_numerator = proximal_l * self.l - 1.0;
        for &j in servers {
            let load = problem.load(&self.a, j);
            l_numerator += RHO * (load + self.delta[j]) - self.theta[j];
            let slack = RHO * (self.l - load) + self.theta[j] + PROXIMAL * self.delta[j];
            delta[j] = (slack / (RHO + PROXIMAL)).max(0.0);
            self.solve_server(problem, j, &mut a);
        }
        let l = (l_numerator / (RHO * count + proximal_l)).max(0.0);
        let gamma = self.solve_flows(servers);
        for &j in servers {
            self.theta[j] += TAU * RHO * (l - problem.load(&a, j) - delta[j]);
            for q in problem.flows() {
                self.phi[q][j] += TAU * RHO * (gamma[q][j] - a[q][j]);
            }
        }
        let change = self.change_to(l, &a, &gamma);
        self.l = l;
        self.delta = delta;
        self.a = a;
        self.gamma = gamma;
        change
    }

    /// Solves one server's block. The shares that minimize the server's term fall as the server's assumed
    /// load rises, so bisection finds the assumed load that equals the load that these shares cause.
    fn solve_server(&self, problem: &Problem, j: usize, a: &mut [Vec<f64>]) {
        let d: Vec<f64> = problem.flows().map(|q| problem.coefficient(q, j)).collect();
        let omega = PROXIMAL * (1.0 + d.iter().map(|x| x * x).sum::<f64>());
        let share_at_load = |q: usize, load: f64| {
            let dual_term = d[q] * (self.theta[j] + RHO * (self.l - self.delta[j] - load));
            let proximal_sum = RHO * self.gamma[q][j] + omega * self.a[q][j] + self.phi[q][j];
            ((dual_term + proximal_sum) / (RHO + omega)).clamp(0.0, 1.0)
        };
        let mut low = 0.0;
        let mut high = d.iter().sum::<f64>();
        for _ in 0..BISECTION_STEPS {
            let midpoint = (low + high) / 2.0;
            let load: f64 = (0..d.len()).map(|q| d[q] * share_at_load(q, midpoint)).sum();
            if load > midpoint {
                low = midpoint;
            } else {
                high = midpoint;
            }
        }
        for (q, row) in a.iter_mut().enumerate() {
            row[j] = share_at_load(q, high);
        }
    }

    /// Solves the flows' blocks. Each flow's shares are the unconstrained minimum, moved to the nearest
    /// shares that are 0 or more and sum to one.
    fn solve_flows(&self, servers: &[usize]) -> Vec<Vec<f64>> {
        let mut gamma = self.gamma.clone();
        for (q, row) in gamma.iter_mut().enumerate() {
            let proximal_sum = |j: usize| RHO * self.a[q][j] + PROXIMAL * self.gamma[q][j] - self.phi[q][j];
            let unprojected: Vec<f64> = servers.iter().map(|&j| proximal_sum(j) / (RHO + PROXIMAL)).collect();
            for (&j, share) in servers.iter().zip(on_simplex(&unprojected)) {
                row[j] = share;
            }
        }
        gamma
    }

    /// Returns the change of the iterate to these blocks, relative to its length.
    fn change_to(&self, l: f64, a: &[Vec<f64>], gamma: &[Vec<f64>]) -> f64 {
        let shares = a.iter().zip(&self.a).chain(gamma.iter().zip(&self.gamma));
        let largest_loads = ([l], [self.l]);
        let blocks = shares
            .map(|(new, old)| (&new[..], &old[..]))
            .chain([(&largest_loads.0[..], &largest_loads.1[..])]);
        relative_change(blocks)
    }

    /// Adapts the iterate to new capacities so that the loads of all servers change by the same ratio, and
    /// the changes need no iterations. Shares and server duals scale with capacity; the largest load and the
    /// flow duals scale inversely with the number of servers. New servers start in proportion to their
    /// capacity, and removed servers are cleared.
    fn carry_over(&mut self, demand: &[f64], capacity: &[f64], count: f64) {
        self.resize(demand.len(), capacity.len());
        let total_demand = demand.iter().sum::<f64>().max(f64::MIN_POSITIVE);
        let old_total: f64 = self.capacity.iter().sum();
        let new_total: f64 = capacity.iter().sum();
        let old_count = self.capacity.iter().filter(|old| **old > 0.0).count() as f64;
        let count_ratio = old_count / count.max(1.0);
        for (j, &new) in capacity.iter().enumerate() {
            let old = self.capacity[j];
            let even = new / new_total.max(f64::MIN_POSITIVE);
            let rescale = |value: &mut f64, fresh: f64| {
                *value = if old > 0.0 { *value * even * old_total / old } else { fresh };
            };
            rescale(&mut self.theta[j], -even);
            for row in self.a.iter_mut().chain(&mut self.gamma) {
                rescale(&mut row[j], even);
            }
            for (row, demand) in self.phi.iter_mut().zip(demand) {
                row[j] = if old > 0.0 { row[j] * count_ratio } else { demand / total_demand / count };
            }
            if old <= 0.0 || new <= 0.0 {
                self.delta[j] = 0.0;
            }
            if new <= 0.0 {
                self.phi.iter_mut().for_each(|row| row[j] = 0.0);
            }
        }
        self.capacity.clone_from_slice(capacity);
        self.l = if self.l > 0.0 { self.l * count_ratio } else { 1.0 / count.max(1.0) };
        self.restore_sums(demand, total_demand);
    }

    /// Scales shares and duals to the sums that they have at every optimum.
    fn restore_sums(&mut self, demand: &[f64], total_demand: f64) {
        let scale = |row: &mut Vec<f64>, wanted: f64| {
            let sum = row.iter().sum::<f64>().abs().max(f64::MIN_POSITIVE);
            row.iter_mut().for_each(|value| *value *= wanted / sum);
        };
        self.gamma.iter_mut().for_each(|row| scale(row, 1.0));
        self.a.iter_mut().for_each(|row| scale(row, 1.0));
        scale(&mut self.theta, 1.0);
        for (row, demand) in self.phi.iter_mut().zip(demand) {
            scale(row, demand / total_demand);
        }
    }

    fn resize(&mut self, flows: usize, servers: usize) {
        self.theta.resize(servers, 0.0);
        self.capacity.resize(servers, 0.0);
        self.delta.resize(servers, 0.0);
        for rows in [&mut self.a, &mut self.gamma, &mut self.phi] {
            rows.resize(flows, Vec::new());
            rows.iter_mut().for_each(|row| row.resize(servers, 0.0));
        }
    }
}
