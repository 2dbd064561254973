//! Sends scale-out requests to the cloud and handles their results.

use super::{CallPurpose, DueCall};
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::leader::fleet::instance::OverloadScaleOut;
use crate::core::leader::fleet::scale_out_requests::ScaleOutRequest;
use crate::core::leader::fleet::{Fleet, machine_type_label};
use crate::core::{CloudRequest, CloudResponse};
use crate::model::{InstanceIndex, Ms};
use crate::wire::cloud::CreateInstancesRequest;

/// Delay before a request is sent again.
const RETRY_MS: Ms = 1_000;

impl Leader {
    /// Returns the call for the oldest scale-out request that is due, and marks the request as
    /// sent.
    pub(super) fn due_scale_out(&mut self, context: &NodeContext) -> Option<DueCall> {
        let request = self.fleet.scale_out.next_due(context.clock.now())?;
        request.mark_sent();
        let create = CreateInstancesRequest {
            request: format!("r-{}-{}", self.term, request.number),
            machine_type: context.machine_types[request.offer.machine_type].name.clone(),
            zone: request.offer.zone.clone(),
            spot: request.offer.is_spot,
            count: request.count,
        };
        let purpose = CallPurpose::ScaleOut(request.number);
        Some(DueCall { request: CloudRequest::CreateInstances(create), purpose })
    }
}

impl Fleet {
    /// Handles the result of a scale-out request.
    pub(super) fn on_scale_out_result(
        &mut self,
        context: &mut NodeContext,
        number: u64,
        result: CloudResponse,
    ) {
        let Some(request) = self.scale_out.get_mut(number) else { return };
        match result {
            CloudResponse::InstancesCreated(answer) => {
                let Some(request) = self.scale_out.remove(number) else { return };
                self.on_instances_created(context, &request, &answer.machines);
            }
            CloudResponse::NoCapacity | CloudResponse::Malformed => {
                let Some(request) = self.scale_out.remove(number) else { return };
                let offer = request.offer;
                tracing::info!(
                    machine_type = machine_type_label(context, offer.machine_type, offer.is_spot),
                    zone = offer.zone,
                    "cloud refused scale-out request"
                );
                self.on_offer_refused(context.clock.now(), &offer);
            }
            // No instance was created. The request is dropped, as demand may have changed: the
            // next plan requests what is still needed. A request whose outcome was unknown
            // before must instead be repeated under its name until the cloud has answered it.
            CloudResponse::NotExecuted if !request.is_outcome_unknown() => {
                self.scale_out.remove(number);
            }
            _ => {
                request.mark_outcome_unknown();
                request.retry_at(context.clock.now() + context.jitter(RETRY_MS));
            }
        }
    }

    /// Adds the instances that a request has created. If there are fewer than requested, the
    /// cloud has no more capacity for the offer.
    fn on_instances_created(
        &mut self,
        context: &NodeContext,
        request: &ScaleOutRequest,
        names: &[String],
    ) {
        let offer = &request.offer;
        if (names.len() as u32) < request.count {
            self.on_offer_refused(context.clock.now(), offer);
        } else {
            self.refused_offers.clear(offer);
        }
        let type_name = &context.machine_types[offer.machine_type].name;
        let mut created = Vec::new();
        for name in names {
            let index = self.find_or_add(context, name, type_name, &offer.zone, offer.is_spot);
            if let Some(instance) = self.instances.get_mut(index) {
                instance.on_created(request.requested_at);
                created.push(index);
            }
        }
        self.assign_to_overloaded(request.number, created);
    }

    /// Assigns the new instances, one each, to the overloaded instances that the request was made
    /// for.
    fn assign_to_overloaded(&mut self, number: u64, created: Vec<InstanceIndex>) {
        let requested = Some(OverloadScaleOut::Requested(number));
        let mut created = created.into_iter();
        for instance in self.instances.values_mut() {
            if instance.overload_scale_out == requested {
                instance.overload_scale_out = created.next().map(OverloadScaleOut::Created);
            }
        }
    }
}
