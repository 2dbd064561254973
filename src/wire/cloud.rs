//! The cloud's protocol: the catalog of machine types, requests to rent and to return machines,
//! and the list of machines.

use crate::model::{self, Resources};
use serde::{Deserialize, Serialize};

/// Response to a request for the catalog.
#[derive(Debug, Clone, Deserialize)]
pub struct Catalog {
    /// The machine types that can be rented.
    #[serde(rename = "hulltypes")]
    pub types: Vec<MachineType>,
}

/// A machine type as the cloud describes it.
#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
pub struct MachineType {
    /// Name of the type.
    #[serde(rename = "label")]
    pub name: String,
    /// Number of CPUs.
    #[serde(rename = "cores")]
    pub cpus: f64,
    /// Number of GPUs.
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    /// Memory in GB.
    pub memory_gb: f64,
    /// Capacity of the image cache in GB.
    #[serde(default)]
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    #[serde(rename = "pull_gb_per_s", default = "default_fetch_gb_per_s")]
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    pub price: f64,
    /// Current price of a spot instance per hour.
    #[serde(default)]
    pub spot_price: f64,
    /// Typical boot time in seconds.
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    /// Zones in which the type can be rented.
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

/// Lower bound on the fetch rate of a machine type, which keeps computed fetch times finite.
const MIN_FETCH_GB_PER_S: f64 = 0.01;

impl From<MachineType> for model::MachineType {
    fn from(listed: MachineType) -> Self {
        model::MachineType {
            capacity: Resources { cpus: listed.cpus, gpus: listed.gpus, memory_gb: listed.memory_gb },
            name: listed.name,
            cache_gb: listed.cache_gb,
            fetch_gb_per_s: listed.fetch_gb_per_s.max(MIN_FETCH_GB_PER_S),
            price: listed.price,
            spot_price: listed.spot_price,
            boot_s: listed.boot_s,
            zones: listed.zones,
        }
    }
}

/// Fetch rate of a machine type for which the catalog does not state one.
fn default_fetch_gb_per_s() -> f64 {
    1.0
}

/// A request to rent machines.
#[derive(Debug, Clone, Serialize)]
pub struct CreateInstancesRequest {
    /// Unique name of the request, which makes the request idempotent. A name is never reused.
    #[serde(rename = "charter")]
    pub request: String,
    /// Machine type to rent.
    #[serde(rename = "hulltype")]
    pub machine_type: String,
    /// Zone to rent in.
    #[serde(rename = "yard")]
    pub zone: String,
    /// Whether to rent spot instances.
    #[serde(rename = "standby")]
    pub spot: bool,
    /// Number of machines, at most 50.
    pub count: u32,
}

/// Response to a request to rent machines.
#[derive(Debug, Clone, Deserialize)]
pub struct CreatedInstances {
    /// Names of the rented machines. There may be fewer than requested.
    #[serde(rename = "hulls")]
    pub machines: Vec<String>,
}

/// A request to return at most 100 machines.
#[derive(Debug, Clone, Serialize)]
pub struct TerminateInstancesRequest {
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
    pub has_more: bool,
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
    /// Whether it is a spot instance.
    #[serde(rename = "standby", default)]
    pub spot: bool,
    /// State of the machine: `starting`, `running` or `failed`.
    #[serde(rename = "status")]
    pub state: String,
    /// Time in seconds from the rental of the machine to the point in time that the list reflects.
    #[serde(default)]
    pub age_s: f64,
}
