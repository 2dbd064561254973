//! Health checks: instances that are drained whatever the window rule says, and tasks that
//! leave a machine which the cloud is about to take back.

use super::instance::{Instance, InstancePhase};
use super::mark_changed;
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::model::{InstanceIndex, Ms};
use rustc_hash::FxHashSet;

/// A boot that takes this many times the usual is given up.
const BOOT_FACTOR: f64 = 3.5;
/// Usual boot time of a type that is not known.
const DEFAULT_BOOT_S: f64 = 60.0;
/// No boot time is taken to be shorter than this.
const MIN_BOOT_S: f64 = 10.0;
/// Silence beyond a worker's lease after which an instance is given up.
const SILENCE_MARGIN_MS: Ms = 5_000;
/// Time beyond a worker's lease after which a new leader has heard of all that are up.
const FIRST_HEARTBEAT_MARGIN_MS: Ms = 10_000;

/// Why an instance is drained.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DrainReason {
    NotBooted,
    Vanished,
    Silent,
    Unreachable,
    /// It was cordoned, and nothing runs on it any more.
    Cordoned,
}

impl DrainReason {
    /// Its name in the log.
    fn name(self) -> &'static str {
        match self {
            DrainReason::NotBooted => "did not boot",
            DrainReason::Vanished => "vanished",
            DrainReason::Silent => "silent",
            DrainReason::Unreachable => "unreachable",
            DrainReason::Cordoned => "drained",
        }
    }
}

/// What an instance is judged by, the same for all.
#[derive(Debug, Clone, Copy)]
struct HealthCheck {
    now: Ms,
    /// When this leader became active.
    activated_at: Ms,
    /// Since when workers can be answered.
    control_lease_valid_since: Ms,
    worker_lease_ms: Ms,
    /// Age up to which a heartbeat shows that a machine is up.
    fresh_ms: Ms,
}

impl HealthCheck {
    fn new(leader: &Leader, context: &NodeContext) -> HealthCheck {
        HealthCheck {
            now: context.clock.now(),
            activated_at: leader.activated_at,
            control_lease_valid_since: context.control_lease.valid_since(),
            worker_lease_ms: (context.platform.cluster.workers.lease_s * 1000.0) as Ms,
            fresh_ms: context.fresh_ms,
        }
    }

    /// Why the instance is to be drained; none if it is not.
    fn drain_reason(&self, instance: &Instance, boot_s: f64, is_busy: bool) -> Option<DrainReason> {
        let silent_ms = self.silent_ms(instance);
        let was_heard = instance.last_heartbeat_at.is_some();
        if self.is_boot_overdue(instance, boot_s) {
            Some(DrainReason::NotBooted)
        } else if instance.is_missing_from_lists() && silent_ms > self.fresh_ms {
            // Its termination, once confirmed, proves that it is gone.
            Some(DrainReason::Vanished)
        } else if was_heard && silent_ms > self.worker_lease_ms + SILENCE_MARGIN_MS {
            Some(DrainReason::Silent)
        } else if instance.is_unreachable_for(self.worker_lease_ms, self.now) {
            Some(DrainReason::Unreachable)
        } else if instance.cordoned && !is_busy && instance.phase == InstancePhase::Ready {
            Some(DrainReason::Cordoned)
        } else {
            None
        }
    }

    /// Whether an instance has failed to boot. A new leader knows nothing yet of those that
    /// are well up: only the cloud's word that it is starting speaks against it, or silence
    /// for longer than any lease.
    fn is_boot_overdue(&self, instance: &Instance, boot_s: f64) -> bool {
        let first_heartbeat_ms = self.worker_lease_ms + FIRST_HEARTBEAT_MARGIN_MS;
        let is_silent_for_long = self.now > self.activated_at + first_heartbeat_ms;
        let boot_limit_ms = (boot_s * BOOT_FACTOR * 1000.0) as Ms;
        instance.phase == InstancePhase::Booting
            && self.now > instance.created_at + boot_limit_ms
            && instance.last_heartbeat_at.is_none()
            && (instance.is_starting() || is_silent_for_long)
    }

    /// For how long an instance has been silent. One that this leader never heard of has been
    /// so since it leads; and while no worker could be answered, none was there to hear.
    fn silent_ms(&self, instance: &Instance) -> Ms {
        let known_since = self.activated_at.max(instance.created_at);
        let heard_at = instance.last_heartbeat_at.unwrap_or(known_since);
        self.now.saturating_sub(heard_at.max(self.control_lease_valid_since))
    }
}

impl Leader {
    /// Drains unhealthy instances and has tasks leave those that the cloud takes back.
    pub(super) fn check_health(&mut self, context: &NodeContext) {
        self.drain_unhealthy(context);
        self.preempt_on_notice();
    }

    /// Drains instances that don't boot, have vanished, are lost or were cordoned and are idle.
    fn drain_unhealthy(&mut self, context: &NodeContext) {
        let check = HealthCheck::new(self, context);
        let busy: FxHashSet<InstanceIndex> =
            self.attempts.values().filter_map(|attempt| attempt.machine).collect();
        for (index, instance) in self.fleet.machines.iter_mut() {
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

    /// Tasks that save checkpoints leave a machine under preemption notice in time to do so.
    fn preempt_on_notice(&mut self) {
        let on_machines = self.attempts.values_mut();
        for attempt in on_machines.filter(|a| a.is_wanted && a.occupies_capacity() && !a.may_bind) {
            let instance = attempt.machine.and_then(|machine| self.fleet.machines.get(machine));
            let has_notice = instance.is_some_and(|instance| instance.preemption_notice);
            let job = self.jobs.get(&attempt.job);
            if has_notice && job.is_some_and(|job| job.spec.checkpoint_s > 0.0) {
                attempt.is_wanted = false;
                mark_changed(&mut self.shards, attempt.shard);
            }
        }
    }
}
