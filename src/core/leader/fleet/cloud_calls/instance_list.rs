//! Reads of the cloud's list of instances, page by page.

use super::{CallPurpose, DueCall, Timer};
use crate::core::common::context::NodeContext;
use crate::core::leader::fleet::Fleet;
use crate::core::{CloudRequest, CloudResponse};
use crate::model::{InstanceIndex, Ms};
use crate::wire::cloud::{ListedMachine, MachinePage};
use rustc_hash::FxHashSet;

/// Pause between a complete list and the next.
const LIST_GAP_MS: Ms = 3_000;
/// Time after which a page that was not answered is requested again.
const ANSWER_TIMEOUT_MS: Ms = 30_000;
/// Pause after a page that could not be read.
const RETRY_MS: Ms = 500;

/// How far the list is read.
#[derive(Debug, Default)]
pub(in crate::core::leader::fleet) struct InstanceListPoll {
    next_page: Timer,
    /// Name of the last instance on the page before; none for the first page.
    last_name: Option<String>,
    /// Instances on the pages that have been read.
    seen: FxHashSet<InstanceIndex>,
    has_completed: bool,
}

impl InstanceListPoll {
    /// Whether the whole list has been read at least once.
    pub(in crate::core::leader::fleet) fn has_completed(&self) -> bool {
        self.has_completed
    }

    /// The request for the next page, if it is due.
    pub(super) fn due_call(&mut self, now: Ms) -> Option<DueCall> {
        if !self.next_page.is_due(now) {
            return None;
        }
        self.next_page.set(now + ANSWER_TIMEOUT_MS);
        let request = CloudRequest::List { since: self.last_name.clone() };
        Some(DueCall { request, purpose: CallPurpose::InstanceList })
    }

    /// Ends the list. Returns all instances on it.
    fn complete(&mut self, now: Ms) -> FxHashSet<InstanceIndex> {
        self.last_name = None;
        self.next_page.set(now + LIST_GAP_MS);
        self.has_completed = true;
        std::mem::take(&mut self.seen)
    }
}

impl Fleet {
    /// Takes in a page of the list.
    pub(super) fn on_instance_list(&mut self, context: &NodeContext, result: CloudResponse) {
        let now = context.clock.now();
        let CloudResponse::Page(page) = result else {
            self.cloud.list.next_page.set(now + RETRY_MS);
            return;
        };
        let MachinePage { machines, more } = page;
        for listed in &machines {
            self.on_listed_instance(context, listed);
        }
        let last = machines.last();
        if more && let Some(last) = last {
            self.cloud.list.last_name = Some(last.name.clone());
            self.cloud.list.next_page.set(now);
            return;
        }
        let seen = self.cloud.list.complete(now);
        for (index, instance) in self.machines.iter_mut() {
            instance.on_list_complete(seen.contains(&index));
        }
    }

    fn on_listed_instance(&mut self, context: &NodeContext, listed: &ListedMachine) {
        let ListedMachine { name, machine_type, zone, spot, .. } = listed;
        let index = self.find_or_add(context, name, machine_type, zone, *spot);
        self.cloud.list.seen.insert(index);
        if let Some(instance) = self.machines.get_mut(index) {
            instance.on_listed(listed, context.clock.now());
        }
    }
}
