//! One instance of the leader's fleet: its state as known from the cloud, the records and the
//! owner of its shard.

use super::InstanceOffer;
use super::offer::InstanceKind;
use crate::core::common::context::NodeContext;
use crate::model::{InstanceIndex, JobIndex, Ms, ShardIndex};
use crate::wire::cloud::ListedMachine;
use crate::wire::peer::ReportedMachine;
use rustc_hash::FxHashSet;

/// Number of consecutive complete lists without an instance after which the instance is considered
/// missing. The list lags, so a single one proves nothing.
const MISSED_LISTS_LIMIT: u32 = 2;
/// Duration of the quarantine after tasks of one job have failed.
const QUARANTINE_MS: Ms = 45_000;
/// Duration of the quarantine after tasks of several jobs have failed. It must stay below 90 s,
/// because nothing may keep work from a machine with free capacity for that long.
const LONG_QUARANTINE_MS: Ms = 75_000;
/// Minimum time that the cloud charges for an instance. Younger instances are kept.
const MIN_CHARGE_MS: Ms = 60_000;
/// Time that draining and termination take. Surplus instances are cordoned this long before the
/// end of their minimum charge.
const DRAIN_LEAD_MS: Ms = 8_000;

/// Phase of an instance's lifecycle. The variants are in chronological order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum InstancePhase {
    /// Requested or listed, but none of its heartbeats has been reported yet.
    Booting,
    /// Up, and may get tasks.
    Ready,
    /// The shard owner has been asked to prepare its termination.
    Draining,
    /// The shard owner has recorded its termination, so the cloud may be asked to terminate it.
    Drained,
    /// The cloud has been asked to terminate it.
    Terminating,
}

/// An instance of the fleet.
#[derive(Debug)]
pub(crate) struct Instance {
    /// Name that the cloud gave it.
    pub name: String,
    /// Index of its machine type.
    pub machine_type: usize,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub is_spot: bool,
    /// The shard that it belongs to.
    pub shard: ShardIndex,
    /// Upper bound on its creation time: the earliest of when it was requested, when it was first
    /// seen, and its creation according to its age in the list.
    pub(super) created_at: Ms,
    /// When its last known heartbeat reached a shard owner.
    pub(super) last_heartbeat_at: Option<Ms>,
    /// Whether the cloud has announced that it will reclaim the instance.
    pub preemption_notice: bool,
    /// Whether it must get no new tasks and is drained once nothing runs on it.
    pub cordoned: bool,
    /// Phase of its lifecycle.
    pub phase: InstancePhase,
    /// Whether a complete list has included it during this term.
    was_listed: bool,
    /// Whether a record names it, which means that it was up, and listed, in an earlier term.
    pub recorded: bool,
    /// Whether the cloud, a record or an echo of our fencing token confirms that it exists. A
    /// heartbeat alone is no proof: it may be a delayed copy from an instance that was terminated
    /// long ago.
    pub confirmed: bool,
    /// Since when its heartbeats have arrived while no answer has reached it.
    unreachable_since: Option<Ms>,
    /// Whether the newest list entry has it as starting.
    is_starting: bool,
    /// Number of consecutive complete lists that no longer included it.
    missed_lists: u32,
    /// Whether it is projected to be overloaded.
    pub(super) is_overloaded: bool,
    /// Projected peak use, as a share of its capacity.
    pub(super) projected_peak: f64,
    /// State of the scale-out that its overload caused.
    pub(super) overload_scale_out: Option<OverloadScaleOut>,
    /// Jobs whose tasks have failed here since the last success.
    failed_jobs: FxHashSet<JobIndex>,
    quarantined_until: Ms,
}

/// State of the scale-out for an overloaded instance.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OverloadScaleOut {
    /// Part of the scale-out request with this number.
    Requested(u64),
    /// The new instance has been created.
    Created(InstanceIndex),
}

impl Instance {
    /// Creates an instance that has been seen or requested for the first time.
    pub(super) fn new(name: &str, offer: InstanceOffer, shard: ShardIndex, now: Ms) -> Instance {
        Instance {
            name: name.into(),
            machine_type: offer.machine_type,
            zone: offer.zone,
            is_spot: offer.is_spot,
            shard,
            created_at: now,
            last_heartbeat_at: None,
            preemption_notice: false,
            cordoned: false,
            phase: InstancePhase::Booting,
            was_listed: false,
            recorded: false,
            confirmed: false,
            unreachable_since: None,
            is_starting: false,
            missed_lists: 0,
            is_overloaded: false,
            projected_peak: 0.0,
            overload_scale_out: None,
            failed_jobs: FxHashSet::default(),
            quarantined_until: 0,
        }
    }

    /// Its kind: the machine type, as spot or on-demand instance.
    pub(in crate::core::leader) fn kind(&self) -> InstanceKind {
        InstanceKind { machine_type: self.machine_type, is_spot: self.is_spot }
    }

