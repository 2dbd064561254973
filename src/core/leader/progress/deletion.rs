//! Deletes records of progress that nobody needs any more: those of final jobs.

use super::recording::RECORD_GAP_MS;
use crate::core::common::context::NodeContext;
use crate::core::leader::write_state::WriteState;
use crate::core::leader::{Leader, LeaderCall};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::Ms;
use crate::wire::store::{CompareAndSwap, Mutation};
use std::collections::VecDeque;

/// Pause after a deletion that failed.
const RETRY_MS: Ms = 500;

/// Keys of records to be deleted, a request's worth at a time.
#[derive(Debug, Default)]
pub struct DeletionQueue {
    keys: VecDeque<String>,
    write: WriteState,
}

impl DeletionQueue {
    /// Adds keys of records to be deleted.
    pub fn extend(&mut self, keys: impl Iterator<Item = String>) {
        self.keys.extend(keys);
    }
}

impl Leader {
    /// Deletes some of the records in the queue.
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
        self.record_at = context.clock.now() + RECORD_GAP_MS;
        context.send_store_request(
            StoreCallOwner::Leader(LeaderCall::DeleteProgress { keys }),
            StoreRequest::CompareAndSwap(request),
        );
    }

    /// Takes in the outcome of a deletion.
    pub(in crate::core::leader) fn on_progress_deleted(
        &mut self,
        context: &mut NodeContext,
        keys: Vec<String>,
        response: StoreResponse,
    ) {
        let queue = &mut self.deletions;
        if matches!(response, StoreResponse::NotExecuted | StoreResponse::OutcomeUnknown) {
            queue.keys.extend(keys);
            queue.write.finish_and_wait(context.clock.now() + context.jitter(RETRY_MS));
        } else {
            queue.write.finish();
        }
    }
}
