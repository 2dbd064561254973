//! A fake of the cloud, written from the protocol.

use super::{World, ZONES};
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::ops::Range;
use woadlever::core::{CloudRequest, CloudResponse};

const REQUESTS_PER_S: f64 = 5.0;
const USUAL_CAPACITY: usize = 12;

/// What the cloud has rented out, and its faults.
pub struct Cloud {
    /// Machines that it has at most.
    pub capacity: usize,
    /// Machine types in the catalog that nobody has a use for.
    pub more_types: usize,
    pub is_down: bool,
    /// Machines by the name of the request that rented them.
    granted: HashMap<String, Vec<String>>,
    /// Machines rented so far.
    pub rented: usize,
    pub returned: Vec<String>,
    /// How long rented machines take to boot.
    pub boot_ms: Range<u64>,
    /// Calls: left of the rate, as of when, made, refused.
    rate: (f64, u64),
    pub calls: u32,
    pub refused: u32,
}

impl Default for Cloud {
    fn default() -> Cloud {
        Cloud {
            capacity: USUAL_CAPACITY,
            more_types: 0,
            is_down: false,
            granted: HashMap::new(),
            rented: 0,
            returned: Vec::new(),
            boot_ms: 6_000..15_000,
            rate: (REQUESTS_PER_S, 0),
            calls: 0,
            refused: 0,
        }
    }
}

impl World {
    pub(super) fn cloud_response(&mut self, op: CloudRequest) -> CloudResponse {
        if self.cloud.is_down {
            return CloudResponse::NotExecuted;
        }
        self.cloud.calls += 1;
        let (left, at) = self.cloud.rate;
        let left = (left + REQUESTS_PER_S * (self.now - at) as f64 / 1000.0).min(2.0 * REQUESTS_PER_S);
        if left < 1.0 {
            self.cloud.rate = (left, self.now);
            self.cloud.refused += 1;
            return CloudResponse::NotExecuted;
        }
        self.cloud.rate = (left - 1.0, self.now);
        match op {
            CloudRequest::Catalog => {
                let mut types = vec![json!({"label":"m16","cores":16,"cards":0,
                    "memory_gb":64,"cache_gb":50,"pull_gb_per_s":1.0,"price":1.0,"spot_price":0.4,
                    "ready_s":10,"yards":ZONES})];
                for i in 0..self.cloud.more_types {
                    types.push(json!({"label":format!("tiny{i}"),"cores":1,"cards":0,"memory_gb":1,
                        "cache_gb":1,"pull_gb_per_s":1.0,"price":9.0,"spot_price":9.0,"ready_s":10,
                        "yards":ZONES}));
                }
                let catalog = json!({ "hulltypes": types });
                CloudResponse::Catalog(serde_json::from_value(catalog).unwrap())
            }
            CloudRequest::List { since } => {
                let after = since.unwrap_or_default();
                let now = self.now;
                let list: Vec<Value> = self
                    .workers
                    .iter()
                    .filter(|w| w.rented + 4000 <= now && w.name > after)
                    .filter(|w| !self.cloud.returned.contains(&w.name))
                    .map(|w| {
                        json!({"name_id":w.name,"hulltype":w.type_name,"yard":w.zone,"standby":w.spot,
                            "status": if now < w.up_at {"starting"} else {"running"},
                            "age_s":(now - w.rented) as f64 / 1000.0})
                    })
                    .collect();
                CloudResponse::Page(
                    serde_json::from_value(json!({"hulls":list,"has_next":false})).unwrap(),
                )
            }
            CloudRequest::Rent(r) => {
                assert!(r.count <= 50, "{} machines in one request", r.count);
                if let Some(old) = self.cloud.granted.get(&r.request) {
                    return CloudResponse::Rented(serde_json::from_value(json!({"hulls":old})).unwrap());
                }
                let up = self.workers.iter().filter(|w| !self.cloud.returned.contains(&w.name)).count();
                let n = (r.count as usize).min(self.cloud.capacity.saturating_sub(up));
                if n == 0 {
                    return CloudResponse::NoCapacity;
                }
                let mut names = Vec::new();
                for _ in 0..n {
                    self.cloud.rented += 1;
                    let boot = self.rng.random_range(self.cloud.boot_ms.clone());
                    names.push(self.add_worker(self.cloud.rented, &r.zone, r.spot, boot));
                }
                self.cloud.granted.insert(r.request, names.clone());
                CloudResponse::Rented(serde_json::from_value(json!({"hulls":names})).unwrap())
            }
            CloudRequest::Return(r) => {
                assert!(r.machines.len() <= 100, "{} names in one request", r.machines.len());
                for name in r.machines {
                    if let Some(w) = self.workers.iter_mut().find(|w| w.name == name) {
                        w.alive = false;
                        w.tasks.clear();
                    }
                    self.cloud.returned.push(name);
                }
                CloudResponse::Returned
            }
        }
    }
}
