//! Dense indices that names are mapped to. Each kind of thing has a type of its own, so that
//! one can't be taken for another.

/// Declares an index type.
macro_rules! index_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $name {
            /// The index with this number.
            pub const fn new(number: u32) -> $name {
                $name(number)
            }

            /// Its number, as frames have it.
            pub const fn number(self) -> u32 {
                self.0
            }

            /// Its place in a list of all.
            pub const fn place(self) -> usize {
                self.0 as usize
            }

            /// The index of a place in a list of all.
            pub const fn at(place: usize) -> $name {
                $name(place as u32)
            }
        }

        impl From<u32> for $name {
            fn from(number: u32) -> $name {
                $name(number)
            }
        }
    };
}

index_type! {
    /// A job in the memory of this process.
    JobIndex
}
index_type! {
    /// A machine of the shards owned by this process.
    MachineIndex
}
index_type! {
    /// A machine of the fleet, as the leader of this term counts them.
    InstanceIndex
}
index_type! {
    /// A shard; the same on all nodes.
    ShardIndex
}
