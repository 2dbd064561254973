//! Settings of the nodes, and jobs as users submit them.

use super::ZONES;
use serde_json::{Value, json};
use woadlever::config::Platform;

/// Size of a simulated cluster, which determines the heartbeat interval and the settings.
#[derive(Debug, Clone, Copy, PartialEq)]
pub enum Size {
    /// A few machines.
    Small,
    /// Hundreds of machines, with a low limit on the rate of mutations.
    Large,
    /// Thousands of machines.
    Fleet,
    /// A hundred machines or more, all of them used by teams that are at their limits.
    Saturated(SaturatedTeams),
}

impl Size {
    /// Whether workers send a heartbeat about every three seconds instead of about every eight.
    pub fn has_frequent_heartbeats(self) -> bool {
        matches!(self, Size::Small | Size::Saturated(SaturatedTeams { is_fleet: false, .. }))
    }

    /// Whether there may be thousands of machines.
    pub fn is_fleet(self) -> bool {
        matches!(self, Size::Fleet | Size::Saturated(SaturatedTeams { is_fleet: true, .. }))
    }
}

/// Teams with equal quotas, named `t0`, `t1` and so on.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct SaturatedTeams {
    /// Number of teams.
    pub count: u32,
    /// CPUs that each team is guaranteed.
    pub cpus: u32,
    /// CPUs that each team may use at most.
    pub cpus_max: u32,
    /// Whether the heartbeat interval and the rate limits of the store are those for thousands of
    /// machines.
    pub is_fleet: bool,
}

/// Lower limits of the store that the settings announce.
#[derive(Debug, Clone, Copy)]
pub struct AnnouncedLimits {
    /// Maximum length of a value.
    pub value_kb: f64,
    /// Maximum number of mutations in one compare-and-swap.
    pub mutations: usize,
    /// Maximum number of mutations per second.
    pub mutations_per_s: f64,
}

/// Returns the platform settings of one node of a cluster of [`Size::Small`].
pub fn platform(node: usize, nodes: usize) -> Platform {
    Platform::parse("test.toml", &settings(node, nodes)).expect("settings")
}

/// Returns the platform settings of one node of a cluster of any size, with the announced limits
/// of the store if there are any.
pub fn sized_platform(
    size: Size,
    node: usize,
    nodes: usize,
    announced: Option<AnnouncedLimits>,
) -> Platform {
    let mut text = match size {
        Size::Small => settings(node, nodes),
        Size::Large => large_settings(node, nodes),
        Size::Fleet => fleet_settings(node, nodes),
        Size::Saturated(teams) => saturated_settings(node, nodes, teams),
    };
    if let Some(AnnouncedLimits { value_kb, mutations, mutations_per_s }) = announced {
        text += &format!(
            "[cluster.state.next]\nvalue_kb={value_kb:?}\ntxn_ops={mutations}\nwrite_rps={mutations_per_s:?}\n"
        );
    }
    Platform::parse("test.toml", &text).expect("settings")
}

/// Settings for hundreds of machines: large team quotas, few mutations per second, and a long
/// heartbeat interval.
fn large_settings(node: usize, nodes: usize) -> String {
    settings(node, nodes)
        .replace("report_s=3.0", "report_s=8.0")
        .replace("cpus_max=64.0", "cpus_max=4000.0")
        .replace("write_rps=200.0", "write_rps=20.0")
        .replace("rps=500.0", "rps=150.0")
}

/// Settings for thousands of machines, with team quotas that do not limit their use.
fn fleet_settings(node: usize, nodes: usize) -> String {
    settings(node, nodes)
        .replace("report_s=3.0", "report_s=8.0")
        .replace("cpus_max=64.0", "cpus_max=100000.0")
        .replace("cpus=16.0", "cpus=9000.0")
        .replace("write_rps=200.0", "write_rps=70.0")
        .replace("rps=500.0", "rps=200.0")
        .replace("max_connections=800", "max_connections=7000")
}

/// Settings for teams that are at their limits, with the rate limits of the operators' store.
fn saturated_settings(node: usize, nodes: usize, teams: SaturatedTeams) -> String {
    let text = if teams.is_fleet {
        fleet_settings(node, nodes)
    } else {
        settings(node, nodes)
            .replace("write_rps=200.0", "write_rps=20.0")
            .replace("rps=500.0", "rps=150.0")
    };
    let (head, rest) = text.split_once("[[cluster.teams]]").expect("teams");
    let (_, tail) = rest.split_once("[cluster.workers]").expect("workers");
    let mut listed = String::new();
    for number in 0..teams.count {
        listed += &format!(
            "[[cluster.teams]]\nname=\"t{number}\"\ncpus={}.0\ncpus_max={}.0\n",
            teams.cpus, teams.cpus_max
        );
    }
    format!("{head}{listed}[cluster.workers]{tail}")
}

/// Settings for a few machines.
fn settings(node: usize, nodes: usize) -> String {
    let mut text = format!(
        "host_name=\"n{node}\"\ndomain=\"{}\"\nbind=\"127.0.0.1:1\"\ninternal_addr=\"127.0.0.1:2\"\n",
        ZONES[node % 2]
    );
    for peer in (0..nodes).filter(|peer| *peer != node) {
        text += &format!(
            "[[known]]\nhost_name=\"n{peer}\"\ndomain=\"{}\"\nendpoint=\"127.0.0.1:3\"\n",
            ZONES[peer % 2]
        );
    }
    text += "[endpoints]\ncloud=\"127.0.0.1:4\"\nstate=\"127.0.0.1:5\"\n[cluster]\nzones=[\"east\",\"west\"]\n\
          [[cluster.teams]]\nname=\"t0\"\ncpus=16.0\ncpus_max=32.0\n\
          [[cluster.teams]]\nname=\"t1\"\ncpus=16.0\ncpus_max=64.0\n\
          [cluster.workers]\nreport_s=3.0\nlease_s=20.0\ncancel_s=40.0\n\
          [cluster.state]\nrps=500.0\nwrite_rps=200.0\nvalue_kb=8.0\ntxn_ops=12\n\
          [cluster.cloud]\nrps=5.0\nlist_lag_s=4.0\n\
          [cluster.limits]\nmax_connections=800\n";
    text
}

/// Returns the submission of a batch job of normal priority with the id `run-{id}`, whose tasks
/// use four cores and 4 GB and may run on any machine.
pub fn job(id: u32, team: &str, tasks: u32, run_s: f64) -> Value {
    json!({"name_id": format!("run-{id:06}"), "jobclass": "c", "crew": team, "shape": "batch",
        "urgency": "normal", "pieces": tasks, "cores": 4.0, "cards": 0.0, "memory_gb": 4.0,
        "hulltypes": null, "yard": null, "one_zone": false, "scatter": false, "standby": true,
        "bundle": "img", "pull_gb": 0.5, "guess_s": run_s, "bookmark_s": 0.0, "stow_s": 0.0})
}
