//! Reads the cloud's list of instances, page by page.

use super::{CallPurpose, DueCall, Timer};
use crate::core::common::context::NodeContext;
use crate::core::leader::fleet::Fleet;
use crate::core::{CloudRequest, CloudResponse};
use crate::model::{InstanceIndex, Ms};
use crate::wire::cloud::{ListedMachine, MachinePage};
use rustc_hash::FxHashSet;

/// Delay between the last page of a list and the first page of the next list.
const LIST_INTERVAL_MS: Ms = 3_000;
/// Time after which an unanswered request for a page is sent again.
const ANSWER_TIMEOUT_MS: Ms = 30_000;
/// Delay before a page that could not be read is requested again.
const RETRY_MS: Ms = 500;

/// Position in the list, and the instances on the pages before it.
#[derive(Debug, Default)]
pub(in crate::core::leader::fleet) struct InstanceListPoll {
    next_page: Timer,
    /// Name of the last instance on the previous page; `None` before the first page.
    last_name: Option<String>,
    /// Instances on the pages read so far.
    seen: FxHashSet<InstanceIndex>,
    has_completed: bool,
}

impl InstanceListPoll {
    /// Whether a whole list has been read at least once.
    pub(in crate::core::leader::fleet) fn has_completed(&self) -> bool {
        self.has_completed
    }

    /// Returns the call that reads the next page, if it is due.
    pub(super) fn due_call(&mut self, now: Ms) -> Option<DueCall> {
        if !self.next_page.is_due(now) {
            return None;
        }
        self.next_page.set(now + ANSWER_TIMEOUT_MS);
        let request = CloudRequest::List { after: self.last_name.clone() };
        Some(DueCall { request, purpose: CallPurpose::InstanceList })
    }

    /// Completes the list, schedules the next one, and returns all instances on it.
    fn complete(&mut self, now: Ms) -> FxHashSet<InstanceIndex> {
        self.last_name = None;
        self.next_page.set(now + LIST_INTERVAL_MS);
        self.has_completed = true;
        std::mem::take(&mut self.seen)
    }
}

impl Fleet {
    /// Handles the result of a read of one page.
    pub(super) fn on_instance_list(&mut self, context: &NodeContext, result: CloudResponse) {
        let now = context.clock.now();
        let CloudResponse::Page(page) = result else {
            self.cloud.list.next_page.set(now + RETRY_MS);
            return;
        };
        let MachinePage { machines, has_more } = page;
        for listed in &machines {
            self.on_listed_instance(context, listed);
        }
        let last = machines.last();
        if has_more && let Some(last) = last {
            self.cloud.list.last_name = Some(last.name.clone());
            self.cloud.list.next_page.set(now);
            return;
        }
        let seen = self.cloud.list.complete(now);
        for (index, instance) in self.instances.iter_mut() {
            instance.on_list_complete(seen.contains(&index));
        }
    }

    fn on_listed_instance(&mut self, context: &NodeContext, listed: &ListedMachine) {
        let ListedMachine { name, machine_type, zone, spot, .. } = listed;
        let index = self.find_or_add(context, name, machine_type, zone, *spot);
        self.cloud.list.seen.insert(index);
        if let Some(instance) = self.instances.get_mut(index) {
            instance.on_listed(listed, context.clock.now());
        }
    }
}
