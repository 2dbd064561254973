//! An attempt at a task, bound to a machine of an owned shard.

use super::placement_records::RecordIndex;
use crate::core::common::context::NodeContext;
use crate::core::common::job_table::KnownState;
use crate::model::{AttemptId, JobIndex, Ms, Resources, Term};
use woadlever_recovery::attempt::{AttemptPhase, AttemptState};
use woadlever_recovery::worker::HeartbeatVersion;

/// Progress of writing an attempt to its placement record.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordingState {
    /// No write that adds the attempt has been sent, or the last one was certainly not executed.
    Unrecorded,
    /// The attempt is part of a write whose outcome is not known yet, so the record may list it.
    WriteSent,
    /// The record durably lists the attempt.
    Recorded,
}

/// An attempt at a task that is bound to a machine and may be present on it.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) job: JobIndex,
    pub(super) task: u32,
    pub(super) id: AttemptId,
    /// Resources that the task requests.
    pub(super) demand: Resources,
    pub(super) team: String,
    /// Length of the row of its job in a placement record, in bytes.
    pub(super) job_row_bytes: usize,
    /// The placement record that lists the attempt or will list it.
    pub(super) record: RecordIndex,
    /// The record that the attempt is being copied to from an oversized one.
    pub(super) moving_to: Option<RecordIndex>,
    pub(super) recording: RecordingState,
    pub(super) phase: AttemptPhase,
    /// Whether the leader wants the attempt on this machine.
    pub(super) is_wanted: bool,
    /// The heartbeat whose response first carried the start command.
    pub(super) start_sent: Option<HeartbeatVersion>,
    /// Whether a heartbeat has listed the attempt.
    pub(super) was_listed: bool,
    /// When a heartbeat first listed the attempt as running.
    pub(super) started_at: Option<Ms>,
    /// Run time of the task when the attempt ended.
    pub(super) ran_ms: Ms,
    /// Run time that the leader expects for the task.
    pub(super) expected_ms: Ms,
    /// When this process bound the attempt; none if a former shard owner bound it.
    pub(super) bound_at: Option<Ms>,
    /// Term of the leader whose admission this process bound; none if a former shard owner
    /// bound the attempt.
    pub(super) admitted_in: Option<Term>,
    /// When the store confirmed the write that recorded the attempt to this process.
    pub(super) recorded_at: Option<Ms>,
    /// Revision of that write.
    pub(super) recorded_revision: Option<u64>,
}

impl Attempt {
    /// State from which verdicts and worker actions are derived.
    pub(super) fn state(&self) -> AttemptState {
        AttemptState { phase: self.phase, is_wanted: self.is_wanted, start_sent: self.start_sent }
    }

    /// Name of its task in the worker protocol.
    pub(super) fn task_name(&self, context: &NodeContext) -> String {
        format!("{}/{}", context.jobs.id(self.job), self.task)
    }

    /// Whether the start command may be sent: the attempt is bound, recorded and wanted.
    pub(super) fn is_ready(&self) -> bool {
        self.phase == AttemptPhase::Bound && self.is_recorded() && self.is_wanted
    }

    /// Whether its placement record durably lists the attempt.
    pub(super) fn is_recorded(&self) -> bool {
        self.recording == RecordingState::Recorded
    }

    /// Whether its placement record may list the attempt.
    pub(super) fn may_be_recorded(&self) -> bool {
        self.recording != RecordingState::Unrecorded
    }

    /// Whether the attempt waits for the write that must be durable before its start command.
    ///
    /// Only the leader that admitted the attempt accounts for it while it is unrecorded. A later
    /// leader accounts for the attempts that were recorded when its term began; an attempt recorded
    /// after that would run in addition to those that this leader admits.
    pub(super) fn needs_recording(&self, context: &NodeContext) -> bool {
        !self.is_recorded()
            && self.is_wanted
            && self.admitted_in == context.leadership.term()
            && context.job(self.job).state == KnownState::Live
            && !context.must_stop(self.job)
    }

    /// Whether the attempt is unrecorded and can no longer be recorded, because `term` has
    /// replaced the term of the leader that admitted it.
    pub(super) fn has_lapsed(&self, term: Term) -> bool {
        self.recording == RecordingState::Unrecorded && self.admitted_in != Some(term)
    }

    /// Marks the attempt as unrecorded if a write that would have added it was not executed.
    pub(super) fn on_write_not_executed(&mut self) {
        if self.recording == RecordingState::WriteSent {
            self.recording = RecordingState::Unrecorded;
        }
    }

    /// Completes the move to `record`, which now lists the attempt. The record that listed it
    /// before may drop it.
    pub(super) fn finish_move(&mut self, record: RecordIndex) {
        self.record = record;
        self.moving_to = None;
    }

    /// Run time of its task at `now`, as far as it is known from heartbeats.
    pub(super) fn run_time_ms(&self, now: Ms) -> Ms {
        if self.phase.has_ended() {
            self.ran_ms
        } else {
            self.started_at.map_or(0, |started_at| now.saturating_sub(started_at))
        }
    }
}
