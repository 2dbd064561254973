//! The projection of a shard's load, and the forecast of demand.

use std::collections::BTreeMap;
use woadlever::config::Operator;
use woadlever::core::common::projection::{Booking, project, remaining_s};
use woadlever::core::forecast::History;
use woadlever::model::Resources;

fn booking(ran: u64, expected: u64) -> Booking {
    Booking { demand: Resources { cpus: 4.0, gpus: 0.0, mem: 1.0 }, ran_ms: ran, expected_ms: expected }
}

#[test]
fn projection_extends_overrunning_tasks_and_counts_overloaded_steps() {
    let operator = Operator::default();
    assert_eq!(remaining_s(&operator, &booking(4_000, 10_000)), 6.0);

    // Past its estimate: extended by a fifth of it, again and again.
    assert!((remaining_s(&operator, &booking(10_500, 10_000)) - 1.5).abs() < 1e-9);
    assert!((remaining_s(&operator, &booking(12_500, 10_000)) - 1.5).abs() < 1e-9);

    let capacity = Resources { cpus: 8.0, gpus: 0.0, mem: 64.0 };
    let none = Resources::default();
    let full = [booking(0, 9_000), booking(0, 9_000)];
    let projection = project(&operator, &capacity, &full, &none);
    assert_eq!((projection.peak, projection.overloaded), (1.0, false), "9 of 100 steps are no overload");

    let longer = [booking(0, 11_000), booking(0, 11_000)];
    assert!(project(&operator, &capacity, &longer, &none).overloaded);

    let waiting = Resources { cpus: 4.0, gpus: 0.0, mem: 1.0 };
    assert!(project(&operator, &capacity, &[booking(0, 50_000)], &waiting).overloaded);
    assert!(!project(&operator, &capacity, &[], &waiting).overloaded);
}

/// A rise at the start of a day is no season: it must not come back as a
/// forecast when demand is over.
#[test]
fn a_season_counts_once_it_was_seen_twice() {
    let mut history = History::default();
    let record = |history: &mut History, demand: f64| {
        history.record(&BTreeMap::from([("k".to_string(), demand)]), 10);
    };
    assert_eq!(history.expect("k", 10, 0.4), None);

    for _ in 0..9 {
        record(&mut history, 8.0);
    }
    assert!((history.expect("k", 10, 0.4).unwrap() - 8.0).abs() < 0.1);

    for _ in 0..10 {
        record(&mut history, 0.0);
    }
    assert!(history.expect("k", 10, 0.4).unwrap() < 0.2);

    record(&mut history, 0.0);
    assert!(history.expect("k", 10, 0.4).unwrap() > 1.0, "the next window was busy two seasons ago");

    for _ in 0..500 {
        record(&mut history, 1.0);
    }
    assert!(serde_json::to_string(&history).unwrap().len() < 2000);
    assert_eq!(history.expect("other", 10, 0.4), None);
}
