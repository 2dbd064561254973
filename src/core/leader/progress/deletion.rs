//! Deletes obsolete progress records: those of jobs in a final state.

use super::recording::MIN_WRITE_INTERVAL_MS;
use crate::core::common::context::NodeContext;
use crate::core::leader::write_pacing::WritePacing;
use crate::core::leader::{Leader, LeaderCall};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::Ms;
use crate::wire::store::{CompareAndSwap, Mutation};
use std::collections::VecDeque;

/// Delay before a failed deletion is retried.
const RETRY_MS: Ms = 500;

/// Backlog of the keys to delete. Each request deletes one batch of them.
#[derive(Debug, Default)]
pub struct DeletionQueue {
    keys: VecDeque<String>,
    write: WritePacing,
}

impl DeletionQueue {
    /// Adds the keys of records to delete.
    pub fn extend(&mut self, keys: impl Iterator<Item = String>) {
        self.keys.extend(keys);
    }
}

impl Leader {
    /// Deletes one batch of records from the queue, unless a deletion is in flight.
    pub(super) fn delete_obsolete_progress(&mut self, context: &mut NodeContext) {
        let queue = &mut self.deletions;
        if queue.keys.is_empty() || !queue.write.is_ready(context.clock.now()) {
            return;
        }
        let count = queue.keys.len().min(context.platform.cluster.state.txn_ops);
        if !context.can_write(count) {
            return;
        }
        queue.write.start();
        let keys: Vec<String> = queue.keys.drain(..count).collect();
        let mutations = keys.iter().map(|key| Mutation::Delete { key: key.clone() }).collect();
        let request = CompareAndSwap { compares: vec![self.compare_term()], mutations };
        self.record_timer.set(context.clock.now() + MIN_WRITE_INTERVAL_MS);
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::DeleteProgress { keys }),
            StoreRequest::CompareAndSwap(request),
        );
    }

    /// Handles the result of a deletion. The keys return to the queue if the request was not
    /// executed or its outcome is unknown.
    pub(in crate::core::leader) fn on_progress_deleted(
        &mut self,
        context: &mut NodeContext,
        keys: Vec<String>,
        response: StoreResponse,
    ) {
        let queue = &mut self.deletions;
        if matches!(response, StoreResponse::NotExecuted | StoreResponse::OutcomeUnknown) {
            queue.keys.extend(keys);
            queue.write.finish_and_retry_at(context.clock.now() + context.jitter(RETRY_MS));
        } else {
            queue.write.finish();
        }
    }
}
