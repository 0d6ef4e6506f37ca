//! Following the registry: one list, then changes as they happen, and again from the list wherever
//! that breaks. An entry that has just started reads only what no peer tells it
//! ([`bootstrap`](fireflyhoist_policy::bootstrap)).
//!
//! Texts and cordons are watched together by every entry that carries traffic, since they change rarely
//! and a watch that waits costs nothing; those that stand by are told by two that do. Targets are watched by a few
//! entries for all, since they change all the time.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use derive_more::{Display, Error};
use fireflyhoist_policy::backoff;
use fireflyhoist_policy::bootstrap::{Bootstrap, Peers};
use fireflyhoist_policy::cordon;
use fireflyhoist_policy::lease::Change;
use fireflyhoist_policy::position::Position;
use fireflyhoist_policy::time::Time;
use ntex::http::{HeaderMap, Method, StatusCode};
use ntex::time::{sleep, timeout};
use ntex::util::Bytes;
use smol_str::SmolStr;

use crate::connection::exchange::{self, Failure, Outgoing};
use crate::platform::{DecodeError, Item, Page, Platform, What};
use crate::process::fleet::Fleet;
use crate::process::state::{Process, SETTLED, millis};
use crate::version::history::History;

/// Within which time the reply to a list call begins: the registry answers in milliseconds, a slow
/// one within some hundreds.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// The longest pause within a reply. Lost packets are sent again within some hundred milliseconds;
/// a connection that fell silent shows as soon as on a link between entries.
const REPLY_PAUSE: Duration = Duration::from_millis(900);

/// How long a watch waits for changes of the text. A lost reply is noticed after this and
/// [`WATCH_SLACK`], within the three seconds in which a text must be in force.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// The same where peers would tell of what is missed: fifteen in sixteen calls less.
const WATCH_COVERED: Duration = Duration::from_secs(25);

/// How long a watch of targets waits. A registry that hangs shows by this and [`WATCH_SLACK`], in
/// less time than engines run on after a notice, so that they are asked themselves from then on. On
/// a calm day of the two smaller deployments it costs some 20 calls.
const WATCH_TARGETS: Duration = Duration::from_secs(1);

/// How much later than after its wait the reply to a watch may begin.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// The least time between two watches of targets. Several change within some hundred milliseconds
/// where engines are taken back together, each watch ends with the first, and every call is paid
/// for. Renewals alone end none.
const TARGETS_PAUSE: Duration = Duration::from_millis(80);

/// How often an entry that doesn't watch looks whether it should.
const RECHECK: Duration = Duration::from_millis(300);

/// The same for the second watcher, which is there for the case that the first one fails.
const SECOND_PAUSE: Duration = Duration::from_millis(400);

/// The same for an entry that has no link and no callers: many that are cut off from the others would
/// call ten times a second each, and nobody be served by it.
const IDLE_PAUSE: Duration = Duration::from_secs(1);

/// How often an entry that has just started looks whether to read.
const BEGIN_POLL: Duration = Duration::from_millis(50);

/// The largest reply that is read.
const MAX_REPLY: usize = 8 << 20;

