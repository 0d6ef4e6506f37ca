//! What a fleet would do on going from one text to another.
//!
//! Fields are compared in their serialised form, so that a field added to the text shows up here
//! without a line of its own.

use std::collections::BTreeMap;
use std::time::Duration;

use derive_more::Display;
use fireflyhoist_policy::id;
use serde::Serialize;
use smol_str::{SmolStr, ToSmolStr};
use toml::{Table, Value};

use crate::model::{Kind, Model, Service, Target, Text};

/// One difference and what the fleet does about it.
#[derive(Clone, Debug, Display, PartialEq)]
pub enum Change {
    /// The new text would not be taken.
    #[display("revision {new} is not above {old}: no host would take this text; set revision = {}",
        old.saturating_add(1))]
    NotNewer {
        /// The revision in force.
        old: u64,
        /// The revision proposed.
        new: u64,
    },
    /// A service appears.
    #[display("+ service {name}: calls are taken on {targets}")]
    ServiceAdded {
        /// The service.
        name: id::Service,
        /// Its targets in words.
        targets: SmolStr,
    },
    /// A service disappears.
    #[display("- service {name}: new calls get 404, calls in progress finish")]
    ServiceRemoved {
        /// The service.
        name: id::Service,
    },
    /// A target appears.
    #[display("+ target {name} at {address}: takes work of {service}, slowly at first")]
    TargetAdded {
        /// The target.
        name: id::Target,
        /// Its service.
        service: id::Service,
        /// Where it listens.
        address: SmolStr,
    },
    /// A target disappears.
    #[display("- target {name} of {service}: gets no new work, work in progress finishes")]
    TargetRemoved {
        /// The target.
        name: id::Target,
        /// Its service.
        service: id::Service,
    },
    /// A workspace appears.
    #[display("+ workspace {name}: is served")]
    WorkspaceAdded {
        /// The workspace.
        name: id::Workspace,
    },
    /// A workspace disappears.
    #[display("- workspace {name}: its key is refused")]
    WorkspaceRemoved {
        /// The workspace.
        name: id::Workspace,
    },
    /// Engines are ordered to load something.
    #[display("> load {model} {version} on {targets} targets{}", paced(*duration))]
    Load {
        /// The model.
        model: id::Model,
        /// Version and adapters in words.
        version: SmolStr,
        /// How many engines load it.
        targets: usize,
        /// How long the weight store takes for all of them, where its rate is known.
        duration: Option<Duration>,
    },
    /// A field of an item, or of the text, has another value.
    #[display("~ {place}: {field} {old} -> {new}")]
    Field {
        /// The item.
        place: SmolStr,
        /// The field.
        field: SmolStr,
        /// The value in force.
        old: SmolStr,
        /// The value proposed.
        new: SmolStr,
    },
}

fn paced(duration: Option<Duration>) -> String {
    duration.map_or_else(String::new, |span| {
        format!(", {} s at the weight store's rate", span.as_secs())
    })
}

/// All differences, in the order of the text.
pub fn changes(old: &Text, new: &Text) -> Vec<Change> {
    let mut changes = Vec::new();
    if new.revision <= old.revision && old != new {
        changes.push(Change::NotNewer { old: old.revision, new: new.revision });
    }
    let bare = |text: &Text| Text { revision: 0, ..without_items(text) };
    fields(&mut changes, "text", &bare(old), &bare(new));
    workspaces(&mut changes, old, new);
    models(&mut changes, old, new);
    services(&mut changes, old, new);
    loads(&mut changes, old, new);
    changes
}

fn without_items(text: &Text) -> Text {
    Text { workspaces: Vec::new(), models: Vec::new(), services: Vec::new(), ..text.clone() }
}

/// Items of both texts under each name.
fn pairs<'a, T, N: Ord>(
    old: &'a [T],
    new: &'a [T],
    name: impl Fn(&'a T) -> N,
) -> impl Iterator<Item = (N, (Option<&'a T>, Option<&'a T>))> {
    let mut pairs: BTreeMap<N, (Option<&T>, Option<&T>)> = BTreeMap::new();
    for item in old {
        pairs.entry(name(item)).or_default().0 = Some(item);
    }
    for item in new {
        pairs.entry(name(item)).or_default().1 = Some(item);
    }
    pairs.into_iter()
}

