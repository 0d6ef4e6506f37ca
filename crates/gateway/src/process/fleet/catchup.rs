//! Requests from peers what this entry lacks: texts section by section, targets as a full list.
//!
//! Heartbeats announce the revisions that a peer has. An entry that is behind requests the
//! difference, from one peer at a time; nothing is sent without a request.
//!
//! Only the receiver knows what is already on its way to it, so it requests the next part once the
//! previous one has arrived. If instead every peer sent what another entry lacks, and repeated it
//! until that entry had it, the link of the entry would be overloaded: heartbeats would be delayed,
//! its links closed with partly received data, and everything would start again with the next peer.
//! In a simulated day with two texts of 4,000 routes each, every host on a link of 10 Mbit/s lost
//! five links and received 4.9 MB, although each text has 1.1 MB. The second text came into force up
//! to 3.6 s after its acknowledgement.

use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_policy::bootstrap::{MAX_LAG, Source};
use fireflyhoist_policy::id;
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::version::{Stamp, Version};
use fireflyhoist_text::transfer::{Message, Next};

use crate::connection::frame::{Frame, Heartbeat};
use crate::process::fleet::Fleet;
use crate::version::encoding;

/// The time at which this entry fell behind a peer; `None` if it is not behind.
#[derive(Debug, Default)]
pub(super) struct Lag(Option<Time>);

impl Lag {
    /// Records whether this entry is behind the peer at `now`, and returns whether it has been so
    /// for [`MAX_LAG`].
    fn update(&mut self, now: Time, behind: bool) -> bool {
        if !behind {
            self.0 = None;
            return false;
        }
        now.since(*self.0.get_or_insert(now)) >= MAX_LAG
    }
}

/// The frame with the full list of targets, encoded once for all recipients.
#[derive(Debug)]
pub(super) struct EncodedTargets {
    /// The number of changes of targets at this entry when the list was encoded. The revision does
    /// not identify the list: an engine may have announced itself that it is leaving.
    changes: u64,
    kind: &'static str,
    bytes: Arc<Vec<u8>>,
}

impl Fleet {
    /// Requests from a peer the text and the targets of its heartbeat that this entry lacks.
    pub(super) fn catch_up(&self, from: &id::Host, heartbeat: &Heartbeat) {
        let (text, targets) = (self.process.revision(), self.process.target_list_position());
        let (text_behind, targets_behind) = (heartbeat.text > text, heartbeat.targets > targets);
        let lagging = self.update_lag(from, text_behind, targets_behind);
        let Some((text_lags, targets_lag)) = lagging else { return };
        // An entry that reads texts from the registry will soon get this one from there.
        if text_behind && (text_lags || text == 0 || self.is_standby()) {
            self.request_text(from, heartbeat.text);
        }
        let Some(theirs) = heartbeat.targets.filter(|_| targets_behind) else { return };
        let is_first = targets.is_none_or(|own| theirs.has_later_era_than(own));
        if targets_lag || (is_first && self.list_source(from).is_due(Duration::ZERO)) {
            self.request_targets(from, theirs);
        }
    }

    /// Returns what a peer is to this entry, which needs a whole list of targets.
    fn list_source(&self, peer: &id::Host) -> Source {
        // The presence list of the peer may have arrived just before its heartbeat.
        self.refresh();
        let linked = self.view().links.iter().any(|member| member.host == *peer);
        if linked || self.is_active() { Source::Own } else { Source::Other }
    }

    /// Records whether this entry is behind a peer in its text and in its targets. Returns for each
    /// whether it has been behind for so long that the change must be requested; `None` if the link
    /// to the peer is gone.
    fn update_lag(&self, from: &id::Host, text: bool, targets: bool) -> Option<(bool, bool)> {
        let now = self.now();
        let mut peers = self.peers.lock();
        let peer = peers.get_mut(from)?;
        Some((peer.text_lag.update(now, text), peer.targets_lag.update(now, targets)))
    }

    fn request_text(&self, from: &id::Host, revision: u64) {
        // Sections that the text in force shares with the new one are not requested.
        self.store_sections();
        let request = self.texts.lock().announced(self.now(), from, Stamp::least(revision));
        if let Some(message) = request {
            self.links.send(from, &Frame::Text(message));
        }
    }

    fn request_targets(&self, from: &id::Host, position: Position) {
        if self.target_fetch.lock().start(self.now(), from, position) {
            self.links.send(from, &Frame::TargetsRequest);
        }
    }

    /// Splits the text in force into sections, unless it was split before.
    fn store_sections(&self) {
        let Some(table) = self.process.table() else { return };
        let mut texts = self.texts.lock();
        let held = texts.version().map_or(0, |version| version.revision());
        if held < table.text().revision {
            let source = encoding::encode(table.text());
            texts.hold(Version::of(table.text().revision, &source), &source);
        }
    }

    /// Sends the full list of targets to an entry.
    ///
    /// The list is encoded once per change, since hundreds of entries request some thousand targets
    /// within a second when a large fleet starts.
    pub(super) fn send_targets(&self, to: &id::Host) {
        let changes = *self.process.watch_targets().borrow();
        let mut encoded = self.encoded_targets.lock();
        if encoded.as_ref().is_none_or(|list| list.changes != changes) {
            let (revision, targets) = self.process.targets();
            let frame = Frame::Targets { revision, targets };
            let (kind, bytes) = (frame.kind(), Arc::new(frame.encode()));
            *encoded = Some(EncodedTargets { changes, kind, bytes });
        }
        if let Some(list) = encoded.as_ref() {
            self.links.send_encoded(to, list.kind, Arc::clone(&list.bytes));
        }
    }

    /// Handles a message about the sections of a text.
    pub(super) fn handle_text_message(&self, from: &id::Host, message: Message) {
        if message == Message::WantManifest {
            self.store_sections();
        }
        let next = self.texts.lock().take(self.now(), from, message);
        match next {
            Next::Nothing => {}
            Next::Say(message) => self.links.send(from, &Frame::Text(message)),
            Next::Whole(version, whole) => self.adopt_text(from, version, &whole),
            Next::Unlike(version) => {
                ::log::warn!(peer:% = from, version:% = version; "sections make no text of their version");
            }
        }
    }

    fn adopt_text(&self, from: &id::Host, version: Version, whole: &str) {
        match encoding::decode(whole) {
            Ok(text) => {
                if self.process.apply_text(text, "peer") {
                    self.texts.lock().hold(version, whole);
                }
            }
            Err(error) => ::log::warn!(peer:% = from, error:% = error; "text from a peer refused"),
        }
    }

    /// Gives up the requests to a peer whose link is lost, so that they go to another one.
    pub(super) fn abandon_requests(&self, lost: &id::Host) {
        self.texts.lock().lost(lost);
        let mut fetch = self.target_fetch.lock();
        if fetch.is_from(lost) {
            fetch.end();
        }
    }
}
