//! The product's own names on the wire.
