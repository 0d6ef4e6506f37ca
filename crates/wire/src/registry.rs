//! What operators write to a registry of the product's own.

/// Where the cordoned failure domains are listed, as a JSON list of names. `PUT` and `DELETE` below it, at
/// the name of one, set and lift its cordon; see `docs/PROTOCOLS.md`.
pub const CORDONS_PATH: &str = "/v1/registry/cordons";
