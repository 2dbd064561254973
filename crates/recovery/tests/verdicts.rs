//! Tests of what heartbeats prove, with single examples and with random cases.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};
use woadlever_recovery::attempt::{
    ActionConditions, AttemptPhase, AttemptState, JobEligibility, Verdict, WorkerAction, allowed_action,
    verdict_on,
};
use woadlever_recovery::disposition::{
    AttemptDisposition, JobStatus, ReportedAttemptStatus, TaskAttempt, TaskStatus, is_proven_gone,
    superseded,
};
use woadlever_recovery::shard::{RecoveryPhase, ShardRecovery};
use woadlever_recovery::worker::{
    HeartbeatHeader, HeartbeatVersion, Rejection, Timing, WorkerLiveness, check_fencing_token,
};

const TIMING: Timing = Timing { lease_ms: 20_000, control_lease_ms: 15_000 };
const TOKEN: u64 = 10;

fn heartbeat(incarnation: u64, sequence: u64, fencing_token: u64) -> HeartbeatHeader {
    HeartbeatHeader { version: HeartbeatVersion { incarnation, sequence }, fencing_token }
}

/// Returns a worker from which one heartbeat with this fencing token was accepted.
fn worker_with_token(fencing_token: u64) -> WorkerLiveness {
    let mut worker = WorkerLiveness::default();
    worker.accept(heartbeat(1, 5, fencing_token), TOKEN, false, &TIMING, 1_000).unwrap();
    worker
}

fn inherited() -> AttemptState {
    AttemptState { phase: AttemptPhase::Inherited, is_wanted: true, start_sent: None }
}

#[test]
fn only_a_worker_that_knows_our_token_disproves_an_attempt_bound_by_a_former_owner() {
    assert_eq!(verdict_on(&inherited(), false, &worker_with_token(9)), Verdict::Pending);
    assert_eq!(verdict_on(&inherited(), false, &worker_with_token(TOKEN)), Verdict::Absent);
    assert_eq!(verdict_on(&inherited(), true, &worker_with_token(9)), Verdict::Present);
}

#[test]
fn a_heartbeat_is_accepted_once_and_in_order() {
    let mut worker = worker_with_token(TOKEN);
    for stale in [heartbeat(1, 5, TOKEN), heartbeat(1, 4, TOKEN), heartbeat(0, 99, TOKEN)] {
        let accepted = worker.accept(stale, TOKEN, false, &TIMING, 1_100);
        assert_eq!(accepted, Err(Rejection::NotNewer));
    }
    worker.accept(heartbeat(2, 1, TOKEN), TOKEN, false, &TIMING, 1_200).unwrap();
    assert_eq!(check_fencing_token(heartbeat(2, 2, TOKEN + 1), TOKEN), Err(Rejection::NewerOwner));
}

#[test]
fn after_its_lease_a_worker_may_restart_its_sequence_and_gets_work_only_with_our_token() {
    let mut worker = worker_with_token(TOKEN);
    worker.on_response_sent(1_000);
    assert!(!worker.lease_has_certainly_ended(0, &TIMING, 21_000));
    assert!(worker.lease_has_certainly_ended(0, &TIMING, 22_600));
    worker.end_lease();
    worker.accept(heartbeat(1, 1, 0), TOKEN, false, &TIMING, 30_000).unwrap();
    assert!(!worker.accepts_new_tasks(5_000, 30_000), "it may be a late copy");
    assert_eq!(verdict_on(&inherited(), false, &worker), Verdict::Pending);
    worker.on_response_sent(30_000);
    worker.accept(heartbeat(1, 2, TOKEN), TOKEN, false, &TIMING, 31_000).unwrap();
    assert!(worker.accepts_new_tasks(5_000, 31_000));
}

#[test]
fn a_former_owner_may_have_answered_up_to_the_end_of_its_control_lease() {
    let worker = worker_with_token(9);
    assert!(!worker.lease_has_certainly_ended(1_000, &TIMING, 1_000 + 15_000 + 21_000));
    assert!(worker.lease_has_certainly_ended(1_000, &TIMING, 1_000 + 15_000 + 21_600));
}

#[test]
fn a_start_command_whose_attempt_a_later_heartbeat_does_not_list_never_arrived() {
    let mut worker = worker_with_token(TOKEN);
    worker.on_response_sent(1_000);
    let sent = AttemptState {
        phase: AttemptPhase::Bound,
        is_wanted: true,
        start_sent: Some(HeartbeatVersion { incarnation: 1, sequence: 5 }),
    };
    assert_eq!(verdict_on(&sent, false, &worker), Verdict::Pending);
    worker.accept(heartbeat(1, 6, TOKEN), TOKEN, false, &TIMING, 2_000).unwrap();
    assert_eq!(verdict_on(&sent, false, &worker), Verdict::Undelivered);
}

#[test]
fn a_shard_is_reconciled_once_no_attempt_is_unreconciled() {
    let mut shard = ShardRecovery::new(1_000);
    assert!(!shard.finish_if_reconciled(0), "its records have not been read");
    shard.records_read(77, 3);
    assert_eq!((shard.phase(), shard.revision(), shard.recorded()), (RecoveryPhase::Reconciling, 77, 3));
    shard.count_verdict(Verdict::Present);
    shard.count_verdict(Verdict::Absent);
    assert!(!shard.finish_if_reconciled(1));
    shard.count_lease_ended(1);
    assert!(shard.finish_if_reconciled(0) && !shard.finish_if_reconciled(0), "finished once");
    let counts = shard.counts();
    assert_eq!((counts.confirmed, counts.absent, counts.lease_ended), (1, 1, 1));
    assert_eq!(RecoveryPhase::from_name(shard.phase().name()), Some(RecoveryPhase::Reconciled));
}

