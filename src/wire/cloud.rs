//! The cloud's interface.

use serde::{Deserialize, Serialize};

#[derive(Debug, Clone, Deserialize)]
pub struct Catalog {
    #[serde(rename = "hulltypes")]
    pub types: Vec<MachineType>,
}

#[derive(Debug, Clone, Deserialize, Serialize, PartialEq)]
pub struct MachineType {
    #[serde(rename = "label")]
    pub name: String,
    #[serde(rename = "cores")]
    pub cpus: f64,
    #[serde(rename = "cards", default)]
    pub gpus: f64,
    pub memory_gb: f64,
    #[serde(default)]
    pub cache_gb: f64,
    #[serde(rename = "pull_gb_per_s", default = "one")]
    pub fetch_gb_per_s: f64,
    pub price: f64,
    #[serde(default)]
    pub spot_price: f64,
    #[serde(rename = "ready_s", default)]
    pub boot_s: f64,
    #[serde(rename = "yards", default)]
    pub zones: Vec<String>,
}

fn one() -> f64 {
    1.0
}

#[derive(Debug, Clone, Serialize)]
pub struct RentRequest {
    #[serde(rename = "charter")]
    pub request: String,
    #[serde(rename = "hulltype")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "standby")]
    pub spot: bool,
    pub count: u32,
}

#[derive(Debug, Clone, Deserialize)]
pub struct RentAnswer {
    #[serde(rename = "hulls")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, Serialize)]
pub struct ReturnRequest {
    #[serde(rename = "hulls")]
    pub machines: Vec<String>,
}

#[derive(Debug, Clone, Deserialize)]
pub struct MachinePage {
    #[serde(rename = "hulls")]
    pub machines: Vec<ListedMachine>,
    #[serde(rename = "has_next", default)]
    pub more: bool,
}

#[derive(Debug, Clone, Deserialize)]
pub struct ListedMachine {
    #[serde(rename = "name_id")]
    pub name: String,
    #[serde(rename = "hulltype")]
    pub machine_type: String,
    #[serde(rename = "yard")]
    pub zone: String,
    #[serde(rename = "standby", default)]
    pub spot: bool,
    #[serde(rename = "status")]
    pub state: String,
    #[serde(default)]
    pub age_s: f64,
}
