//! Responses to requests, calls to the store and the cloud, and messages to nodes and cells.

use super::NodeContext;
use crate::core::common::store_calls::PendingCall;
use crate::core::{Answer, CloudRequest, Output, StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::Ms;
use crate::wire::peer::{Frame, PeerMessage};
use crate::wire::users::ErrorBody;
use woadlever_cells::message::CellMessage;

impl NodeContext {
    /// Responds to a request.
    pub fn respond(&mut self, request_id: u64, status: u16, body: String, retry_after_s: Option<u32>) {
        self.outbox.push(Output::Answer { request_id, answer: Answer { status, body, retry_after_s } });
    }

    /// Responds to a request with a JSON body.
    pub fn respond_json<T: serde::Serialize>(&mut self, request_id: u64, status: u16, body: &T) {
        let body = serde_json::to_string(body).unwrap_or_else(|_| "{}".into());
        self.respond(request_id, status, body, None);
    }

    /// Rejects a request permanently, with an error body.
    pub fn refuse(&mut self, request_id: u64, status: u16, why: &str, field: Option<&'static str>) {
        self.respond_json(request_id, status, &ErrorBody { error: why.into(), field });
    }

    /// Responds with status 503: the request can't be served now and may be retried after one
    /// second.
    pub fn respond_unavailable(&mut self, request_id: u64, why: &str) {
        tracing::debug!(request_id, why, "request answered with 503");
        let body = serde_json::to_string(&ErrorBody { error: why.into(), field: None });
        self.respond(request_id, 503, body.unwrap_or_default(), Some(1));
    }

    /// Starts a call to the store; its response is dispatched to `owner`.
    pub(crate) fn send_store_request(&mut self, owner: StoreCallOwner, request: StoreRequest) {
        let call = self.store.start(owner, &request, self.clock.now());
        self.outbox.push(Output::Store { call, request });
    }

    /// Removes and returns the pending call that a response of the store belongs to.
    pub(crate) fn finish_store_call(
        &mut self,
        call: u64,
        response: &StoreResponse,
    ) -> Option<PendingCall> {
        self.store.finish(call, response, self.clock.now())
    }

    /// Starts a call to the cloud and returns its number.
    pub fn send_cloud_request(&mut self, request: CloudRequest) -> u64 {
        let call = self.store.next_number();
        self.outbox.push(Output::Cloud { call, request });
        call
    }

    /// Whether this number of mutations may be written now under the write rate limit.
    pub fn can_write(&mut self, mutations: usize) -> bool {
        self.store.can_write(self.clock.now(), mutations)
    }

    /// Time since the store last answered.
    pub fn store_silence_ms(&self) -> Ms {
        self.store.silence_ms(self.clock.now())
    }

    /// Sends a message to another cell.
    pub fn send_cell(&mut self, cell: &str, message: CellMessage) {
        self.outbox.push(Output::SendCellMessage { cell: cell.into(), message: Box::new(message) });
    }

    /// Sends a message to a node, which may be this node itself.
    pub fn send(&mut self, to: &str, message: PeerMessage) {
        let frame = Frame { from: self.node.clone(), incarnation: self.incarnation, message };
        if to == self.node {
            self.outbox.push_local(frame);
        } else {
            self.outbox.push(Output::SendFrame { to: to.into(), frame });
        }
    }
}
