//! Tests of classification, lag detection, admission, retry delays and the queue, each in
//! isolation.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};
use woadlever_overload::admission::{Admission, AdmissionSettings};
use woadlever_overload::class::RequestClass;
use woadlever_overload::lag::LagMonitor;
use woadlever_overload::queue::{RequestQueue, Shed};

#[test]
fn requests_are_classified_by_their_first_line() {
    let cases: [(&[u8], RequestClass); 8] = [
        (b"GET /ready HTTP/1.1\r\nhost: x", RequestClass::Probe),
        (b"POST /checkin HTTP/1.1\r\n", RequestClass::WorkerHeartbeat),
        (b"POST /api/jobs HTTP/1.1\r\n", RequestClass::Submission),
        (b"POST /api/jobs/run-000001/cancel HTTP/1.1", RequestClass::Cancellation),
        (b"GET /api/jobs/run-000001 HTTP/1.1", RequestClass::StatusQuery),
        (b"", RequestClass::StatusQuery),
        (b"\x16\x03\x01 garbage", RequestClass::StatusQuery),
        (b"GET /checkin HTTP/1.1", RequestClass::StatusQuery),
    ];
    for (head, class) in cases {
        assert_eq!(RequestClass::from_head(head), class, "{}", String::from_utf8_lossy(head));
    }
}

#[test]
fn one_late_timer_is_not_pressure_but_lasting_lag_is() {
    let mut monitor = LagMonitor::new(100, 500);
    monitor.note_timer(1_000, 1_300);
    assert!(!monitor.is_under_pressure(1_300));
    monitor.note_timer(1_350, 1_360);
    assert!(!monitor.is_under_pressure(2_000), "on time again");
    for due in [2_000, 2_300, 2_600] {
        monitor.note_timer(due, due + 200);
    }
    assert!(monitor.is_under_pressure(2_800));
    monitor.note_timer(2_900, 2_910);
    assert!(!monitor.is_under_pressure(2_910));
}

#[test]
fn no_class_is_starved_by_a_flood_of_reports() {
    let mut admission = Admission::new(&AdmissionSettings::default(), 0.03, 0);
    let mut admitted = [0; 5];
    for now in 0..60_000 {
        if now % 100 == 0 {
            admission.note_pressure(true, now);
        }
        // 1000 heartbeats per second, and 10 requests per second of each less important class.
        admitted[1] += u32::from(admission.admit(RequestClass::WorkerHeartbeat, now));
        if now % 100 == 0 {
            for (index, class) in RequestClass::ALL.into_iter().enumerate().skip(2) {
                admitted[index] += u32::from(admission.admit(class, now));
            }
        }
    }
    assert!(admitted[1] > 400, "{admitted:?}");
    assert!(admitted[2..].iter().all(|count| *count >= 30), "{admitted:?}");
}

#[test]
fn the_rate_recovers_once_the_pressure_is_over() {
    let mut admission = Admission::new(&AdmissionSettings::default(), 0.03, 0);
    for now in (0..20_000).step_by(100) {
        admission.note_pressure(true, now);
    }
    let lowest = admission.rate();
    assert!(admission.is_limiting() && lowest < 30.0, "{lowest}");
    for now in (20_000..60_000).step_by(100) {
        admission.note_pressure(false, now);
    }
    assert!(!admission.is_limiting());
    assert_eq!(admission.rate(), 120.0);
}

#[test]
fn rejected_clients_are_spread_over_the_time_it_takes_to_admit_them() {
    let mut admission = Admission::new(&AdmissionSettings::default(), 0.01, 0);
    admission.note_pressure(true, 0);
    assert_eq!(admission.retry_after_s(7, 0), 1, "no client was rejected");
    for _ in 0..400 {
        admission.admit(RequestClass::StatusQuery, 1);
    }
    let waits: Vec<u32> = (0..100).map(|random| admission.retry_after_s(random, 2)).collect();
    assert!(waits.iter().all(|wait| (1..=31).contains(wait)));
    assert!(*waits.iter().max().unwrap() >= 20, "{waits:?}");
    assert!(waits.iter().collect::<std::collections::BTreeSet<_>>().len() >= 20, "{waits:?}");
}

