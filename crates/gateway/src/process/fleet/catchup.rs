//! Catching up with peers: texts section by section, targets as a list.
//!
//! Heartbeats say how far a peer is. Whoever stands behind asks, one peer at a time; nobody sends
//! what was not asked for.
//!
//! **Failure:** peers that send what another lacks, each of them and again until it has it, send it
//! more than its link carries: its heartbeats starve, its links are closed with what had arrived,
//! and all begins anew at the next peer. On a played day with two texts of four thousand routes each
//! host on a link of 10 Mbit/s lost five links and took in 4.9 MB for 1.1 MB of either, and the second
//! came into force up to 3.6 s after its acknowledgement. **Guard:** only the receiver knows what is
//! on its way to it; it asks for the next part when one has come.

use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::id;
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::version::{Stamp, Version};
use fireflyhoist_text::transfer::{Message, Next};

use crate::connection::frame::{Frame, Heartbeat};
use crate::process::fleet::Fleet;
use crate::version::source;

/// How long a peer may be ahead before it is asked for what it knows: a few heartbeats, in which
/// changes that are on their way arrive, and a fraction of the two seconds within which a text or a
/// target's leaving must be known.
const LAG: Duration = Duration::from_millis(450);

/// Since when a peer is ahead of this entry, if it is.
#[derive(Debug, Default)]
pub(super) struct Ahead(Option<Time>);

impl Ahead {
    /// Notes whether the peer is ahead now, and says whether it has been for [`LAG`].
    fn is_late(&mut self, now: Time, ahead: bool) -> bool {
        if !ahead {
            self.0 = None;
            return false;
        }
        now.since(*self.0.get_or_insert(now)) >= LAG
    }
}

/// The list of targets as it goes over links.
#[derive(Debug)]
pub(super) struct Encoded {
    /// How often targets had changed here, which a revision alone doesn't tell: an engine may have said
    /// itself that it leaves.
    changes: u64,
    kind: &'static str,
    bytes: Arc<Vec<u8>>,
}

impl Fleet {
    /// Asks a peer for what it has and this entry lacks.
    pub(super) fn follow(&self, from: &id::Host, beat: &Heartbeat) {
        let (text, targets) = (self.process.revision(), self.process.listed_position());
        let (wants_text, wants_targets) = (beat.text > text, beat.targets > targets);
        let Some((text_late, targets_late)) = self.late(from, wants_text, wants_targets) else {
            return;
        };
        // An entry that reads texts itself has the same one on its way from the registry.
        if wants_text && (text_late || text == 0 || self.is_standby()) {
            self.want_text(from, beat.text);
        }
        if let Some(theirs) = beat.targets
            && wants_targets
            && (targets_late || targets.is_none_or(|own| theirs.has_later_era_than(own)))
        {
            self.want_targets(from, theirs);
        }
    }

    /// Whether a peer has been ahead in its text, and in its targets, for so long that what it has
    /// is on no other way here; `None` where its link is gone.
    fn late(&self, from: &id::Host, text: bool, targets: bool) -> Option<(bool, bool)> {
        let now = self.now();
        let mut peers = self.peers.lock();
        let peer = peers.get_mut(from)?;
        Some((peer.text.is_late(now, text), peer.targets.is_late(now, targets)))
    }

    fn want_text(&self, from: &id::Host, revision: u64) {
        // What the text in force and the new one share is not asked for.
        self.hold_text();
        let ask = self.texts.lock().announced(self.now(), from, Stamp::least(revision));
        if let Some(message) = ask {
            self.links.send(from, &Frame::Text(message));
        }
    }

    fn want_targets(&self, from: &id::Host, position: Position) {
        if self.lists.lock().start(self.now(), from, position) {
            self.links.send(from, &Frame::TargetsRequest);
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

    /// Sends the list of targets, which is encoded once a change: when a large fleet starts, hundreds ask
    /// for some thousand targets within a second.
    pub(super) fn send_targets(&self, to: &id::Host) {
        let changes = *self.process.watch_targets().borrow();
        let mut encoded = self.encoded.lock();
        if encoded.as_ref().is_none_or(|list| list.changes != changes) {
            let (revision, targets) = self.process.targets();
            let frame = Frame::Targets { revision, targets };
            let (kind, bytes) = (frame.kind(), Arc::new(frame.encode()));
            *encoded = Some(Encoded { changes, kind, bytes });
        }
        if let Some(list) = encoded.as_ref() {
            self.links.send_encoded(to, list.kind, Arc::clone(&list.bytes));
        }
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
            Next::Unlike(version) => {
                ::log::warn!(peer:% = from, version:% = version; "sections make no text of their version");
            }
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
