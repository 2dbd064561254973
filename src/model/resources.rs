//! Amounts of CPU, GPU and memory, and what fits into what.

/// An amount of each resource: what a task demands, what a machine has or has free.
#[derive(Debug, Clone, Copy, PartialEq, Default)]
pub struct Resources {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub mem: f64,
}

/// Sums of decimals drift; a machine must not count as full for a rounding.
const EPSILON: f64 = 1e-6;

impl Resources {
    /// Whether this much fits into a capacity.
    pub fn fits_within(&self, capacity: &Resources) -> bool {
        self.cpus <= capacity.cpus + EPSILON
            && self.gpus <= capacity.gpus + EPSILON
            && self.mem <= capacity.mem + EPSILON
    }

    /// Adds another amount.
    pub fn add(&mut self, other: &Resources) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.mem += other.mem;
    }

    /// Takes another amount away.
    pub fn sub(&mut self, other: &Resources) {
        self.cpus -= other.cpus;
        self.gpus -= other.gpus;
        self.mem -= other.mem;
    }

    /// The larger of both in each dimension.
    pub fn max(&self, other: &Resources) -> Resources {
        Resources {
            cpus: self.cpus.max(other.cpus),
            gpus: self.gpus.max(other.gpus),
            mem: self.mem.max(other.mem),
        }
    }

    /// The demand of this many tasks.
    pub fn times(&self, count: u32) -> Resources {
        let count = f64::from(count);
        Resources { cpus: self.cpus * count, gpus: self.gpus * count, mem: self.mem * count }
    }

    /// The largest share of a capacity that this takes in any dimension.
    pub fn dominant_share(&self, capacity: &Resources) -> f64 {
        let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        part(self.cpus, capacity.cpus)
            .max(part(self.gpus, capacity.gpus))
            .max(part(self.mem, capacity.mem))
    }

    /// How many tasks of this demand fit into a capacity.
    pub fn count_fitting(&self, capacity: &Resources) -> u32 {
        let part = |a: f64, b: f64| if a > 0.0 { ((b + EPSILON) / a).floor().max(0.0) } else { 1e6 };
        part(self.cpus, capacity.cpus)
            .min(part(self.gpus, capacity.gpus))
            .min(part(self.mem, capacity.mem)) as u32
    }
}
