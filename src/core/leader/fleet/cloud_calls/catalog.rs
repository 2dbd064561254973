//! Reads of the catalog: the machine types with their prices.

use super::{CallPurpose, DueCall, Timer};
use crate::core::common::context::NodeContext;
use crate::core::leader::Leader;
use crate::core::{CloudRequest, CloudResponse};
use crate::model::{self, Ms};
use crate::wire::cloud::MachineType;

/// Pause between two reads of the catalog.
const READ_GAP_MS: Ms = 45_000;
/// The same until it has been read and put on record once.
const RETRY_GAP_MS: Ms = 2_000;
/// Pause after its record could not be written.
const SAVE_RETRY_MS: Ms = 1_000;

/// When the catalog is read, and what of it is not on record yet.
#[derive(Debug, Default)]
pub(in crate::core::leader::fleet) struct CatalogPoll {
    next_read: Timer,
    is_known: bool,
    /// A catalog that differs from the one on record.
    unsaved: Option<Vec<MachineType>>,
}

impl CatalogPoll {
    /// Takes the catalog that is to be put on record, if there is one.
    pub(super) fn take_unsaved(&mut self) -> Option<Vec<MachineType>> {
        self.unsaved.take()
    }

    /// The read of the catalog, if it is due.
    pub(super) fn due_call(&mut self, now: Ms) -> Option<DueCall> {
        if !self.next_read.is_due(now) {
            return None;
        }
        let gap = if self.is_known { READ_GAP_MS } else { RETRY_GAP_MS };
        self.next_read.set(now + gap);
        Some(DueCall { request: CloudRequest::Catalog, purpose: CallPurpose::Catalog })
    }

    /// The catalog has been read.
    fn on_read(&mut self, now: Ms) {
        self.is_known = true;
        self.next_read.set(now + READ_GAP_MS);
    }

    /// The catalog could not be put on record: it is read, and written, again.
    pub(in crate::core::leader::fleet) fn on_save_failed(&mut self, now: Ms) {
        self.is_known = false;
        self.next_read.set(now + SAVE_RETRY_MS);
    }
}

impl Leader {
    /// Takes in the catalog. Machine types that differ from those known go on record for all
    /// nodes.
    pub(super) fn on_catalog(&mut self, context: &mut NodeContext, result: CloudResponse) {
        let CloudResponse::Catalog(catalog) = result else { return };
        self.fleet.cloud.catalog.on_read(context.clock.now());
        let types = catalog.types.iter().cloned();
        let types: Vec<model::MachineType> = types.map(model::MachineType::from).collect();
        let known = &context.machine_types;
        let is_unchanged = types.len() == known.len()
            && types.iter().zip(known.iter()).all(|(read, known)| is_same_type(read, known));
        if is_unchanged {
            // Prices move all the time and matter to the leader alone.
            context.machine_types.merge(types);
        } else {
            self.fleet.cloud.catalog.unsaved = Some(catalog.types);
        }
    }
}

/// Whether a machine type is as it was, whatever its prices.
fn is_same_type(read: &model::MachineType, known: &model::MachineType) -> bool {
    read.name == known.name
        && read.capacity == known.capacity
        && read.zones == known.zones
        && read.boot_s == known.boot_s
}
