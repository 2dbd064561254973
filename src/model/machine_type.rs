//! Machine types in the cloud's catalog.

use super::Resources;

/// A machine type from the catalog.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// Resources of one machine.
    pub capacity: Resources,
    /// Capacity of the image cache in GB.
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB per second.
    pub fetch_gb_per_s: f64,
    /// Price of an on-demand machine per hour.
    pub price: f64,
    /// Current price of a spot instance per hour.
    pub spot_price: f64,
    /// Typical boot time in seconds.
    pub boot_s: f64,
    /// Zones in which the type can be rented.
    pub zones: Vec<String>,
}

/// Merges the machine types of a new catalog into those of the old one. A type keeps its index for
/// the lifetime of the process, even if a later catalog lists it elsewhere or no longer lists it.
pub fn merge_types(old: &[MachineType], new: Vec<MachineType>) -> Vec<MachineType> {
    let mut merged = old.to_vec();
    for listed in new {
        match merged.iter_mut().find(|known| known.name == listed.name) {
            Some(known) => *known = listed,
            None => merged.push(listed),
        }
    }
    merged
}
