//! The cloud: rents workers that boot within a moment.

use crate::worker::{self, Machine, WorkerSettings};
use crate::{answer, serve};
use salvo::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::task::AbortHandle;

/// The one machine type that is to be had.
pub const MACHINE_TYPE: &str = "m16";
const MOST_LISTED: usize = 500;

struct Rented {
    machine: Machine,
    since: Instant,
    process: AbortHandle,
}

#[derive(Default)]
struct Fleet {
    rented: BTreeMap<String, Rented>,
    charters: HashMap<String, Vec<String>>,
    next: u32,
}

/// A running cloud.
#[derive(Clone)]
pub struct Cloud {
    fleet: Arc<Mutex<Fleet>>,
    zones: Vec<String>,
    capacity: usize,
    settings: WorkerSettings,
}

impl Cloud {
    /// Starts one on a free port, with room for `capacity` machines.
    pub async fn start(
        zones: Vec<String>,
        capacity: usize,
        settings: WorkerSettings,
    ) -> std::io::Result<(Cloud, SocketAddr)> {
        Cloud::start_from(0, zones, capacity, settings).await
    }

    /// The same, its machines counted from `first`: names differ from those of other clouds.
    pub async fn start_from(
        first: u32,
        zones: Vec<String>,
        capacity: usize,
        settings: WorkerSettings,
    ) -> std::io::Result<(Cloud, SocketAddr)> {
        let fleet = Fleet { next: first, ..Fleet::default() };
        let cloud = Cloud { fleet: Arc::new(Mutex::new(fleet)), zones, capacity, settings };
        let router = Router::new()
            .push(Router::with_path("catalog").get(Catalog(cloud.clone())))
            .push(Router::with_path("rentals").get(List(cloud.clone())).post(Rent(cloud.clone())))
            .push(Router::with_path("rentals/return").post(Return(cloud.clone())));
        let address = serve(router).await?;
        Ok((cloud, address))
    }

    /// Machines that are rented now.
    pub fn machines(&self) -> usize {
        self.fleet().rented.len()
    }

    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn rent(&self, body: &Value) -> (u16, Value) {
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_string();
        let charter = text("charter");
        let mut fleet = self.fleet();
        if let Some(names) = fleet.charters.get(&charter) {
            return (200, json!({"hulls": names}));
        }
        let wanted = body["count"].as_u64().unwrap_or_default() as usize;
        let count = wanted.min(self.capacity.saturating_sub(fleet.rented.len()));
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let mut names = Vec::new();
        for _ in 0..count {
            fleet.next += 1;
            let name = format!("host-{:06}", fleet.next);
            let spot = body["standby"].as_bool().unwrap_or_default();
            let machine = Machine { name: name.clone(), zone: text("yard"), spot };
            let process = worker::spawn(machine.clone(), self.settings.clone());
            fleet.rented.insert(name.clone(), Rented { machine, since: Instant::now(), process });
            names.push(name);
        }
        fleet.charters.insert(charter, names.clone());
        (200, json!({"hulls": names}))
    }

    fn take_back(&self, body: &Value) {
        let mut fleet = self.fleet();
        for name in body["hulls"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if let Some(rented) = fleet.rented.remove(name) {
                rented.process.abort();
            }
        }
    }

    fn list(&self, since: &str) -> Value {
        let fleet = self.fleet();
        let after = fleet.rented.iter().filter(|(name, _)| name.as_str() > since);
        let hulls: Vec<Value> = after
            .clone()
            .take(MOST_LISTED)
            .map(|(name, rented)| {
                json!({"name_id": name, "endpoint": worker::NO_ADDRESS, "hulltype": MACHINE_TYPE,
                    "yard": rented.machine.zone, "standby": rented.machine.spot, "status": "running",
                    "age_s": rented.since.elapsed().as_secs_f64()})
            })
            .collect();
        json!({"hulls": hulls, "has_next": after.count() > MOST_LISTED})
    }
}

struct Catalog(Cloud);
#[handler]
impl Catalog {
    async fn handle(&self, response: &mut Response) {
        let body = json!({"hulltypes": [{"label": MACHINE_TYPE, "cores": 16, "cards": 0,
            "memory_gb": 64, "cache_gb": 50, "pull_gb_per_s": 1.0, "price": 1.0, "spot_price": 0.4,
            "ready_s": 2, "yards": self.0.zones}]});
        answer(response, 200, &body);
    }
}

struct Rent(Cloud);
#[handler]
impl Rent {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.parse_json::<Value>().await.unwrap_or_default();
        let (status, body) = self.0.rent(&body);
        answer(response, status, &body);
    }
}

struct Return(Cloud);
#[handler]
impl Return {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.parse_json::<Value>().await.unwrap_or_default();
        self.0.take_back(&body);
        answer(response, 200, &json!({}));
    }
}

struct List(Cloud);
#[handler]
impl List {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let since = request.query::<String>("since").unwrap_or_default();
        let page = self.0.list(&since);
        answer(response, 200, &page);
    }
}
