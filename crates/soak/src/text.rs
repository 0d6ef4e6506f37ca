//! The operators' text of a run.

use std::time::Duration;

use fireflyhoist_policy::route::{Bounds, Engine, Kind, Part, Route, Service, Text, Workspace};
use fireflyhoist_policy::unit::{Bytes, Tokens};
use smol_str::format_smolstr;

use crate::backend::SERVICES;
use crate::caller::{KEY, TIMEOUT};

/// Routes that a large text has beside those in use: some 250 KB as entries and the registry write them.
const FILLER: usize = 1_000;

/// A text of a version with a thousand routes more.
pub(crate) fn large(version: u64) -> Text {
    let mut text = text(version);
    let first = text.routes[0].clone();
    text.routes.extend((0..FILLER).map(|nth| Route {
        name: format_smolstr!("filler-{nth}"),
        prefix: format_smolstr!("/filler/{nth}/"),
        ..first.clone()
    }));
    text
}

/// The text of a version, which has one route that no other version has.
pub(crate) fn text(version: u64) -> Text {
    let names = [("look", Kind::Safe), ("send", Kind::Unsafe)];
    let pages = [("page", false), ("again", true)]
        .map(|(name, resumable)| (name, Kind::Stream { resumable }));
    let versioned = format_smolstr!("v{version}");
    let routes = names.into_iter().chain(pages).chain([(versioned.as_str(), Kind::Safe)]);
    let route = |(name, kind): (&str, Kind)| Route {
        name: name.into(),
        host: "svc.example".into(),
        prefix: format_smolstr!("/{name}/"),
        kind,
        timeout: TIMEOUT,
        objective: Duration::from_secs(2),
        gap: None,
        silence: None,
        rank: 0,
        attempts: 2,
        public: false,
        parts: vec![Part { service: service(name).parse().expect("a name"), weight: 1 }],
    };
    let engine = || Engine {
        slots: 32,
        memory: Tokens::new(100_000),
        tokens_per_event: 1,
        moves: true,
        backups: true,
    };
    let service = |name: &&str| Service {
        name: name.parse().expect("a name"),
        connections: 200,
        engine: (**name == *"page").then(engine),
        warmup: None,
    };
    Text {
        revision: version,
        routes: routes.map(route).collect(),
        services: SERVICES.iter().map(service).collect(),
        workspaces: vec![Workspace {
            id: "archive".parse().expect("a name"),
            label: "Archive".into(),
            keys: vec![KEY.into()],
            rank: None,
        }],
        bounds: Bounds { body: Bytes::new(1 << 20) },
    }
}

fn service(route: &str) -> &str {
    match route {
        "again" => "page",
        "send" | "page" => route,
        _ => "look",
    }
}
