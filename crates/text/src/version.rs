//! Versions of the text and their total order, which `fireflyhoist-policy` decides by.

pub use fireflyhoist_policy::version::Version;
