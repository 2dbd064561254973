//! A fake of the cloud, written from the protocol.

use super::{Worker, World, ZONES};
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::ops::Range;
use woadlever::core::{CloudRequest, CloudResponse};
use woadlever::wire::cloud::{CreateInstancesRequest, TerminateInstancesRequest};

const REQUESTS_PER_S: f64 = 5.0;
/// Time after which a new machine is listed.
const LIST_LAG_MS: u64 = 4_000;
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
    /// The answer to a request, once its rate allows it.
    pub(super) fn cloud_response(&mut self, request: CloudRequest) -> CloudResponse {
        if self.cloud.is_down || !self.cloud.take_call(self.now) {
            return CloudResponse::NotExecuted;
        }
        match request {
            CloudRequest::Catalog => self.cloud.catalog(),
            CloudRequest::List { since } => self.list_machines(&since.unwrap_or_default()),
            CloudRequest::CreateInstances(request) => self.rent_machines(request),
            CloudRequest::TerminateInstances(request) => self.return_machines(request),
        }
    }

    fn list_machines(&self, after: &str) -> CloudResponse {
        let now = self.now;
        let is_listed = |worker: &&Worker| {
            worker.rented + LIST_LAG_MS <= now
                && worker.name.as_str() > after
                && !self.cloud.returned.contains(&worker.name)
        };
        let entry = |worker: &Worker| {
            json!({"name_id":worker.name,"hulltype":worker.type_name,"yard":worker.zone,
                "standby":worker.spot,"status": if now < worker.up_at {"starting"} else {"running"},
                "age_s":(now - worker.rented) as f64 / 1000.0})
        };
        let list: Vec<Value> = self.workers.iter().filter(is_listed).map(entry).collect();
        CloudResponse::Page(serde_json::from_value(json!({"hulls":list,"has_next":false})).unwrap())
    }

    fn rent_machines(&mut self, request: CreateInstancesRequest) -> CloudResponse {
        assert!(request.count <= 50, "{} machines in one request", request.count);
        if let Some(names) = self.cloud.granted.get(&request.request) {
            return rented(names);
        }
        let is_there = |worker: &&Worker| !self.cloud.returned.contains(&worker.name);
        let there = self.workers.iter().filter(is_there).count();
        let count = (request.count as usize).min(self.cloud.capacity.saturating_sub(there));
        if count == 0 {
            return CloudResponse::NoCapacity;
        }
        let mut names = Vec::new();
        for _ in 0..count {
            self.cloud.rented += 1;
            let boot = self.rng.random_range(self.cloud.boot_ms.clone());
            names.push(self.add_worker(self.cloud.rented, &request.zone, request.spot, boot));
        }
        let answer = rented(&names);
        self.cloud.granted.insert(request.request, names);
        answer
    }

    fn return_machines(&mut self, request: TerminateInstancesRequest) -> CloudResponse {
        assert!(request.machines.len() <= 100, "{} names in one request", request.machines.len());
        for name in request.machines {
            if let Some(worker) = self.workers.iter_mut().find(|worker| worker.name == name) {
                worker.alive = false;
                worker.tasks.clear();
            }
            self.cloud.returned.push(name);
        }
        CloudResponse::InstancesTerminated
    }
}

fn rented(names: &[String]) -> CloudResponse {
    CloudResponse::InstancesCreated(serde_json::from_value(json!({ "hulls": names })).unwrap())
}

impl Cloud {
    /// Whether the rate allows one more call; if so, it is made.
    fn take_call(&mut self, now: u64) -> bool {
        self.calls += 1;
        let (left, at) = self.rate;
        let refilled = left + REQUESTS_PER_S * (now - at) as f64 / 1000.0;
        let left = refilled.min(2.0 * REQUESTS_PER_S);
        let is_allowed = left >= 1.0;
        self.rate = (if is_allowed { left - 1.0 } else { left }, now);
        self.refused += u32::from(!is_allowed);
        is_allowed
    }

    fn catalog(&self) -> CloudResponse {
        let mut types = vec![json!({"label":"m16","cores":16,"cards":0,"memory_gb":64,"cache_gb":50,
            "pull_gb_per_s":1.0,"price":1.0,"spot_price":0.4,"ready_s":10,"yards":ZONES})];
        types.extend((0..self.more_types).map(|number| {
            json!({"label":format!("tiny{number}"),"cores":1,"cards":0,"memory_gb":1,"cache_gb":1,
                "pull_gb_per_s":1.0,"price":9.0,"spot_price":9.0,"ready_s":10,"yards":ZONES})
        }));
        let catalog = json!({ "hulltypes": types });
        CloudResponse::Catalog(serde_json::from_value(catalog).unwrap())
    }
}
