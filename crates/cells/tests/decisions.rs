//! Tests of single decisions: which cell a job is forwarded to, how long a lease lasts, how the
//! health of another cell is judged, and what the two sides do in cases that the scenario tests
//! don't reach.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

use proptest::prelude::*;
use woadlever_cells::host::{
    Admission, HostDecision, HostRecord, HostStep, ListedRecord, Listing, decide, may_extend_lease,
};
use woadlever_cells::lease::{CellTiming, MIN_LEASE_MS};
use woadlever_cells::message::{
    CellMessage, ForwardedJob, ForwardedState, HostedJob, HostedPhase, HostedState, NEVER_RETRY,
};
use woadlever_cells::neighbor::{Health, Neighbor};
use woadlever_cells::origin::RecallReason;
use woadlever_cells::record::{ForwardPhase, Forwarding};
use woadlever_cells::routing::{Amount, CapacityScope, ClassCapacity, JobShape, choose_cell};

const MACHINE: Amount = Amount { cpus: 16.0, gpus: 0.0, memory_gb: 64.0 };
const DEMAND: Amount = Amount { cpus: 4.0, gpus: 0.0, memory_gb: 4.0 };

fn class(zone: &str, is_spot: bool, free_cpus: f64, requestable: u32) -> ClassCapacity {
    let free = Amount { cpus: free_cpus, gpus: 0.0, memory_gb: free_cpus * 4.0 };
    let largest_free = Amount { cpus: free_cpus.min(16.0), ..free };
    let machine_type = "m16".to_string();
    ClassCapacity {
        machine_type,
        zone: zone.into(),
        is_spot,
        machine: MACHINE,
        free,
        largest_free,
        requestable,
    }
}

fn job(tasks: u32) -> JobShape<'static> {
    JobShape {
        demand: DEMAND,
        tasks,
        types: None,
        zone: None,
        one_zone: false,
        spread: false,
        allows_spot: true,
    }
}

#[test]
fn free_capacity_is_preferred_to_requestable_machines_and_then_the_cell_with_more_capacity() {
    let full = [class("z", true, 0.0, 0)];
    let elastic = [class("z", true, 0.0, 50)];
    let free = [class("z", true, 32.0, 0)];
    let offers = [("a", &full[..]), ("b", &elastic[..]), ("c", &free[..])];
    assert_eq!(choose_cell(&job(8), offers.into_iter(), 0.5), Some("c"));
    assert_eq!(choose_cell(&job(8), offers.into_iter().take(2), 0.5), Some("b"));
    assert_eq!(choose_cell(&job(8), offers.into_iter().take(1), 0.5), None);
    let (some, more) = ([class("z", true, 0.0, 10)], [class("z", true, 0.0, 11)]);
    let equal = [("a", &some[..]), ("b", &more[..]), ("c", &some[..])];
    assert_eq!(choose_cell(&job(8), equal.into_iter(), 0.5), Some("b"));
}

#[test]
fn a_cell_without_the_zone_type_or_kind_of_machine_has_no_capacity() {
    let capacity = [class("east", true, 64.0, 0)];
    assert!(job(4).fits_within(&capacity, 1.0));
    assert!(!JobShape { zone: Some("west"), ..job(4) }.fits_within(&capacity, 0.0));
    assert!(!JobShape { types: Some(&["m64".to_string()]), ..job(4) }.fits_within(&capacity, 0.0));
    assert!(!JobShape { allows_spot: false, ..job(4) }.fits_within(&capacity, 0.0));
    let large = Amount { cpus: 32.0, ..DEMAND };
    assert!(
        !JobShape { demand: large, ..job(1) }.fits_within(&capacity, 0.0),
        "a task fits on no machine"
    );
}

#[test]
fn zone_constraints_limit_the_tasks_that_fit() {
    let capacity = [class("east", true, 16.0, 0), class("west", true, 32.0, 0)];
    let fitting = |job: JobShape| job.tasks_that_fit(&capacity, CapacityScope::Free);
    assert_eq!(fitting(job(12)), 12);
    assert_eq!(fitting(JobShape { one_zone: true, ..job(12) }), 8);
    assert_eq!(fitting(JobShape { spread: true, ..job(10) }), 4 + 5);
}

#[test]
fn a_host_that_stops_too_slowly_gets_no_lease() {
    let timing = CellTiming { worker_lease_ms: 27_000, cancel_ms: 52_000, clock_error_ms: 25 };
    assert_eq!(timing.lease_duration_ms(timing.stop_within_ms()), Some(22_973));
    assert_eq!(timing.lease_duration_ms(46_000), None);
    assert_eq!(timing.lease_duration_ms(60_000), None);
}

