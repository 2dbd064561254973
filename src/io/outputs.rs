//! Carries out what the core wants done outside of this process.

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

/// A worker answers direct commands at once, or hangs.
const DIRECT_COMMANDS_TIMEOUT: Duration = Duration::from_millis(1500);
/// Idle connections that are kept to each service, and calls to the cloud at once.
const STORE_IDLE_CONNECTIONS: usize = 8;
const CLOUD_IDLE_CONNECTIONS: usize = 2;
const MAX_CLOUD_CALLS: usize = 8;

/// The outer services, the other nodes and the workers, as the core's outputs reach them.
pub(super) struct Outputs {
    store: Client,
    cloud: Client,
    peers: PeerLinks,
    cells: CellLinks,
    /// Results of calls go back to the event loop.
    results: UnboundedSender<Input>,
    /// One permit for each worker that direct commands may be under way to.
    direct_permits: Arc<Semaphore>,
    /// Calls under way; each ends by its time limit.
    calls: JoinSet<()>,
}

impl Outputs {
    /// Outputs with the results of calls going to `results`.
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

    /// Carries out one output, without waiting. Answers to requests are not among them.
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
            Output::Send { to, frame } => self.peers.send(&to, frame),
            Output::SendCell { cell, message } => self.cells.send(&cell, &message),
            Output::Reconnect { to } => self.peers.reconnect(&to),
            Output::DirectCommands { addr, commands } => self.send_direct(&addr, &commands),
            Output::Answer { .. } => {}
        }
    }

    /// Starts a call to a service; its response becomes an input.
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

    /// Sends commands to a worker's address, if sockets are to spare: a hundred machines
    /// may be meant at once, and some of them hang. What is left out here is in the
    /// response to the worker's next heartbeat.
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
                time_limit: DIRECT_COMMANDS_TIMEOUT,
            };
            let _ = client.call(call).await;
        });
    }
}
