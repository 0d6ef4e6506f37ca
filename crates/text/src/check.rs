//! Checks a text as a whole: first the shape of each table, then what the tables say together.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use fireflyhoist_policy::order::fence::MAX_REVISION;
use smol_str::{SmolStr, ToSmolStr};

use crate::fault::{Fault, Faults, Problem};
use crate::model::{Kind, Model, Objective, Service, Target, Text, Workspace};
use crate::source::Source;

/// The largest text in bytes: what the platform holds as one value.
pub const MAX_TEXT: usize = 1 << 20;

/// The longest patience, a day in milliseconds: the longest night has an end.
const MAX_PATIENCE_MS: u64 = 86_400_000;

/// The largest weight; beyond a thousand to one the smaller share is none.
const MAX_WEIGHT: u32 = 1_000;

/// The arrays of tables of a text, whose items are read one by one.
const ITEMS: [&str; 3] = ["workspace", "model", "service"];

/// Reads and checks a text.
pub(crate) fn text(bytes: &[u8]) -> Result<Text, Faults> {
    let source = Source::parse(bytes, MAX_TEXT)?;
    let mut check = Check { source: &source, faults: Vec::new() };
    let root: Option<Text> = source.root(&ITEMS, &mut check.faults);
    let workspaces: Vec<Option<Workspace>> = source.items("workspace", &mut check.faults);
    let models: Vec<Option<Model>> = source.items("model", &mut check.faults);
    let services: Vec<Option<Service>> = source.items("service", &mut check.faults);
    if let Some(root) = &root {
        check.root(root);
    }
    check.workspaces(&workspaces);
    check.models(&models);
    check.services(&services);
    check.targets(&services);
    check.dependencies(&services);
    if !check.faults.is_empty() {
        return Err(Faults::new(check.faults));
    }
    let mut text = root.unwrap_or_default();
    text.workspaces = workspaces.into_iter().flatten().map(with_lower_digest).collect();
    text.models = models.into_iter().flatten().collect();
    text.services = services.into_iter().flatten().collect();
    Ok(text)
}

/// Digests are compared letter by letter later on, so both cases of a digit must become one.
fn with_lower_digest(workspace: Workspace) -> Workspace {
    let key_sha256 = workspace.key_sha256.map(|digest| digest.to_ascii_lowercase().into());
    Workspace { key_sha256, ..workspace }
}

/// Items that could be read, with their place among all.
fn read<T>(items: &[Option<T>]) -> impl Iterator<Item = (usize, &T)> {
    items.iter().enumerate().filter_map(|(index, item)| Some((index, item.as_ref()?)))
}

struct Check<'s, 'a> {
    source: &'s Source<'a>,
    faults: Vec<Fault>,
}

impl Check<'_, '_> {
    fn note(&mut self, path: &str, problem: Problem) {
        self.faults.push(Fault::new(self.source.line(path), problem));
    }

    fn range(&mut self, good: bool, path: &str, value: SmolStr, range: &'static str) {
        if !good {
            let what = FIELDS.iter().find(|name| path.ends_with(**name)).unwrap_or(&"value");
            self.note(path, Problem::Range { what, value, range });
        }
    }

    /// Notes values that stand twice; `path` says where the value of each item lies.
    fn unique(&mut self, what: &'static str, values: impl Iterator<Item = (String, SmolStr)>) {
        let mut seen: BTreeMap<SmolStr, String> = BTreeMap::new();
        for (path, value) in values {
            // Lines are counted for duplicates only; counting for each value made a megabyte's
            // parse quadratic.
            match seen.get(&value).map(|first| self.source.line(first)) {
                Some(first) => self.note(&path, Problem::Duplicate { what, value, first }),
                None => drop(seen.insert(value, path)),
            }
        }
    }

    fn root(&mut self, text: &Text) {
        let revision = text.revision;
        let good = (1..=MAX_REVISION).contains(&revision);
        let range = "from 1 to 1099511627775, or nothing could follow it";
        self.range(good, "revision", revision.to_smolstr(), range);
        if let Some(store) = text.weight_store {
            let rate = store.gib_per_second;
            let good = rate.is_finite() && rate > 0.0;
            self.range(good, "weight_store.gib_per_second", rate.to_smolstr(), "above 0");
        }
    }

