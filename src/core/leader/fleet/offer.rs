//! What can be requested from the cloud: instances of a machine type, in a zone, as spot or
//! on-demand instances.

use crate::core::common::context::NodeContext;

/// What one scale-out request can ask for: spot or on-demand instances of a machine type in
/// one zone.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) struct InstanceOffer {
    /// Index of the machine type.
    pub machine_type: usize,
    /// The zone.
    pub zone: String,
    /// Whether it is for spot instances.
    pub is_spot: bool,
}

impl InstanceOffer {
    /// The kind of the instances that it is for.
    pub(in crate::core::leader) fn kind(&self) -> InstanceKind {
        InstanceKind { machine_type: self.machine_type, is_spot: self.is_spot }
    }
}

/// A machine type together with how it is paid for, in any zone. The forecast and the targets
/// of the window rule are per kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(in crate::core::leader) struct InstanceKind {
    /// Index of the machine type.
    pub(in crate::core::leader) machine_type: usize,
    /// Whether these are spot instances.
    pub(in crate::core::leader) is_spot: bool,
}

impl InstanceKind {
    /// All kinds of the first `machine_types` types, the on-demand one of a type before the
    /// spot one.
    pub(in crate::core::leader) fn all(machine_types: usize) -> impl Iterator<Item = InstanceKind> {
        (0..machine_types)
            .flat_map(|machine_type| [false, true].map(|is_spot| InstanceKind { machine_type, is_spot }))
    }

    /// Its label, see [`machine_type_label`].
    pub(in crate::core::leader) fn label(self, context: &NodeContext) -> String {
        machine_type_label(context, self.machine_type, self.is_spot)
    }
}

/// The name of a machine type, with `+spot` for spot instances. It is a key of the fleet's
/// record and must stay as it is. `?` stands for a type that is not known.
pub(crate) fn machine_type_label(context: &NodeContext, machine_type: usize, is_spot: bool) -> String {
    let name = context.machine_types.get(machine_type).map_or("?", |t| t.name.as_str());
    format!("{name}{}", if is_spot { "+spot" } else { "" })
}
