//! A fake of the cloud: its machines are workers that boot within a moment.

use crate::worker::{self, Machine, WorkerSettings};
use crate::{answer, serve};
use salvo::prelude::*;
use serde_json::{Value, json};
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;
use tokio::task::AbortHandle;

/// The one machine type in the catalog.
pub const MACHINE_TYPE: &str = "m16";
/// Machines on one page of the list.
const PAGE_SIZE: usize = 500;

struct Instance {
    machine: Machine,
    rented: Instant,
    worker: AbortHandle,
}

#[derive(Default)]
struct Fleet {
    instances: BTreeMap<String, Instance>,
    /// The machines of each request to rent, by the request's name.
    requests: HashMap<String, Vec<String>>,
    /// Number of the machine that was rented last.
    last_machine: u32,
}

/// A running cloud. Clones are the same one.
#[derive(Clone)]
pub struct FakeCloud {
    fleet: Arc<Mutex<Fleet>>,
    zones: Vec<String>,
    capacity: usize,
    settings: WorkerSettings,
}

impl FakeCloud {
    /// Starts one on a free port, with a capacity of so many machines.
    pub async fn start(
        zones: Vec<String>,
        capacity: usize,
        settings: WorkerSettings,
    ) -> std::io::Result<(FakeCloud, SocketAddr)> {
        FakeCloud::start_from(0, zones, capacity, settings).await
    }

    /// The same, its machines counted from `first`: names differ from those of other clouds.
    pub async fn start_from(
        first: u32,
        zones: Vec<String>,
        capacity: usize,
        settings: WorkerSettings,
    ) -> std::io::Result<(FakeCloud, SocketAddr)> {
        let fleet = Fleet { last_machine: first, ..Fleet::default() };
        let cloud = FakeCloud { fleet: Arc::new(Mutex::new(fleet)), zones, capacity, settings };
        let router = Router::new()
            .push(Router::with_path("catalog").get(Catalog(cloud.clone())))
            .push(Router::with_path("rentals").get(List(cloud.clone())).post(Rent(cloud.clone())))
            .push(Router::with_path("rentals/return").post(Return(cloud.clone())));
        let address = serve(router).await?;
        Ok((cloud, address))
    }

    /// Number of machines that are rented now.
    pub fn machines(&self) -> usize {
        self.fleet().instances.len()
    }

    fn fleet(&self) -> MutexGuard<'_, Fleet> {
        self.fleet.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Rents machines; the result is the status and the body of the answer.
    fn rent(&self, body: &Value) -> (u16, Value) {
        let text = |name: &str| body[name].as_str().unwrap_or_default().to_string();
        let request = text("charter");
        let mut fleet = self.fleet();
        if let Some(names) = fleet.requests.get(&request) {
            return (200, json!({"hulls": names}));
        }
        let wanted = body["count"].as_u64().unwrap_or_default() as usize;
        let count = wanted.min(self.capacity.saturating_sub(fleet.instances.len()));
        if count == 0 {
            return (503, json!({"error": "no capacity"}));
        }
        let zone = text("yard");
        let is_spot = body["standby"].as_bool().unwrap_or_default();
        let names: Vec<String> =
            (0..count).map(|_| fleet.boot(zone.clone(), is_spot, &self.settings)).collect();
        fleet.requests.insert(request, names.clone());
        (200, json!({"hulls": names}))
    }

    fn terminate(&self, body: &Value) {
        let mut fleet = self.fleet();
        for name in body["hulls"].as_array().into_iter().flatten().filter_map(Value::as_str) {
            if let Some(instance) = fleet.instances.remove(name) {
                instance.worker.abort();
            }
        }
    }

    /// A page of the list of machines, beginning after the name `since`.
    fn list(&self, since: &str) -> Value {
        let fleet = self.fleet();
        let after = fleet.instances.iter().filter(|(name, _)| name.as_str() > since);
        let page: Vec<Value> =
            after.clone().take(PAGE_SIZE).map(|(_, instance)| instance.message()).collect();
        json!({"hulls": page, "has_next": after.count() > PAGE_SIZE})
    }
}

impl Fleet {
    /// Starts one machine; the result is its name.
    fn boot(&mut self, zone: String, is_spot: bool, settings: &WorkerSettings) -> String {
        self.last_machine += 1;
        let name = format!("host-{:06}", self.last_machine);
        let machine = Machine { name: name.clone(), zone, spot: is_spot };
        let worker = worker::spawn(machine.clone(), settings.clone());
        self.instances.insert(name.clone(), Instance { machine, rented: Instant::now(), worker });
        name
    }
}

impl Instance {
    fn message(&self) -> Value {
        json!({"name_id": self.machine.name, "endpoint": worker::NO_ADDRESS, "hulltype": MACHINE_TYPE,
            "yard": self.machine.zone, "standby": self.machine.spot, "status": "running",
            "age_s": self.rented.elapsed().as_secs_f64()})
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
        self.0.terminate(&body);
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
