//! Amounts of CPU, GPU and memory, and whether a demand fits into a capacity.

/// An amount of each resource: the demand of a task, or the total or free capacity of a machine.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

/// Tolerance when a demand is compared with a capacity: sums of decimal fractions accumulate
/// rounding errors, which must not make a machine count as full.
const EPSILON: f64 = 1e-6;

impl Resources {
    /// Whether this amount fits into a capacity.
    pub fn fits_within(&self, capacity: &Resources) -> bool {
        self.cpus <= capacity.cpus + EPSILON
            && self.gpus <= capacity.gpus + EPSILON
            && self.memory_gb <= capacity.memory_gb + EPSILON
    }

    /// Adds another amount.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts another amount.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.memory_gb -= other.memory_gb;
    }

    /// Returns the larger of both amounts in each dimension.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
            memory_gb: self.memory_gb.max(other.memory_gb),
        }
    }

    /// Returns this amount multiplied by a number of tasks.
    pub fn times(&self, count: u32) -> Resources {
        let count = f64::from(count);
        Resources { cpus: self.cpus * count, gpus: self.gpus * count, memory_gb: self.memory_gb * count }
    }

    /// Returns the largest share of a capacity that this amount takes up in any dimension.
    pub fn dominant_share(&self, capacity: &Resources) -> f64 {
        let share = |amount: f64, available: f64| if available > 0.0 { amount / available } else { 0.0 };
        share(self.cpus, capacity.cpus)
            .max(share(self.gpus, capacity.gpus))
            .max(share(self.memory_gb, capacity.memory_gb))
    }

    /// Returns how many tasks of this demand fit into a capacity.
    pub fn count_fitting(&self, capacity: &Resources) -> u32 {
        let fitting = |demand: f64, available: f64| {
            if demand > 0.0 { ((available + EPSILON) / demand).floor().max(0.0) } else { 1e6 }
        };
        fitting(self.cpus, capacity.cpus)
            .min(fitting(self.gpus, capacity.gpus))
            .min(fitting(self.memory_gb, capacity.memory_gb)) as u32
    }
}
