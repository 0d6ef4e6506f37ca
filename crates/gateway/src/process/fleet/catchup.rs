//! Catching up with peers: texts section by section, targets as a list.
//!
//! Heartbeats say how far a peer is. Whoever stands behind asks, one peer at a time; nobody sends
//! what was not asked for.
//!
//! **Failure:** peers that send what another lacks, each of them and again until it has it, send it
//! more than its link carries: its heartbeats starve, its links are closed with what had arrived,
//! and all begins anew at the next peer. On a played day with texts of four thousand routes each
//! host on a link of 10 Mbit/s lost five links and took in five times what the texts were, and a
//! text came into force 3.6 s after its acknowledgement. **Guard:** only the receiver knows what is
//! on its way to it; it asks for the next part when one has come.

use fireflyhoist_policy::id;
use fireflyhoist_policy::version::{Stamp, Version};
use fireflyhoist_text::transfer::{Message, Next};

use crate::connection::frame::{Beat, Frame};
use crate::process::fleet::{Fleet, LAG};
use crate::version::source;

impl Fleet {
    /// Asks a peer for what it has and this entry lacks.
    pub(super) fn follow(&self, from: &id::Host, beat: &Beat) {
        let (text, targets) = (self.process.revision(), self.process.targets_revision());
        let (wants_text, wants_targets) = (beat.text > text, beat.targets > targets);
        let late = self.is_late(from, wants_text || wants_targets);
        // An entry that reads texts itself has the same one on its way from the registry.
        if wants_text && (late || text == 0 || self.is_standby()) {
            self.want_text(from, beat.text);
        }
        if wants_targets && (late || targets == 0) {
            self.want_targets(from, beat.targets);
        }
    }

    /// Whether a peer has been ahead for so long that what it has is on no other way here.
    fn is_late(&self, from: &id::Host, ahead: bool) -> bool {
        let now = self.now();
        let mut peers = self.peers.lock();
        let Some(peer) = peers.get_mut(from) else { return false };
        if !ahead {
            peer.ahead = None;
            return false;
        }
        now.since(*peer.ahead.get_or_insert(now)) >= LAG
    }

    fn want_text(&self, from: &id::Host, revision: u64) {
        // What the text in force and the new one share is not asked for.
        self.hold_text();
        let ask = self.texts.lock().announced(self.now(), from, Stamp::least(revision));
        if let Some(message) = ask {
            self.links.send(from, &Frame::Text(message));
        }
    }

    fn want_targets(&self, from: &id::Host, revision: u64) {
        if self.lists.lock().announced(self.now(), from, Stamp::least(revision)) {
            self.links.send(from, &Frame::WantTargets);
        }
    }

    /// Cuts the text in force into sections, once a text.
    fn hold_text(&self) {
        let Some(table) = self.process.table() else { return };
        let mut texts = self.texts.lock();
        let held = texts.version().map_or(0, |version| version.revision());
        if held < table.text().revision {
            let source = source::write(table.text());
            texts.hold(Version::of(table.text().revision, &source), &source);
        }
    }

    pub(super) fn send_targets(&self, to: &id::Host) {
        let (revision, targets) = self.process.targets();
        self.links.send(to, &Frame::Targets { revision, targets });
    }

    pub(super) fn take_message(&self, from: &id::Host, message: Message) {
        if message == Message::WantManifest {
            self.hold_text();
        }
        let next = self.texts.lock().take(self.now(), from, message);
        match next {
            Next::Nothing => {}
            Next::Say(message) => self.links.send(from, &Frame::Text(message)),
            Next::Whole(version, whole) => self.take_text(from, version, &whole),
        }
    }

    fn take_text(&self, from: &id::Host, version: Version, whole: &str) {
        match source::read(whole) {
            Ok(text) => {
                if self.process.adopt(text, "peer") {
                    self.texts.lock().hold(version, whole);
                }
            }
            Err(error) => ::log::warn!(peer:% = from, error:% = error; "text of a peer refused"),
        }
    }

    /// What a peer that is gone was asked for is asked of another.
    pub(super) fn ask_others(&self, gone: &id::Host) {
        self.texts.lock().lost(gone);
        let mut lists = self.lists.lock();
        if lists.is_from(gone) {
            lists.end();
        }
    }
}
