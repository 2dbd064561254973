//! Machine types of the cloud's catalog, and which of them are scarce.

use crate::model::{JobSpec, MachineType, Ms, merge_types};
use rustc_hash::FxHashSet;
use std::collections::HashMap;
use std::ops::Index;

/// Interval between two updates of the set of scarce types.
const SCARCITY_UPDATE_INTERVAL_MS: Ms = 1_000;
/// Cost added for a machine of a scarce type. It weighs more than the penalty for fetching an
/// image and less than the penalty for using an on-demand machine.
const SCARCITY_PENALTY: f64 = 5.0;

/// The known machine types. The index of a type never changes while the process runs.
#[derive(Debug, Default)]
pub struct MachineTypes {
    types: Vec<MachineType>,
    /// Indices of types that live jobs depend on because they fit no other type.
    scarce: FxHashSet<usize>,
    scarcity_due_at: Ms,
    /// Known versions of the catalog's records, by key.
    catalog_versions: HashMap<String, u64>,
}

impl Index<usize> for MachineTypes {
    type Output = MachineType;

    fn index(&self, index: usize) -> &MachineType {
        &self.types[index]
    }
}

impl MachineTypes {
    /// Records that a catalog record of this version has been read, and returns whether it is
    /// newer than the known one.
    pub(crate) fn note_catalog_version(&mut self, key: &str, version: u64) -> bool {
        let known = self.catalog_versions.entry(key.to_string()).or_default();
        let is_newer = version > *known;
        *known = version.max(*known);
        is_newer
    }

    /// Merges machine types from the catalog into the known ones.
    pub(crate) fn merge(&mut self, new: Vec<MachineType>) {
        self.types = merge_types(&self.types, new);
    }

    /// Returns the type with this index.
    pub fn get(&self, index: usize) -> Option<&MachineType> {
        self.types.get(index)
    }

    /// Iterates over all types in the order of their indices.
    pub fn iter(&self) -> std::slice::Iter<'_, MachineType> {
        self.types.iter()
    }

    /// Number of known types.
    pub fn len(&self) -> usize {
        self.types.len()
    }

    /// Whether no type is known.
    pub fn is_empty(&self) -> bool {
        self.types.is_empty()
    }

    /// Returns the index of the type with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|known| known.name == name)
    }

    /// Returns the indices of the types that a job may use.
    pub fn usable_by(&self, spec: &JobSpec) -> impl Iterator<Item = usize> {
        let is_usable = |known: &MachineType| {
            spec.demand().fits_within(&known.capacity)
                && spec.types.as_ref().is_none_or(|allowed| allowed.contains(&known.name))
        };
        self.types.iter().enumerate().filter(move |(_, known)| is_usable(known)).map(|(index, _)| index)
    }

    /// Whether an update of the scarce types is due.
    pub(crate) fn is_scarcity_due(&self, now: Ms) -> bool {
        now >= self.scarcity_due_at
    }

    /// Updates the set of scarce types: those that are the only usable type of at least one job.
    pub(crate) fn update_scarce<'a>(&mut self, now: Ms, specs: impl Iterator<Item = &'a JobSpec>) {
        self.scarcity_due_at = now + SCARCITY_UPDATE_INTERVAL_MS;
        let mut scarce = FxHashSet::default();
        for spec in specs {
            let mut usable = self.usable_by(spec);
            if let (Some(only), None) = (usable.next(), usable.next()) {
                scarce.insert(only);
            }
        }
        self.scarce = scarce;
    }

    /// Whether live jobs depend on this type.
    pub fn is_scarce(&self, index: usize) -> bool {
        self.scarce.contains(&index)
    }

    /// Returns the cost penalty for placing a task on a machine of this type. It makes jobs that
    /// can use several types avoid those that other jobs depend on, as far as possible.
    pub fn scarcity_penalty(&self, index: usize) -> f64 {
        if self.is_scarce(index) { SCARCITY_PENALTY } else { 0.0 }
    }
}
