//! Simulates a metastable overload: without admission control, requests of clients that have
//! timed out keep a node busy forever. With admission control the node recovers. Time is
//! simulated, and each request consumes a fixed amount of it.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod support;

use support::{Behavior, Simulation};
use woadlever_overload::class::RequestClass;

/// The node's share of a processor core.
const CORE_SHARE: f64 = 0.032;
/// Number of workers, whose heartbeats take a quarter of the node's processor time.
const WORKERS: u64 = 700;
/// A worker that sends heartbeats.
const WORKER: Behavior = Behavior {
    class: RequestClass::WorkerHeartbeat,
    period_ms: Some(8_000),
    retry_ms: 1_000,
    honors_retry_after: false,
    gives_up_after_ms: None,
};
/// A user who sends one status query.
const USER: Behavior = Behavior {
    class: RequestClass::StatusQuery,
    period_ms: None,
    retry_ms: 1_000,
    honors_retry_after: true,
    gives_up_after_ms: Some(60_000),
};

/// Returns a simulation after a mass reconnect: the workers send heartbeats for a minute, then all
/// reconnect within a second, while the node is suspended until these attempts have timed out.
fn after_mass_reconnect(with_admission: bool) -> Simulation {
    let mut node = Simulation::new(CORE_SHARE, with_admission);
    for worker in 0..WORKERS {
        node.add(WORKER, worker * 60);
    }
    node.run_until(60_000);
    node.drop_connections(WORKERS as usize, 1_000);
    node.suspend(5_000);
    node
}

#[test]
fn without_admission_the_load_never_falls() {
    let mut node = after_mass_reconnect(false);
    assert!(node.goodput(50, 60) > 70.0, "the node has enough capacity: {}", node.goodput(50, 60));
    node.run_until(600_000);
    // Nine minutes later some of the workers still get no answers at all.
    let before = node.answer_counts();
    node.run_until(630_000);
    let served_share = node.share_answered_since(&before);
    assert!(served_share < 0.9, "share of workers served: {served_share}");
    assert!(
        node.longest_iteration_ms.range(600..).any(|(_, ms)| *ms > 2_000),
        "the event loop still lags"
    );
}

#[test]
fn with_admission_all_are_served_again_within_a_minute() {
    let mut node = after_mass_reconnect(true);
    node.run_until(125_000);
    let before = node.answer_counts();
    node.run_until(145_000);
    assert_eq!(node.share_answered_since(&before), 1.0);
    assert!(
        node.longest_iteration_ms.range(125..).all(|(_, ms)| *ms < 500),
        "{:?}",
        node.longest_iteration_ms
    );
}

#[test]
fn goodput_stays_near_its_plateau_under_ten_times_the_load_and_returns() {
    let capacity = CORE_SHARE * 4_000.0;
    let mut results = Vec::new();
    for factor in [1.0, 2.0, 5.0, 10.0] {
        let mut node = Simulation::new(CORE_SHARE, true);
        let rate = capacity * 0.8 * factor;
        for user_number in 0..(rate * 60.0) as u64 {
            node.add(USER, (user_number as f64 * 1_000.0 / rate) as u64);
        }
        // Afterwards a tenth of the node's capacity.
        for user_number in 0..300 {
            node.add(USER, 90_000 + user_number * 100);
        }
        node.run_until(120_000);
        results.push((factor, node.goodput(20, 60), node.goodput(100, 120)));
    }
    let plateau = results[0].1;
    for (factor, during, after) in &results {
        assert!(*during > plateau * 0.4, "{factor}x: {during} of {plateau}");
        assert!(*after > 9.0, "{factor}x: {after} afterwards");
    }
}

#[test]
fn heartbeats_are_admitted_before_status_queries() {
    let mut node = Simulation::new(CORE_SHARE, true);
    for worker in 0..WORKERS {
        node.add(WORKER, worker * 60);
    }
    // For a minute, five times as many status queries as the node can answer, from users who
    // retry for 5 s.
    let user = Behavior { gives_up_after_ms: Some(5_000), ..USER };
    for user_number in 0..36_000u64 {
        node.add(user, 60_000 + user_number * 5 / 3);
    }
    node.run_until(60_000);
    node.drop_connections(WORKERS as usize, 1_000);
    node.run_until(100_000);
    let before = node.answer_counts();
    node.run_until(120_000);
    let answer_counts = node.answer_counts();
    let (workers, users) = answer_counts.split_at(WORKERS as usize);
    let served = workers.iter().zip(&before).filter(|(now, before)| now > before).count();
    assert!(served as f64 >= WORKERS as f64 * 0.95, "{served} workers");
    assert!(users.iter().sum::<u64>() > 1_000, "users get the capacity that is left");
}
