//! One instance of the leader's fleet: what the cloud, the records and the owner of its shard
//! have said of it.

use super::InstanceOffer;
use super::offer::InstanceKind;
use crate::core::common::context::NodeContext;
use crate::model::{InstanceIndex, JobIndex, Ms, ShardIndex};
use crate::wire::cloud::ListedMachine;
use crate::wire::peer::ReportedMachine;
use rustc_hash::FxHashSet;

/// Complete lists in a row that lack an instance before it is taken to be gone. The list lags,
/// so a single one proves nothing.
const MISSED_LISTS_LIMIT: u32 = 2;
/// Quarantine after tasks of one job have failed.
const QUARANTINE_MS: Ms = 45_000;
/// The same after tasks of several jobs. Nothing may keep work from a machine with free
/// capacity for as long as 90 s.
const LONG_QUARANTINE_MS: Ms = 75_000;
/// An instance is charged for at least a minute, so a younger one is kept.
const MIN_CHARGE_MS: Ms = 60_000;
/// Time that draining and termination take; surplus instances are cordoned as much earlier.
const DRAIN_LEAD_MS: Ms = 8_000;

/// How far an instance is, in the order of its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum InstancePhase {
    /// Requested or listed; none of its heartbeats has been reported yet.
    Booting,
    /// Up: it may get tasks.
    Ready,
    /// The shard owner has been asked to make it ready for its termination.
    Draining,
    /// The shard owner has put its termination on record; the cloud may be called.
    Drained,
    /// The cloud has been called.
    Terminating,
}

/// An instance of the fleet.
#[derive(Debug)]
pub(crate) struct Instance {
    /// Its name at the cloud.
    pub name: String,
    /// Index of its machine type.
    pub machine_type: usize,
    /// Its zone.
    pub zone: String,
    /// Whether it is a spot instance.
    pub is_spot: bool,
    /// The shard that it belongs to.
    pub shard: ShardIndex,
    /// The latest time at which it can have been created: by its request, its age in the list,
    /// or when it was first seen.
    pub(super) created_at: Ms,
    /// When its last heartbeat reached a shard owner.
    pub(super) last_heartbeat_at: Option<Ms>,
    /// The cloud is about to take it back.
    pub preemption_notice: bool,
    /// It gets no new tasks, and is drained once nothing runs on it.
    pub cordoned: bool,
    /// How far it is.
    pub phase: InstancePhase,
    /// Some complete list of this term has shown it.
    was_listed: bool,
    /// A record names it, so it was up, and listed, in an earlier term.
    pub recorded: bool,
    /// The cloud, a record or an echo of our fencing token says that it exists. A heartbeat
    /// alone may be a late copy from one that was terminated long ago.
    pub confirmed: bool,
    /// Since when its heartbeats arrive but no answer reaches it.
    unreachable_since: Option<Ms>,
    /// The newest list says that it is starting.
    is_starting: bool,
    /// Complete lists in a row that did not show it any more.
    missed_lists: u32,
    /// It is projected to be overloaded.
    pub(super) is_overloaded: bool,
    /// Projected peak share of its capacity.
    pub(super) projected_peak: f64,
    /// What has become of the scale-out that its overload asked for.
    pub(super) overload_scale_out: Option<OverloadScaleOut>,
    /// Jobs whose tasks failed here since the last success.
    failed_jobs: FxHashSet<JobIndex>,
    quarantined_until: Ms,
}

/// How far the scale-out for an overloaded machine is.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum OverloadScaleOut {
    /// Part of the scale-out request with this number.
    Requested(u64),
    /// The new instance has been created.
    Created(InstanceIndex),
}

impl Instance {
    /// An instance that was just seen or requested for the first time.
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

    /// Its machine type, as spot or on-demand instance.
    pub(in crate::core::leader) fn kind(&self) -> InstanceKind {
        InstanceKind { machine_type: self.machine_type, is_spot: self.is_spot }
    }

