//! Nobody starves; lower priorities and work beyond a guarantee give way.

use crate::fixtures::world;
use crate::support::{World, job};
use serde_json::json;

/// A burst of urgent work of twice what the machines can do, for minutes. Every
/// other job begins within four minutes all the same: of a low priority, of
/// tasks as large as a machine, of another team; and completes in the end.
#[test]
fn nobody_starves_under_a_lasting_burst() {
    let mut w = world(62);
    w.cloud.capacity = 4;
    w.run_ms = 10_000;
    let mut next = 100;
    let mut burst = |w: &mut World, seconds: u64| {
        for _ in 0..seconds / 4 {
            let mut j = job(next, "t1", 12, 10.0);
            j["urgency"] = json!("urgent");
            w.submit(next as usize % 3, &j);
            next += 1;
            w.run(4_000);
        }
    };
    burst(&mut w, 60);
    let mut huge = job(1, "t1", 6, 10.0);
    huge["urgency"] = json!("idle");
    huge["cores"] = json!(16.0);
    let mut low = job(2, "t1", 30, 10.0);
    low["urgency"] = json!("idle");
    let mut other = job(3, "t0", 12, 10.0);
    other["urgency"] = json!("normal");
    for (n, j) in [&huge, &low, &other].into_iter().enumerate() {
        w.submit(n, j);
    }
    burst(&mut w, 232);
    for id in 1..4 {
        let began = w.oracle.starts.keys().any(|k| k.starts_with(&format!("run-{id:06}")));
        assert!(began, "job {id} has not begun after four minutes");
    }
    for id in 1..4 {
        assert!(w.until_done(&format!("run-{id:06}"), 1_500_000), "job {id} never ends");
    }
    w.fair();
}

/// Two machines full of long tasks; the wait of a newcomer decides.
fn full_world(seed: u64, urgency: &str, team: &str) -> World {
    let mut w = world(seed);
    w.run_ms = 600_000;
    w.cloud.capacity = 2;
    let mut a = job(1, team, 8, 600.0);
    a["urgency"] = json!(urgency);
    w.accept(0, &a);
    w.run(40_000);
    assert_eq!(w.oracle.starts.len(), 8);
    w
}

fn newcomer(w: &mut World, urgency: &str, team: &str) -> usize {
    w.run_ms = 5_000;
    let mut b = job(2, team, 2, 5.0);
    b["urgency"] = json!(urgency);
    w.accept(0, &b);
    w.run(360_000);
    w.fair();
    w.oracle.starts.keys().filter(|k| k.starts_with("run-000002")).count()
}

#[test]
fn a_lower_priority_gives_way() {
    let mut w = full_world(50, "normal", "t1");
    assert_eq!(newcomer(&mut w, "urgent", "t1"), 2);
    // What was stopped runs again afterwards.
    assert!(w.until_done("run-000001", 700_000));
    w.fair();
}

#[test]
fn work_beyond_a_guarantee_gives_way_to_a_guarantee() {
    let mut w = full_world(51, "urgent", "t1");
    assert_eq!(newcomer(&mut w, "normal", "t0"), 2);
}

#[test]
fn equal_work_of_the_same_team_waits() {
    let mut w = full_world(52, "normal", "t1");
    assert_eq!(newcomer(&mut w, "normal", "t1"), 0);
}