#[test]
fn a_new_leader_keeps_attempts_of_live_jobs_and_gives_no_task_a_second_attempt() {
    let status = |job, is_done| TaskStatus { job, is_done };
    let of_recorded = AttemptDisposition::of_recorded;
    assert_eq!(of_recorded(status(JobStatus::Live, false)), AttemptDisposition::Keep);
    assert_eq!(of_recorded(status(JobStatus::Live, true)), AttemptDisposition::Stop);
    assert_eq!(of_recorded(status(JobStatus::Undetermined, false)), AttemptDisposition::Keep);
    assert_eq!(of_recorded(status(JobStatus::Undetermined, true)), AttemptDisposition::Stop);
    assert_eq!(of_recorded(status(JobStatus::Ended, false)), AttemptDisposition::Stop);
    let of_reported = |has_other_attempt, is_on_machine| {
        let attempt = ReportedAttemptStatus { has_other_attempt, is_on_machine };
        AttemptDisposition::of_reported(status(JobStatus::Live, false), attempt)
    };
    assert_eq!(of_reported(false, true), AttemptDisposition::Keep);
    assert_eq!(of_reported(true, true), AttemptDisposition::Stop);
    assert_eq!(of_reported(false, false), AttemptDisposition::Stop);
    let attempts = [(1, 0, 5), (1, 0, 8), (1, 1, 3), (2, 0, 9)];
    let attempts = attempts.map(|(job, task, attempt)| TaskAttempt { job, task, attempt });
    assert_eq!(superseded(&attempts), [5]);
    assert!(is_proven_gone(false, Some(3), 3));
    assert!(!is_proven_gone(false, Some(4), 3), "the shard owner may not have known of the attempt");
    assert!(!is_proven_gone(false, None, 9) && !is_proven_gone(true, Some(1), 9));
}

fn any_phase() -> impl Strategy<Value = AttemptPhase> {
    prop::sample::select(vec![
        AttemptPhase::Bound,
        AttemptPhase::Inherited,
        AttemptPhase::Fetching,
        AttemptPhase::Running,
        AttemptPhase::Saving,
        AttemptPhase::Done,
        AttemptPhase::Stopped,
        AttemptPhase::Failed,
        AttemptPhase::Refused,
    ])
}

/// Returns a configuration with a fixed seed, so that each run draws the same cases. Failing
/// cases are kept in the regressions file.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(
            "tests/verdicts.regressions",
        ))),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// No command is sent for an attempt that is not reconciled. A start command is sent only for
    /// a recorded, wanted attempt of a live job, and a stop command only for an attempt that is
    /// cancelled or no longer wanted.
    #[test]
    fn commands_are_sent_only_for_reconciled_attempts(
        phase in any_phase(),
        flags in any::<[bool; 7]>(),
        fencing_token in 8_u64..=TOKEN,
    ) {
        let [
            is_wanted, is_live, is_cancelled, can_checkpoint, is_recorded, was_listed,
            machine_accepts_starts,
        ] = flags;
        let state = AttemptState { phase, is_wanted, start_sent: None };
        let job = JobEligibility { is_live, is_cancelled, can_checkpoint };
        let conditions = ActionConditions { is_recorded, was_listed, machine_accepts_starts };
        let action = allowed_action(&state, &job, &worker_with_token(fencing_token), &conditions);
        if phase == AttemptPhase::Inherited {
            prop_assert_eq!(action, None);
        }
        match action {
            Some(WorkerAction::Start) => {
                prop_assert!(phase == AttemptPhase::Bound && is_wanted && is_recorded);
                prop_assert!(is_live && !is_cancelled && machine_accepts_starts);
            }
            Some(WorkerAction::Stop { with_checkpoint }) => {
                prop_assert!(phase.is_alive() && (is_cancelled || !is_wanted));
                prop_assert!(!(with_checkpoint && is_cancelled));
            }
            Some(WorkerAction::Forget) => {
                prop_assert!(phase.has_ended() && !is_wanted && was_listed);
            }
            None => {}
        }
        if is_cancelled && phase.is_alive() {
            let stop = Some(WorkerAction::Stop { with_checkpoint: false });
            prop_assert_eq!(action, stop, "a cancellation takes effect at once");
        }
    }

    /// For any heartbeats in any order, with our fencing token or older ones: the newest accepted
    /// version only increases while the lease lasts, and no attempt of a former owner is
    /// considered absent before the worker has shown our token.
    #[test]
    fn no_sequence_of_heartbeats_disproves_an_attempt_too_early(
        heartbeats in prop::collection::vec((1_u64..4, 1_u64..30, 7_u64..=TOKEN, 0_u64..4_000), 1..60),
    ) {
        let mut worker = WorkerLiveness::default();
        let (mut now, mut token_shown, mut answered_at) = (1_000, false, 0);
        for (incarnation, sequence, fencing_token, pause) in heartbeats {
            now += pause;
            let before = worker.newest();
            let header = heartbeat(incarnation, sequence, fencing_token);
            if worker.accept(header, TOKEN, false, &TIMING, now).is_ok() {
                token_shown |= fencing_token == TOKEN;
                prop_assert!(worker.newest() > before);
                worker.on_response_sent(now);
                answered_at = now;
            } else {
                prop_assert_eq!(worker.newest(), before);
            }
            let verdict = verdict_on(&inherited(), false, &worker);
            prop_assert!(token_shown || verdict == Verdict::Pending);
            let is_over = worker.lease_has_certainly_ended(0, &TIMING, now);
            prop_assert!(!is_over || now > answered_at + TIMING.lease_ms);
        }
    }
}
