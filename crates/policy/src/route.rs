//! Routing configuration: which service answers a request, for which workspace and within which
//! limits.
//!
//! A [`Text`] is one version of the configuration, which operators publish as a whole. A [`Table`]
//! indexes it for lookups on the request path. Both are independent of the format of the
//! configuration: fireflyhoist's own TOML and a platform's format are decoded into these types.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::cold::Warmup;
use crate::id;
use crate::unit::{Bytes, Tokens};

/// The kind of requests of a route, which decides whether a failed attempt may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Idempotent: a request may run any number of times.
    Safe,
    /// Not idempotent: a request may run at most once.
    Unsafe,
    /// A generation, which is answered as a stream of events with increasing ids.
    Stream {
        /// Whether another run may resume after the last event that the caller received.
        resumable: bool,
    },
}

impl Kind {
    /// Returns whether a request may be repeated after an attempt with an unknown outcome.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Returns whether the requests are generations.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service of a route and the share of the route's traffic that it receives.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: id::Service,
    /// Its weight relative to the other parts of the route.
    pub weight: u32,
}

/// How requests for one host name under one path prefix are handled.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The name that operators gave it.
    pub name: SmolStr,
    /// The host name of the requests.
    pub host: SmolStr,
    /// The prefix of their path; it starts and ends with a slash.
    pub prefix: SmolStr,
    /// The kind of the requests.
    pub kind: Kind,
    /// Maximum time until the end of an answer.
    pub timeout: Duration,
    /// Maximum time to the answer, or to its first event, that is on time.
    pub objective: Duration,
    /// Maximum time between events of an answer that is on time.
    pub gap: Option<Duration>,
    /// How long a caller waits for the first event of an answer before it leaves, if known. A
    /// request that can't be served within this time is refused before its caller leaves.
    #[serde(default)]
    pub silence: Option<Duration>,
    /// Priority among routes; 0 is the highest.
    pub rank: u8,
    /// Maximum number of targets to which one request is sent.
    pub attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
    /// The services that share the traffic.
    pub parts: Vec<Part>,
}

impl Route {
    /// Chooses the service for a request, the same at every entry for the same `draw`; `None` if
    /// the route has no services.
    pub fn service(&self, draw: u64) -> Option<&id::Service> {
        let total: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = draw % total.max(1);
        for part in &self.parts {
            let weight = u64::from(part.weight);
            if left < weight {
                return Some(&part.service);
            }
            left -= weight;
        }
        self.parts.first().map(|part| &part.service)
    }
}

/// Properties of a service's engines; plain services have no engines.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Maximum number of generations in the batch of one engine.
    pub slots: u32,
    /// Capacity of the memory of one engine.
    pub memory: Tokens,
    /// Number of tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Whether a running generation can be migrated to another engine.
    pub moves: bool,
    /// Whether the memory of a running generation can be replicated to another engine as it grows.
    pub backups: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Maximum number of connections that one target takes from all entries together.
    pub connections: u32,
    /// Set if its targets are engines.
    pub engine: Option<Engine>,
    /// Set if its targets need a warm-up after a start.
    #[serde(default)]
    pub warmup: Option<Warmup>,
}

/// A customer and the keys that identify its callers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name as decisions use it.
    pub id: id::Workspace,
    /// Its name as it is sent to targets.
    pub label: SmolStr,
    /// The keys of its callers.
    pub keys: Vec<SmolStr>,
    /// Its priority, which overrides that of the route.
    pub rank: Option<u8>,
}

/// Limits on what callers may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// Maximum size of a request body.
    pub body: Bytes,
}

/// One version of the configuration, as operators publish it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Text {
    /// Number of the version; it grows with each one.
    pub revision: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All workspaces; empty if callers need no key.
    pub workspaces: Vec<Workspace>,
    /// Limits on what callers may send.
    pub bounds: Bounds,
}

impl Text {
    /// Returns the strictest objective for the time to an answer among the routes to each service.
    pub fn answer_objectives(&self) -> HashMap<&id::Service, Duration> {
        let mut strictest = HashMap::new();
        for route in &self.routes {
            for part in &route.parts {
                let objective = strictest.entry(&part.service).or_insert(route.objective);
                *objective = route.objective.min(*objective);
            }
        }
        strictest
    }

    /// Returns the shortest of the longest pauses that the routes to each service allow. Services
    /// whose routes have no bound are left out.
    pub fn longest_pauses(&self) -> HashMap<&id::Service, Duration> {
        let mut shortest = HashMap::new();
        for route in &self.routes {
            let Some(gap) = route.gap else { continue };
            for part in &route.parts {
                let longest = shortest.entry(&part.service).or_insert(gap);
                *longest = gap.min(*longest);
            }
        }
        shortest
    }
}

/// A [`Text`] with indexes for lookups on the request path.
#[derive(Clone, Debug)]
pub struct Table {
    text: Text,
    /// Indexes of the routes of each host name, longest prefix first.
    hosts: HashMap<SmolStr, Vec<usize>>,
    /// Index of the workspace of each key.
    keys: HashMap<SmolStr, usize>,
}

impl Table {
    /// Creates a table from a text.
    pub fn new(text: Text) -> Self {
        let mut hosts: HashMap<SmolStr, Vec<usize>> = HashMap::new();
        for (at, route) in text.routes.iter().enumerate() {
            hosts.entry(route.host.to_ascii_lowercase().into()).or_default().push(at);
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|at| std::cmp::Reverse(text.routes[*at].prefix.len()));
        }
        let mut keys = HashMap::new();
        for (at, workspace) in text.workspaces.iter().enumerate() {
            keys.extend(workspace.keys.iter().map(|key| (key.clone(), at)));
        }
        Self { text, hosts, keys }
    }

    /// Returns the text as published.
    pub fn text(&self) -> &Text {
        &self.text
    }

    /// Returns the route of `host` with the longest prefix of `path`; ignores the port of `host`.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(host.as_str())?;
        let routes = routes.iter().map(|at| &self.text.routes[*at]);
        routes.into_iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// Returns the workspace that a key belongs to.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.keys.get(key).map(|at| &self.text.workspaces[*at])
    }

    /// Returns whether callers of a route that is not public must send a key.
    pub fn requires_keys(&self) -> bool {
        !self.text.workspaces.is_empty()
    }

    /// Returns the service of this name.
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.text.services.iter().find(|service| service.name == *name)
    }
}