#[test]
fn another_cell_is_suspected_before_it_counts_as_silent() {
    let silence_ms = 30_000;
    let mut neighbor = Neighbor::new(1_000);
    assert_eq!(neighbor.health(1_000, silence_ms), Health::Suspect, "no message has arrived yet");
    assert!(neighbor.receive(message(1, 10, HostedPhase::Done), 2_000).is_some());
    assert_eq!(neighbor.health(3_000, silence_ms), Health::Alive);
    assert!(neighbor.may_be_offered(3_000, silence_ms));
    assert_eq!(neighbor.health(8_000, silence_ms), Health::Suspect);
    assert!(!neighbor.may_be_offered(8_000, silence_ms));
    assert_eq!(neighbor.health(32_000, silence_ms), Health::Silent);
}

#[test]
fn stale_messages_and_those_of_a_former_leader_are_dropped() {
    let mut neighbor = Neighbor::new(0);
    assert!(neighbor.receive(message(2, 10, HostedPhase::Done), 1).is_some());
    assert!(neighbor.receive(message(1, 99, HostedPhase::Released), 2).is_none(), "former leader");
    assert!(neighbor.receive(message(2, 9, HostedPhase::Released), 3).is_none(), "older");
    assert_eq!(neighbor.phase_of("run-1", 5), Some(HostedPhase::Done));
    assert_eq!(neighbor.phase_of("run-1", 6), None, "another epoch");
    assert!(neighbor.receive(message(3, 1, HostedPhase::Released), 4).is_some(), "newer leader");
}

#[test]
fn offers_to_a_cell_that_refuses_back_off_until_it_runs_a_job() {
    let mut neighbor = Neighbor::new(0);
    neighbor.receive(message(1, 1, HostedPhase::Released), 0);
    let mut now = 0;
    let mut backoffs = Vec::new();
    for _ in 0..8 {
        neighbor.record_refusal(now, 1_000);
        let refused_at = now;
        while !neighbor.may_be_offered(now, u64::MAX) {
            neighbor.receive(message(1, now, HostedPhase::Released), now);
            now += 500;
        }
        backoffs.push(now - refused_at);
    }
    assert!(backoffs.windows(2).all(|pair| pair[0] <= pair[1]), "{backoffs:?}");
    assert!(backoffs[7] >= 60_000 && backoffs[7] <= 121_000, "{backoffs:?}");
    let refused_at = now;
    neighbor.record_success();
    for _ in 0..8 {
        neighbor.record_refusal(refused_at, 1_000);
    }
    assert!(!neighbor.may_be_offered(refused_at, u64::MAX));
    assert!(neighbor.may_be_offered(refused_at + 1_000, u64::MAX), "refused together, counted once");
    now += 1_000;
    neighbor.record_success();
    neighbor.record_refusal(now, 1_000);
    assert!(neighbor.may_be_offered(now + 1_000, u64::MAX));
}

#[test]
fn a_final_state_at_the_host_is_reported_whatever_the_origin_lists() {
    let refuse = Admission::Refuse { retry_after_ms: 1 };
    for listing in [Listing::Active, Listing::Recalled, Listing::Absent] {
        let done = decide(listing, HostRecord::Done, refuse);
        assert_eq!(done, decision(HostStep::Wait, Some(HostedPhase::Done)));
        let foreign = decide(listing, HostRecord::Conflicting, Admission::Accept);
        assert_eq!(foreign, decision(HostStep::Wait, Some(HostedPhase::Released)));
        let stopping = HostRecord::Tombstone { has_attempts: true };
        assert_eq!(
            decide(listing, stopping, refuse),
            decision(HostStep::Wait, None),
            "not released yet"
        );
    }
    let unknown = decide(Listing::Recalled, HostRecord::Unknown, Admission::Accept);
    assert_eq!(unknown, decision(HostStep::Tombstone, None));
    let live = HostRecord::Live { done: 0, running: 1 };
    assert_eq!(decide(Listing::Absent, live, refuse).step, HostStep::Cancel);
}

#[test]
fn a_lease_is_extended_only_after_all_recalled_jobs_have_ended() {
    let active =
        ListedRecord { listing: Listing::Active, record: HostRecord::Live { done: 0, running: 1 } };
    let recalled = ListedRecord { listing: Listing::Recalled, ..active };
    let ended = ListedRecord { record: HostRecord::Tombstone { has_attempts: false }, ..recalled };
    assert!(!may_extend_lease([active, recalled].into_iter()));
    assert!(may_extend_lease([active, ended].into_iter()));
}

#[test]
fn a_job_that_can_never_run_here_is_refused_without_a_retry() {
    let unfit = decide(Listing::Active, HostRecord::Unknown, Admission::Unfit);
    let phase = HostedPhase::Refused { retry_after_ms: NEVER_RETRY };
    assert_eq!(unfit, decision(HostStep::Wait, Some(phase)));
}

