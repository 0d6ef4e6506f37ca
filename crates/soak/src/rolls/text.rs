//! Changes of the operators' text that allow all that was allowed before.

use std::time::Duration;

use fireflyhoist_policy::route::Text;
use serde::Serialize;

/// The timeout of routes in some texts.
const SHORT_TIMEOUT: Duration = Duration::from_secs(5);

/// The time between events in some texts, shorter than a stall.
const GAP: Duration = Duration::from_millis(500);

/// The connections of services in some texts.
const CONNECTIONS: u32 = 100;

/// What a new text changes, or changes back.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) enum Change {
    /// The timeout of routes.
    Timeout,
    /// The service of a route.
    Service,
    /// The time between events of streams.
    Gap,
    /// The keys of a workspace.
    Keys,
    /// The connections of services.
    Connections,
}

impl Change {
    pub(crate) const ALL: [Self; 5] =
        [Self::Timeout, Self::Service, Self::Gap, Self::Keys, Self::Connections];

    /// Applies the change to a text that lacks it.
    pub(crate) fn apply(self, text: &mut Text) {
        match self {
            Self::Timeout => {
                text.routes.iter_mut().for_each(|route| route.timeout = SHORT_TIMEOUT);
            }
            Self::Service => {
                let look = text.routes.iter_mut().find(|route| route.name == "look");
                let service = "send".parse().expect("a name");
                look.into_iter()
                    .flat_map(|route| &mut route.parts)
                    .for_each(|part| part.service.clone_from(&service));
            }
            Self::Gap => {
                let streams = text.routes.iter_mut().filter(|route| route.kind.is_stream());
                streams.for_each(|route| route.gap = Some(GAP));
            }
            Self::Keys => text.workspaces.iter_mut().for_each(|one| one.keys.push("k-2".into())),
            Self::Connections => {
                text.services.iter_mut().for_each(|service| service.connections = CONNECTIONS);
            }
        }
    }
}
