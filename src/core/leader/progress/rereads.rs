//! Rereads progress records after a write whose outcome is unknown.

use super::ProgressSegment;
use super::recording::RETRY_MS;
use crate::core::common::context::NodeContext;
use crate::core::leader::{Leader, LeaderCall};
use crate::core::{StoreCallOwner, StoreRequest, StoreResponse};
use crate::model::JobIndex;

/// Maximum number of records requested in one poll.
const MAX_REREADS: usize = 8;

impl Leader {
    /// Rereads one segment of unknown version for each of up to [`MAX_REREADS`] jobs.
    pub(super) fn reread_segments(&mut self, context: &mut NodeContext) {
        let due: Vec<(JobIndex, ProgressSegment)> = self
            .jobs
            .iter()
            .filter(|(_, live)| live.progress.is_write_pending && !live.progress.is_rereading)
            .filter_map(|(job, live)| Some((*job, live.progress.segment_with_unknown_version()?)))
            .take(MAX_REREADS)
            .collect();
        for (job, segment) in due {
            if let Some(live) = self.jobs.get_mut(&job) {
                live.progress.is_rereading = true;
            }
            let key = segment.key(context.jobs.id(job));
            context.send_store_request(
                StoreCallOwner::Leader(LeaderCall::Reread { job, segment }),
                StoreRequest::Get(key),
            );
        }
    }

    /// Handles the result of a reread.
    pub(in crate::core::leader) fn on_reread(
        &mut self,
        context: &mut NodeContext,
        job: JobIndex,
        segment: ProgressSegment,
        response: StoreResponse,
    ) {
        let Some(live) = self.jobs.get_mut(&job) else { return };
        live.progress.is_rereading = false;
        match response {
            StoreResponse::KeyValue(item) => {
                let bits = item.value.decode::<String>().unwrap_or_default();
                live.apply_progress(segment, &bits, item.version);
                live.progress.drop_recorded();
            }
            StoreResponse::NotFound => {
                live.progress.segments.insert(segment, Some(0));
            }
            _ => {
                self.record_timer.postpone(context.clock.now() + context.retry_ms(RETRY_MS));
            }
        }
        live.progress.settle_write();
        self.stop_recorded_attempts(job);
    }
}
