//! Choice of the cell that a job is forwarded to, from the capacity of cells and the demand of
//! the job.
//!
//! The result is an estimate: capacity is summed over the machines of a class, and may be
//! fragmented into pieces that are too small for a task.

use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

/// Tolerance for the rounding errors of sums, so that a machine does not count as full because
/// of one.
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
    /// Returns how many times `demand` fits into this amount.
    pub fn count_fitting(&self, demand: &Amount) -> u32 {
        let count = |free: f64, demand: f64| {
            if demand > 0.0 { ((free + EPSILON) / demand).floor().max(0.0) } else { f64::INFINITY }
        };
        let cpus = count(self.cpus, demand.cpus);
        let gpus = count(self.gpus, demand.gpus);
        let memory = count(self.memory_gb, demand.memory_gb);
        cpus.min(gpus).min(memory) as u32
    }

    /// Adds another amount to this one.
    pub fn add(&mut self, other: &Amount) {
        self.cpus += other.cpus;
        self.gpus += other.gpus;
        self.memory_gb += other.memory_gb;
    }

    /// Subtracts `demand` the given number of times. No resource falls below zero.
    pub fn subtract(&mut self, demand: &Amount, times: u32) {
        let times = f64::from(times);
        self.cpus = (self.cpus - demand.cpus * times).max(0.0);
        self.gpus = (self.gpus - demand.gpus * times).max(0.0);
        self.memory_gb = (self.memory_gb - demand.memory_gb * times).max(0.0);
    }
}

/// Capacity of one class of machines: the spot or the on-demand machines of one type in one zone.
#[derive(Debug, Clone, PartialEq, Encode, Decode)]
pub struct ClassCapacity {
    /// Machine type.
    pub machine_type: String,
    /// Zone.
    pub zone: String,
    /// Whether these are spot machines.
    pub is_spot: bool,
    /// Total resources of one machine.
    pub machine: Amount,
    /// Sum of the free capacity of the machines that accept tasks now, and of the total resources
    /// of those that are booting or requested, minus the demand of jobs with a reservation.
    pub free: Amount,
    /// Largest amount of each resource that is free on any one of these machines, without regard
    /// to reservations.
    pub largest_free: Amount,
    /// Number of further machines that may be requested from the cloud, minus those reserved for
    /// jobs; 0 if the cloud has refused to rent such machines recently.
    pub requestable: u32,
}

impl ClassCapacity {
    /// Returns how many tasks fit into [`ClassCapacity::free`].
    fn tasks_in_free_capacity(&self, demand: &Amount) -> u32 {
        if self.largest_free.count_fitting(demand) == 0 { 0 } else { self.free.count_fitting(demand) }
    }

    /// Returns how many tasks fit on the further machines that may be requested.
    fn tasks_on_requestable(&self, demand: &Amount) -> u32 {
        self.machine.count_fitting(demand).saturating_mul(self.requestable)
    }

    /// Reserves capacity for up to `tasks` tasks. Returns the number of tasks that fit.
    fn reserve(&mut self, demand: &Amount, tasks: u32) -> u32 {
        let in_free = self.tasks_in_free_capacity(demand).min(tasks);
        self.free.subtract(demand, in_free);
        let on_requestable = self.tasks_on_requestable(demand).min(tasks - in_free);
        if on_requestable > 0 {
            self.requestable -= on_requestable.div_ceil(self.machine.count_fitting(demand));
        }
        in_free + on_requestable
    }
}

/// Which machines' capacity is counted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CapacityScope {
    /// Existing, booting and requested machines, as counted in [`ClassCapacity::free`].
    Free,
    /// The same machines, and further ones that may be requested.
    FreeOrRequestable,
}

