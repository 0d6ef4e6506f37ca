//! Handing texts to peers and fetching them, section by section.
//!
//! One peer is asked at a time, for what is missing, and for the next part when one has come: what
//! a narrow link carries is never more than one copy of what its host lacks, and other frames wait
//! behind [`MAX_BATCH`] bytes at most. Whole texts that were sent unasked, and again while the last
//! copy was on its way, starved the links of each other and of their heartbeats; see
//! `docs/incidents/texts-late.md`.

use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::version::{Fetch, Stamp, Version};
use serde::{Deserialize, Serialize};

use crate::section::{Digest, Manifest, Store};

/// The most bytes of sections that one frame carries; one section is at most 16 KB. On a link of
/// 10 Mbit/s a heartbeat waits 40 ms behind it.
pub const MAX_BATCH: usize = 48 << 10;

/// Sections asked for at once: a frame's worth at four kilobytes each.
const ASKED_AT_ONCE: usize = 12;

/// What peers say to each other about texts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Message {
    /// Please tell which sections make the text in force at you.
    WantManifest,
    /// The sections of a text, in order.
    Manifest {
        /// Which text they make.
        version: Version,
        /// Its sections.
        sections: Manifest,
    },
    /// Please send these sections.
    WantSections(Vec<Digest>),
    /// Sections, as many as fit in [`MAX_BATCH`]; none where the sender lacks them.
    Sections(Vec<String>),
}

/// What to do next after a message.
#[derive(Debug)]
pub enum Next {
    /// Nothing; a later heartbeat begins anew where need be.
    Nothing,
    /// Say this to the same peer.
    Say(Message),
    /// The whole text has arrived and matches its version.
    Whole(Version, String),
    /// The sections make another text than the one of this version; nothing of it is put in force.
    Unlike(Version),
}

/// The sections of the text in force, and of the one that is being fetched.
#[derive(Debug, Default)]
pub struct Transfer {
    store: Store,
    held: Option<(Version, Manifest)>,
    fetch: Fetch,
    coming: Option<(Version, Manifest)>,
    /// What the peer was asked for last.
    asked: Vec<Digest>,
}

impl Transfer {
    /// Keeps the sections of the text in force and of one that is being fetched, and forgets all
    /// others. A fetch of a version that is no newer ends.
    pub fn hold(&mut self, version: Version, source: &str) {
        let manifest = self.store.split(source);
        self.fetch.cancel_superseded(version.stamp());
        if !self.fetch.is_open() {
            self.coming = None;
        }
        let coming = self.coming.as_ref().map_or(&manifest, |(_, coming)| coming);
        self.store.retain(&[&manifest, coming]);
        self.held = Some((version, manifest));
    }

    /// The link to a peer is gone: a fetch from it ends, and what it brought is kept.
    pub fn lost(&mut self, peer: &id::Host) {
        if self.fetch.is_from(peer) {
            self.give_up();
        }
    }

    /// The version whose sections are kept.
    pub fn version(&self) -> Option<Version> {
        self.held.as_ref().map(|(version, _)| *version)
    }

    /// A peer announced a version that is wanted; what to say to it, where it is the one to ask.
    pub fn announced(&mut self, now: Time, from: &id::Host, stamp: Stamp) -> Option<Message> {
        self.fetch.start(now, from, stamp).then(|| {
            self.coming = None;
            Message::WantManifest
        })
    }

    /// Takes in what a peer says.
    pub fn take(&mut self, now: Time, from: &id::Host, message: Message) -> Next {
        match message {
            Message::WantManifest => self.manifest(),
            Message::Manifest { version, sections } => {
                self.on_manifest(now, from, version, sections)
            }
            Message::WantSections(digests) => Next::Say(Message::Sections(self.sections(&digests))),
            Message::Sections(sections) => self.on_sections(now, from, sections),
        }
    }

    /// The version in force here and its sections.
    fn manifest(&self) -> Next {
        let manifest = |(version, sections)| Next::Say(Message::Manifest { version, sections });
        self.held.clone().map_or(Next::Nothing, manifest)
    }

    /// The sections of these digests, as many as fit in a frame.
    fn sections(&self, digests: &[Digest]) -> Vec<String> {
        let mut bytes = 0;
        let held = digests.iter().filter_map(|digest| self.store.get(*digest));
        let fitting = held.take_while(|section| {
            bytes += section.len();
            bytes <= MAX_BATCH
        });
        fitting.filter_map(|section| String::from_utf8(section.to_vec()).ok()).collect()
    }

    /// A peer answered with a manifest.
    fn on_manifest(
        &mut self,
        now: Time,
        from: &id::Host,
        version: Version,
        manifest: Manifest,
    ) -> Next {
        if !self.fetch.accept(now, from, version.stamp()) {
            return Next::Nothing;
        }
        self.coming = Some((version, manifest));
        self.advance()
    }

    /// A peer answered with sections.
    fn on_sections(&mut self, now: Time, from: &id::Host, sections: Vec<String>) -> Next {
        let Some((version, _)) = &self.coming else { return Next::Nothing };
        if !self.fetch.accept(now, from, version.stamp()) {
            return Next::Nothing;
        }
        // Only what was asked for is kept, or a faulty peer could fill the memory.
        for section in sections {
            if self.asked.contains(&Digest::of(section.as_bytes())) {
                self.store.insert(section.into_bytes());
            }
        }
        // A peer that has a newer text meanwhile may lack all of it. What came from elsewhere counts.
        if self.asked.iter().all(|digest| self.store.get(*digest).is_none()) {
            self.give_up();
            return Next::Nothing;
        }
        self.advance()
    }

    fn advance(&mut self) -> Next {
        let Some((version, manifest)) = &self.coming else { return Next::Nothing };
        let mut missing = self.store.missing(manifest);
        if !missing.is_empty() {
            missing.truncate(ASKED_AT_ONCE);
            self.asked.clone_from(&missing);
            return Next::Say(Message::WantSections(missing));
        }
        let version = *version;
        let source = self.store.join(manifest).unwrap_or_default();
        self.give_up();
        // A text that does not match its version's digest is no text of that version.
        match Version::of(version.revision(), &source) == version {
            true => Next::Whole(version, source),
            false => Next::Unlike(version),
        }
    }

    fn give_up(&mut self) {
        self.fetch.end();
        self.coming = None;
    }
}
