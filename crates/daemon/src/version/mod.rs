//! What lives as long as a version of the text is in force.

pub(crate) mod desired;
mod host_targets;
pub(crate) mod watch;

use fireflyhoist_text::{Text, Version};
use fireflyhoist_wire::platform::Hosts;

/// One accepted text.
#[derive(Clone, Debug)]
pub(crate) struct Snapshot {
    pub(crate) version: Version,
    pub(crate) text: Text,
}

impl Snapshot {
    /// The same version with the targets that the host list names at the moment.
    pub(crate) fn with_listed_targets(self, hosts: &Hosts) -> Self {
        let services = self.text.services.into_iter();
        let services = services.map(|service| host_targets::resolve(service, hosts)).collect();
        Self { text: Text { services, ..self.text }, ..self }
    }
}
