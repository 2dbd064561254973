//! Numbers that order events over time. Each kind has its own type, so that the compiler rejects
//! a number of another kind. Frames and records contain them as plain integers.

/// Declares a number type.
macro_rules! number_type {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(u64);

        impl $name {
            /// Creates the value from the number in a frame or record.
            pub const fn new(number: u64) -> $name {
                $name(number)
            }

            /// Returns the number, as frames and records contain it.
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
    /// Term of a leader: the version of the leader record. Every write of the leader is conditional
    /// on that version.
    Term
}
number_type! {
    /// Fencing token of a shard owner: the version of the shard's record. It increases with each
    /// assignment of the shard.
    FencingToken
}
number_type! {
    /// Id of an attempt at a task: the term in which it was admitted, followed by a sequence
    /// number. Of two attempts at one task, the newer has the larger id.
    AttemptId
}

impl AttemptId {
    /// The smallest id.
    pub const MIN: AttemptId = AttemptId(0);
    /// The largest id.
    pub const MAX: AttemptId = AttemptId(u64::MAX);

    /// Returns the id that follows this one.
    pub const fn next(self) -> AttemptId {
        AttemptId(self.0 + 1)
    }
}