    fn workspaces(&mut self, workspaces: &[Option<Workspace>]) {
        let names = self.source.names("workspace").into_iter().enumerate();
        let names = names.map(|(i, name)| (format!("workspace.{i}.name"), name.into()));
        self.unique("workspace", names.collect::<Vec<_>>().into_iter());
        let keys = read(workspaces).filter_map(|(i, w)| {
            let digest = w.key_sha256.as_ref()?.to_ascii_lowercase();
            Some((format!("workspace.{i}.key_sha256"), digest.into()))
        });
        self.unique("key_sha256", keys);
        for (i, workspace) in read(workspaces) {
            self.workspace(i, workspace);
        }
    }

    fn workspace(&mut self, i: usize, workspace: &Workspace) {
        let path = |field: &str| format!("workspace.{i}.{field}");
        let weight = workspace.weight;
        let good = (1..=MAX_WEIGHT).contains(&weight);
        self.range(good, &path("weight"), weight.to_smolstr(), "from 1 to 1000");
        if let Some(streams) = workspace.max_streams {
            let range = "to 1 or more, or leave it out for no bound";
            self.range(streams > 0, &path("max_streams"), streams.to_smolstr(), range);
        }
        if let Some(rate) = workspace.tokens_per_second {
            let good = rate.get().is_finite() && rate.get() > 0.0;
            let range = "above 0, or leave it out for no bound";
            self.range(good, &path("tokens_per_second"), rate.to_smolstr(), range);
        }
        if let Some(digest) = &workspace.key_sha256 {
            let good = digest.len() == 64 && digest.bytes().all(|b| b.is_ascii_hexdigit());
            if !good {
                self.note(&path("key_sha256"), Problem::KeyDigest { value: digest.clone() });
            }
        }
    }

    fn models(&mut self, models: &[Option<Model>]) {
        let names = self.source.names("model").into_iter().enumerate();
        let names = names.map(|(i, name)| (format!("model.{i}.name"), name.into()));
        self.unique("model", names.collect::<Vec<_>>().into_iter());
        for (i, model) in read(models) {
            if model.version.trim().is_empty() {
                self.note(&format!("model.{i}.version"), Problem::Blank { what: "version" });
            }
            let memory = model.memory.get();
            let path = format!("model.{i}.memory");
            self.range(memory > 0, &path, memory.to_smolstr(), "to the engine's tokens, 1 or more");
            let adapters = model.adapters.iter().enumerate();
            let paths = adapters.map(|(j, name)| (format!("model.{i}.adapters.{j}"), name.clone()));
            self.unique("adapter", paths);
        }
    }

    fn services(&mut self, services: &[Option<Service>]) {
        let names = self.source.names("service").into_iter().enumerate();
        let names = names.map(|(i, name)| (format!("service.{i}.name"), name.into()));
        self.unique("service", names.collect::<Vec<_>>().into_iter());
        for (i, service) in read(services) {
            self.service(i, service);
            self.objective(i, &service.objective);
        }
    }

    fn service(&mut self, i: usize, service: &Service) {
        let path = |field: &str| format!("service.{i}.{field}");
        let patience = service.patience_ms;
        let good = (1..=MAX_PATIENCE_MS).contains(&patience);
        let range = "from 1 to 86400000, a day";
        self.range(good, &path("patience_ms"), patience.to_smolstr(), range);
        if service.kind == Kind::Plain {
            for field in ["model", "delivery", "checks_fence"] {
                if self.source.writes("service", i, field) {
                    let kind = service.kind.to_smolstr();
                    self.note(&path(field), Problem::Misplaced { field, kind });
                }
            }
        }
        if let Some(model) = &service.model {
            let declared = self.source.names("model").contains(&model.as_str());
            if !declared {
                let value = model.to_smolstr();
                self.note(&path("model"), Problem::Undeclared { what: "[[model]]", value });
            }
        }
        let name = service.name.to_smolstr();
        match (service.targets.is_empty(), service.targets_from.is_none()) {
            (true, true) => self.note(&path("name"), Problem::NoTargets { service: name }),
            (false, false) => {
                self.note(&path("targets_from"), Problem::TwoSources { service: name });
            }
            _ => {}
        }
    }

