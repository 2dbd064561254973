//! What everything else speaks of: resources, jobs, machine types, and the
//! dense indices that names are mapped to at the user API.

use serde::{Deserialize, Serialize};

/// Milliseconds of the steady clock.
pub type Ms = u64;

/// Work of a higher priority sorts later.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Priority {
    /// Runs when nothing else waits.
    #[serde(rename = "l")]
    Low,
    /// The usual priority.
    #[serde(rename = "n")]
    Normal,
    /// Goes before normal work.
    #[serde(rename = "h")]
    High,
    /// Goes before everything else.
    #[serde(rename = "p")]
    Production,
}

/// A job as accepted. Short names keep the record small; it is written once.
#[derive(Debug, Clone, Serialize, Deserialize, PartialEq)]
pub struct Spec {
    /// Class of jobs that it belongs to.
    #[serde(rename = "k", default)]
    pub class: String,
    /// Team whose guarantee and limit apply.
    #[serde(rename = "m")]
    pub team: String,
    /// The job's own priority.
    #[serde(rename = "p")]
    pub priority: Priority,
    /// Number of tasks.
    #[serde(rename = "n")]
    pub tasks: u32,
    /// CPUs of one task.
    #[serde(rename = "c")]
    pub cpus: f64,
    /// GPUs of one task.
    #[serde(rename = "g", default)]
    pub gpus: f64,
    /// Memory of one task.
    #[serde(rename = "w")]
    pub memory_gb: f64,
    /// Machine types allowed; any if absent.
    #[serde(rename = "y", default, skip_serializing_if = "Option::is_none")]
    pub types: Option<Vec<String>>,
    /// The only zone allowed, if any.
    #[serde(rename = "z", default, skip_serializing_if = "Option::is_none")]
    pub zone: Option<String>,
    /// Whether all tasks must be in one zone.
    #[serde(rename = "o", default)]
    pub one_zone: bool,
    /// Whether at most half of the tasks may be in one zone.
    #[serde(rename = "x", default)]
    pub spread: bool,
    /// Whether spot machines may be used.
    #[serde(rename = "s", default)]
    pub spot: bool,
    /// Image that a machine needs to run a task.
    #[serde(rename = "i", default)]
    pub image: String,
    /// Size of the image.
    #[serde(rename = "ig", default)]
    pub image_gb: f64,
    /// The owner's estimate of a task's run time.
    #[serde(rename = "e")]
    pub estimate_s: f64,
    /// Interval of checkpoints; 0 if a task never saves.
    #[serde(rename = "b", default)]
    pub checkpoint_s: f64,
    /// Time that a task needs to save when it is stopped.
    #[serde(rename = "v", default)]
    pub save_s: f64,
    /// When the job should be done, counted from its submission.
    #[serde(rename = "d", default, skip_serializing_if = "Option::is_none")]
    pub deadline_s: Option<f64>,
    /// Time of day of the acceptance.
    #[serde(rename = "a", default)]
    pub at_ms: u64,
}

impl Spec {
    /// What one task takes of its machine.
    pub fn need(&self) -> Resources {
        Resources { cpus: self.cpus, gpus: self.gpus, mem: self.memory_gb }
    }
}

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
    pub fn fits_within(&self, room: &Resources) -> bool {
        self.cpus <= room.cpus + EPS && self.gpus <= room.gpus + EPS && self.mem <= room.mem + EPS
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
    pub fn dominant_share(&self, room: &Resources) -> f64 {
        let part = |a: f64, b: f64| if b > 0.0 { a / b } else { 0.0 };
        part(self.cpus, room.cpus).max(part(self.gpus, room.gpus)).max(part(self.mem, room.mem))
    }

    /// How many tasks of this size go into `room`.
    pub fn count_fitting(&self, room: &Resources) -> u32 {
        let part = |a: f64, b: f64| if a > 0.0 { ((b + EPS) / a).floor().max(0.0) } else { 1e6 };
        part(self.cpus, room.cpus).min(part(self.gpus, room.gpus)).min(part(self.mem, room.mem)) as u32
    }
}

/// A machine type from the catalog.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// What one machine has.
    pub room: Resources,
    /// Room for images.
    pub cache_gb: f64,
    /// Rate at which images are fetched.
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine per hour.
    pub price: f64,
    /// Present price of a spot machine per hour.
    pub spot_price: f64,
    /// Usual boot time.
    pub boot_s: f64,
    /// Zones in which the type can be rented.
    pub zones: Vec<String>,
}

impl From<crate::wire::cloud::MachineType> for MachineType {
    fn from(t: crate::wire::cloud::MachineType) -> Self {
        MachineType {
            room: Resources { cpus: t.cpus, gpus: t.gpus, mem: t.memory_gb },
            name: t.name,
            cache_gb: t.cache_gb,
            fetch_gb_per_s: t.fetch_gb_per_s.max(0.01),
            price: t.price,
            spot_price: t.spot_price,
            boot_s: t.boot_s,
            zones: t.zones,
        }
    }
}

