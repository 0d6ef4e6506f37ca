//! Handing texts to peers and fetching them, section by section.

use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::version::{Fetch, Stamp, Version};
use fireflyhoist_text::section::{Digest, Manifest, Store};
use fireflyhoist_wire::peer::MAX_BATCH;

/// Sections asked for at once: a frame's worth at four kilobytes each.
const ASKED_AT_ONCE: usize = 12;

/// What to do next about a fetch.
#[derive(Debug)]
pub(crate) enum Next {
    /// Nothing; a later heartbeat begins anew where need be.
    Nothing,
    /// Ask the same peer for these sections.
    Ask(Vec<Digest>),
    /// The whole text has arrived and matches its version.
    Whole(Version, String),
}

/// The sections of the text in force, and of the one that is being fetched.
#[derive(Debug, Default)]
pub(crate) struct Transfer {
    store: Store,
    held: Option<(Version, Manifest)>,
    fetch: Fetch,
    coming: Option<(Version, Manifest)>,
}

impl Transfer {
    /// Keeps the sections of the text in force and forgets all others.
    pub(crate) fn hold(&mut self, version: Version, source: &str) {
        let manifest = self.store.split(source);
        self.store.retain(&[&manifest]);
        self.held = Some((version, manifest));
        self.coming = None;
        self.fetch.end();
    }

    /// The version in force here and its sections.
    pub(crate) fn manifest(&self) -> Option<(Version, Manifest)> {
        self.held.clone()
    }

    /// The sections of these digests, as many as fit in a frame.
    pub(crate) fn sections(&self, digests: &[Digest]) -> Vec<String> {
        let mut bytes = 0;
        let held = digests.iter().filter_map(|digest| self.store.get(*digest));
        let fitting = held.take_while(|section| {
            bytes += section.len();
            bytes <= MAX_BATCH
        });
        fitting.filter_map(|section| String::from_utf8(section.to_vec()).ok()).collect()
    }

    /// A peer announced a version that is wanted; whether to ask it for the manifest.
    pub(crate) fn announced(&mut self, now: Time, from: &id::Host, stamp: Stamp) -> bool {
        let ask = self.fetch.announced(now, from, stamp);
        if ask {
            self.coming = None;
        }
        ask
    }

    /// A peer answered with a manifest.
    pub(crate) fn on_manifest(
        &mut self,
        now: Time,
        from: &id::Host,
        version: Version,
        manifest: Manifest,
    ) -> Next {
        if !self.fetch.answered(now, from, version.stamp()) {
            return Next::Nothing;
        }
        self.coming = Some((version, manifest));
        self.advance()
    }

    /// A peer answered with sections.
    pub(crate) fn on_sections(
        &mut self,
        now: Time,
        from: &id::Host,
        sections: Vec<String>,
    ) -> Next {
        let Some((version, manifest)) = &self.coming else { return Next::Nothing };
        if !self.fetch.answered(now, from, version.stamp()) {
            return Next::Nothing;
        }
        let missing = self.store.missing(manifest);
        // Only what was asked for is kept, or a faulty peer could fill the memory.
        let wanted: Vec<String> = sections
            .into_iter()
            .filter(|section| missing.contains(&Digest::of(section.as_bytes())))
            .collect();
        if wanted.is_empty() {
            self.give_up();
            return Next::Nothing;
        }
        for section in wanted {
            self.store.insert(section.into_bytes());
        }
        self.advance()
    }

    fn advance(&mut self) -> Next {
        let Some((version, manifest)) = &self.coming else { return Next::Nothing };
        let mut missing = self.store.missing(manifest);
        if !missing.is_empty() {
            missing.truncate(ASKED_AT_ONCE);
            return Next::Ask(missing);
        }
        let version = *version;
        let source = self.store.join(manifest).unwrap_or_default();
        self.give_up();
        // A text that does not match its version's digest is no text of that version.
        match Version::of(version.revision(), &source) == version {
            true => Next::Whole(version, source),
            false => Next::Nothing,
        }
    }

    fn give_up(&mut self) {
        self.fetch.end();
        self.coming = None;
    }
}
