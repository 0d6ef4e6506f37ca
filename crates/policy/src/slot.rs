//! What one entry knows of one target.

use std::time::Duration;

use crate::concurrency::Limiter;
use crate::exclusion::Exclusion;
use crate::id;
use crate::newcomer::Arrival;
use crate::placement;
use crate::room::Room;
use crate::share::Share;
use crate::time::Time;

/// After a failure nothing more is sent for so long; the detector of slow targets judges after.
/// It spans the reconnection of a link, and is short beside any patience.
const PAUSE: Duration = Duration::from_secs(1);

/// Streams of one entry at a target just short of its full weight; at the weight at which a
/// target returns this allows one.
const RETURNING: f64 = 10.0;

/// Prompt tokens waiting to be read at a target that weigh as much as its whole memory in use.
///
/// The failure: prompts of several entries meet at an engine that has room, are read one after the
/// other at some 14 tokens a millisecond, and the last of them begins a second late while other
/// engines read nothing. On the users' deployments a prompt holds 3,000 tokens, so one that waits
/// counts for a quarter of an engine.
const READ: f64 = 12_000.0;

/// Prompts of the mean size that may wait to be read at one target, the new one included.
///
/// **Failure:** a prompt that waits inside an engine can't be taken back, however late it gets, and
/// one that came after it can't be put before it. At the entry both can. Two and a little, since one
/// is read while the next arrives, and prompts differ by a third. With turns at newcomers the long
/// answers of a heavy day that began late went from 258 to 157; the bound without the turns, or the
/// turns without the bound, did not raise the worth.
const AHEAD: f64 = 2.25;

/// Far less load than one answer makes.
const TRACE: f64 = 1e-6;

/// One target.
#[derive(Debug)]
pub(crate) struct Slot {
    pub(crate) name: id::Target,
    pub(crate) key: u64,
    pub(crate) listed: bool,
    /// Whether its failure domain is cordoned.
    pub(crate) cordoned: bool,
    pub(crate) weight: f64,
    pub(crate) share: Share,
    pub(crate) room: Room,
    pub(crate) pace: Limiter,
    /// Streams sent that have produced nothing yet.
    pub(crate) unstarted: u32,
    /// Prompt tokens of these.
    pub(crate) unread: u64,
    /// The same of other entries, as they last told.
    pub(crate) others_unread: u64,
    /// The gate's count of sends when this target was last sent to.
    pub(crate) turn: u64,
    /// Since when it may be sent to, as one that came lately.
    pub(crate) arrival: Arrival,
    paused: Time,
    /// Until when it takes no more requests of this entry.
    closed: Time,
    /// Why it takes no more.
    closed_for: Exclusion,
}

impl Slot {
    pub(crate) fn open(name: id::Target, arrival: Arrival) -> Self {
        let key = placement::key(&name);
        Self {
            name,
            key,
            listed: true,
            cordoned: false,
            weight: 1.0,
            share: Share::default(),
            room: Room::default(),
            pace: Limiter::default(),
            unstarted: 0,
            unread: 0,
            others_unread: 0,
            turn: 0,
            arrival,
            paused: Time::ZERO,
            closed: Time::ZERO,
            closed_for: Exclusion::Limited,
        }
    }

    /// Prompt tokens that wait to be read there, of all entries.
    pub(crate) fn waiting(&self) -> u64 {
        self.unread + self.others_unread
    }

    /// Whether a prompt would be read there without waiting behind more than the bound, where
    /// prompts hold `ordinary` tokens at the mean.
    pub(crate) fn reads_soon(&self, prompt: u64, ordinary: f64) -> bool {
        let waiting = self.waiting();
        waiting == 0 || (waiting + prompt) as f64 <= AHEAD * ordinary
    }

    /// Notes that a prompt was sent.
    pub(crate) fn begins(&mut self, prompt: u64) {
        self.unstarted += 1;
        self.unread += prompt;
    }

    /// Notes that an answer has begun, or never will.
    pub(crate) fn begun(&mut self, prompt: u64) {
        self.unstarted = self.unstarted.saturating_sub(1);
        self.unread = self.unread.saturating_sub(prompt);
    }

    /// Notes a failure.
    pub(crate) fn pause(&mut self, now: Time) {
        self.paused = now + PAUSE;
    }

    /// Sends nothing more before a time: the target takes no more until then.
    pub(crate) fn close(&mut self, until: Time, why: Exclusion) {
        if until > self.closed {
            (self.closed, self.closed_for) = (until, why);
        }
    }

    /// How long it takes no more; zero where it does.
    pub(crate) fn closed(&self, now: Time) -> Duration {
        self.closed.since(now)
    }

    /// Its load, with a trace of how recently it was sent to: targets that are otherwise equal take
    /// turns, so that each of a nearly idle fleet goes on showing that it works.
    pub(crate) fn load(&self, sends: u64) -> f64 {
        let unread = self.waiting() as f64 / READ;
        self.room.load() + unread + TRACE * self.turn as f64 / sends.max(1) as f64
    }

    /// Why it may receive nothing now; `None` where it may.
    pub(crate) fn exclusion(&self, now: Time) -> Option<Exclusion> {
        let firm = self.firm_exclusion(now);
        let doubts =
            [(now < self.paused, Exclusion::Failed), (!self.is_trusted(), Exclusion::Ejected)];
        let doubt = || doubts.into_iter().find(|(holds, _)| *holds).map(|(_, why)| why);
        firm.or_else(doubt)
    }

    /// The same, where doubt alone excludes nothing: better a target in doubt than no answer.
    pub(crate) fn firm_exclusion(&self, now: Time) -> Option<Exclusion> {
        let reasons = [
            (!self.listed, Exclusion::Drains),
            (self.cordoned, Exclusion::Cordoned),
            (now < self.closed, self.closed_for),
        ];
        reasons.into_iter().find(|(holds, _)| *holds).map(|(_, why)| why)
    }

    /// Whether it may receive anything.
    pub(crate) fn is_up(&self, now: Time) -> bool {
        self.exclusion(now).is_none()
    }

    /// Whether it belongs to the targets that answers go to.
    pub(crate) fn is_open(&self) -> bool {
        self.listed && !self.cordoned
    }

    /// Whether its weight bears one more stream. A target that returns from ejection is empty and
    /// would draw everything at once, however slow it still is: its streams are bounded until it
    /// has its full weight.
    fn is_trusted(&self) -> bool {
        let bound = f64::from(self.room.streams()) < self.weight * RETURNING;
        self.weight >= 1.0 || bound
    }

    /// Streams that the pace leaves this entry to add: its share of those below the bound.
    pub(crate) fn has_pace(&self, now: Time, share: f64) -> bool {
        let bound = self.pace.limit(now);
        let all = f64::from(self.room.all_streams());
        let own = f64::from(self.room.streams());
        // An entry below its equal part of the bound may always go on.
        all < bound || own < bound * share
    }
}
