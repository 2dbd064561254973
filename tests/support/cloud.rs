//! The cloud, written from the protocol.

use super::{CLOUD_RPS, World, ZONES};
use rand::RngExt;
use serde_json::{Value, json};
use woadlever::core::{CloudRequest, CloudResponse};

impl World {
    pub(super) fn cloud(&mut self, op: CloudRequest) -> CloudResponse {
        if self.cloud_down {
            return CloudResponse::NotExecuted;
        }
        self.cloud_calls += 1;
        let (left, at) = self.cloud_rate;
        let left = (left + CLOUD_RPS * (self.now - at) as f64 / 1000.0).min(2.0 * CLOUD_RPS);
        if left < 1.0 {
            self.cloud_rate = (left, self.now);
            self.cloud_refused += 1;
            return CloudResponse::NotExecuted;
        }
        self.cloud_rate = (left - 1.0, self.now);
        match op {
            CloudRequest::Catalog => {
                let mut types = vec![json!({"label":"m16","cores":16,"cards":0,
                    "memory_gb":64,"cache_gb":50,"pull_gb_per_s":1.0,"price":1.0,"spot_price":0.4,
                    "ready_s":10,"yards":ZONES})];
                for i in 0..self.more_types {
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
                    .filter(|w| !self.returned.contains(&w.name))
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
                if let Some(old) = self.charters.get(&r.request) {
                    return CloudResponse::Rented(serde_json::from_value(json!({"hulls":old})).unwrap());
                }
                let up = self.workers.iter().filter(|w| !self.returned.contains(&w.name)).count();
                let n = (r.count as usize).min(self.capacity.saturating_sub(up));
                if n == 0 {
                    return CloudResponse::NoCapacity;
                }
                let mut names = Vec::new();
                for _ in 0..n {
                    self.rented += 1;
                    let boot = self.rng.random_range(self.boot_ms.clone());
                    names.push(self.add_worker(self.rented, &r.zone, r.spot, boot));
                }
                self.charters.insert(r.request, names.clone());
                CloudResponse::Rented(serde_json::from_value(json!({"hulls":names})).unwrap())
            }
            CloudRequest::Return(r) => {
                assert!(r.machines.len() <= 100, "{} names in one request", r.machines.len());
                for name in r.machines {
                    if let Some(w) = self.workers.iter_mut().find(|w| w.name == name) {
                        w.alive = false;
                        w.tasks.clear();
                    }
                    self.returned.push(name);
                }
                CloudResponse::Returned
            }
        }
    }
}
