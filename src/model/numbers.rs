//! Numbers that order things over time. Each has a type of its own, so that one can't be
//! taken for another. Frames and records hold them as plain numbers.

/// Declares a number type.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u64);

        impl $name {
            /// From the number in a frame or record.
            pub const fn new(number: u64) -> $name {
                $name(number)
            }

            /// The number, as frames and records have it.
            pub const fn number(self) -> u64 {
                self.0
            }
        }

        impl std::fmt::Display for $name {
            fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
                self.0.fmt(formatter)
            }
        }
    };
}

number_type! {
    /// Term of a leader: the version of its record, which every write of it is compared with.
    Term
}
number_type! {
    /// Fencing token of a shard owner: the version of the shard's record. It rises with each
    /// assignment of the shard.
    FencingToken
}
number_type! {
    /// Id of an attempt at a task: the term that admitted it, and a sequence. Of two attempts
    /// at one task the newer has the larger id.
    AttemptId
}

impl AttemptId {
    /// The smallest id.
    pub const MIN: AttemptId = AttemptId(0);
    /// The largest id.
    pub const MAX: AttemptId = AttemptId(u64::MAX);

    /// The id that follows.
    pub const fn next(self) -> AttemptId {
        AttemptId(self.0 + 1)
    }
}
