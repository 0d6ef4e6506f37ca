//! What lives as long as a version of the text is in force.

pub(crate) mod watch;

use fireflyhoist_text::{Text, Version};

/// One accepted text.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    pub(crate) version: Version,
    pub(crate) text: Text,
}