fn decision(step: HostStep, phase: Option<HostedPhase>) -> HostDecision {
    HostDecision { step, phase }
}

#[test]
fn a_job_is_not_forwarded_again_to_a_cell_that_accepted_it_and_gave_it_back() {
    let first = Forwarding::begin("b", 5, None);
    let returned = first.recalled(RecallReason::Idle).returned();
    let second = Forwarding::begin("c", 9, Some(&returned));
    assert!(first.is_forwarded() && !returned.is_forwarded() && second.is_forwarded());
    assert_eq!((second.phase, second.epoch), (ForwardPhase::Active, 9));
    assert_eq!(second.excluded_cells, ["b"]);
    assert_eq!(second.returned().excluded_cells, ["b", "c"]);
    let refused = second.recalled(RecallReason::Refused).returned();
    assert_eq!(
        refused.excluded_cells,
        ["b"],
        "a cell that had no capacity may be offered the job again"
    );
}

fn message(term: u64, revision: u64, phase: HostedPhase) -> CellMessage {
    let job = HostedJob { id: "run-1".into(), epoch: 5, phase, done: String::new() };
    let hosted = HostedState { stop_within_ms: 20_000, capacity: Vec::new(), jobs: vec![job] };
    CellMessage { cell: "b".into(), term, revision, forwarded: ForwardedState::default(), hosted }
}

#[test]
fn the_longest_list_of_jobs_that_the_settings_allow_fits_into_a_frame() {
    let job = |n: u64| ForwardedJob {
        id: format!("run-{n:012}"),
        epoch: 1_000_000 + n * 7,
        is_recalled: false,
        spec: None,
    };
    let jobs = (0..50_000).map(job).collect();
    let forwarded = ForwardedState { lease_until_ms: 1, jobs };
    let message = CellMessage { forwarded, ..message(1, 1, HostedPhase::Done) };
    let bytes = bitcode::encode(&message).len();
    assert!(bytes < 4 << 20, "{bytes}");
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        rng_seed: prop::test_runner::RngSeed::Fixed(32),
        ..ProptestConfig::default()
    })]

    /// For any clock errors of the two cells within their bounds, a host has stopped within the
    /// origin's bound for cancellations, counted from the last renewal of the lease.
    #[test]
    fn a_host_stops_within_the_cancellation_bound_of_the_last_lease_renewal(
        worker_lease_ms in 1_000u64..60_000,
        cancel_ms in 2_000u64..120_000,
        clock_error_ms in 0u64..1_000,
        origin_clock in 0i64..2_000,
        host_clock in 0i64..2_000,
    ) {
        let timing = CellTiming { worker_lease_ms, cancel_ms, clock_error_ms };
        let error = clock_error_ms as i64;
        let origin_offset = origin_clock.clamp(0, 2 * error) - error;
        let host_offset = host_clock.clamp(0, 2 * error) - error;
        let renewed_true = 10_000_000i64;
        let renewed_wall = (renewed_true + origin_offset) as u64;
        let Some(until) = timing.lease_until_ms(renewed_wall, timing.stop_within_ms()) else { return Ok(()) };
        // The first moment, in true time, at which the lease has ended by the host's clock.
        let ended_true = until as i64 - error - host_offset;
        prop_assert!(timing.lease_may_have_ended(until, (ended_true + host_offset) as u64));
        let gone_true = ended_true.max(renewed_true) + timing.stop_within_ms() as i64;
        prop_assert!(gone_true <= renewed_true + cancel_ms as i64);
        prop_assert!(timing.lease_duration_ms(timing.stop_within_ms()).unwrap() >= MIN_LEASE_MS);
        prop_assert!(timing.reclaim_after_ms() >= cancel_ms);
    }

    /// No capacity is counted twice, however many jobs reserve a part of it.
    #[test]
    fn reserved_capacity_is_not_counted_again(
        free in 0u32..40,
        requestable in 0u32..10,
        sizes in proptest::collection::vec(1u32..30, 1..20),
    ) {
        let mut capacity = [class("east", false, f64::from(free) * 4.0, requestable), class("west", true, 0.0, 3)];
        let total = job(u32::MAX).tasks_that_fit(&capacity, CapacityScope::FreeOrRequestable);
        let mut reserved = 0;
        for tasks in sizes {
            let shape = job(tasks);
            let fitting = shape.tasks_that_fit(&capacity, CapacityScope::FreeOrRequestable);
            shape.reserve(&mut capacity);
            reserved += fitting;
        }
        prop_assert!(reserved <= total, "{reserved} of {total}");
    }
}