/// A type keeps its index for as long as the process runs, even if a later
/// catalog has it elsewhere or no more.
pub fn merge_types(old: &[MachineType], new: Vec<MachineType>) -> Vec<MachineType> {
    let mut out = old.to_vec();
    for t in new {
        match out.iter_mut().find(|o| o.name == t.name) {
            Some(o) => *o = t,
            None => out.push(t),
        }
    }
    out
}

/// One block of machines: a part of one zone.
#[derive(Debug, Clone, PartialEq)]
pub struct Shard {
    /// Name of the block.
    pub name: String,
    /// Zone that all its machines are in.
    pub zone: String,
    /// The node that has it by preference.
    pub home: Option<String>,
    /// Which part of the zone's machines it has.
    pub part: u32,
    /// Number of blocks in the zone.
    pub parts: u32,
}

/// Every node derives the same blocks from the same settings: one for each
/// controller of a zone, and one for a zone without a controller.
pub fn shards_of(zones: &[String], nodes: &[(String, String)]) -> Vec<Shard> {
    let mut zones: Vec<String> = zones.to_vec();
    zones.extend(nodes.iter().map(|(_, z)| z.clone()));
    zones.sort();
    zones.dedup();
    let mut out = Vec::new();
    for zone in zones {
        let mut homes: Vec<&String> = nodes.iter().filter(|(_, z)| *z == zone).map(|(n, _)| n).collect();
        homes.sort();
        let parts = homes.len().max(1) as u32;
        for part in 0..parts {
            out.push(Shard {
                name: format!("{zone}.{part}"),
                zone: zone.clone(),
                home: homes.get(part as usize).map(|s| s.to_string()),
                part,
                parts,
            });
        }
    }
    out
}

/// Machine names end in digits that count up, which spreads them evenly.
pub fn shard_of(shards: &[Shard], zone: &str, machine: &str) -> Option<u32> {
    let digits: String = machine.chars().filter(char::is_ascii_digit).collect();
    let tail = &digits[digits.len().saturating_sub(9)..];
    let number: u32 = tail.parse().unwrap_or(0);
    shards.iter().position(|b| b.zone == zone && number % b.parts == b.part).map(|ix| ix as u32)
}

/// `run-000412/3` -> (`run-000412`, 3)
pub fn split_task(name: &str) -> Option<(&str, u32)> {
    let (job, task) = name.rsplit_once('/')?;
    Some((job, task.parse().ok()?))
}

/// A set of task numbers that are done.
#[derive(Debug, Clone, Default, PartialEq)]
pub struct TaskSet {
    words: Vec<u64>,
    count: u32,
}

impl TaskSet {
    /// An empty set for tasks 0 to `tasks` - 1.
    pub fn with_room(tasks: u32) -> Self {
        TaskSet { words: vec![0; tasks.div_ceil(64) as usize], count: 0 }
    }

    /// Adds a task; whether it was new.
    pub fn insert(&mut self, task: u32) -> bool {
        let Some(word) = self.words.get_mut((task / 64) as usize) else { return false };
        let bit = 1 << (task % 64);
        let new = *word & bit == 0;
        *word |= bit;
        self.count += new as u32;
        new
    }

    /// Whether the task is in the set.
    pub fn contains(&self, task: u32) -> bool {
        self.words.get((task / 64) as usize).is_some_and(|w| w & (1 << (task % 64)) != 0)
    }

    /// Number of tasks in the set.
    pub fn len(&self) -> u32 {
        self.count
    }

    /// Whether the set is empty.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// The part of the set in words `from..to`, as hexadecimal text with the
    /// trailing zeros left out.
    pub fn to_hex(&self, from: usize, to: usize) -> String {
        let words = &self.words[from.min(self.words.len())..to.min(self.words.len())];
        let mut s: String = words.iter().map(|w| format!("{:016x}", w.swap_bytes())).collect();
        s.truncate(s.trim_end_matches('0').len());
        s
    }

    /// Adds what `to_hex` wrote. Anything unreadable adds nothing.
    pub fn add_hex(&mut self, from: usize, text: &str) {
        for (i, c) in text.chars().enumerate() {
            let Some(v) = c.to_digit(16) else { return };
            for bit in 0..4 {
                if v & (1 << bit) != 0 {
                    // High digit first within a byte, low byte first.
                    let byte = i / 2;
                    let pos = byte * 8 + if i % 2 == 0 { 4 } else { 0 } + bit;
                    self.insert((from * 64 + pos) as u32);
                }
            }
        }
    }
}

/// The order in which waiting jobs are served; smaller comes first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct JobOrder {
    /// Higher priorities come first.
    pub priority: std::cmp::Reverse<Priority>,
    /// Every aim that it could be started for is missed.
    pub late: bool,
    /// Time left until the job can no longer be started for its next aim.
    pub slack_ms: i64,
}
