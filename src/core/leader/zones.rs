//! Rules on the zones of a job's tasks.

use super::Leader;
use crate::core::common::context::NodeContext;
use crate::model::{JobIndex, JobSpec};
use crate::wire::peer::ReportedPhase;
use rustc_hash::FxHashMap;

/// Where a job's tasks are, for the rules on zones.
pub struct Zones {
    one: bool,
    most: Option<u32>,
    counts: FxHashMap<String, u32>,
}

impl Zones {
    pub fn of(context: &NodeContext, l: &Leader, ix: JobIndex, spec: &JobSpec) -> Zones {
        let mut z = Zones {
            one: spec.one_zone,
            most: spec.spread.then(|| spec.tasks.div_ceil(2)),
            counts: FxHashMap::default(),
        };
        if z.one || z.most.is_some() {
            // By block, which lies in one zone: the machine itself may be unknown
            // to a leader that has just begun.
            for a in l.attempts.values().filter(|a| a.job == ix && a.state != ReportedPhase::Done) {
                if let Some(b) = context.shards.get(a.shard.place()) {
                    z.add(&b.zone);
                }
            }
        }
        z
    }

    pub fn add(&mut self, zone: &str) {
        if self.one || self.most.is_some() {
            *self.counts.entry(zone.to_string()).or_default() += 1;
        }
    }

    pub fn allows(&self, zone: &str) -> bool {
        if self.one && !self.counts.is_empty() && !self.counts.contains_key(zone) {
            return false;
        }
        self.most.is_none_or(|m| self.counts.get(zone).copied().unwrap_or(0) < m)
    }
}
