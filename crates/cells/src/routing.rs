//! Which cell a job goes to: what cells have room for, and what a job needs.

use bitcode::{Decode, Encode};
use std::collections::BTreeMap;

/// Sums of decimals drift; a machine must not count as full for a rounding.
const EPSILON: f64 = 1e-6;

/// An amount of machine.
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
    /// How many times `need` goes into this.
    pub fn holds(&self, demand: &Amount) -> u32 {
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

    /// Takes away so many times `need`, down to nothing.
    pub fn reduce(&mut self, demand: &Amount, times: u32) {
        let times = f64::from(times);
        self.cpus = (self.cpus - demand.cpus * times).max(0.0);
        self.gpus = (self.gpus - demand.gpus * times).max(0.0);
        self.memory_gb = (self.memory_gb - demand.memory_gb * times).max(0.0);
    }
}

/// Room on the machines of one type, zone and kind.
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
    /// Free room of all machines that are up.
    pub free: Amount,
    /// The most that any one of them has free.
    pub largest: Amount,
    /// Machines that may be rented: the cloud has refused none of late.
    pub rentable: u32,
}

impl ClassCapacity {
    fn tasks_in_free_room(&self, demand: &Amount) -> u32 {
        if self.largest.holds(demand) == 0 { 0 } else { self.free.holds(demand) }
    }

    fn tasks_on_rented(&self, demand: &Amount) -> u32 {
        self.machine.holds(demand).saturating_mul(self.rentable)
    }

    /// Takes room for up to `tasks` tasks; how many found some.
    fn reserve(&mut self, demand: &Amount, tasks: u32) -> u32 {
        let in_free_room = self.tasks_in_free_room(demand).min(tasks);
        self.free.reduce(demand, in_free_room);
        let on_rented = self.tasks_on_rented(demand).min(tasks - in_free_room);
        if on_rented > 0 {
            self.rentable -= on_rented.div_ceil(self.machine.holds(demand));
        }
        in_free_room + on_rented
    }
}

/// Which room counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Room {
    /// On machines that are up.
    Free,
    /// That, and on machines that may be rented.
    FreeOrRentable,
}

/// What a job needs.
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

    /// How many tasks of the job find room. An estimate: room may be in pieces too small.
    pub fn tasks_that_fit(&self, capacity: &[ClassCapacity], room: Room) -> u32 {
        let mut by_zone: BTreeMap<&str, u32> = BTreeMap::new();
        for class in capacity.iter().filter(|class| self.may_use(class)) {
            let mut fitting = class.tasks_in_free_room(&self.demand);
            if room == Room::FreeOrRentable {
                fitting = fitting.saturating_add(class.tasks_on_rented(&self.demand));
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

    /// How many tasks like the job's find room, whatever their number.
    fn spare_tasks(&self, capacity: &[ClassCapacity]) -> u32 {
        let classes = capacity.iter().filter(|class| self.may_use(class));
        let tasks = classes.map(|class| {
            class.tasks_in_free_room(&self.demand).saturating_add(class.tasks_on_rented(&self.demand))
        });
        tasks.fold(0, u32::saturating_add)
    }

    /// Whether at least `least_share` of the tasks, and one at the least, find room.
    pub fn fits_within(&self, capacity: &[ClassCapacity], least_share: f64) -> bool {
        let least = (f64::from(self.tasks) * least_share).ceil().max(1.0);
        f64::from(self.tasks_that_fit(capacity, Room::FreeOrRentable)) >= least
    }

    /// Takes the job's tasks out of the room that is left for the next job.
    pub fn reserve(&self, capacity: &mut [ClassCapacity]) {
        let mut left = self.tasks;
        for class in capacity.iter_mut().filter(|class| self.may_use(class)) {
            left -= class.reserve(&self.demand, left);
        }
    }
}

/// The cell with room for most of the job's tasks on machines that are up, then on ones
/// to be rented, then with most room beside them; of equal cells the first. `offers` are cells that may be asked now, with
/// what they have left.
pub fn choose<'a>(
    job: &JobShape,
    offers: impl Iterator<Item = (&'a str, &'a [ClassCapacity])>,
    least_share: f64,
) -> Option<&'a str> {
    let mut best: Option<((u32, u32, u32), &str)> = None;
    for (cell, capacity) in offers.filter(|(_, capacity)| job.fits_within(capacity, least_share)) {
        let free = job.tasks_that_fit(capacity, Room::Free);
        let in_all = job.tasks_that_fit(capacity, Room::FreeOrRentable);
        let rank = (free, in_all, job.spare_tasks(capacity));
        if best.is_none_or(|(highest, _)| rank > highest) {
            best = Some((rank, cell));
        }
    }
    best.map(|(_, cell)| cell)
}
