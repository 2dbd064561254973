//! One attempt at a task that may be on a machine of an owned shard.

use super::placement_records::RecordIndex;
use crate::core::common::context::NodeContext;
use crate::model::{AttemptId, JobIndex, Ms, Resources, Term};
use crate::wire::store::JobState;
use woadlever_recovery::attempt::{AttemptPhase, AttemptState};
use woadlever_recovery::worker::HeartbeatVersion;

/// How far the recording of an attempt in its placement record has come.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum RecordingState {
    /// No write that adds it has been sent, or the last one was certainly not executed.
    Unrecorded,
    /// Part of a write whose outcome is not known yet: it may be in the record.
    WriteSent,
    /// Durably in the record.
    Recorded,
}

/// An attempt at a task that may be on a machine.
#[derive(Debug)]
pub(super) struct Attempt {
    pub(super) job: JobIndex,
    pub(super) task: u32,
    pub(super) id: AttemptId,
    /// Resources that the task takes.
    pub(super) demand: Resources,
    pub(super) team: String,
    /// Length of its job's row in a placement record, in bytes.
    pub(super) job_row_bytes: usize,
    /// The placement record that lists it, or is going to.
    pub(super) record: RecordIndex,
    /// The record that it is being copied to, out of an oversized one.
    pub(super) moving_to: Option<RecordIndex>,
    pub(super) recording: RecordingState,
    pub(super) phase: AttemptPhase,
    /// Whether the leader wants it there.
    pub(super) is_wanted: bool,
    /// The heartbeat whose response first carried its start command.
    pub(super) start_sent: Option<HeartbeatVersion>,
    /// Whether a heartbeat has listed it.
    pub(super) was_listed: bool,
    /// When a heartbeat first listed it as running.
    pub(super) started_at: Option<Ms>,
    /// How long it had run when it ended.
    pub(super) ran_ms: Ms,
    /// How long the leader expects the task to run.
    pub(super) expected_ms: Ms,
    /// When this process bound it; none if a former owner did.
    pub(super) bound_at: Option<Ms>,
    /// Term of the leader that this process bound it for; none if a former owner bound it.
    pub(super) admitted_in: Option<Term>,
    /// When the write that recorded it was confirmed to this process.
    pub(super) recorded_at: Option<Ms>,
    /// Revision of that write.
    pub(super) recorded_revision: Option<u64>,
}

impl Attempt {
    /// What verdicts and worker actions rest on.
    pub(super) fn state(&self) -> AttemptState {
        AttemptState { phase: self.phase, is_wanted: self.is_wanted, start_sent: self.start_sent }
    }

    /// Name of its task, as workers know it.
    pub(super) fn task_name(&self, context: &NodeContext) -> String {
        format!("{}/{}", context.jobs.id(self.job), self.task)
    }

    /// Whether its start command waits to be sent: it is bound here, recorded and wanted.
    pub(super) fn is_ready(&self) -> bool {
        self.phase == AttemptPhase::Bound && self.is_recorded() && self.is_wanted
    }

    /// Whether its placement record durably lists it.
    pub(super) fn is_recorded(&self) -> bool {
        self.recording == RecordingState::Recorded
    }

    /// Whether its placement record lists it, or may do so.
    pub(super) fn may_be_recorded(&self) -> bool {
        self.recording != RecordingState::Unrecorded
    }

    /// Whether it waits for the write that must be durable before its start command.
    ///
    /// Only the leader that admitted it counts it. A later one counts what was on record when
    /// its term began: recorded after that, it would run beside what that leader admits.
    pub(super) fn needs_recording(&self, context: &NodeContext) -> bool {
        !self.is_recorded()
            && self.is_wanted
            && self.admitted_in == context.leadership.term()
            && context.job(self.job).state == JobState::Live
            && !context.must_stop(self.job)
    }

    /// Whether it is not on record and never will be, as the leader that admitted it has been
    /// succeeded by the one of this term.
    pub(super) fn has_lapsed(&self, term: Term) -> bool {
        self.recording == RecordingState::Unrecorded && self.admitted_in != Some(term)
    }

    /// Notes that the write that would have added it was not executed.
    pub(super) fn forget_sent_write(&mut self) {
        if self.recording == RecordingState::WriteSent {
            self.recording = RecordingState::Unrecorded;
        }
    }

    /// Notes that `record` lists it now; the record that listed it before may drop it.
    pub(super) fn finish_move(&mut self, record: RecordIndex) {
        self.record = record;
        self.moving_to = None;
    }

    /// How long its task has run by `now`, as far as heartbeats tell.
    pub(super) fn run_time_ms(&self, now: Ms) -> Ms {
        if self.phase.has_ended() {
            self.ran_ms
        } else {
            self.started_at.map_or(0, |started_at| now.saturating_sub(started_at))
        }
    }
}
