//! Dense indices that stand for names. Each kind of entity has its own index type, so that the
//! compiler rejects an index of another kind.

/// Declares an index type.
macro_rules! index_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u32);

        impl $name {
            /// Creates the index with this number.
            pub const fn new(number: u32) -> $name {
                $name(number)
            }

            /// Returns the number of the index, as frames contain it.
            pub const fn number(self) -> u32 {
                self.0
            }

            /// Returns the position in a list of all entities of this kind.
            pub const fn as_usize(self) -> usize {
                self.0 as usize
            }

            /// Returns the index for a position in a list of all entities of this kind.
            pub const fn from_usize(position: usize) -> $name {
                $name(position as u32)
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
    /// Index of a job that this process holds in memory.
    JobIndex
}
index_type! {
    /// Index of a machine in one of the shards that this process owns.
    MachineIndex
}
index_type! {
    /// Index of a machine of the fleet, assigned by the leader and valid within its term.
    InstanceIndex
}
index_type! {
    /// Index of a shard, which is the same on all nodes.
    ShardIndex
}