    fn objective(&mut self, i: usize, objective: &Objective) {
        let path = |field: &str| format!("service.{i}.objective.{field}");
        let times = [
            ("first_token_ms", objective.first_token_ms),
            ("between_tokens_ms", objective.between_tokens_ms),
        ];
        for (field, millis) in times {
            let good = (1..=MAX_PATIENCE_MS).contains(&millis);
            self.range(good, &path(field), millis.to_smolstr(), "from 1 to 86400000, a day");
        }
        let shares = [
            ("stalled_share", objective.stalled_share),
            ("preempted_share", objective.preempted_share),
            ("refused_share", objective.refused_share),
            ("share", objective.share),
        ];
        for (field, share) in shares {
            let good = share > 0.0 && share < 1.0;
            self.range(good, &path(field), share.to_smolstr(), "above 0 and below 1");
        }
    }

    fn targets(&mut self, services: &[Option<Service>]) {
        let all = || {
            read(services).flat_map(|(i, service)| {
                let targets = service.targets.iter().enumerate();
                targets.map(move |(j, t)| (format!("service.{i}.target.{j}"), service, t))
            })
        };
        let names = all().map(|(path, _, t)| (format!("{path}.name"), t.name.to_smolstr()));
        self.unique("target", names);
        let addresses =
            all().map(|(path, _, t)| (format!("{path}.address"), t.address.to_smolstr()));
        self.unique("address", addresses);
        for (path, service, target) in all() {
            self.target(&path, service, target);
        }
    }

    fn target(&mut self, path: &str, service: &Service, target: &Target) {
        if !can_connect(target.address) {
            let value = target.address.to_smolstr();
            self.note(&format!("{path}.address"), Problem::Unreachable { value });
        }
        if service.kind == Kind::Plain && target.role != Default::default() {
            let kind = service.kind.to_smolstr();
            self.note(&format!("{path}.role"), Problem::Misplaced { field: "role", kind });
        }
    }

    fn dependencies(&mut self, services: &[Option<Service>]) {
        let declared: BTreeSet<&str> = self.source.names("service").into_iter().collect();
        for (i, service) in read(services) {
            for (j, name) in service.depends_on.iter().enumerate() {
                let path = format!("service.{i}.depends_on.{j}");
                if !declared.contains(name.as_str()) {
                    let value = name.to_smolstr();
                    self.note(&path, Problem::Undeclared { what: "service", value });
                }
            }
            let named = service.depends_on.iter().enumerate();
            let named =
                named.map(|(j, name)| (format!("service.{i}.depends_on.{j}"), name.to_smolstr()));
            self.unique("dependency", named);
        }
        let edges: BTreeMap<&str, Vec<&str>> = read(services)
            .map(|(_, s)| (s.name.as_str(), s.depends_on.iter().map(|d| d.as_str()).collect()))
            .collect();
        if let Some(circle) = circle(&edges) {
            let at = read(services).find(|(_, s)| Some(&s.name.as_str()) == circle.first());
            let path = at.map_or_else(String::new, |(i, _)| format!("service.{i}.depends_on"));
            self.note(&path, Problem::Cycle { path: circle.join(" -> ").into() });
        }
    }
}

/// Fields that [`Check::range`] may name, longer names before those they end with.
const FIELDS: [&str; 14] = [
    "revision",
    "gib_per_second",
    "weight",
    "max_streams",
    "tokens_per_second",
    "memory",
    "patience_ms",
    "first_token_ms",
    "between_tokens_ms",
    "stalled_share",
    "preempted_share",
    "refused_share",
    "share",
    "version",
];

fn can_connect(address: SocketAddr) -> bool {
    address.port() != 0 && !address.ip().is_unspecified() && !address.ip().is_multicast()
}

/// The first circle among dependencies, its first service repeated at the end.
///
/// Services without unknown dependencies left are peeled off first (Kahn), so a text of any depth
/// costs no stack; what remains holds a circle, and following it finds one.
fn circle<'a>(edges: &BTreeMap<&'a str, Vec<&'a str>>) -> Option<Vec<&'a str>> {
    let mut left: BTreeMap<&str, Vec<&str>> = edges.clone();
    loop {
        let known: BTreeSet<&str> = left.keys().copied().collect();
        for needs in left.values_mut() {
            needs.retain(|need| known.contains(need));
        }
        let before = left.len();
        left.retain(|_, needs| !needs.is_empty());
        if left.len() == before {
            break;
        }
    }
    let (first, _) = left.first_key_value()?;
    let mut path = vec![*first];
    loop {
        let next = *left.get(path.last()?)?.first()?;
        if let Some(start) = path.iter().position(|seen| *seen == next) {
            let mut circle = path.split_off(start);
            circle.push(next);
            return Some(circle);
        }
        path.push(next);
    }
}
