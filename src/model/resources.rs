//! Amounts of CPU, GPU and memory, and what fits into what.

/// An amount of machine: what a task takes, what a machine has.
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
const EPS: f64 = 1e-6;

impl Resources {
    /// Whether this much fits into `room`.
    pub fn fits_within(&self, capacity: &Resources) -> bool {
        self.cpus <= capacity.cpus + EPS
            && self.gpus <= capacity.gpus + EPS
            && self.mem <= capacity.mem + EPS
    }

    /// Adds another amount.
    pub fn add(&mut self, o: &Resources) {
        self.cpus += o.cpus;
        self.gpus += o.gpus;
        self.mem += o.mem;
    }

    /// Takes another amount away.
    pub fn sub(&mut self, o: &Resources) {
        self.cpus -= o.cpus;
        self.gpus -= o.gpus;
        self.mem -= o.mem;
    }

    /// The larger of both in each dimension.
    pub fn max(&self, o: &Resources) -> Resources {
        Resources { cpus: self.cpus.max(o.cpus), gpus: self.gpus.max(o.gpus), mem: self.mem.max(o.mem) }
    }

    /// So many times this.
    pub fn times(&self, n: u32) -> Resources {
        let n = f64::from(n);
        Resources { cpus: self.cpus * n, gpus: self.gpus * n, mem: self.mem * n }
    }

    /// The largest share of `room` taken in any dimension.
    pub fn dominant_share(&self, capacity: &Resources) -> f64 {
        let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        part(self.cpus, capacity.cpus)
            .max(part(self.gpus, capacity.gpus))
            .max(part(self.mem, capacity.mem))
    }

    /// How many tasks of this size go into `room`.
    pub fn count_fitting(&self, capacity: &Resources) -> u32 {
        let part = |a: f64, b: f64| if a > 0.0 { ((b + EPS) / a).floor().max(0.0) } else { 1e6 };
        part(self.cpus, capacity.cpus)
            .min(part(self.gpus, capacity.gpus))
            .min(part(self.mem, capacity.mem)) as u32
    }
}
