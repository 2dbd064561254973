//! A model of three cells and the network between them: stores, leaders that fail and restart
//! from the stores, messages that are lost, repeated and late, and writes that are executed
//! late. Random walks through the model look for a job that two cells run at once, for tasks
//! that outlive a cancellation, and for jobs that never end. All decisions are made by the
//! functions that the service uses.

mod host;
mod network;
mod origin;

use host::Host;
use network::Network;
use origin::OriginCell;
use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use woadlever_cells::Millis;
use woadlever_cells::lease::CellTiming;

const TIMING: CellTiming = CellTiming { worker_lease_ms: 20_000, cancel_ms: 40_000, clock_error_ms: 50 };
/// Time on the model's clock at which a walk begins.
const START_MS: Millis = 100_000;
/// Time between two steps.
const STEP_MS: Millis = 250;
/// Run time of the job's only task.
const RUN_MS: Millis = 15_000;
const ORIGIN: &str = "a";
const HOSTS: [&str; 2] = ["b", "c"];
/// Time during which faults are injected. Every job must end in the rest of the walk.
const FAULTS_MS: Millis = 240_000;
/// Length of a walk.
const WALK_MS: Millis = 600_000;

/// Recorded state of a job.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum State {
    Live,
    Done,
    Cancelled,
}

/// The task of the job on a machine of some cell.
#[derive(Debug, Clone, Copy)]
struct Task {
    started: Millis,
    /// Time of the last response that allowed the task to continue.
    renewed: Millis,
}

impl Task {
    fn start(now: Millis) -> Task {
        Task { started: now, renewed: now }
    }

    fn has_finished(&self, now: Millis) -> bool {
        now >= self.started + RUN_MS
    }
}

struct Model {
    now: Millis,
    rng: StdRng,
    /// Probability of each kind of fault per step.
    fault_rate: f64,
    origin: OriginCell,
    hosts: [Host; 2],
    network: Network,
    cancelled_at: Option<Millis>,
}

impl Model {
    fn new(seed: u64, fault_rate: f64) -> Model {
        Model {
            now: START_MS,
            rng: StdRng::seed_from_u64(seed),
            fault_rate,
            origin: OriginCell::default(),
            hosts: Default::default(),
            network: Network::default(),
            cancelled_at: None,
        }
    }

    fn chance(&mut self, rate: f64) -> bool {
        self.rng.random_range(0.0..1.0) < rate
    }

    fn has_faults(&self) -> bool {
        self.now < START_MS + FAULTS_MS
    }

    /// Cuts links and replaces leaders at random.
    fn inject_faults(&mut self) {
        if self.now > START_MS + FAULTS_MS {
            return;
        }
        let rate = self.fault_rate;
        for host in 0..HOSTS.len() {
            if self.chance(rate) {
                self.network.cut_until[host] = self.now + self.rng.random_range(1_000..60_000);
            }
            if self.chance(rate) {
                let down_until = self.now + self.rng.random_range(500..60_000);
                self.hosts[host].lose_leader(down_until);
            }
            if self.chance(rate) {
                self.hosts[host].workers_cut_until = self.now + self.rng.random_range(1_000..40_000);
            }
        }
        if self.chance(rate) {
            let down_until = self.now + self.rng.random_range(500..20_000);
            self.origin.lose_leader(down_until);
        }
    }

    fn cancel(&mut self) {
        self.origin.write(State::Cancelled, None);
        self.cancelled_at = Some(self.now);
    }

    fn cells_with_task(&self) -> usize {
        let hosts = self.hosts.iter().filter(|host| host.task.is_some()).count();
        hosts + usize::from(self.origin.task.is_some())
    }

    fn run(&mut self, cancel_after: Option<Millis>) -> Result<(), TestCaseError> {
        while self.now < START_MS + WALK_MS {
            self.now += STEP_MS;
            self.inject_faults();
            let is_cancel_due = cancel_after.is_some_and(|after| self.now >= START_MS + after);
            let is_live = self.origin.record.state == State::Live;
            if is_cancel_due && is_live && self.cancelled_at.is_none() {
                self.cancel();
            }
            self.step_origin();
            self.run_own_task();
            self.send_offers();
            self.deliver();
            for host in 0..HOSTS.len() {
                self.step_host(host);
            }
            self.check()?;
        }
        let is_over = self.origin.record.state != State::Live;
        prop_assert!(is_over, "the job never ends: {:?} {:?}", self.origin.record, self.hosts);
        Ok(())
    }

    /// Checks the invariants that must hold after each step.
    fn check(&self) -> Result<(), TestCaseError> {
        prop_assert!(self.cells_with_task() <= 1, "the job runs in two cells at {} ms", self.now);
        if self.cancelled_at.is_some_and(|at| self.now > at + TIMING.cancel_ms) {
            prop_assert_eq!(self.cells_with_task(), 0, "the job runs after its cancellation");
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1_500,
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(31),
        ..ProptestConfig::default()
    })]

    #[test]
    fn a_job_runs_in_one_cell_at_a_time_and_ends(
        seed: u64,
        fault_rate in 0.0..0.03f64,
        cancel_after in proptest::option::of(1_000u64..200_000),
    ) {
        Model::new(seed, fault_rate).run(cancel_after)?;
    }
}