/// Resource demand and placement constraints of a job.
#[derive(Debug, Clone, Copy)]
pub struct JobShape<'a> {
    /// Resources that one task takes.
    pub demand: Amount,
    /// Number of tasks.
    pub tasks: u32,
    /// Allowed machine types; none if all are allowed.
    pub types: Option<&'a [String]>,
    /// The only allowed zone; none if all are allowed.
    pub zone: Option<&'a str>,
    /// Whether all tasks must be in one zone.
    pub one_zone: bool,
    /// Whether at most half of the tasks (rounded up) may be in one zone.
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

    /// Returns how many tasks of the job fit into the capacity.
    pub fn tasks_that_fit(&self, capacity: &[ClassCapacity], scope: CapacityScope) -> u32 {
        let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for class in capacity.iter().filter(|class| self.may_use(class)) {
            let mut fitting = class.tasks_in_free_capacity(&self.demand);
            if scope == CapacityScope::FreeOrRequestable {
                fitting = fitting.saturating_add(class.tasks_on_requestable(&self.demand));
            }
            let tasks = by_zone.entry(&class.zone).or_default();
            *tasks = tasks.saturating_add(fitting);
        }
        let max_per_zone = if self.spread { self.tasks.div_ceil(2) } else { self.tasks };
        let zones = by_zone.into_values().map(|tasks| tasks.min(max_per_zone));
        let fitting =
            if self.one_zone { zones.max().unwrap_or(0) } else { zones.fold(0, u32::saturating_add) };
        fitting.min(self.tasks)
    }

    /// Returns how many tasks with the job's demand fit into the capacity, even if they are more
    /// than the job has.
    fn task_capacity(&self, capacity: &[ClassCapacity]) -> u32 {
        let classes = capacity.iter().filter(|class| self.may_use(class));
        let tasks = classes.map(|class| {
            class
                .tasks_in_free_capacity(&self.demand)
                .saturating_add(class.tasks_on_requestable(&self.demand))
        });
        tasks.fold(0, u32::saturating_add)
    }

    /// Whether at least the share `min_share` of the tasks, and at least one task, fit into the
    /// capacity.
    pub fn fits_within(&self, capacity: &[ClassCapacity], min_share: f64) -> bool {
        let min_tasks = (f64::from(self.tasks) * min_share).ceil().max(1.0);
        f64::from(self.tasks_that_fit(capacity, CapacityScope::FreeOrRequestable)) >= min_tasks
    }

    /// Subtracts the resources of the job's tasks from the capacity that is left for other jobs.
    pub fn reserve(&self, capacity: &mut [ClassCapacity]) {
        let mut remaining_tasks = self.tasks;
        for class in capacity.iter_mut().filter(|class| self.may_use(class)) {
            remaining_tasks -= class.reserve(&self.demand, remaining_tasks);
        }
    }
}

/// Rank of a cell for a job. Ranks are compared field by field in this order; larger is better.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
struct CellRank {
    /// Number of the job's tasks that fit into the free capacity.
    tasks_in_free: u32,
    /// Number of the job's tasks that fit, including on further machines that may be requested.
    tasks_in_total: u32,
    /// Number of tasks with the job's demand that fit, even if they are more than the job has.
    task_capacity: u32,
}

impl CellRank {
    fn of(job: &JobShape, capacity: &[ClassCapacity]) -> CellRank {
        CellRank {
            tasks_in_free: job.tasks_that_fit(capacity, CapacityScope::Free),
            tasks_in_total: job.tasks_that_fit(capacity, CapacityScope::FreeOrRequestable),
            task_capacity: job.task_capacity(capacity),
        }
    }
}

/// Returns the best cell for a job: the one whose free capacity has room for the most of the job's
/// tasks, then the one with room for the most if further machines that may be requested are
/// included, then the one with the most capacity for such tasks in total. Of equal cells it is the
/// first.
///
/// `offers` lists the cells that may be offered a job now, with their remaining capacity. Cells
/// with capacity for less than the share `min_share` of the tasks are left out.
pub fn choose_cell<'a>(
    job: &JobShape,
    offers: impl Iterator<Item = (&'a str, &'a [ClassCapacity])>,
    min_share: f64,
) -> Option<&'a str> {
    let mut best: Option<(CellRank, &str)> = None;
    for (cell, capacity) in offers.filter(|(_, capacity)| job.fits_within(capacity, min_share)) {
        let rank = CellRank::of(job, capacity);
        if best.is_none_or(|(best_rank, _)| rank > best_rank) {
            best = Some((rank, cell));
        }
    }
    best.map(|(_, cell)| cell)
}
