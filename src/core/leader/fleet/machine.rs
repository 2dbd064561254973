//! A machine of the fleet, as the leader knows it.

use super::InstanceOffer;
use crate::core::common::context::NodeContext;
use crate::model::{InstanceIndex, JobIndex, Ms, ShardIndex};
use rustc_hash::FxHashSet;

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum InstancePhase {
    Booting,
    Ready,
    /// The holder has been asked to make it ready for its return.
    Draining,
    /// `returning` is durable; the cloud may be called.
    Drained,
    Terminating,
}

#[derive(Debug)]
pub struct Instance {
    pub name: String,
    pub machine_type: usize,
    pub zone: String,
    pub is_spot: bool,
    pub shard: ShardIndex,
    pub since: Ms,
    pub(super) heard: Option<Ms>,
    pub preemption_notice: bool,
    pub cordoned: bool,
    pub phase: InstancePhase,
    pub(super) listed: bool,
    /// A record names it, so it was up, and listed, in an earlier term.
    pub recorded: bool,
    /// The cloud, a record or an echo of our token says that it is there; a
    /// report alone may be a late copy of one long gone.
    pub confirmed: bool,
    /// Since when nothing reaches it.
    pub(super) deaf_since: Option<Ms>,
    /// The newest list calls it starting.
    pub(super) starting: bool,
    /// Complete lists in a row that did not show it any more.
    pub(super) missed: u32,
    pub(super) overloaded: bool,
    pub(super) peak: f64,
    /// What has become of the rent that this machine's overload asked for.
    pub(super) ask: Option<Ask>,
    /// Jobs whose tasks failed here since the last success.
    pub(super) failed: FxHashSet<JobIndex>,
    pub(super) quarantined_until: Ms,
    pub(super) idle_since: Option<Ms>,
}

impl Instance {
    /// Whether it is of this kind and not on its way back.
    pub(super) fn is_usable(&self, machine_type: usize, is_spot: bool) -> bool {
        self.machine_type == machine_type
            && self.is_spot == is_spot
            && self.phase < InstancePhase::Draining
    }

    /// The offer that it was rented from.
    pub(super) fn offer(&self) -> InstanceOffer {
        InstanceOffer { machine_type: self.machine_type, zone: self.zone.clone(), is_spot: self.is_spot }
    }

    pub fn takes_tasks(&self, context: &NodeContext) -> bool {
        self.phase == InstancePhase::Ready
            && !self.cordoned
            && !self.preemption_notice
            && self.confirmed
            && self.deaf_since.is_none()
            && self.missed < 2
            && self.quarantined_until <= context.clock.now()
            && self.heard.is_some_and(|at| at + context.fresh_ms > context.clock.now())
    }
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ask {
    Rent(u64),
    Boot(InstanceIndex),
}

impl PartialOrd for InstancePhase {
    fn partial_cmp(&self, o: &InstancePhase) -> Option<std::cmp::Ordering> {
        (*self as u8).partial_cmp(&(*o as u8))
    }
}
