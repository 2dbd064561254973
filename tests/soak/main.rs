//! Clusters under random faults with short gaps between them: teams at their limits, and pipelines
//! while all nodes are killed again and again.
//!
//! CI runs a few fixed seeds. `SOAK_SEEDS=200 SOAK_FIRST=1000 cargo test --release --test soak`
//! runs others (CONTRIBUTING.md). A seed that breaks a rule is printed, and can be replayed
//! identically with `SOAK_SEEDS=1 SOAK_FIRST=<seed>`; `SOAK_LOG=debug` also prints the logs of the
//! nodes, with the simulated time and the faults.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

#[path = "../support/mod.rs"]
mod support;

mod faults;
mod restarts;

use faults::Faults;
use rand::RngExt;
use serde_json::json;
use support::{SaturatedTeams, World, ZONES, job};
use tracing::Level;

/// CPUs of each task, out of the sixteen of a machine.
const CPUS_PER_TASK: u32 = 4;
const CPUS_PER_MACHINE: u32 = 16;
const TASKS_PER_JOB: u32 = 40;
/// Time for the machines to start and for a leader to be elected.
const WARM_UP_MS: u64 = 14_000;
/// Duration of the phase in which faults are drawn.
const FAULT_PHASE_MS: u64 = 90_000;
/// Time after the end of all faults within which all accepted jobs have to be done.
const RECOVERY_MS: u64 = 240_000;

/// Size and load of a simulated cluster.
#[derive(Debug, Clone, Copy)]
struct Cluster {
    nodes: usize,
    machines: usize,
    teams: SaturatedTeams,
    /// Work of each team, in multiples of the tasks that its limit allows at the same time.
    rounds: u32,
}

impl Cluster {
    /// Returns a cluster of `machines` machines with teams whose limits add up to nearly all of
    /// them.
    fn new(nodes: usize, machines: usize, teams: u32, is_fleet: bool) -> Cluster {
        let cpus_max = machines as u32 * CPUS_PER_MACHINE * 9 / 10 / teams;
        // A limit that is no multiple of a task's CPUs, and a guarantee close to it.
        let cpus_max = cpus_max / CPUS_PER_TASK * CPUS_PER_TASK + 1;
        let teams = SaturatedTeams { count: teams, cpus: cpus_max * 9 / 10, cpus_max, is_fleet };
        Cluster { nodes, machines, teams, rounds: if is_fleet { 3 } else { 8 } }
    }

    /// Starts the world with its machines and waits until they are up and a leader is elected.
    fn start_idle(self, seed: u64) -> World {
        let mut world = World::saturated(self.nodes, seed, self.teams);
        world.cloud.capacity = self.machines;
        world.cloud.created_count = self.machines;
        for number in 0..self.machines {
            let boot_ms = world.rng.random_range(200..6_000);
            world.add_worker(number, ZONES[number % ZONES.len()], number % 3 == 0, boot_ms);
        }
        world.run(WARM_UP_MS);
        world
    }

    /// Starts the world and submits more work than the teams may run at once.
    fn start(self, seed: u64) -> World {
        let mut world = self.start_idle(seed);
        let tasks_per_team = self.teams.cpus_max / CPUS_PER_TASK * self.rounds;
        let jobs_per_team = tasks_per_team.div_ceil(TASKS_PER_JOB);
        for number in 0..jobs_per_team * self.teams.count {
            self.submit(&mut world, number);
        }
        world
    }

    fn submit(self, world: &mut World, number: u32) {
        let team = format!("t{}", number % self.teams.count);
        let mut submission = job(number, &team, TASKS_PER_JOB, 8.0);
        match world.rng.random_range(0..12) {
            0 => submission["yard"] = json!(ZONES[number as usize % ZONES.len()]),
            1 => submission["one_zone"] = json!(true),
            2 => submission["scatter"] = json!(true),
            3 => submission["urgency"] = json!("urgent"),
            4 => submission["standby"] = json!(false),
            _ => {}
        }
        let node = world.rng.random_range(0..self.nodes);
        world.submit(node, &submission);
        world.run(25);
    }
}

