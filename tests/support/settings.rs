//! Settings of the nodes, and jobs as users submit them.

use super::ZONES;
use serde_json::{Value, json};
use woadlever::config::Platform;

/// How large a world is, and with it how rare its heartbeats are.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Size {
    Small,
    Large,
    Fleet,
}

pub fn platform(node: usize, nodes: usize) -> Platform {
    Platform::parse("test.toml", &settings(node, nodes)).expect("settings")
}

/// Limits that the settings announce: KiB a value, changes a transaction, and
/// changes a second.
pub type Next = (f64, usize, f64);

pub fn sized_platform(size: Size, node: usize, nodes: usize, next: Option<Next>) -> Platform {
    let mut s = match size {
        Size::Small => settings(node, nodes),
        Size::Large => large_settings(node, nodes),
        Size::Fleet => fleet_settings(node, nodes),
    };
    if let Some((kb, ops, rate)) = next {
        s += &format!("[cluster.state.next]\nvalue_kb={kb:?}\ntxn_ops={ops}\nwrite_rps={rate:?}\n");
    }
    Platform::parse("test.toml", &s).expect("settings")
}

/// The same for hundreds of machines: large teams, few changes a second, and
/// rare heartbeats.
fn large_settings(node: usize, nodes: usize) -> String {
    settings(node, nodes)
        .replace("report_s=3.0", "report_s=8.0")
        .replace("cpus_max=64.0", "cpus_max=4000.0")
        .replace("write_rps=200.0", "write_rps=20.0")
        .replace("rps=500.0", "rps=150.0")
}

/// The same for thousands of machines, whose work no team's limit holds back.
fn fleet_settings(node: usize, nodes: usize) -> String {
    settings(node, nodes)
        .replace("report_s=3.0", "report_s=8.0")
        .replace("cpus_max=64.0", "cpus_max=100000.0")
        .replace("cpus=16.0", "cpus=9000.0")
        .replace("write_rps=200.0", "write_rps=70.0")
        .replace("rps=500.0", "rps=200.0")
        .replace("max_connections=800", "max_connections=7000")
}

fn settings(node: usize, nodes: usize) -> String {
    let mut s = format!(
        "host_name=\"n{node}\"\ndomain=\"{}\"\nbind=\"127.0.0.1:1\"\ninternal_addr=\"127.0.0.1:2\"\n",
        ZONES[node % 2]
    );
    for p in (0..nodes).filter(|p| *p != node) {
        s += &format!(
            "[[known]]\nhost_name=\"n{p}\"\ndomain=\"{}\"\nendpoint=\"127.0.0.1:3\"\n",
            ZONES[p % 2]
        );
    }
    s += "[endpoints]\ncloud=\"127.0.0.1:4\"\nstate=\"127.0.0.1:5\"\n[cluster]\nzones=[\"east\",\"west\"]\n\
          [[cluster.teams]]\nname=\"t0\"\ncpus=16.0\ncpus_max=32.0\n\
          [[cluster.teams]]\nname=\"t1\"\ncpus=16.0\ncpus_max=64.0\n\
          [cluster.workers]\nreport_s=3.0\nlease_s=20.0\ncancel_s=40.0\n\
          [cluster.state]\nrps=500.0\nwrite_rps=200.0\nvalue_kb=8.0\ntxn_ops=12\n\
          [cluster.cloud]\nrps=5.0\nlist_lag_s=4.0\n\
          [cluster.limits]\nmax_connections=800\n";
    s
}

pub fn job(id: u32, team: &str, tasks: u32, run_s: f64) -> Value {
    json!({"name_id": format!("run-{id:06}"), "jobclass": "c", "crew": team, "shape": "batch",
        "urgency": "normal", "pieces": tasks, "cores": 4.0, "cards": 0.0, "memory_gb": 4.0,
        "hulltypes": null, "yard": null, "one_zone": false, "scatter": false, "standby": true,
        "bundle": "img", "pull_gb": 0.5, "guess_s": run_s, "bookmark_s": 0.0, "stow_s": 0.0})
}
