//! Health checks: drains instances that are unhealthy or no longer needed, independently of the
//! window rule, and preempts tasks on instances that the cloud is about to reclaim.

use super::instance::{Instance, InstancePhase};
use super::mark_changed;
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::model::{InstanceIndex, Ms};
use rustc_hash::FxHashSet;

/// Multiple of the usual boot time after which a boot has failed.
const BOOT_TIMEOUT_FACTOR: f64 = 3.5;
/// Boot time that is assumed for an unknown machine type.
const DEFAULT_BOOT_S: f64 = 60.0;
/// Lower bound on the usual boot time of a machine type.
const MIN_BOOT_S: f64 = 10.0;
/// Time without a heartbeat, beyond the duration of a worker's lease, after which an instance is
/// drained.
const SILENCE_MARGIN_MS: Ms = 5_000;
/// Time beyond the duration of a worker's lease after which a new leader has received a heartbeat
/// of each instance that is up.
const FIRST_HEARTBEAT_MARGIN_MS: Ms = 10_000;

/// Why an instance is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DrainReason {
    NotBooted,
    Vanished,
    Silent,
    Unreachable,
    /// The instance was cordoned, and no task runs on it any more.
    Cordoned,
}

impl DrainReason {
    /// Name of the reason in the log.
    fn name(self) -> &'static str {
        match self {
            DrainReason::NotBooted => "did not boot",
            DrainReason::Vanished => "vanished",
            DrainReason::Silent => "silent",
            DrainReason::Unreachable => "unreachable",
            DrainReason::Cordoned => "cordoned and idle",
        }
    }
}

/// Inputs of the health check that are the same for all instances.
#[derive(Debug, Clone, Copy)]
struct HealthCheck {
    now: Ms,
    /// When this leader became active.
    activated_at: Ms,
    /// When it last became possible to answer workers.
    control_lease_valid_since: Ms,
    worker_lease_ms: Ms,
    /// Maximum age of a heartbeat that shows that an instance is up.
    max_heartbeat_age_ms: Ms,
}

impl HealthCheck {
    fn new(leader: &Leader, context: &NodeContext) -> HealthCheck {
        HealthCheck {
            now: context.clock.now(),
            activated_at: leader.activated_at,
            control_lease_valid_since: context.control_lease.valid_since(),
            worker_lease_ms: (context.platform.cluster.workers.lease_s * 1000.0) as Ms,
            max_heartbeat_age_ms: context.max_heartbeat_age_ms,
        }
    }

    /// Returns why the instance must be drained, or `None` if it need not be.
    fn drain_reason(&self, instance: &Instance, boot_s: f64, is_busy: bool) -> Option<DrainReason> {
        let silent_ms = self.silent_ms(instance);
        let has_sent_heartbeat = instance.last_heartbeat_at.is_some();
        if self.is_boot_overdue(instance, boot_s) {
            Some(DrainReason::NotBooted)
        } else if instance.is_missing_from_lists() && silent_ms > self.max_heartbeat_age_ms {
            // The list doesn't prove that the instance is gone; its confirmed termination will.
            Some(DrainReason::Vanished)
        } else if has_sent_heartbeat && silent_ms > self.worker_lease_ms + SILENCE_MARGIN_MS {
            Some(DrainReason::Silent)
        } else if instance.is_unreachable_for(self.worker_lease_ms, self.now) {
            Some(DrainReason::Unreachable)
        } else if instance.cordoned && !is_busy && instance.phase == InstancePhase::Ready {
            Some(DrainReason::Cordoned)
        } else {
            None
        }
    }

    /// Whether an instance has failed to boot. A new leader has not yet received heartbeats of
    /// instances that are up. An instance is therefore only considered not booted if the cloud
    /// lists it as starting, or if it has been silent for longer than any lease.
    fn is_boot_overdue(&self, instance: &Instance, boot_s: f64) -> bool {
        let first_heartbeat_ms = self.worker_lease_ms + FIRST_HEARTBEAT_MARGIN_MS;
        let is_silent_for_long = self.now > self.activated_at + first_heartbeat_ms;
        let boot_limit_ms = (boot_s * BOOT_TIMEOUT_FACTOR * 1000.0) as Ms;
        instance.phase == InstancePhase::Booting
            && self.now > instance.created_at + boot_limit_ms
            && instance.last_heartbeat_at.is_none()
            && (instance.is_starting() || is_silent_for_long)
    }

    /// Time since the last heartbeat of an instance. If this leader has never received one, the
    /// time counts from the start of its term or from the instance's creation, whichever is later.
    /// Time before workers could be answered never counts, because no heartbeats could be received.
    fn silent_ms(&self, instance: &Instance) -> Ms {
        let known_since = self.activated_at.max(instance.created_at);
        let last_heartbeat_at = instance.last_heartbeat_at.unwrap_or(known_since);
        self.now.saturating_sub(last_heartbeat_at.max(self.control_lease_valid_since))
    }
}

impl Leader {
    /// Drains unhealthy instances, and preempts tasks on those that the cloud reclaims.
    pub(super) fn check_health(&mut self, context: &NodeContext) {
        self.drain_unhealthy(context);
        self.preempt_on_notice();
    }

    /// Drains instances that failed to boot, are missing from the cloud's list, are silent or
    /// unreachable, or are cordoned and idle.
    fn drain_unhealthy(&mut self, context: &NodeContext) {
        let check = HealthCheck::new(self, context);
        let busy: FxHashSet<InstanceIndex> =
            self.attempts.values().filter_map(|attempt| attempt.instance).collect();
        for (index, instance) in self.fleet.instances.iter_mut() {
            if instance.phase >= InstancePhase::Draining {
                continue;
            }
            let machine_type = context.machine_types.get(instance.machine_type);
            let boot_s = machine_type.map_or(DEFAULT_BOOT_S, |known| known.boot_s).max(MIN_BOOT_S);
            let reason = check.drain_reason(instance, boot_s, busy.contains(&index));
            let Some(reason) = reason else { continue };
            tracing::info!(machine = instance.name, reason = reason.name(), "draining instance");
            instance.phase = InstancePhase::Draining;
            mark_changed(&mut self.shards, instance.shard);
        }
    }

    /// Preempts tasks that save checkpoints on instances under preemption notice, early enough to
    /// save one.
    fn preempt_on_notice(&mut self) {
        let attempts = self.attempts.values_mut();
        for attempt in attempts.filter(|a| a.is_wanted && a.occupies_capacity() && !a.may_bind) {
            let instance = attempt.instance.and_then(|index| self.fleet.instances.get(index));
            let has_notice = instance.is_some_and(|instance| instance.preemption_notice);
            let job = self.jobs.get(&attempt.job);
            if has_notice && job.is_some_and(|job| job.spec.checkpoint_s > 0.0) {
                attempt.is_wanted = false;
                mark_changed(&mut self.shards, attempt.shard);
            }
        }
    }
}
