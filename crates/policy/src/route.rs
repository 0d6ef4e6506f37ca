//! Which service answers a request, for whom, and within which bounds.
//!
//! A [`Text`] is what operators publish in one piece; a [`Table`] is the same, indexed for lookups
//! on the request path. Neither knows how a text is written down: the product's own TOML and a
//! platform's form are decoded into these types before anything is decided.

use std::collections::HashMap;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use smol_str::SmolStr;

use crate::cold::Warmup;
use crate::id;
use crate::unit::{Bytes, Tokens};

/// What may be done again when an attempt fails.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Kind {
    /// Idempotent: it may run any number of times.
    Safe,
    /// Not idempotent: it may run at most once.
    Unsafe,
    /// A generation, answered as events with increasing ids.
    Stream {
        /// Whether another run may go on after the last event that the caller has.
        resumable: bool,
    },
}

impl Kind {
    /// Whether an attempt of unknown fate may be followed by another.
    pub fn is_idempotent(self) -> bool {
        matches!(self, Self::Safe | Self::Stream { resumable: true })
    }

    /// Whether it is a generation.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream { .. })
    }
}

/// One service of a route, and how much of the route's traffic it takes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Part {
    /// The service.
    pub service: id::Service,
    /// Its weight among the parts of its route.
    pub weight: u32,
}

/// Requests for one host name under one path prefix.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Route {
    /// The operators' name for it.
    pub name: SmolStr,
    /// The host name that callers ask for.
    pub host: SmolStr,
    /// Where the path begins; it starts and ends with a slash.
    pub prefix: SmolStr,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest time that a caller is kept waiting for the end of its answer.
    pub timeout: Duration,
    /// The time within which an answer, or its first event, is on time.
    pub objective: Duration,
    /// The longest pause between events of an answer that is on time.
    pub gap: Option<Duration>,
    /// The longest that a caller waits for the first event of an answer, where it is known: whoever
    /// is not served by then is to be told before it leaves.
    #[serde(default)]
    pub silence: Option<Duration>,
    /// Rank among routes; 0 goes first.
    pub rank: u8,
    /// How many targets one request may be sent to.
    pub attempts: u32,
    /// Whether it may be asked without a key.
    pub public: bool,
    /// The services that share its traffic.
    pub parts: Vec<Part>,
}

impl Route {
    /// The service for a request, the same at every entry for the same `draw`.
    pub fn service(&self, draw: u64) -> Option<&id::Service> {
        let whole: u64 = self.parts.iter().map(|part| u64::from(part.weight)).sum();
        let mut left = draw % whole.max(1);
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

/// What a service's engines can do; plain services have none of it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Engine {
    /// Generations that one engine batches.
    pub slots: u32,
    /// What its memory holds.
    pub memory: Tokens,
    /// Tokens in one event of a stream.
    pub tokens_per_event: u32,
    /// Whether a run can be moved to another engine.
    pub moves: bool,
    /// Whether a run's memory can be copied to another engine as it grows.
    pub backups: bool,
}

/// One service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Service {
    /// Its name.
    pub name: id::Service,
    /// Connections that one target takes from all entries together.
    pub connections: u32,
    /// Set where its targets are engines.
    pub engine: Option<Engine>,
    /// Set where its targets are cold after a start.
    #[serde(default)]
    pub warmup: Option<Warmup>,
}

/// A customer, and the keys by which its callers are known.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name in decisions.
    pub id: id::Workspace,
    /// Its name as targets are told it.
    pub label: SmolStr,
    /// Keys of its callers.
    pub keys: Vec<SmolStr>,
    /// Its rank, which goes before that of the route.
    pub rank: Option<u8>,
}

/// What callers may send, and how long they may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Bounds {
    /// The largest body.
    pub body: Bytes,
}

/// One version of what operators want.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Text {
    /// Grows with each version.
    pub revision: u64,
    /// All routes.
    pub routes: Vec<Route>,
    /// All services.
    pub services: Vec<Service>,
    /// All workspaces; empty where callers need no key.
    pub workspaces: Vec<Workspace>,
    /// Bounds on callers.
    pub bounds: Bounds,
}

/// A text indexed for the request path.
#[derive(Clone, Debug)]
pub struct Table {
    text: Text,
    /// Routes of each host name, longest prefix first.
    hosts: HashMap<SmolStr, Vec<usize>>,
    keys: HashMap<SmolStr, usize>,
}

impl Table {
    /// Indexes a text.
    pub fn open(text: Text) -> Self {
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

    /// The text as published.
    pub fn text(&self) -> &Text {
        &self.text
    }

    /// The route with the longest prefix of `path` among those of `host`, whose port is ignored.
    pub fn route(&self, host: &str, path: &str) -> Option<&Route> {
        let host = host.rsplit_once(':').map_or(host, |(name, _)| name).to_ascii_lowercase();
        let routes = self.hosts.get(host.as_str())?;
        let routes = routes.iter().map(|at| &self.text.routes[*at]);
        routes.into_iter().find(|route| path.starts_with(route.prefix.as_str()))
    }

    /// The workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Workspace> {
        self.keys.get(key).map(|at| &self.text.workspaces[*at])
    }

    /// Whether callers of a route that is not public must show a key.
    pub fn wants_keys(&self) -> bool {
        !self.text.workspaces.is_empty()
    }

    /// A service of the text.
    pub fn service(&self, name: &id::Service) -> Option<&Service> {
        self.text.services.iter().find(|service| service.name == *name)
    }
}