    /// The offer that it was requested from.
    pub(super) fn offer(&self) -> InstanceOffer {
        InstanceOffer { machine_type: self.machine_type, zone: self.zone.clone(), is_spot: self.is_spot }
    }

    /// Whether it is of this kind and not on its way to termination.
    pub(super) fn is_live(&self, kind: InstanceKind) -> bool {
        self.kind() == kind && self.phase < InstancePhase::Draining
    }

    /// Whether new tasks may be bound to it now.
    pub(crate) fn takes_tasks(&self, context: &NodeContext) -> bool {
        let now = context.clock.now();
        self.phase == InstancePhase::Ready
            && !self.cordoned
            && !self.preemption_notice
            && self.confirmed
            && self.unreachable_since.is_none()
            && !self.is_missing_from_lists()
            && !self.is_quarantined(now)
            && self.last_heartbeat_at.is_some_and(|at| at + context.fresh_ms > now)
    }

    /// Whether it must get no new tasks for now, as tasks failed on it.
    pub(super) fn is_quarantined(&self, now: Ms) -> bool {
        self.quarantined_until > now
    }

    /// Whether it was listed once and the newest lists lack it.
    pub(super) fn is_missing_from_lists(&self) -> bool {
        self.missed_lists >= MISSED_LISTS_LIMIT
    }

    /// Whether the newest list says that it is starting.
    pub(super) fn is_starting(&self) -> bool {
        self.is_starting
    }

    /// Whether no answer has reached it for longer than this.
    pub(super) fn is_unreachable_for(&self, limit: Ms, now: Ms) -> bool {
        self.unreachable_since.is_some_and(|since| now > since + limit)
    }

    /// Whether it is so old that its minimum charge is spent by the time it is terminated.
    pub(super) fn is_past_minimum_charge(&self, now: Ms) -> bool {
        now > self.created_at + MIN_CHARGE_MS - DRAIN_LEAD_MS
    }

    /// Takes in what the owner of its shard says of it.
    pub(super) fn on_reported(&mut self, reported: &ReportedMachine, now: Ms) {
        // The owner has had no heartbeat of it if this is the largest number.
        if reported.silent_ms != u64::MAX {
            let heartbeat_at = now.saturating_sub(reported.silent_ms);
            self.last_heartbeat_at = self.last_heartbeat_at.max(Some(heartbeat_at));
            if self.phase == InstancePhase::Booting {
                self.phase = InstancePhase::Ready;
            }
        }
        self.preemption_notice = reported.preemption_notice;
        self.confirmed |= reported.fenced;
        self.unreachable_since = reported.unreachable.then(|| self.unreachable_since.unwrap_or(now));
        self.is_overloaded = reported.overloaded;
        self.projected_peak = reported.peak;
        if reported.terminating && self.phase < InstancePhase::Drained {
            self.phase = InstancePhase::Drained;
        }
    }

    /// Takes in its entry in a page of the cloud's list.
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

    /// Takes in whether a complete list has shown it.
    pub(super) fn on_list_complete(&mut self, is_in_list: bool) {
        if is_in_list {
            self.was_listed = true;
            self.missed_lists = 0;
        } else if self.was_listed || self.recorded {
            self.missed_lists += 1;
        }
    }

    /// A scale-out request that was made at `requested_at` has brought it.
    pub(super) fn on_created(&mut self, requested_at: Ms) {
        self.created_at = self.created_at.min(requested_at);
        self.confirmed = true;
    }

    /// A task has succeeded on it.
    pub(super) fn on_task_succeeded(&mut self) {
        self.failed_jobs.clear();
    }

    /// A task of this job has failed on it.
    pub(super) fn on_task_failed(&mut self, job: JobIndex, now: Ms) {
        self.failed_jobs.insert(job);
        let has_several = self.failed_jobs.len() > 1;
        let quarantine = if has_several { LONG_QUARANTINE_MS } else { QUARANTINE_MS };
        self.quarantined_until = self.quarantined_until.max(now + quarantine);
        let jobs = self.failed_jobs.len();
        tracing::info!(machine = self.name, jobs, "task failed; machine quarantined");
    }
}
