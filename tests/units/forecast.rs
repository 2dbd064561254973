//! The projection of a shard's load, and the forecast of demand.

use std::collections::BTreeMap;
use woadlever::config::Operator;
use woadlever::core::common::projection::{Booking, project, remaining_s};
use woadlever::core::forecast::History;
use woadlever::model::Resources;

fn booking(ran_ms: u64, expected_ms: u64) -> Booking {
    Booking { demand: Resources { cpus: 4.0, gpus: 0.0, memory_gb: 1.0 }, ran_ms, expected_ms }
}

#[test]
fn projection_extends_overrunning_tasks_and_counts_overloaded_steps() {
    let operator = Operator::default();
    assert_eq!(remaining_s(&operator, &booking(4_000, 10_000)), 6.0);

    // A task past its estimate is extended by a fifth of the estimate, repeatedly.
    assert!((remaining_s(&operator, &booking(10_500, 10_000)) - 1.5).abs() < 1e-9);
    assert!((remaining_s(&operator, &booking(12_500, 10_000)) - 1.5).abs() < 1e-9);

    let capacity = Resources { cpus: 8.0, gpus: 0.0, memory_gb: 64.0 };
    let none = Resources::default();
    let full = [booking(0, 9_000), booking(0, 9_000)];
    let projection = project(&operator, &capacity, &full, &none);
    assert_eq!(
        (projection.peak, projection.overloaded),
        (1.0, false),
        "9 overloaded steps of 100 count as an overload"
    );

    let longer = [booking(0, 11_000), booking(0, 11_000)];
    assert!(project(&operator, &capacity, &longer, &none).overloaded);

    let waiting = Resources { cpus: 4.0, gpus: 0.0, memory_gb: 1.0 };
    assert!(project(&operator, &capacity, &[booking(0, 50_000)], &waiting).overloaded);
    assert!(!project(&operator, &capacity, &[], &waiting).overloaded);
}

/// A single rise at the start of a day is not a seasonal pattern: it must not reappear in the
/// forecast after the demand has ended.
#[test]
fn a_season_counts_only_after_its_second_occurrence() {
    let mut history = History::default();
    let record = |history: &mut History, demand: f64| {
        history.record(&BTreeMap::from([("k".to_string(), demand)]), 10);
    };
    assert_eq!(history.forecast("k", 10, 0.4), None);

    for _ in 0..9 {
        record(&mut history, 8.0);
    }
    assert!((history.forecast("k", 10, 0.4).unwrap() - 8.0).abs() < 0.1);

    for _ in 0..10 {
        record(&mut history, 0.0);
    }
    assert!(history.forecast("k", 10, 0.4).unwrap() < 0.2);

    record(&mut history, 0.0);
    assert!(
        history.forecast("k", 10, 0.4).unwrap() > 1.0,
        "the forecast ignores that the next window was busy two seasons ago"
    );

    for _ in 0..500 {
        record(&mut history, 1.0);
    }
    assert!(serde_json::to_string(&history).unwrap().len() < 2000);
    assert_eq!(history.forecast("other", 10, 0.4), None);
}
