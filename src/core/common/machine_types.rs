//! Machine types of the catalog, and which of them are scarce.

use crate::model::{JobSpec, MachineType, Ms, merge_types};
use rustc_hash::FxHashSet;
use std::collections::HashMap;
use std::ops::Index;

const SCARCE_EVERY_MS: Ms = 1_000;
/// Weighs more than an image at hand, less than an ordinary machine.
const SCARCITY_PENALTY: f64 = 5.0;

/// The known machine types. A type keeps its index for as long as the process runs.
#[derive(Debug, Default)]
pub struct MachineTypes {
    types: Vec<MachineType>,
    /// Types that live work depends on, as it fits no other.
    scarce: FxHashSet<usize>,
    scarce_due_at: Ms,
    /// Versions of the catalog's records.
    catalog_versions: HashMap<String, u64>,
}

impl Index<usize> for MachineTypes {
    type Output = MachineType;

    fn index(&self, index: usize) -> &MachineType {
        &self.types[index]
    }
}

impl MachineTypes {
    /// Notes that a catalog record of this version has been read; whether it is newer
    /// than what is known.
    pub(crate) fn note_catalog_version(&mut self, key: &str, version: u64) -> bool {
        let known = self.catalog_versions.entry(key.to_string()).or_default();
        let is_newer = version > *known;
        *known = version.max(*known);
        is_newer
    }

    /// Takes in types of the catalog.
    pub(crate) fn merge(&mut self, new: Vec<MachineType>) {
        self.types = merge_types(&self.types, new);
    }

    /// The type with this index.
    pub fn get(&self, index: usize) -> Option<&MachineType> {
        self.types.get(index)
    }

    /// All types in the order of their indices.
    pub fn iter(&self) -> std::slice::Iter<'_, MachineType> {
        self.types.iter()
    }

    /// How many types are known.
    pub fn len(&self) -> usize {
        self.types.len()
    }

    /// Whether no type is known.
    pub fn is_empty(&self) -> bool {
        self.types.is_empty()
    }

    /// Index of the type with this name.
    pub fn index_of(&self, name: &str) -> Option<usize> {
        self.types.iter().position(|known| known.name == name)
    }

    /// Indices of the types that a job may use.
    pub fn usable_by(&self, spec: &JobSpec) -> impl Iterator<Item = usize> {
        let is_usable = |known: &MachineType| {
            spec.demand().fits_within(&known.capacity)
                && spec.types.as_ref().is_none_or(|allowed| allowed.contains(&known.name))
        };
        self.types.iter().enumerate().filter(move |(_, known)| is_usable(known)).map(|(index, _)| index)
    }

    /// Whether it is time to look again for scarce types.
    pub(crate) fn is_scarcity_due(&self, now: Ms) -> bool {
        now >= self.scarce_due_at
    }

    /// Finds the types that work depends on.
    pub(crate) fn update_scarce<'a>(&mut self, now: Ms, specs: impl Iterator<Item = &'a JobSpec>) {
        self.scarce_due_at = now + SCARCE_EVERY_MS;
        let mut scarce = FxHashSet::default();
        for spec in specs {
            let mut usable = self.usable_by(spec);
            if let (Some(only), None) = (usable.next(), usable.next()) {
                scarce.insert(only);
            }
        }
        self.scarce = scarce;
    }

    /// Whether live work depends on this type.
    pub fn is_scarce(&self, index: usize) -> bool {
        self.scarce.contains(&index)
    }

    /// What a machine of this type is worse by in a choice: work that has one keeps off
    /// the type that other work depends on, as long as it can.
    pub fn scarcity_penalty(&self, index: usize) -> f64 {
        if self.is_scarce(index) { SCARCITY_PENALTY } else { 0.0 }
    }
}
