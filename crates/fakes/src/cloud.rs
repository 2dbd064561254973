//! A fake cloud provider. Each rented machine runs a fake worker, which starts immediately.

use crate::worker::{self, Machine, WorkerSettings};
use crate::{answer, serve};
use salvo::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::task::AbortHandle;

/// The only machine type in the catalog.
pub const MACHINE_TYPE: &str = "m16";
/// Maximum number of machines on one page of the list.
const PAGE_SIZE: usize = 500;

struct Instance {
    machine: Machine,
    rented_at: Instant,
    worker: AbortHandle,
}

#[derive(Default)]
struct Fleet {
    instances: BTreeMap<String, Instance>,
    /// Names of the rented machines, by the name of the rental request. Requests are idempotent: a
    /// repeated one returns the same machines.
    rentals: HashMap<String, Vec<String>>,
    /// Number of the machine that was rented last.
    last_machine_number: u32,
}

/// A handle to a running fake cloud. Clones share its state.
#[derive(Clone)]
pub struct FakeCloud {
    fleet: Arc<Mutex<Fleet>>,
    zones: Vec<String>,
    capacity: usize,
    settings: WorkerSettings,
}

impl FakeCloud {
    /// Starts a cloud on a free port that rents out at most `capacity` machines at a time. It is
    /// served until the runtime ends.
    pub async fn start(
        zones: Vec<String>,
        capacity: usize,
        settings: WorkerSettings,
    ) -> std::io::Result<(FakeCloud, SocketAddr)> {
        FakeCloud::start_with_number_offset(0, zones, capacity, settings).await
    }

    /// Like [`FakeCloud::start`], but numbers the machines from `number_offset + 1` on, so that
    /// several clouds can have distinct machine names.
    pub async fn start_with_number_offset(
        number_offset: u32,
        zones: Vec<String>,
        capacity: usize,
        settings: WorkerSettings,
    ) -> std::io::Result<(FakeCloud, SocketAddr)> {
        let fleet = Fleet { last_machine_number: number_offset, ..Fleet::default() };
        let cloud = FakeCloud { fleet: Arc::new(Mutex::new(fleet)), zones, capacity, settings };
        let router = Router::new()
            .push(Router::with_path("catalog").get(Catalog(cloud.clone())))
            .push(Router::with_path("rentals").get(List(cloud.clone())).post(Rent(cloud.clone())))
            .push(Router::with_path("rentals/return").post(Return(cloud.clone())));
        let address = serve(router).await?;
        Ok((cloud, address))
    }

    /// Number of machines that are currently rented.
    pub fn machine_count(&self) -> usize {
        self.fleet().instances.len()
    }

    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Rents machines. Returns the status and the body of the response.
    fn rent(&self, body: &Value) -> (u16, Value) {
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_string();
        let request_name = text("charter");
        let mut fleet = self.fleet();
        if let Some(names) = fleet.rentals.get(&request_name) {
            return (200, json!({"hulls": names}));
        }
        let requested = body["count"].as_u64().unwrap_or_default() as usize;
        let count = requested.min(self.capacity.saturating_sub(fleet.instances.len()));
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let zone = text("yard");
        let is_spot = body["standby"].as_bool().unwrap_or_default();
        let names: Vec<String> =
            (0..count).map(|_| fleet.boot(zone.clone(), is_spot, &self.settings)).collect();
        fleet.rentals.insert(request_name, names.clone());
        (200, json!({"hulls": names}))
    }

    /// Returns machines: their workers stop at once.
    fn return_machines(&self, body: &Value) {
        let mut fleet = self.fleet();
        for name in body["hulls"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if let Some(instance) = fleet.instances.remove(name) {
                instance.worker.abort();
            }
        }
    }

    /// Returns a page of the list of machines, beginning after the name `since`.
    fn list(&self, since: &str) -> Value {
        let fleet = self.fleet();
        let after = fleet.instances.iter().filter(|(name, _)| name.as_str() > since);
        let page: Vec<Value> =
            after.clone().take(PAGE_SIZE).map(|(_, instance)| instance.to_json()).collect();
        json!({"hulls": page, "has_next": after.count() > PAGE_SIZE})
    }
}

impl Fleet {
    /// Starts a machine and returns its name.
    fn boot(&mut self, zone: String, is_spot: bool, settings: &WorkerSettings) -> String {
        self.last_machine_number += 1;
        let name = format!("host-{:06}", self.last_machine_number);
        let machine = Machine { name: name.clone(), zone, spot: is_spot };
        let worker = worker::spawn(machine.clone(), settings.clone());
        self.instances.insert(name.clone(), Instance { machine, rented_at: Instant::now(), worker });
        name
    }
}

impl Instance {
    fn to_json(&self) -> Value {
        json!({"name_id": self.machine.name, "endpoint": worker::UNREACHABLE_ENDPOINT,
            "hulltype": MACHINE_TYPE, "yard": self.machine.zone, "standby": self.machine.spot,
            "status": "running", "age_s": self.rented_at.elapsed().as_secs_f64()})
    }
}

struct Catalog(FakeCloud);
#[handler]
impl Catalog {
    async fn handle(&self, response: &mut Response) {
        let body = json!({"hulltypes": [{"label": MACHINE_TYPE, "cores": 16, "cards": 0,
            "memory_gb": 64, "cache_gb": 50, "pull_gb_per_s": 1.0, "price": 1.0, "spot_price": 0.4,
            "ready_s": 2, "yards": self.0.zones}]});
        answer(response, 200, &body);
    }
}

struct Rent(FakeCloud);
#[handler]
impl Rent {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.parse_json::<Value>().await.unwrap_or_default();
        let (status, body) = self.0.rent(&body);
        answer(response, status, &body);
    }
}

struct Return(FakeCloud);
#[handler]
impl Return {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let body = request.parse_json::<Value>().await.unwrap_or_default();
        self.0.return_machines(&body);
        answer(response, 200, &json!({}));
    }
}

struct List(FakeCloud);
#[handler]
impl List {
    async fn handle(&self, request: &mut Request, response: &mut Response) {
        let since = request.query::<String>("since").unwrap_or_default();
        let page = self.0.list(&since);
        answer(response, 200, &page);
    }
}
