//! Decisions of each part by itself.

#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

use proptest::prelude::*;
use proptest::test_runner::{FileFailurePersistence, RngSeed};
use woadlever_overload::admission::{Admission, AdmissionSettings};
use woadlever_overload::class::RequestClass;
use woadlever_overload::lag::LagMonitor;
use woadlever_overload::queue::{RequestQueue, Shed};

#[test]
fn requests_are_told_apart_by_their_first_line() {
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
fn one_late_timer_is_no_pressure_and_lasting_lag_is() {
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
        // A thousand heartbeats a second, and ten requests of every other class.
        admitted[1] += u32::from(admission.admit(RequestClass::WorkerHeartbeat, now));
        if now % 100 == 0 {
            for (index, class) in RequestClass::ALL.into_iter().enumerate().skip(2) {
                admitted[index] += u32::from(admission.admit(class, now));
            }
        }
    }
    assert!(admitted[1] > 400, "{admitted:?}");
    assert!(admitted[2..].iter().all(|n| *n >= 30), "{admitted:?}");
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

/// Fixed seeds, so that each run draws the same; what once failed is kept in the file.
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

    /// Every request that is pushed comes out once: served, expired or shed as the queue is
    /// full; the queue keeps its bound, and no request is served before a more important one.
    #[test]
    fn the_queue_loses_nothing(
        limit in 1_usize..20,
        steps in proptest::collection::vec((0_usize..7, 0_u64..1_500, any::<bool>()), 1..200),
    ) {
        let mut queue = RequestQueue::new(limit);
        let (mut pushed, mut out, mut now) = (0_u32, Vec::new(), 0);
        for (action, pause, under_pressure) in steps {
            now += pause;
            match action {
                0..=4 => {
                    let shed = queue.push(RequestClass::ALL[action], pushed, now);
                    pushed += 1;
                    out.extend(shed.map(|(Shed::QueueFull(_, n) | Shed::Expired(_, n))| n));
                }
                5 => out.extend(queue.pop(under_pressure).map(|(_, n)| n)),
                _ => {
                    while let Some(Shed::Expired(_, n) | Shed::QueueFull(_, n)) = queue.pop_expired(now) {
                        out.push(n);
                    }
                }
            }
            prop_assert!(queue.len() <= limit);
        }
        let mut last = RequestClass::Probe;
        while let Some((class, n)) = queue.pop(false) {
            prop_assert!(class >= last);
            last = class;
            out.push(n);
        }
        out.sort_unstable();
        prop_assert_eq!(out, (0..pushed).collect::<Vec<_>>());
    }

    /// However requests and pressure come, no more than the maximum rate is admitted, and the
    /// delay before the next connection is bounded.
    #[test]
    fn admission_keeps_within_its_rate(
        share in 0.005_f64..1.0,
        steps in proptest::collection::vec((0_usize..5, 0_u64..400, any::<bool>()), 1..300),
    ) {
        let settings = AdmissionSettings::default();
        let mut admission = Admission::new(&settings, share, 0);
        let (mut now, mut admitted) = (0, 0.0);
        for (class, pause, late) in steps {
            now += pause;
            admission.note_pressure(late, now);
            let class = RequestClass::ALL[class];
            let was_limiting = admission.is_limiting();
            let is_admitted = admission.admit(class, now);
            admitted += f64::from(u8::from(is_admitted && was_limiting && class != RequestClass::Probe));
            prop_assert!(admission.accept_delay_ms(now) <= 1_000);
        }
        let most = settings.connections_per_core * share * (now as f64 / 1_000.0 + 2.0) + 5.0;
        prop_assert!(admitted <= most, "{admitted} of {most}");
    }
}
