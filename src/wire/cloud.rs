//! The cloud's interface.

use crate::model::{self, Resources};
use serde::{Deserialize, Serialize};

/// Answer to a request for the catalog.
#[derive(Debug, Clone, Deserialize)]
pub struct Catalog {
    /// What can be rented.
    #[serde(rename = "hulltypes")]
    pub types: Vec<MachineType>,
}

/// A machine type as the cloud describes it.
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "label")]
    pub name: String,
    /// CPUs.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// GPUs.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory.
    pub memory_gb: f64,
    /// Room for images.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched.
    #[serde(rename = "pull_gb_per_s", default = "one")]
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine per hour.
    pub price: f64,
    /// Present price of a spot machine per hour.
    #[serde(default)]
    pub spot_price: f64,
    /// Usual boot time.
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    /// Zones in which it can be rented.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

impl From<MachineType> for model::MachineType {
    fn from(t: MachineType) -> Self {
        model::MachineType {
            capacity: Resources { cpus: t.cpus, gpus: t.gpus, mem: t.memory_gb },
            name: t.name,
            cache_gb: t.cache_gb,
            fetch_gb_per_s: t.fetch_gb_per_s.max(0.01),
            price: t.price,
            spot_price: t.spot_price,
            boot_s: t.boot_s,
            zones: t.zones,
        }
    }
}

fn one() -> f64 {
    1.0
}

/// A request for machines.
#[derive(Debug, Clone, Serialize)]
pub struct RentRequest {
    /// Name of the request; never used again for another one.
    #[serde(rename = "charter")]
    pub request: String,
    /// Type to rent.
    #[serde(rename = "hulltype")]
    pub machine_type: String,
    /// Zone to rent in.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether spot machines are wanted.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// Number of machines.
    pub count: u32,
}

/// Answer to a request for machines.
#[derive(Debug, Clone, Deserialize)]
pub struct RentAnswer {
    /// Names of the machines rented.
    #[serde(rename = "hulls")]
    pub machines: Vec<String>,
}

/// A request to take machines back.
#[derive(Debug, Clone, Serialize)]
pub struct ReturnRequest {
    /// Names of the machines.
    #[serde(rename = "hulls")]
    pub machines: Vec<String>,
}

/// A page of the list of machines.
#[derive(Debug, Clone, Deserialize)]
pub struct MachinePage {
    /// Machines on this page.
    #[serde(rename = "hulls")]
    pub machines: Vec<ListedMachine>,
    /// Whether another page follows.
    #[serde(rename = "has_next", default)]
    pub more: bool,
}

/// A machine as the cloud lists it.
#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    /// Name of the machine.
    #[serde(rename = "name_id")]
    pub name: String,
    /// Its type.
    #[serde(rename = "hulltype")]
    pub machine_type: String,
    /// Its zone.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether it is a spot machine.
    #[serde(rename = "standby", default)]
    pub spot: bool,
    /// `starting`, `running` or `failed`.
    #[serde(rename = "status")]
    pub state: String,
    /// Time since it was rented.
    #[serde(default)]
    pub age_s: f64,
}
