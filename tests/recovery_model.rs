//! Random failures of controllers, workers, the store and links in any order, shrunk to the fewest
//! steps when they break a rule. In the end every accepted job must be done.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod support;

use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};
use serde_json::json;
use support::network::WORKERS;
use support::store_faults::SlowCalls;
use support::{World, job};

const NODES: usize = 3;
const MAX_JOBS: u32 = 6;
/// A quarter of the store's answers is many times slower than the others.
const SLOW_CALLS: SlowCalls = SlowCalls { share: 0.25, delay_ms: 20..500 };
const STEPS: std::ops::Range<usize> = 4..16;

/// A step of a generated sequence of events in the cluster.
#[derive(Debug, Clone)]
enum Step {
    Submit { node: usize, tasks: u32, is_dependent: bool },
    Crash { node: usize, back_ms: u64 },
    CrashAll { back_ms: [u64; NODES] },
    StoreOutage { is_down: bool },
    RefuseStoreCalls { node: usize },
    SlowStoreCalls,
    CutWorkerLinks { node: usize },
    Heal,
    RestartWorker { worker: usize },
    RepeatHeartbeat { node: usize, worker: usize },
    Wait { ms: u64 },
}

/// State of the reference model, which decides which steps may be generated.
#[derive(Debug, Clone)]
struct ReferenceState {
    jobs: u32,
}

impl ReferenceStateMachine for ReferenceState {
    type State = ReferenceState;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<ReferenceState> {
        Just(ReferenceState { jobs: 0 }).boxed()
    }

    fn transitions(_: &ReferenceState) -> BoxedStrategy<Step> {
        let node = 0..NODES;
        prop_oneof![
            3 => (node.clone(), 1_u32..10, any::<bool>()).prop_map(|(node, tasks, is_dependent)| {
                Step::Submit { node, tasks, is_dependent }
            }),
            2 => (node.clone(), 50_u64..6_000).prop_map(|(node, back_ms)| Step::Crash { node, back_ms }),
            3 => prop::array::uniform3(50_u64..6_000).prop_map(|back_ms| Step::CrashAll { back_ms }),
            2 => any::<bool>().prop_map(|is_down| Step::StoreOutage { is_down }),
            1 => node.clone().prop_map(|node| Step::RefuseStoreCalls { node }),
            2 => Just(Step::SlowStoreCalls),
            1 => node.clone().prop_map(|node| Step::CutWorkerLinks { node }),
            2 => Just(Step::Heal),
            2 => (0_usize..12).prop_map(|worker| Step::RestartWorker { worker }),
            2 => (node, 0_usize..12).prop_map(|(node, worker)| Step::RepeatHeartbeat { node, worker }),
            4 => (100_u64..9_000).prop_map(|ms| Step::Wait { ms }),
        ]
        .boxed()
    }

    fn preconditions(state: &ReferenceState, step: &Step) -> bool {
        !matches!(step, Step::Submit { .. }) || state.jobs < MAX_JOBS
    }

    fn apply(mut state: ReferenceState, step: &Step) -> ReferenceState {
        state.jobs += u32::from(matches!(step, Step::Submit { .. }));
        state
    }
}

/// The system under test: a simulated cluster that the steps are applied to.
struct Cluster {
    world: World,
    /// Jobs submitted so far.
    jobs: u32,
    /// Request ids of the generated submissions.
    submissions: Vec<u64>,
}

fn job_id(number: u32) -> String {
    format!("run-{number:06}")
}

/// Ends all faults except crashes.
fn heal(world: &mut World) {
    world.store.is_down = false;
    world.store.refused_nodes.clear();
    world.store_faults.slow_calls = None;
    world.network.unreachable_pairs.clear();
}

impl StateMachineTest for Cluster {
    type SystemUnderTest = Cluster;
    type Reference = ReferenceState;

    fn init_test(_: &ReferenceState) -> Cluster {
        let mut world = World::new(NODES, 900);
        world.task_duration_ms = 15_000;
        world.run(5_000);
        world.accept(0, &job(1, "t1", 8, 15.0));
        assert!(world.until_done(&job_id(1), 60_000));
        let mut dependent = job(2, "t1", 8, 15.0);
        dependent["awaits"] = json!([job_id(1)]);
        world.accept(0, &dependent);
        world.run(5_000);
        Cluster { world, jobs: 2, submissions: Vec::new() }
    }

    fn apply(mut cluster: Cluster, _: &ReferenceState, step: Step) -> Cluster {
        let world = &mut cluster.world;
        match step {
            Step::Submit { node, tasks, is_dependent } => {
                cluster.jobs += 1;
                let mut submission = job(cluster.jobs, "t1", tasks, 15.0);
                if is_dependent {
                    submission["awaits"] = json!([job_id(1)]);
                }
                let request = world.submit(node, &submission);
                cluster.submissions.push(request);
            }
            Step::Crash { node, back_ms } => world.crash(node, back_ms),
            Step::CrashAll { back_ms } => {
                (0..NODES).for_each(|node| world.crash(node, back_ms[node]));
            }
            Step::StoreOutage { is_down } => world.store.is_down = is_down,
            Step::RefuseStoreCalls { node } => {
                world.store.refused_nodes.insert(node);
            }
            Step::SlowStoreCalls => world.store_faults.slow_calls = Some(SLOW_CALLS),
            Step::CutWorkerLinks { node } => {
                world.network.unreachable_pairs.insert((node, WORKERS));
            }
            Step::Heal => heal(world),
            Step::RestartWorker { worker } if worker < world.workers.len() => {
                world.restart_worker(worker);
            }
            Step::RepeatHeartbeat { node, worker } if worker < world.workers.len() => {
                let heartbeat = world.workers[worker].heartbeat();
                world.run(700);
                world.late_heartbeat(node, heartbeat);
            }
            Step::RestartWorker { .. } | Step::RepeatHeartbeat { .. } => {}
            Step::Wait { ms } => world.run(ms),
        }
        world.run(300);
        cluster
    }

    fn check_invariants(cluster: &Cluster, _: &ReferenceState) {
        cluster.world.assert_rules_kept();
    }

    fn teardown(mut cluster: Cluster, _: ReferenceState) {
        let world = &mut cluster.world;
        heal(world);
        world.run(8_000);
        let is_accepted =
            |request: &u64| world.users.answers.get(request).is_some_and(|answer| answer.status < 300);
        let accepted: Vec<bool> = cluster.submissions.iter().map(is_accepted).collect();
        for id in 1..=cluster.jobs {
            let must_be_done = id <= 2 || accepted[id as usize - 3];
            let name = job_id(id);
            assert!(!must_be_done || world.until_done(&name, 300_000), "{name} is not done");
        }
        world.assert_rules_kept();
    }
}

prop_state_machine! {
    // The seed is fixed, so that each run generates the same cases; failed cases are kept in the
    // file. A manual run can set RECOVERY_CASES to generate more cases.
    #![proptest_config(ProptestConfig {
        cases: std::env::var("RECOVERY_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(1_000),
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(
            "tests/recovery_model.regressions",
        ))),
        ..ProptestConfig::default()
    })]

    #[test]
    fn no_job_is_lost_and_no_task_runs_twice(sequential STEPS => Cluster);
}
