//! Task sets, shards, task names, and the size of jobs in memory.

use woadlever::model::{TaskSet, shard_of, shards_of, split_task};

#[test]
fn a_task_set_round_trips_in_segments() {
    let mut tasks = TaskSet::with_capacity(100_000);
    for task in [0, 1, 63, 64, 16_383, 16_384, 70_000, 99_999] {
        assert!(tasks.insert(task) && !tasks.insert(task));
    }
    let mut read_back = TaskSet::with_capacity(100_000);
    for segment in 0..7 {
        let text = tasks.to_hex(segment * 256, segment * 256 + 256);
        assert!(text.len() <= 4096);
        read_back.add_hex(segment * 256, &text);
    }
    assert_eq!(tasks, read_back);
    assert!(!read_back.insert(200_000), "beyond the job's tasks");
    read_back.add_hex(0, "zz not hex");
}

#[test]
fn every_zone_has_a_shard_and_every_machine_belongs_to_one() {
    let zones: Vec<String> = ["a", "b", "c"].map(String::from).to_vec();
    let nodes: Vec<(String, String)> =
        [("n0", "a"), ("n1", "a"), ("n2", "b")].map(|(node, zone)| (node.into(), zone.into())).to_vec();
    let shards = shards_of(&zones, &nodes);
    assert_eq!(shards.len(), 4);
    let in_a: Vec<_> =
        (0..4).map(|number| shard_of(&shards, "a", &format!("host-{number:06}")).unwrap()).collect();
    assert!(in_a[0] != in_a[1] && in_a[0] == in_a[2]);
    assert!(shard_of(&shards, "c", "host-000001").is_some());
    assert!(shard_of(&shards, "elsewhere", "host-000001").is_none());
    assert_eq!(split_task("run-000412/3"), Some(("run-000412", 3)));
    assert_eq!(split_task("run-000412"), None);
}

/// Each node keeps a fixed number of final jobs, so the size of one contributes to the memory that
/// a small machine needs (docs/operations.md).
#[test]
fn a_job_takes_about_a_hundred_bytes_besides_its_name() {
    let bytes = std::mem::size_of::<woadlever::core::common::job_table::Job>();
    assert!(bytes <= 112, "{bytes}");
}