/// Why a call of the registry failed.
#[derive(Debug, Display, Error)]
enum CallError {
    /// No whole reply came.
    #[display("{_0}")]
    Exchange(#[error(not(source))] Failure),
    /// It answered with a failure.
    #[display("status {_0}; see the registry's own log")]
    Status(#[error(not(source))] StatusCode),
    /// The reply can't be read.
    #[display("{_0}")]
    Decode(#[error(not(source))] DecodeError),
    /// The changes asked for are no longer kept.
    #[display("changes no longer kept; the list is read again")]
    Forgotten,
}

/// Begins to follow.
pub(crate) fn spawn<P: Platform>(process: &Arc<Process>, fleet: &Arc<Fleet>) {
    let now = process.clock.now();
    let bootstrap = match fleet.is_seed() || process.seeds().is_empty() {
        true => Bootstrap::seed(now),
        false => Bootstrap::member(now, rand::random()),
    };
    for what in [What::Text, What::Targets] {
        let follower = Follower {
            history: History::open(process),
            bootstrap,
            settled: now + SETTLED,
            process: Arc::clone(process),
            fleet: Arc::clone(fleet),
            address: process.settings.registry,
            what,
            failures: 0,
            asked: process.clock.now(),
        };
        ntex::rt::spawn(follower.run::<P>()).detach();
    }
}

/// A whole reply, and the era that it is of.
struct Reply {
    era: u64,
    body: Bytes,
}

/// What one reading held beside texts.
#[derive(Default)]
struct Read {
    targets: Vec<Change>,
    cordons: Vec<cordon::Change>,
    /// Whether a text came into force.
    adopted: bool,
}

struct Follower {
    history: History,
    /// When it reads for the first time.
    bootstrap: Bootstrap,
    /// When its part in the fleet is known.
    settled: Time,
    process: Arc<Process>,
    fleet: Arc<Fleet>,
    address: SocketAddr,
    what: What,
    failures: usize,
    /// When its latest call began.
    asked: Time,
}

impl Follower {
    async fn run<P: Platform>(mut self) {
        self.begin().await;
        loop {
            self.stand_by().await;
            match self.list::<P>().await {
                Ok(position) => self.watch::<P>(position).await,
                Err(error) => self.pause(&error).await,
            }
        }
    }

    /// Waits until this entry, which has just started, has to read the registry itself.
    async fn begin(&self) {
        loop {
            let now = self.process.clock.now();
            // What peers have told is not read again before it is known who watches for all.
            let due = match self.is_known() {
                true => now >= self.settled,
                false => self.bootstrap.is_due(now, self.peers()),
            };
            if due {
                return;
            }
            let _ = timeout(BEGIN_POLL, self.fleet.changed()).await;
        }
    }

    fn is_known(&self) -> bool {
        match self.what {
            What::Text => self.process.revision() > 0 && self.process.knows_cordons(),
            What::Targets => self.process.is_listed(),
        }
    }

    fn peers(&self) -> Peers {
        match self.what {
            What::Text => self.fleet.peer_state(|beat| beat.text > 0 && beat.cordons.is_some()),
            What::Targets => self.fleet.peer_state(|beat| beat.targets.is_some()),
        }
    }

    /// Waits while others watch and tell this entry of what changes.
    async fn stand_by(&self) {
        let mut untold = None;
        loop {
            let now = self.process.clock.now();
            if self.is_told() || !self.is_known() {
                untold = None;
            } else {
                let patience =
                    || now + backoff::initial_delay(self.fleet.registry_role(), rand::random());
                if now >= *untold.get_or_insert_with(patience) {
                    return;
                }
            }
            if !self.is_known() {
                return;
            }
            // Bounded, since a change between the question and the wait wakes nobody.
            let _ = timeout(RECHECK, self.fleet.changed()).await;
        }
    }

    /// Follows changes until they can be followed no more.
    async fn watch<P: Platform>(&mut self, mut at: Position) {
        loop {
            // A revision of an earlier era may have been given out again: changes since it say nothing.
            if self.is_told() || self.process.era() != at.era() {
                // What happens meanwhile may be more than the registry keeps.
                return;
            }
            match self.wait::<P>(at.revision()).await {
                Ok((era, _)) if era != at.era() => return,
                Ok((_, page)) => {
                    at = at.max(Position::new(at.era(), page.revision));
                    self.take(at, page);
                    if self.what == What::Targets {
                        sleep(self.targets_pause()).await;
                    }
                }
                Err(CallError::Forgotten) => return,
                Err(error) => self.pause(&error).await,
            }
        }
    }

    /// The least time until the next watch of targets.
    fn targets_pause(&self) -> Duration {
        if self.fleet.is_alone() && self.process.is_idle() {
            return IDLE_PAUSE;
        }
        if self.fleet.watcher_rank() == Some(0) { TARGETS_PAUSE } else { SECOND_PAUSE }
    }

    /// Whether others watch and would tell this entry what it misses.
    ///
    /// Each text ends the watch of every entry that has one: with 80 entries, of which 18 carry the
    /// traffic, most calls of a day were these.
    fn is_told(&self) -> bool {
        if !self.is_known() {
            return false;
        }
        match self.what {
            What::Targets => {
                let told = self.fleet.watcher_rank().is_none();
                if told {
                    self.process.set_watching(false);
                }
                told
            }
            What::Text => self.fleet.is_standby() && self.fleet.peers_reach_registry(),
        }
    }

    async fn call<P: Platform>(
        &mut self,
        path: String,
        begin: Duration,
    ) -> Result<Reply, CallError> {
        self.asked = self.process.clock.now();
        let known = self.process.era();
        let (method, headers) = (Method::GET, HeaderMap::new());
        let outgoing = Outgoing { method, path, headers, body: Bytes::new() };
        let called = exchange::fetch(self.address, outgoing, begin, REPLY_PAUSE, MAX_REPLY).await;
        self.process.metrics.registry_call();
        let whole = called.map_err(CallError::Exchange)?;
        let era = self.history.era(known, P::era(&whole.headers));
        match whole.status {
            StatusCode::OK => Ok(Reply { era, body: whole.body }),
            StatusCode::GONE => Err(CallError::Forgotten),
            status => Err(CallError::Status(status)),
        }
    }

    /// Reads everything and returns where changes follow from.
    async fn list<P: Platform>(&mut self) -> Result<Position, CallError> {
        let mut after: Option<SmolStr> = None;
        let mut first = None;
        let mut items = Vec::new();
        loop {
            let path = P::list(self.what, after.as_deref());
            let reply = self.call::<P>(path, LIST_TIMEOUT).await?;
            let page = P::page(self.what, &reply.body).map_err(CallError::Decode)?;
            // Pages are no snapshot: what changed between them is in the changes after the first.
            let position = self.history.position(reply.era, page.revision);
            if first.is_some_and(|first: Position| position.has_later_era_than(first)) {
                return Err(CallError::Forgotten);
            }
            first.get_or_insert(position);
            items.extend(page.items);
            after = page.next;
            if after.is_none() {
                break;
            }
        }
        self.recovered();
        let position = first.unwrap_or_default();
        self.take_list(position, items);
        Ok(position)
    }

    /// Waits for changes; returns them with the era of the reply.
    async fn wait<P: Platform>(&mut self, revision: u64) -> Result<(u64, Page), CallError> {
        let wait = match self.what {
            // A registry that was away may have come back from a copy and given the revision out again;
            // waited for, its reply would tell only at its end.
            _ if self.failures > 0 => Duration::ZERO,
            What::Targets => WATCH_TARGETS,
            // The failure: the connections of all entries to the registry fall silent together, each
            // relies on the others, and a new text is in force nowhere for half a minute.
            What::Text
                if self.fleet.peers_reach_registry() && self.fleet.watcher_rank().is_none() =>
            {
                WATCH_COVERED
            }
            What::Text => WATCH_WAIT,
        };
        let path = P::watch(self.what, revision, wait);
        let reply = self.call::<P>(path, wait + WATCH_SLACK).await?;
        let page = P::news(self.what, &reply.body).map_err(CallError::Decode)?;
        let position = self.history.position(reply.era, page.revision);
        self.recovered();
        Ok((position.era(), page))
    }

    fn recovered(&mut self) {
        if self.what == What::Targets {
            if self.failures > 0 {
                self.process.outage_over();
            }
            self.process.set_watching(true);
        }
        self.failures = 0;
        self.process.set_registry(true);
    }

    async fn pause(&mut self, error: &CallError) {
        if self.failures == 0 {
            let ms = millis(self.process.clock.now().since(self.asked));
            ::log::warn!(what:% = self.what, ms = ms, error:% = error; "registry call failed");
        }
        self.failures += 1;
        self.process.set_registry(false);
        if self.what == What::Targets {
            self.process.set_watching(false);
        }
        sleep(backoff::delay(self.fleet.registry_role(), self.failures, rand::random())).await;
    }

    fn take_list(&self, at: Position, items: Vec<Result<Item, DecodeError>>) {
        let read = self.sort(items);
        let changed = match self.what {
            What::Text => {
                let set = read.cordons.into_iter().filter_map(|change| match change {
                    cordon::Change::Set(domain) => Some(domain),
                    cordon::Change::Lifted(_) => None,
                });
                self.process.list_cordons(at, set.collect()) || read.adopted
            }
            What::Targets => {
                let put = read.targets.into_iter().filter_map(|change| match change {
                    Change::Put(target) => Some(target),
                    Change::Gone(_) => None,
                });
                self.process.list_targets(at, put.collect(), "registry")
            }
        };
        // What a list changes is told by the next heartbeats: those that miss it are told all.
        if changed {
            self.fleet.send_heartbeats();
        }
    }

    fn take(&self, at: Position, page: Page) {
        let read = self.sort(page.items);
        let since = self.process.targets_position();
        let news = self.process.change_targets(at, read.targets);
        if !news.is_empty() {
            self.fleet.announce_changes(since, news);
        }
        let cordoned = self.what == What::Text && self.process.change_cordons(at, &read.cordons);
        if read.adopted || cordoned {
            self.fleet.send_heartbeats();
        }
    }

    /// Puts texts in force and returns all else.
    fn sort(&self, items: Vec<Result<Item, DecodeError>>) -> Read {
        let mut read = Read::default();
        for item in items {
            match item {
                Ok(Item::Text(text)) => read.adopted |= self.process.adopt(*text, "registry"),
                Ok(Item::Target(change)) => read.targets.push(change),
                Ok(Item::Cordon(change)) => read.cordons.push(change),
                Err(error) => {
                    ::log::warn!(what:% = self.what, error:% = error; "entry left out");
                }
            }
        }
        read
    }
}