    /// The offer that it belongs to.
    pub(super) fn offer(&self) -> InstanceOffer {
        InstanceOffer { machine_type: self.machine_type, zone: self.zone.clone(), is_spot: self.is_spot }
    }

    /// Whether it is of this kind and neither draining nor being terminated.
    pub(super) fn is_live(&self, kind: InstanceKind) -> bool {
        self.kind() == kind && self.phase < InstancePhase::Draining
    }

    /// Whether new tasks may be bound to it now.
    pub(crate) fn accepts_new_tasks(&self, context: &NodeContext) -> bool {
        let now = context.clock.now();
        self.phase == InstancePhase::Ready
            && !self.cordoned
            && !self.preemption_notice
            && self.confirmed
            && self.unreachable_since.is_none()
            && !self.is_missing_from_lists()
            && !self.is_quarantined(now)
            && self.last_heartbeat_at.is_some_and(|at| at + context.max_heartbeat_age_ms > now)
    }

    /// Whether it must get no new tasks for now, because tasks failed on it.
    pub(super) fn is_quarantined(&self, now: Ms) -> bool {
        self.quarantined_until > now
    }

    /// Whether it was listed, or recorded, before and the newest lists don't include it.
    pub(super) fn is_missing_from_lists(&self) -> bool {
        self.missed_lists >= MISSED_LISTS_LIMIT
    }

    /// Whether the newest list entry has it as starting.
    pub(super) fn is_starting(&self) -> bool {
        self.is_starting
    }

    /// Whether no answer has reached it for longer than this.
    pub(super) fn is_unreachable_for(&self, limit: Ms, now: Ms) -> bool {
        self.unreachable_since.is_some_and(|since| now > since + limit)
    }

    /// Whether its minimum charge will be used up by the time it is terminated.
    pub(super) fn is_past_minimum_charge(&self, now: Ms) -> bool {
        now > self.created_at + MIN_CHARGE_MS - DRAIN_LEAD_MS
    }

    /// Applies a report of the shard owner.
    pub(super) fn on_reported(&mut self, reported: &ReportedMachine, now: Ms) {
        // The maximum value means that the owner has received no heartbeat from it.
        if reported.silent_ms != u64::MAX {
            let heartbeat_at = now.saturating_sub(reported.silent_ms);
            self.last_heartbeat_at = self.last_heartbeat_at.max(Some(heartbeat_at));
            if self.phase == InstancePhase::Booting {
                self.phase = InstancePhase::Ready;
            }
        }
        self.preemption_notice = reported.preemption_notice;
        self.confirmed |= reported.knows_fencing_token;
        self.unreachable_since = reported.unreachable.then(|| self.unreachable_since.unwrap_or(now));
        self.is_overloaded = reported.overloaded;
        self.projected_peak = reported.peak;
        if reported.terminating && self.phase < InstancePhase::Drained {
            self.phase = InstancePhase::Drained;
        }
    }

    /// Applies its entry in the cloud's list.
    pub(super) fn on_listed(&mut self, listed: &ListedMachine, now: Ms) {
        let age = (listed.age_s.max(0.0) * 1000.0) as Ms;
        self.confirmed = true;
        self.created_at = self.created_at.min(now.saturating_sub(age));
        self.is_starting = listed.state == "starting";
        if listed.state == "failed" && self.phase < InstancePhase::Draining {
            tracing::info!(machine = self.name, "instance failed; draining");
            self.phase = InstancePhase::Draining;
        }
    }

    /// Updates the count of missed lists after a list has been read completely.
    pub(super) fn on_list_complete(&mut self, is_in_list: bool) {
        if is_in_list {
            self.was_listed = true;
            self.missed_lists = 0;
        } else if self.was_listed || self.recorded {
            self.missed_lists += 1;
        }
    }

    /// Records that it was created by a scale-out request made at `requested_at`.
    pub(super) fn on_created(&mut self, requested_at: Ms) {
        self.created_at = self.created_at.min(requested_at);
        self.confirmed = true;
    }

    /// Clears the failures counted so far, because a task has succeeded on it.
    pub(super) fn on_task_succeeded(&mut self) {
        self.failed_jobs.clear();
    }

    /// Quarantines it, because a task of this job has failed on it.
    pub(super) fn on_task_failed(&mut self, job: JobIndex, now: Ms) {
        self.failed_jobs.insert(job);
        let has_several = self.failed_jobs.len() > 1;
        let quarantine = if has_several { LONG_QUARANTINE_MS } else { QUARANTINE_MS };
        self.quarantined_until = self.quarantined_until.max(now + quarantine);
        let jobs = self.failed_jobs.len();
        tracing::info!(machine = self.name, jobs, "task failed; machine quarantined");
    }
}
