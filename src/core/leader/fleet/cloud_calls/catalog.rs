//! Reads the cloud's catalog: the machine types with their prices.

use super::{CallPurpose, DueCall, Timer};
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::{CloudRequest, CloudResponse};
use crate::model::{self, Ms};
use crate::wire::cloud::MachineType;

/// Interval between two reads of the catalog.
const READ_INTERVAL_MS: Ms = 45_000;
/// Interval between two reads until the catalog has been read and recorded once.
const INITIAL_READ_INTERVAL_MS: Ms = 2_000;
/// Delay before the next read after the catalog could not be recorded.
const SAVE_RETRY_MS: Ms = 1_000;

/// Schedule of the catalog reads, and the catalog that is still to be recorded.
#[derive(Debug, Default)]
pub(in crate::core::leader::fleet) struct CatalogPoll {
    next_read: Timer,
    is_known: bool,
    /// A catalog that differs from the recorded one.
    unsaved: Option<Vec<MachineType>>,
}

impl CatalogPoll {
    /// Takes the catalog that is to be recorded, if there is one.
    pub(super) fn take_unsaved(&mut self) -> Option<Vec<MachineType>> {
        self.unsaved.take()
    }

    /// Returns the call that reads the catalog, if it is due.
    pub(super) fn due_call(&mut self, now: Ms) -> Option<DueCall> {
        if !self.next_read.is_due(now) {
            return None;
        }
        let interval = if self.is_known { READ_INTERVAL_MS } else { INITIAL_READ_INTERVAL_MS };
        self.next_read.set(now + interval);
        Some(DueCall { request: CloudRequest::Catalog, purpose: CallPurpose::Catalog })
    }

    /// Schedules the next read after a successful one.
    fn on_read(&mut self, now: Ms) {
        self.is_known = true;
        self.next_read.set(now + READ_INTERVAL_MS);
    }

    /// Schedules another read, and with it another write, after the catalog could not be
    /// recorded.
    pub(in crate::core::leader::fleet) fn on_save_failed(&mut self, now: Ms) {
        self.is_known = false;
        self.next_read.set(now + SAVE_RETRY_MS);
    }
}

impl Leader {
    /// Handles the result of a catalog read. If the machine types differ from the known ones,
    /// they are recorded for all nodes.
    pub(super) fn on_catalog(&mut self, context: &mut NodeContext, result: CloudResponse) {
        let CloudResponse::Catalog(catalog) = result else { return };
        self.fleet.cloud.catalog.on_read(context.clock.now());
        let types = catalog.types.iter().cloned();
        let types: Vec<model::MachineType> = types.map(model::MachineType::from).collect();
        let known = &context.machine_types;
        let is_unchanged = types.len() == known.len()
            && types.iter().zip(known.iter()).all(|(read, known)| is_same_type(read, known));
        if is_unchanged {
            // Prices change all the time and are used by the leader only, so they aren't recorded.
            context.machine_types.merge(types);
        } else {
            self.fleet.cloud.catalog.unsaved = Some(catalog.types);
        }
    }
}

/// Whether a machine type is unchanged apart from its prices.
fn is_same_type(read: &model::MachineType, known: &model::MachineType) -> bool {
    read.name == known.name
        && read.capacity == known.capacity
        && read.zones == known.zones
        && read.boot_s == known.boot_s
}