fn workspaces(changes: &mut Vec<Change>, old: &Text, new: &Text) {
    for (name, pair) in pairs(&old.workspaces, &new.workspaces, |w| &w.name) {
        let name = name.clone();
        match pair {
            (Some(old), Some(new)) => fields(changes, &format!("workspace {name}"), old, new),
            (None, _) => changes.push(Change::WorkspaceAdded { name }),
            (_, None) => changes.push(Change::WorkspaceRemoved { name }),
        }
    }
}

fn models(changes: &mut Vec<Change>, old: &Text, new: &Text) {
    for (name, pair) in pairs(&old.models, &new.models, |m| &m.name) {
        if let (Some(old), Some(new)) = pair {
            fields(changes, &format!("model {name}"), old, new);
        }
    }
}

fn services(changes: &mut Vec<Change>, old: &Text, new: &Text) {
    for (name, pair) in pairs(&old.services, &new.services, |s| &s.name) {
        let name = name.clone();
        match pair {
            (Some(old), Some(new)) => {
                let bare = |s: &Service| Service { targets: Vec::new(), ..s.clone() };
                fields(changes, &format!("service {name}"), &bare(old), &bare(new));
                targets(changes, &name, &old.targets, &new.targets);
            }
            (None, new) => {
                let targets = new.map_or_else(SmolStr::default, described);
                changes.push(Change::ServiceAdded { name, targets });
            }
            (_, None) => changes.push(Change::ServiceRemoved { name }),
        }
    }
}

fn described(service: &Service) -> SmolStr {
    match service.targets_from {
        Some(origin) => smol_str::format_smolstr!("the targets of the platform's {origin}"),
        None => smol_str::format_smolstr!("{} targets", service.targets.len()),
    }
}

fn targets(changes: &mut Vec<Change>, service: &id::Service, old: &[Target], new: &[Target]) {
    for (name, pair) in pairs(old, new, |t| &t.name) {
        let (name, service) = (name.clone(), service.clone());
        match pair {
            (Some(old), Some(new)) => fields(changes, &format!("target {name}"), old, new),
            (None, new) => {
                let address = new.map_or_else(SmolStr::default, |t| t.address.to_smolstr());
                changes.push(Change::TargetAdded { name, service, address });
            }
            (_, None) => changes.push(Change::TargetRemoved { name, service }),
        }
    }
}

/// Which engines are ordered to load what: those whose service runs a model that is new to them.
fn loads(changes: &mut Vec<Change>, old: &Text, new: &Text) {
    let running = |text: &Text| -> BTreeMap<id::Target, (id::Model, SmolStr)> {
        let models = text.services.iter().filter(|s| s.kind == Kind::Model);
        let wanted = models.filter_map(|s| Some((s, text.model(s.model.as_ref()?)?)));
        let each = wanted.flat_map(|(service, model)| {
            let wants = (model.name.clone(), wanted_version(model));
            service.targets.iter().map(move |t| (t.name.clone(), wants.clone()))
        });
        each.collect()
    };
    let before = running(old);
    let mut counts: BTreeMap<(id::Model, SmolStr), usize> = BTreeMap::new();
    for (target, wants) in running(new) {
        if before.get(&target) != Some(&wants) {
            *counts.entry(wants).or_default() += 1;
        }
    }
    for ((model, version), targets) in counts {
        let gib = new.model(&model).map_or(0, |m| m.weights_gib);
        let duration = new.weight_store.map(|store| {
            Duration::from_secs_f64(f64::from(gib) * targets as f64 / store.gib_per_second)
        });
        changes.push(Change::Load { model, version, targets, duration });
    }
}

fn wanted_version(model: &Model) -> SmolStr {
    if model.adapters.is_empty() {
        return model.version.clone();
    }
    smol_str::format_smolstr!("{} with {}", model.version, model.adapters.join(", "))
}

/// Fields whose serialised values differ.
fn fields<T: Serialize>(changes: &mut Vec<Change>, place: &str, old: &T, new: &T) {
    let table = |item: &T| Table::try_from(item).unwrap_or_default();
    let (old, new) = (table(old), table(new));
    let mut names: Vec<&String> = old.keys().chain(new.keys()).collect();
    names.sort();
    names.dedup();
    for name in names.into_iter().filter(|name| old.get(*name) != new.get(*name)) {
        let (place, field) = (place.into(), name.into());
        let (old, new) = (shown(old.get(name)), shown(new.get(name)));
        changes.push(Change::Field { place, field, old, new });
    }
}

fn shown(value: Option<&Value>) -> SmolStr {
    match value {
        None => "(none)".into(),
        Some(Value::String(text)) => text.into(),
        Some(other) => other.to_string().split_whitespace().collect::<Vec<_>>().join(" ").into(),
    }
}
