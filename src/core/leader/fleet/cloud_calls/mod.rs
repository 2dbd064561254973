//! Calls to the cloud: selects the next one, and applies its result to the fleet.
//!
//! Each poll sends at most one call, within the cloud's rate limit. In order of priority: the
//! catalog ([`catalog`]), scale-out requests ([`scale_out`]), terminations ([`termination`]), the
//! list of instances ([`instance_list`]).

mod catalog;
mod instance_list;
mod scale_out;
mod termination;

use crate::core::common::context::NodeContext;
use crate::core::common::token_bucket::TokenBucket;
use crate::core::leader::Leader;
use crate::core::leader::timer::Timer;
use crate::core::{CloudRequest, CloudResponse};
use crate::model::{InstanceIndex, Ms};
use catalog::CatalogPoll;
use instance_list::InstanceListPoll;
use rustc_hash::FxHashMap;

/// Share of the cloud's rate limit that is used. The rest is left because calls of the previous
/// leader may still count towards the limit.
const RATE_LIMIT_SHARE: f64 = 0.85;
/// Tokens that one call takes from the rate limit's bucket.
const CALL_COST: f64 = 1.0;
/// Pause before the next call after one that the cloud did not execute.
const NOT_EXECUTED_PAUSE_MS: Ms = 700;

/// Purpose of a call.
#[derive(Debug)]
enum CallPurpose {
    Catalog,
    InstanceList,
    /// The scale-out request with this number.
    ScaleOut(u64),
    /// The termination of these instances.
    Termination(Vec<InstanceIndex>),
}

/// A call that is due.
#[derive(Debug)]
struct DueCall {
    request: CloudRequest,
    purpose: CallPurpose,
}

/// The calls in flight, and the timers and limits of further ones.
#[derive(Debug)]
pub(super) struct CloudCalls {
    in_flight: FxHashMap<u64, CallPurpose>,
    rate_limit: TokenBucket,
    /// Nothing is sent until this is due. Set after a call that the cloud did not execute.
    pause: Timer,
    /// Reads of the catalog.
    pub(super) catalog: CatalogPoll,
    /// Reads of the list of instances.
    pub(super) list: InstanceListPoll,
    /// The next scan for instances to terminate.
    termination: Timer,
}

impl CloudCalls {
    /// Creates the state with no call in flight and all timers due.
    pub(super) fn new(context: &NodeContext) -> CloudCalls {
        let rps = context.platform.cluster.cloud.rps;
        CloudCalls {
            in_flight: FxHashMap::default(),
            rate_limit: TokenBucket::new(rps * RATE_LIMIT_SHARE, rps, context.clock.now()),
            pause: Timer::default(),
            catalog: CatalogPoll::default(),
            list: InstanceListPoll::default(),
            termination: Timer::default(),
        }
    }

    fn may_send(&mut self, now: Ms) -> bool {
        self.pause.is_due(now) && self.rate_limit.has_tokens(now, CALL_COST)
    }

    fn send(&mut self, context: &mut NodeContext, due: DueCall) {
        self.rate_limit.take(context.clock.now(), CALL_COST);
        let call = context.send_cloud_request(due.request);
        self.in_flight.insert(call, due.purpose);
    }
}

impl Leader {
    /// Sends the next call that is due. If a catalog is still to be recorded, it is recorded
    /// instead and no call is sent.
    pub(super) fn send_due_cloud_call(&mut self, context: &mut NodeContext) {
        if let Some(types) = self.fleet.cloud.catalog.take_unsaved() {
            self.save_catalog(context, types);
            return;
        }
        let now = context.clock.now();
        if !self.fleet.cloud.may_send(now) {
            return;
        }
        let due = self
            .fleet
            .cloud
            .catalog
            .due_call(now)
            .or_else(|| self.due_scale_out(context))
            .or_else(|| self.fleet.due_termination(now))
            .or_else(|| self.fleet.cloud.list.due_call(now));
        if let Some(due) = due {
            self.fleet.cloud.send(context, due);
        }
    }

    /// Handles the result of a call to the cloud.
    pub(crate) fn on_cloud_response(
        &mut self,
        context: &mut NodeContext,
        call: u64,
        result: CloudResponse,
    ) {
        let Some(purpose) = self.fleet.cloud.in_flight.remove(&call) else { return };
        if let CloudResponse::NotExecuted = result {
            let pause = context.jitter(NOT_EXECUTED_PAUSE_MS);
            self.fleet.cloud.pause.set(context.clock.now() + pause);
        }
        match purpose {
            CallPurpose::Catalog => self.on_catalog(context, result),
            CallPurpose::InstanceList => self.fleet.on_instance_list(context, result),
            CallPurpose::ScaleOut(number) => self.fleet.on_scale_out_result(context, number, result),
            CallPurpose::Termination(instances) => self.on_terminated(context, instances, &result),
        }
    }
}
