//! Sizes, counts and rates as distinct types, so that they cannot be mixed up.

use derive_more::{Add, AddAssign, Display, FromStr, Sub, Sum};
use serde::{Deserialize, Serialize};

macro_rules! units {
    ($($(#[$doc:meta])* $name:ident($inner:ty): $($extra:ident)*;)*) => {$(
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Display, FromStr, PartialEq, PartialOrd, Add, AddAssign,
            Sub, Sum, Serialize, Deserialize, $($extra),*
        )]
        #[serde(transparent)]
        pub struct $name($inner);

        impl $name {
            /// Creates a value from a plain number.
            pub const fn new(number: $inner) -> Self {
                Self(number)
            }

            /// Returns the plain number.
            pub const fn get(self) -> $inner {
                self.0
            }
        }
    )*};
}

units! {
    /// A count of tokens.
    Tokens(u64): Eq Ord Hash;
    /// A size in bytes.
    Bytes(u64): Eq Ord Hash;
    /// A rate in tokens a second.
    TokenRate(f64):;
    /// A rate in requests a second.
    RequestRate(f64):;
    /// A share of a whole, from 0 to 1.
    Share(f64):;
}
