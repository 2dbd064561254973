//! Three cells of real processes on loopback. The first cell is full, and its jobs move to the
//! other two. Then controllers are killed: all of one host cell and all of the origin, which are
//! restarted, and all of the other host cell, which stays down until all jobs are done. The test
//! asserts on the history of all workers and on the answers to users.

#![allow(unreachable_pub, reason = "modules of a test program are not a library")]
#![allow(clippy::unwrap_used, clippy::expect_used, clippy::panic, reason = "a test fails by panicking")]

mod processes;

use processes::{
    Addresses, Cluster, ClusterSettings, ZONES, free_ports, job, submit, until_done, wait_until,
};
use std::collections::HashSet;
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::Duration;
use woadlever_fakes::cloud::FakeCloud;
use woadlever_fakes::history::History;
use woadlever_fakes::store::FakeStore;
use woadlever_fakes::worker::WorkerSettings;

const CELLS: usize = 3;
const NODES: usize = 2;
const ORIGIN: usize = 0;
const HOST: usize = 1;
/// The host cell whose controllers are killed and stay down until all jobs are done.
const SILENT: usize = 2;
/// Number of machines that the cloud of each cell can provide.
const CAPACITY: [usize; CELLS] = [2, 6, 6];
const JOBS: u32 = 8;
const TASKS: u32 = 8;
const TASK_DURATION: Duration = Duration::from_secs(8);
const LEASE_S: f64 = 15.0;
const CANCEL_S: f64 = 36.0;
/// Size of the range of machine numbers of each cell. The range of a cell begins at its index
/// times this size.
const MACHINE_NUMBERS_PER_CELL: u32 = 100_000;

/// A cell with the fakes that it uses.
struct Cell {
    public_addresses: Vec<SocketAddr>,
    cluster: Cluster,
    state: FakeStore,
    _cloud: FakeCloud,
}

fn cell_name(cell: usize) -> String {
    format!("cell{cell}")
}

/// Returns the operator settings of a node.
fn operator(cell: usize, node: usize, ports: &[Vec<SocketAddr>]) -> String {
    let mut text = format!(
        "[cells]\nenabled=true\nname={}\nlisten_port={}\nspill_after_s=2\nsilence_s=6\nidle_s=30\n",
        cell_name(cell),
        ports[cell][node].port()
    );
    for other in (0..CELLS).filter(|other| *other != cell) {
        let controllers: Vec<String> = ports[other].iter().map(SocketAddr::to_string).collect();
        writeln!(text, "[cell {}]\ncontrollers={}", cell_name(other), controllers.join(",")).unwrap();
    }
    text
}

async fn start_cell(
    cell: usize,
    nodes: Vec<Addresses>,
    ports: &[Vec<SocketAddr>],
    history: &History,
) -> Cell {
    let public_addresses: Vec<SocketAddr> = nodes.iter().map(|node| node.public).collect();
    let (state, state_address) = FakeStore::start().await.unwrap();
    let workers = WorkerSettings {
        nodes: (0..NODES).map(|node| (format!("n{node}"), public_addresses[node])).collect(),
        heartbeat_interval: Duration::from_secs(1),
        lease_duration: Duration::from_secs_f64(LEASE_S),
        task_duration: TASK_DURATION,
        history: history.clone(),
    };
    let zones = ZONES.map(String::from).to_vec();
    let first = cell as u32 * MACHINE_NUMBERS_PER_CELL;
    let (cloud, cloud_address) =
        FakeCloud::start_with_number_offset(first, zones, CAPACITY[cell], workers).await.unwrap();
    let mut cluster = Cluster::new(&ClusterSettings {
        name: ["cells-0", "cells-1", "cells-2"][cell],
        nodes,
        cloud: cloud_address,
        state: state_address,
        report_s: 1.0,
        lease_s: LEASE_S,
        cancel_s: CANCEL_S,
        operator: (0..NODES).map(|node| operator(cell, node, ports)).collect(),
    });
    cluster.start();
    Cell { public_addresses, cluster, state, _cloud: cloud }
}

/// Returns the cell that a machine belongs to.
fn cell_of(machine: &str) -> usize {
    let number: u32 = machine.trim_start_matches("host-").parse().unwrap();
    (number / MACHINE_NUMBERS_PER_CELL) as usize
}

/// Whether any task runs in a cell.
fn runs_in(history: &History, cell: usize) -> bool {
    history.running().values().any(|machine| cell_of(machine) == cell)
}

#[tokio::test]
async fn jobs_move_between_cells_whose_controllers_are_killed_and_each_runs_once() {
    // Allocates all ports in one call, so that no two are the same.
    let all = free_ports(CELLS * NODES * 3);
    let (for_cells, for_nodes) = all.split_at(CELLS * NODES);
    let ports: Vec<Vec<SocketAddr>> = for_cells.chunks(NODES).map(<[SocketAddr]>::to_vec).collect();
    let nodes: Vec<Addresses> =
        for_nodes.chunks(2).map(|pair| Addresses { public: pair[0], internal: pair[1] }).collect();
    let history = History::default();
    let mut cells = Vec::new();
    for cell in 0..CELLS {
        let nodes = nodes[cell * NODES..][..NODES].to_vec();
        cells.push(start_cell(cell, nodes, &ports, &history).await);
    }
    let client = reqwest::Client::new();
    let public_addresses = cells[ORIGIN].public_addresses.clone();
    for id in 1..=JOBS {
        submit(&client, &public_addresses, &job(id, TASKS)).await;
    }
    wait_until("work moved to the host", || runs_in(&history, HOST)).await;
    cells[HOST].cluster.kill();
    cells[HOST].cluster.start();
    cells[ORIGIN].cluster.kill();
    cells[ORIGIN].cluster.start();
    wait_until("work moved to the cell that goes silent", || runs_in(&history, SILENT)).await;
    cells[SILENT].cluster.kill();
    for id in 1..=JOBS {
        until_done(&client, &public_addresses, id).await;
    }
    // A cell that comes back after its jobs are done must not start their tasks again.
    let before = history.starts_by_task().values().sum::<u32>();
    cells[SILENT].cluster.start();
    tokio::time::sleep(Duration::from_secs(5)).await;
    assert_eq!(history.starts_by_task().values().sum::<u32>(), before, "started after the job was done");

    assert_eq!(history.concurrent_starts(), Vec::<String>::new(), "a task ran in two places at once");
    let machines = history.machines_by_task();
    assert_eq!(machines.len(), (JOBS * TASKS) as usize);
    for (task, machines) in &machines {
        let (silent, other): (Vec<&String>, Vec<&String>) =
            machines.iter().partition(|machine| cell_of(machine) == SILENT);
        // A task that ran in the silent cell may have to run again, once, in another cell.
        assert!(other.len() <= 1 && silent.len() <= 1, "{task} started on {machines:?}");
        assert!(!machines.is_empty(), "{task} never ran");
    }
    let places: HashSet<usize> = machines.values().flatten().map(|machine| cell_of(machine)).collect();
    assert_eq!(places.len(), CELLS, "work ran in all cells");
    for id in 1..=JOBS {
        let record = cells[ORIGIN].state.value(&format!("w/job/run-{id:06}")).unwrap();
        assert_eq!(record["s"], "d", "run-{id:06}");
    }
}
