//! Machine types of the catalog.

use super::Resources;

/// A machine type from the catalog.
#[derive(Debug, Clone, PartialEq)]
pub struct MachineType {
    /// Name of the type.
    pub name: String,
    /// What one machine has.
    pub capacity: Resources,
    /// Space for images, in GB.
    pub cache_gb: f64,
    /// Rate at which images are fetched, in GB a second.
    pub fetch_gb_per_s: f64,
    /// Price of an ordinary machine per hour.
    pub price: f64,
    /// Present price of a spot machine per hour.
    pub spot_price: f64,
    /// Usual boot time.
    pub boot_s: f64,
    /// Zones in which the type can be rented.
    pub zones: Vec<String>,
}

/// A type keeps its index for as long as the process runs, even if a later
/// catalog has it elsewhere or no more.
pub fn merge_types(old: &[MachineType], new: Vec<MachineType>) -> Vec<MachineType> {
    let mut out = old.to_vec();
    for t in new {
        match out.iter_mut().find(|o| o.name == t.name) {
            Some(o) => *o = t,
            None => out.push(t),
        }
    }
    out
}