#[test]
fn the_queue_drops_what_has_expired_and_serves_the_newest_under_pressure() {
    let mut queue = RequestQueue::new(10);
    for (request, now) in [("a", 0), ("b", 1_000), ("c", 2_000)] {
        assert_eq!(queue.push(RequestClass::WorkerHeartbeat, request, now), None);
    }
    assert_eq!(queue.pop_expired(3_000), None);
    assert_eq!(queue.pop_expired(3_500), Some(Shed::Expired(RequestClass::WorkerHeartbeat, "a")));
    assert_eq!(queue.pop_expired(3_500), None);
    assert_eq!(queue.pop(true), Some((RequestClass::WorkerHeartbeat, "c")));
    assert_eq!(queue.pop(false), Some((RequestClass::WorkerHeartbeat, "b")));
    assert!(queue.is_empty());
}

/// Uses a fixed seed, so that every run generates the same cases. Failed cases are stored in the
/// regressions file and run again.
fn fixed_seed() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: Some(Box::new(FileFailurePersistence::Direct(
            "tests/decisions.regressions",
        ))),
        ..ProptestConfig::default()
    }
}

proptest! {
    #![proptest_config(fixed_seed())]

    /// Every request that is pushed leaves the queue exactly once: served, expired, or dropped
    /// because the queue is full. The queue never exceeds its limit, and no request is served
    /// before a more important one.
    #[test]
    fn the_queue_loses_nothing(
        limit in 1_usize..20,
        steps in proptest::collection::vec((0_usize..7, 0_u64..1_500, any::<bool>()), 1..200),
    ) {
        let mut queue = RequestQueue::new(limit);
        let (mut pushed, mut removed, mut now) = (0_u32, Vec::new(), 0);
        for (action, pause, under_pressure) in steps {
            now += pause;
            match action {
                0..=4 => {
                    let shed = queue.push(RequestClass::ALL[action], pushed, now);
                    pushed += 1;
                    removed.extend(shed.map(|(Shed::QueueFull(_, n) | Shed::Expired(_, n))| n));
                }
                5 => removed.extend(queue.pop(under_pressure).map(|(_, n)| n)),
                _ => {
                    while let Some(Shed::Expired(_, n) | Shed::QueueFull(_, n)) = queue.pop_expired(now) {
                        removed.push(n);
                    }
                }
            }
            prop_assert!(queue.len() <= limit);
        }
        let mut previous_class = RequestClass::Probe;
        while let Some((class, n)) = queue.pop(false) {
            prop_assert!(class >= previous_class);
            previous_class = class;
            removed.push(n);
        }
        removed.sort_unstable();
        prop_assert_eq!(removed, (0..pushed).collect::<Vec<_>>());
    }

    /// For any sequence of requests and pressure, no more connections are admitted than the
    /// maximum rate allows, and the delay before the next connection is bounded.
    #[test]
    fn admission_keeps_within_its_rate(
        core_share in 0.005_f64..1.0,
        steps in proptest::collection::vec((0_usize..5, 0_u64..400, any::<bool>()), 1..300),
    ) {
        let settings = AdmissionSettings::default();
        let mut admission = Admission::new(&settings, core_share, 0);
        let (mut now, mut admitted) = (0, 0.0);
        for (class, pause, under_pressure) in steps {
            now += pause;
            admission.note_pressure(under_pressure, now);
            let class = RequestClass::ALL[class];
            let was_limiting = admission.is_limiting();
            let is_admitted = admission.admit(class, now);
            admitted += f64::from(u8::from(is_admitted && was_limiting && class != RequestClass::Probe));
            prop_assert!(admission.accept_delay_ms(now) <= 1_000);
        }
        let limit = settings.connections_per_core * core_share * (now as f64 / 1_000.0 + 2.0) + 5.0;
        prop_assert!(admitted <= limit, "{admitted} of {limit}");
    }
}
