//! State with the lifetime of a version of the text.

pub(crate) mod desired;
mod host_targets;
pub(crate) mod watch;

use fireflyhoist_text::{Text, Version};
use fireflyhoist_wire::platform::Hosts;

/// An accepted text and its version.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    pub(crate) version: Version,
    pub(crate) text: Text,
}

impl Snapshot {
    /// Returns the same version with the targets that `hosts` lists.
    pub(crate) fn with_listed_targets(self, hosts: &Hosts) -> Self {
        let services = self.text.services.into_iter();
        let services = services.map(|service| host_targets::resolve(service, hosts)).collect();
        Self { text: Text { services, ..self.text }, ..self }
    }
}
