//! In-memory fake of the cloud API, written from the protocol.

use super::{Worker, World, ZONES};
use rand::RngExt;
use serde_json::{Value, json};
use std::collections::HashMap;
use std::ops::Range;
use woadlever::core::{CloudRequest, CloudResponse};
use woadlever::wire::cloud::{CreateInstancesRequest, TerminateInstancesRequest};

const REQUESTS_PER_S: f64 = 5.0;
/// Delay before a new machine appears in the list of instances.
const LIST_LAG_MS: u64 = 4_000;
const DEFAULT_CAPACITY: usize = 12;

/// State of the cloud: its capacity, the instances created so far, its rate limit and faults.
pub struct Cloud {
    /// Maximum number of machines that exist at once.
    pub capacity: usize,
    /// Number of additional machine types in the catalog that are too small and too expensive
    /// to be of use.
    pub more_types: usize,
    pub is_down: bool,
    /// Names of the machines that each request created, by request name. A repeated request is
    /// idempotent: it gets the same machines.
    granted: HashMap<String, Vec<String>>,
    /// Number of machines created so far, terminated ones included.
    pub created_count: usize,
    /// Names of the machines that were terminated.
    pub terminated: Vec<String>,
    /// Range of the boot times of new machines.
    pub boot_ms: Range<u64>,
    /// Token bucket of the rate limit: the remaining calls and the time of the last refill.
    token_bucket: (f64, u64),
    /// Number of calls made, refused ones included.
    pub calls: u32,
    /// Number of calls refused because of the rate limit.
    pub refused: u32,
}

impl Default for Cloud {
    fn default() -> Cloud {
        Cloud {
            capacity: DEFAULT_CAPACITY,
            more_types: 0,
            is_down: false,
            granted: HashMap::new(),
            created_count: 0,
            terminated: Vec::new(),
            boot_ms: 6_000..15_000,
            token_bucket: (REQUESTS_PER_S, 0),
            calls: 0,
            refused: 0,
        }
    }
}

impl World {
    /// Executes a request and returns the response. The request is not executed if the cloud is
    /// down or the call exceeds the rate limit.
    pub(super) fn cloud_response(&mut self, request: CloudRequest) -> CloudResponse {
        if self.cloud.is_down || !self.cloud.try_take_token(self.now) {
            return CloudResponse::NotExecuted;
        }
        match request {
            CloudRequest::Catalog => self.cloud.catalog(),
            CloudRequest::List { after } => self.list_machines(&after.unwrap_or_default()),
            CloudRequest::CreateInstances(request) => self.create_machines(request),
            CloudRequest::TerminateInstances(request) => self.terminate_machines(request),
        }
    }

    fn list_machines(&self, after: &str) -> CloudResponse {
        let now = self.now;
        let is_listed = |worker: &&Worker| {
            worker.created_at + LIST_LAG_MS <= now
                && worker.name.as_str() > after
                && !self.cloud.terminated.contains(&worker.name)
        };
        let entry = |worker: &Worker| {
            json!({"name_id":worker.name,"hulltype":worker.type_name,"yard":worker.zone,
                "standby":worker.spot,"status": if now < worker.up_at {"starting"} else {"running"},
                "age_s":(now - worker.created_at) as f64 / 1000.0})
        };
        let list: Vec<Value> = self.workers.iter().filter(is_listed).map(entry).collect();
        CloudResponse::Page(serde_json::from_value(json!({"hulls":list,"has_next":false})).unwrap())
    }

    fn create_machines(&mut self, request: CreateInstancesRequest) -> CloudResponse {
        assert!(request.count <= 50, "{} machines in one request", request.count);
        if let Some(names) = self.cloud.granted.get(&request.request) {
            return instances_created(names);
        }
        let exists = |worker: &&Worker| !self.cloud.terminated.contains(&worker.name);
        let existing_count = self.workers.iter().filter(exists).count();
        let count = (request.count as usize).min(self.cloud.capacity.saturating_sub(existing_count));
        if count == 0 {
            return CloudResponse::NoCapacity;
        }
        let mut names = Vec::new();
        for _ in 0..count {
            self.cloud.created_count += 1;
            let boot = self.rng.random_range(self.cloud.boot_ms.clone());
            names.push(self.add_worker(self.cloud.created_count, &request.zone, request.spot, boot));
        }
        let answer = instances_created(&names);
        self.cloud.granted.insert(request.request, names);
        answer
    }

    fn terminate_machines(&mut self, request: TerminateInstancesRequest) -> CloudResponse {
        assert!(request.machines.len() <= 100, "{} names in one request", request.machines.len());
        for name in request.machines {
            if let Some(worker) = self.workers.iter_mut().find(|worker| worker.name == name) {
                worker.alive = false;
                worker.tasks.clear();
            }
            self.cloud.terminated.push(name);
        }
        CloudResponse::InstancesTerminated
    }
}

fn instances_created(names: &[String]) -> CloudResponse {
    CloudResponse::InstancesCreated(serde_json::from_value(json!({ "hulls": names })).unwrap())
}

impl Cloud {
    /// Counts a call and takes a token for it. Returns whether the rate limit allows the call.
    fn try_take_token(&mut self, now: u64) -> bool {
        self.calls += 1;
        let (left, at) = self.token_bucket;
        let refilled = left + REQUESTS_PER_S * (now - at) as f64 / 1000.0;
        let left = refilled.min(2.0 * REQUESTS_PER_S);
        let is_allowed = left >= 1.0;
        self.token_bucket = (if is_allowed { left - 1.0 } else { left }, now);
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
