//! Offers of the cloud: spot or on-demand instances of a machine type in a zone.

use crate::core::common::context::NodeContext;

/// Spot or on-demand instances of a machine type in one zone. A scale-out request is for exactly
/// one offer.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct InstanceOffer {
    /// Index of the machine type.
    pub machine_type: usize,
    /// Name of the zone.
    pub zone: String,
    /// Whether the instances are spot instances.
    pub is_spot: bool,
}

impl InstanceOffer {
    /// The kind of the offered instances.
    pub(in crate::core::leader) fn kind(&self) -> InstanceKind {
        InstanceKind { machine_type: self.machine_type, is_spot: self.is_spot }
    }
}

/// A machine type as spot or on-demand instance, in any zone. The forecast and the targets of the
/// window rule are per kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::core::leader) struct InstanceKind {
    /// Index of the machine type.
    pub(in crate::core::leader) machine_type: usize,
    /// Whether these are spot instances.
    pub(in crate::core::leader) is_spot: bool,
}

impl InstanceKind {
    /// Returns all kinds of the first `machine_types` types. The on-demand kind of each type comes
    /// before its spot kind.
    pub(in crate::core::leader) fn all(machine_types: usize) -> impl Iterator<Item = InstanceKind> {
        (0..machine_types)
            .flat_map(|machine_type| [false, true].map(|is_spot| InstanceKind { machine_type, is_spot }))
    }

    /// Its label, see [`machine_type_label`].
    pub(in crate::core::leader) fn label(self, context: &NodeContext) -> String {
        machine_type_label(context, self.machine_type, self.is_spot)
    }
}

/// Returns the name of a machine type, with the suffix `+spot` for spot instances, or `?` as the
/// name of an unknown type. The label is a key in the stored fleet record, so its format must not
/// change.
pub(crate) fn machine_type_label(context: &NodeContext, machine_type: usize, is_spot: bool) -> String {
    let name = context.machine_types.get(machine_type).map_or("?", |t| t.name.as_str());
    format!("{name}{}", if is_spot { "+spot" } else { "" })
}
