//! Which cell a job goes to: the capacity of cells, and the demand of a job.
//!
//! All of it is an estimate: capacity is summed over machines of a class, and may be free in
//! pieces too small for a task.

use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

/// Sums of decimals drift; a machine must not count as full for a rounding.
const EPSILON: f64 = 1e-6;

/// An amount of resources.
#[derive(Debug, Clone, Copy, Default, PartialEq, Encode, Decode)]
pub struct Amount {
    /// CPUs.
    pub cpus: f64,
    /// GPUs.
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
}

impl Amount {
    /// How many times `demand` fits into this.
    pub fn count_fitting(&self, demand: &Amount) -> u32 {
        let share = |free: f64, demand: f64| {
            if demand > 0.0 { ((free + EPSILON) / demand).floor().max(0.0) } else { f64::INFINITY }
        };
        let cpus = share(self.cpus, demand.cpus);
        let gpus = share(self.gpus, demand.gpus);
        let memory = share(self.memory_gb, demand.memory_gb);
        cpus.min(gpus).min(memory) as u32
    }

    /// Adds another amount.
    pub fn add(&mut self, other: &Amount) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts `demand` the given number of times, down to nothing.
    pub fn subtract(&mut self, demand: &Amount, times: u32) {
        let times = f64::from(times);
        self.cpus = (self.cpus - demand.cpus * times).max(0.0);
        self.gpus = (self.gpus - demand.gpus * times).max(0.0);
        self.memory_gb = (self.memory_gb - demand.memory_gb * times).max(0.0);
    }
}

/// Capacity on spot or on-demand machines of one type in one zone.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ClassCapacity {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether these are spot machines.
    pub is_spot: bool,
    /// What one machine has.
    pub machine: Amount,
    /// Free capacity of all machines that are up.
    pub free: Amount,
    /// The most that any one of them has free.
    pub largest: Amount,
    /// Machines that may be requested from the cloud: it has refused none of late.
    pub requestable: u32,
}

impl ClassCapacity {
    fn tasks_in_free_capacity(&self, demand: &Amount) -> u32 {
        if self.largest.count_fitting(demand) == 0 { 0 } else { self.free.count_fitting(demand) }
    }

    fn tasks_on_requested(&self, demand: &Amount) -> u32 {
        self.machine.count_fitting(demand).saturating_mul(self.requestable)
    }

    /// Takes capacity for up to `tasks` tasks. Returns how many found some.
    fn reserve(&mut self, demand: &Amount, tasks: u32) -> u32 {
        let in_free = self.tasks_in_free_capacity(demand).min(tasks);
        self.free.subtract(demand, in_free);
        let on_requested = self.tasks_on_requested(demand).min(tasks - in_free);
        if on_requested > 0 {
            self.requestable -= on_requested.div_ceil(self.machine.count_fitting(demand));
        }
        in_free + on_requested
    }
}

/// Which capacity counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapacityScope {
    /// On machines that are up.
    Free,
    /// That, and on machines that may be requested.
    FreeOrRequestable,
}

/// What a job demands of machines.
#[derive(Debug, Clone, Copy)]
pub struct JobShape<'a> {
    /// What one task takes.
    pub demand: Amount,
    /// Number of tasks.
    pub tasks: u32,
    /// Machine types allowed; any if none.
    pub types: Option<&'a [String]>,
    /// The only zone allowed, if any.
    pub zone: Option<&'a str>,
    /// Whether all tasks must be in one zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    pub spread: bool,
    /// Whether spot machines may be used.
    pub allows_spot: bool,
}

impl JobShape<'_> {
    fn may_use(&self, class: &ClassCapacity) -> bool {
        self.types.is_none_or(|types| types.contains(&class.machine_type))
            && self.zone.is_none_or(|zone| zone == class.zone)
            && (self.allows_spot || !class.is_spot)
    }

    /// How many tasks of the job find capacity.
    pub fn tasks_that_fit(&self, capacity: &[ClassCapacity], scope: CapacityScope) -> u32 {
        let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for class in capacity.iter().filter(|class| self.may_use(class)) {
            let mut fitting = class.tasks_in_free_capacity(&self.demand);
            if scope == CapacityScope::FreeOrRequestable {
                fitting = fitting.saturating_add(class.tasks_on_requested(&self.demand));
            }
            let tasks = by_zone.entry(&class.zone).or_default();
            *tasks = tasks.saturating_add(fitting);
        }
        let most_in_zone = if self.spread { self.tasks.div_ceil(2) } else { self.tasks };
        let zones = by_zone.into_values().map(|tasks| tasks.min(most_in_zone));
        let fitting =
            if self.one_zone { zones.max().unwrap_or(0) } else { zones.fold(0, u32::saturating_add) };
        fitting.min(self.tasks)
    }

    /// How many tasks like the job's find capacity, whatever their number.
    fn spare_tasks(&self, capacity: &[ClassCapacity]) -> u32 {
        let classes = capacity.iter().filter(|class| self.may_use(class));
        let tasks = classes.map(|class| {
            class
                .tasks_in_free_capacity(&self.demand)
                .saturating_add(class.tasks_on_requested(&self.demand))
        });
        tasks.fold(0, u32::saturating_add)
    }

    /// Whether at least the share `min_share` of the tasks, and one at the least, find capacity.
    pub fn fits_within(&self, capacity: &[ClassCapacity], min_share: f64) -> bool {
        let min_tasks = (f64::from(self.tasks) * min_share).ceil().max(1.0);
        f64::from(self.tasks_that_fit(capacity, CapacityScope::FreeOrRequestable)) >= min_tasks
    }

    /// Takes what the job's tasks use out of the capacity that is left for the next job.
    pub fn reserve(&self, capacity: &mut [ClassCapacity]) {
        let mut left = self.tasks;
        for class in capacity.iter_mut().filter(|class| self.may_use(class)) {
            left -= class.reserve(&self.demand, left);
        }
    }
}

/// How well a cell suits a job: the fields count in their order, more is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CellRank {
    /// Tasks of the job that find capacity on machines that are up.
    on_free: u32,
    /// The same with machines that may be requested.
    in_all: u32,
    /// Tasks like the job's for which there is capacity.
    spare: u32,
}

impl CellRank {
    fn of(job: &JobShape, capacity: &[ClassCapacity]) -> CellRank {
        CellRank {
            on_free: job.tasks_that_fit(capacity, CapacityScope::Free),
            in_all: job.tasks_that_fit(capacity, CapacityScope::FreeOrRequestable),
            spare: job.spare_tasks(capacity),
        }
    }
}

/// The cell with capacity for most of the job's tasks on machines that are up, then with those
/// that may be requested, then with most capacity in all; of equal cells the first. `offers`
/// are the cells that may be asked now, with what they have left. Cells with capacity for less
/// than the share `min_share` of the tasks are left out.
pub fn choose<'a>(
    job: &JobShape,
    offers: impl Iterator<Item = (&'a str, &'a [ClassCapacity])>,
    min_share: f64,
) -> Option<&'a str> {
    let mut best: Option<(CellRank, &str)> = None;
    for (cell, capacity) in offers.filter(|(_, capacity)| job.fits_within(capacity, min_share)) {
        let rank = CellRank::of(job, capacity);
        if best.is_none_or(|(highest, _)| rank > highest) {
            best = Some((rank, cell));
        }
    }
    best.map(|(_, cell)| cell)
}
