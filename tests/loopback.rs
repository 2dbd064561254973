//! Real processes of the service on loopback, against this repository's fakes: all controllers
//! are killed at once, several times, while tasks run. The test asserts on the history of all
//! workers and on the answers to users, never on how long anything took; the limit on the number
//! of checks only ends a test that would not end otherwise.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod processes;

use processes::{
    Addresses, Cluster, ClusterSettings, ZONES, free_ports, job, submit, until_done, wait_until,
};
use std::net::SocketAddr;
use std::time::Duration;
use woadlever_fakes::cloud::FakeCloud;
use woadlever_fakes::history::History;
use woadlever_fakes::store::FakeStore;
use woadlever_fakes::worker::WorkerSettings;

const NODES: usize = 3;
const MACHINES: usize = 200;
const JOBS: u32 = 16;
const TASKS: u32 = 40;
const TASK_DURATION: Duration = Duration::from_secs(12);

#[tokio::test]
async fn all_controllers_are_killed_several_times_and_each_task_runs_once() {
    let ports = free_ports(2 * NODES);
    let nodes: Vec<Addresses> =
        ports.chunks(2).map(|pair| Addresses { public: pair[0], internal: pair[1] }).collect();
    let public_addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.public).collect();
    let (state, state_address) = FakeStore::start().await.unwrap();
    let history = History::default();
    let settings = WorkerSettings {
        nodes: (0..NODES).map(|node| (format!("n{node}"), public_addresses[node])).collect(),
        heartbeat_interval: Duration::from_secs(1),
        lease_duration: Duration::from_secs(45),
        task_duration: TASK_DURATION,
        history: history.clone(),
    };
    let zones = ZONES.map(String::from).to_vec();
    let (cloud, cloud_address) = FakeCloud::start(zones, MACHINES, settings).await.unwrap();
    let mut cluster = Cluster::new(&ClusterSettings {
        name: "loopback",
        nodes,
        cloud: cloud_address,
        state: state_address,
        report_s: 1.0,
        lease_s: 45.0,
        cancel_s: 90.0,
        operator: vec![include_str!("../deploy/woadlever.ini").to_string(); NODES],
    });
    cluster.start();
    let client = reqwest::Client::new();
    for id in 1..=JOBS {
        submit(&client, &public_addresses, &job(id, TASKS)).await;
    }
    // Kills the controllers while tasks run, and again before the new ones have reconciled all
    // state.
    for starts in [50, 200, 200] {
        wait_until("tasks started", || history.starts_by_task().len() >= starts).await;
        cluster.kill();
        cluster.start();
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }
    for id in 1..=JOBS {
        until_done(&client, &public_addresses, id).await;
    }
    let starts = history.starts_by_task();
    assert_eq!(starts.len(), (JOBS * TASKS) as usize);
    assert!(starts.values().all(|starts| *starts == 1), "a task was started again");
    assert_eq!(history.concurrent_starts(), Vec::<String>::new());
    assert_eq!(
        (history.commanded_attempts(), history.stopped()),
        ((JOBS * TASKS) as usize, 0),
        "unnecessary commands were sent"
    );
    assert!(cloud.machine_count() <= MACHINES);
    assert_eq!(state.value("w/job/run-000001").unwrap()["s"], "d");
}