/// Result of one seed.
struct Outcome {
    /// The rules that were broken.
    broken: Vec<String>,
    /// Number of starts that were checked.
    starts: u64,
    /// Number of leaders that were elected.
    takeovers: usize,
}

/// Runs a seed with teams at their limits.
fn run_saturated(cluster: Cluster, seed: u64) -> Outcome {
    let mut world = cluster.start(seed);
    let mut faults = Faults::default();
    let end = world.now + FAULT_PHASE_MS;
    while world.now < end {
        world.task_duration_ms = world.rng.random_range(3_000..14_000);
        world.fetch_ms = world.rng.random_range(200..4_000);
        faults.draw(&mut world);
        let pause_ms = world.rng.random_range(100..2_500);
        faults.run(&mut world, pause_ms);
    }
    faults.end(&mut world);
    world.task_duration_ms = 5_000;
    finish(world, faults.takeovers())
}

/// Waits until all accepted jobs are done, and returns the result.
fn finish(mut world: World, takeovers: usize) -> Outcome {
    let end = world.now + RECOVERY_MS;
    while world.now < end && !open_jobs(&world).is_empty() {
        world.run(2_000);
    }
    let open = open_jobs(&world);
    let mut broken = std::mem::take(&mut world.oracle.violations);
    if !open.is_empty() {
        broken.push(format!("not done {} s after the last fault: {open:?}", RECOVERY_MS / 1000));
    }
    Outcome { broken, starts: world.oracle.checked_starts, takeovers }
}

/// Returns the accepted jobs that are neither done nor cancelled.
fn open_jobs(world: &World) -> Vec<String> {
    let is_open = |id: &&String| world.store.job(id).is_some_and(|record| record["s"] == "l");
    world.users.jobs.keys().filter(is_open).cloned().collect()
}

/// Prints the logs of the nodes if `SOAK_LOG` names a level.
fn log_from_env() {
    let level = std::env::var("SOAK_LOG").ok().and_then(|level| level.parse::<Level>().ok());
    if let Some(level) = level {
        let subscriber = tracing_subscriber::fmt().with_max_level(level).without_time();
        // Both tests call this, and only the first call can set the subscriber.
        let _ = subscriber.with_ansi(false).with_writer(std::io::stdout).try_init();
    }
}

fn number_from_env(name: &str) -> Option<u64> {
    std::env::var(name).ok()?.parse().ok()
}

/// Runs seeds on the two clusters, of three and of five nodes, in turn.
fn soak(clusters: [Cluster; 2], default_seeds: u64, run_seed: fn(Cluster, u64) -> Outcome) {
    log_from_env();
    let first = number_from_env("SOAK_FIRST").unwrap_or(0);
    let seeds = number_from_env("SOAK_SEEDS").unwrap_or(default_seeds);
    let mut failed = Vec::new();
    let (mut starts, mut takeovers) = (0, 0);
    for seed in first..first + seeds {
        let cluster = clusters[seed as usize % clusters.len()];
        let outcome = run_seed(cluster, seed);
        starts += outcome.starts;
        takeovers += outcome.takeovers;
        let broken = outcome.broken;
        if !broken.is_empty() {
            let first_broken = &broken[..broken.len().min(3)];
            println!("seed {seed}, {} nodes: {} broken: {first_broken:?}", cluster.nodes, broken.len());
            failed.push(seed);
        }
    }
    println!(
        "{seeds} seeds from {first}, {starts} starts checked, {takeovers} takeovers, \
         seeds that broke a rule: {failed:?}"
    );
    assert!(failed.is_empty(), "seeds {failed:?}");
}

#[test]
fn teams_keep_to_their_limits_on_a_hundred_machines() {
    soak([Cluster::new(3, 110, 5, false), Cluster::new(5, 110, 5, false)], 48, run_saturated);
}

#[test]
fn teams_keep_to_their_limits_on_fifteen_hundred_machines() {
    soak([Cluster::new(3, 1_500, 8, true), Cluster::new(5, 1_500, 8, true)], 8, run_saturated);
}

#[test]
fn pipelines_run_once_while_all_nodes_restart_and_store_calls_are_slow() {
    let clusters = [Cluster::new(3, 110, 5, false), Cluster::new(5, 110, 5, false)];
    soak(clusters, 24, restarts::run_pipelines);
}
