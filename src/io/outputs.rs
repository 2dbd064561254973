//! Carries out the core's outputs: calls to services, messages and commands to workers.

use super::client::{Client, HttpCall, ServiceRequest, call_service};
use super::links::{CellLinks, PeerLinks};
use crate::config::Platform;
use crate::core::{Input, Output};
use crate::wire::workers::DirectCommands;
use hyper::Method;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;

/// Timeout for sending direct commands. A worker either answers them at once or hangs.
const DIRECT_COMMANDS_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum number of idle connections to the store.
const STORE_IDLE_CONNECTIONS: usize = 8;
/// Maximum number of idle connections to the cloud.
const CLOUD_IDLE_CONNECTIONS: usize = 2;
/// Maximum number of calls to the cloud in flight.
const MAX_CLOUD_CALLS: usize = 8;

/// Connections to the external services, the other nodes and other cells, and the calls in
/// flight.
pub(super) struct Outputs {
    store: Client,
    cloud: Client,
    peers: PeerLinks,
    cells: CellLinks,
    /// Channel on which results of calls are returned to the event loop.
    results: UnboundedSender<Input>,
    /// One permit for each worker to which direct commands may be in flight.
    direct_permits: Arc<Semaphore>,
    /// Calls in flight; each ends after its timeout at the latest.
    calls: JoinSet<()>,
}

impl Outputs {
    /// Creates the clients of the services. Results of calls are sent to `results`.
    pub(super) fn new(
        platform: &Platform,
        peers: PeerLinks,
        cells: CellLinks,
        results: UnboundedSender<Input>,
    ) -> Outputs {
        let max_connections = platform.cluster.limits.max_connections;
        let max_store_calls = (max_connections / 8).clamp(8, 64);
        let max_direct_calls = (max_connections / 32).clamp(8, 64);
        let endpoints = &platform.endpoints;
        Outputs {
            store: Client::new(endpoints.store, STORE_IDLE_CONNECTIONS, max_store_calls),
            cloud: Client::new(endpoints.cloud, CLOUD_IDLE_CONNECTIONS, MAX_CLOUD_CALLS),
            peers,
            cells,
            results,
            direct_permits: Arc::new(Semaphore::new(max_direct_calls)),
            calls: JoinSet::new(),
        }
    }

    /// Starts to carry out an output, without waiting for its end. Ignores answers to requests,
    /// which the driver sends.
    pub(super) fn carry_out(&mut self, output: Output) {
        while self.calls.try_join_next().is_some() {}
        match output {
            Output::Store { call, request } => {
                let client = self.store.clone();
                self.call(client, request, move |response| Input::Store { call, response });
            }
            Output::Cloud { call, request } => {
                let client = self.cloud.clone();
                self.call(client, request, move |response| Input::Cloud { call, response });
            }
            Output::SendFrame { to, frame } => self.peers.send(&to, frame),
            Output::SendCellMessage { cell, message } => self.cells.send(&cell, &message),
            Output::Reconnect { to } => self.peers.reconnect(&to),
            Output::DirectCommands { addr, commands } => self.send_direct(&addr, &commands),
            Output::Answer { .. } => {}
        }
    }

    /// Starts a call to a service. `to_input` turns its response into an input for the core.
    fn call<R: ServiceRequest + 'static>(
        &mut self,
        client: Client,
        request: R,
        to_input: impl FnOnce(R::Response) -> Input + 'static,
    ) {
        let results = self.results.clone();
        self.calls.spawn_local(async move {
            let response = call_service(&client, request).await;
            let _ = results.send(to_input(response));
        });
    }

    /// Sends commands directly to a worker, unless the limit on such calls is reached. The limit
    /// saves sockets, because commands may be for a hundred machines at once, some of which hang.
    /// The response to the worker's next heartbeat contains the commands that were not sent here.
    fn send_direct(&mut self, address: &str, commands: &DirectCommands) {
        let (Ok(address), Ok(body)) = (address.parse(), serde_json::to_vec(commands)) else { return };
        let Ok(permit) = self.direct_permits.clone().try_acquire_owned() else { return };
        self.calls.spawn_local(async move {
            let _permit = permit;
            let client = Client::new(address, 0, 1);
            let call = HttpCall {
                method: Method::POST,
                path: "/orders".into(),
                body: Some(body),
                timeout: DIRECT_COMMANDS_TIMEOUT,
            };
            let _ = client.call(call).await;
        });
    }
}
