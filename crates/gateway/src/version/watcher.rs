//! Reads the registry by list and watch: one list, then changes as they happen, and the list again
//! wherever watching breaks. An entry that has just started reads only what no peer sends it
//! ([`bootstrap`](fireflyhoist_policy::bootstrap)).
//!
//! Every active entry watches texts and cordons, which are read together: they change rarely and a
//! watch that waits costs nothing. Standby entries receive them from at least two that watch.
//! Targets change all the time, so only a few entries watch them for all.

use std::collections::HashSet;
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
use ntex::util::Bytes;
use smol_str::SmolStr;
use tokio::time::{sleep, timeout};

use crate::connection::content::Content;
use crate::connection::exchange::{self, Failure, Outgoing};
use crate::connection::filter::Filter;
use crate::platform::{DecodeError, Item, Page, Platform, Resource, shorten};
use crate::process::fleet::Fleet;
use crate::process::state::{MEMBERSHIP_SETTLE_TIME, Process, millis};
use crate::version::history::History;
use crate::version::skipped::Skipped;

/// Longest time until the reply to a list call begins. The registry answers in milliseconds, a slow
/// one within some hundred milliseconds.
const LIST_TIMEOUT: Duration = Duration::from_millis(1_500);

/// Longest pause within a reply. Lost packets are sent again within some hundred milliseconds; a
/// silent connection is noticed as fast as on a link between entries.
const READ_TIMEOUT: Duration = Duration::from_millis(900);

/// How long a watch of texts waits for a change. A lost reply is noticed after this plus
/// [`WATCH_SLACK`], within the three seconds in which a text must be in force.
const WATCH_WAIT: Duration = Duration::from_millis(1_500);

/// The wait where peers would send what this entry misses; saves fifteen in sixteen calls.
const COVERED_WATCH_WAIT: Duration = Duration::from_secs(25);

/// How long a watch of targets waits. A registry that hangs is noticed after this plus
/// [`WATCH_SLACK`], which is less than the time engines run on after a drain notice; from then on
/// engines are polled directly. Without changes it costs some 20 calls a day in small
/// fleets.
const TARGETS_WATCH_WAIT: Duration = Duration::from_secs(1);

/// Time after the wait of a watch within which its reply must begin.
const WATCH_SLACK: Duration = Duration::from_millis(700);

/// Least time between two watches of targets. Where engines are reclaimed together, several
/// targets change within some hundred milliseconds, the first change ends a watch, and every call
/// is paid for. Lease renewals alone end no watch.
const MIN_WATCH_INTERVAL: Duration = Duration::from_millis(80);

/// How often an entry that does not watch checks whether it should.
const STANDBY_POLL: Duration = Duration::from_millis(300);

/// The same while other entries watch: what would change that is notified.
const COVERED_POLL: Duration = Duration::from_secs(1);

/// The least time for the second watcher, which is there in case the first one fails.
const MIN_SECOND_WATCH_INTERVAL: Duration = Duration::from_millis(400);

/// The least time for an entry without links and callers. Many entries that are cut off from the
/// others would otherwise make ten calls a second each without serving any caller.
const MIN_IDLE_WATCH_INTERVAL: Duration = Duration::from_secs(1);

/// How often an entry that has just started checks whether to read the registry.
const BOOTSTRAP_POLL: Duration = Duration::from_millis(50);

/// Largest reply that is read, in bytes.
const MAX_REPLY_BYTES: usize = 8 << 20;

/// Largest list, in bytes of all its pages.
const MAX_LIST_BYTES: usize = 4 * MAX_REPLY_BYTES;

/// The most pages of a list. A store may give one item a page.
const MAX_PAGES: usize = 20_000;

/// The longest string in a reply with texts, in bytes: a text as a whole.
const MAX_TEXT_STRING: usize = 6 << 20;

/// The longest string in a reply with targets, in bytes.
const MAX_TARGET_STRING: usize = 64 << 10;

/// Why a registry call failed.
#[derive(Debug, Display, Error)]
enum CallError {
    /// No complete reply arrived.
    #[display("{_0}")]
    Exchange(#[error(not(source))] Failure),
    /// The registry answered with an error status.
    #[display("status {_0}; see the registry's own log")]
    Status(#[error(not(source))] StatusCode),
    /// The reply cannot be decoded.
    #[display("{_0}")]
    Decode(#[error(not(source))] DecodeError),
    /// A page of a list, other than the first, can't be read.
    #[display("page after {after}: {error}")]
    Page {
        /// The key after which the page begins.
        after: String,
        error: Box<Self>,
    },
    /// The registry no longer keeps the requested changes.
    #[display("changes no longer kept; reading the list again")]
    Expired,
    /// Fewer than two peers reach the registry, so that this entry depends on its own calls.
    #[display("peers no longer reach the registry; calling it more often")]
    Uncovered,
}

impl CallError {
    /// Returns whether the reply arrived and can't be read.
    fn is_in_reply(&self) -> bool {
        matches!(self, Self::Decode(_) | Self::Exchange(Failure::BodyTooLarge))
    }

    /// Returns whether the same call is likely to fail again, however often it is made.
    fn is_lasting(&self) -> bool {
        match self {
            Self::Decode(_) => true,
            Self::Status(status) => {
                status.is_client_error() && *status != StatusCode::TOO_MANY_REQUESTS
            }
            Self::Exchange(_) | Self::Page { .. } | Self::Expired | Self::Uncovered => false,
        }
    }
}

/// Starts one watcher for texts with cordons and one for targets.
pub(crate) fn spawn<P: Platform>(process: &Arc<Process>, fleet: &Arc<Fleet>) {
    let now = process.clock.now();
    let bootstrap = match fleet.is_seed() || process.seeds().is_empty() {
        true => Bootstrap::seed(now),
        false => Bootstrap::member(now, rand::random()),
    };
    for resource in [Resource::Text, Resource::Targets] {
        let watcher = Watcher {
            history: History::open(process),
            skipped: Skipped::default(),
            bootstrap,
            role_known_at: now + MEMBERSHIP_SETTLE_TIME,
            process: Arc::clone(process),
            fleet: Arc::clone(fleet),
            address: process.settings.registry,
            resource,
            failures: 0,
            called_at: process.clock.now(),
        };
        ntex::rt::spawn(watcher.run::<P>()).detach();
    }
}

/// A complete reply and its era.
struct Reply {
    era: u64,
    body: Bytes,
}

/// The pages of a list that have been read.
#[derive(Default)]
struct List {
    items: Vec<Result<Item, DecodeError>>,
    /// The position of the first page.
    position: Option<Position>,
    /// The key after which the next page begins; `None` for the first page.
    after: Option<SmolStr>,
    /// The keys after which pages began.
    seen: HashSet<SmolStr>,
    /// The size of the pages.
    bytes: usize,
}

impl List {
    /// Adds the next page; returns whether it is the last one.
    ///
    /// Fails if the list makes no progress: a registry that does not go on after a key as this entry
    /// means it would send the same pages without end.
    fn add(&mut self, at: Position, bytes: usize, page: Page) -> Result<bool, CallError> {
        self.position.get_or_insert(at);
        self.items.extend(page.items);
        self.bytes += bytes;
        let Some(next) = page.next else { return Ok(true) };
        let failed = |what: &str| {
            let error = DecodeError::new(what).in_entry(&next);
            Err(CallError::Decode(error))
        };
        if !self.seen.insert(next.clone()) {
            return failed("a page after this key was read before");
        }
        if self.bytes > MAX_LIST_BYTES || self.seen.len() >= MAX_PAGES {
            return failed("the list is too long");
        }
        self.after = Some(next);
        Ok(false)
    }
}

/// Changes of one reply; its texts are applied already.
#[derive(Default)]
struct Changes {
    targets: Vec<Change>,
    cordons: Vec<cordon::Change>,
    /// Whether a text was put in force.
    adopted: bool,
}

/// Watches one resource of the registry.
struct Watcher {
    history: History,
    skipped: Skipped,
    /// Decides when to read for the first time.
    bootstrap: Bootstrap,
    /// When this entry's role among the entries is known.
    role_known_at: Time,
    process: Arc<Process>,
    fleet: Arc<Fleet>,
    address: SocketAddr,
    resource: Resource,
    failures: usize,
    /// When the latest call began.
    called_at: Time,
}

impl Watcher {
    async fn run<P: Platform>(mut self) {
        self.wait_until_due().await;
        loop {
            self.stand_by().await;
            match self.list::<P>().await {
                Ok(position) => self.watch::<P>(position).await,
                Err(error) => self.back_off(&error).await,
            }
        }
    }

    /// Waits until this entry, which has just started, has to read the registry itself.
    async fn wait_until_due(&self) {
        loop {
            let now = self.process.clock.now();
            // What peers have sent is not read again before it is known which entries watch for
            // all.
            let due = match self.is_initialized() {
                true => now >= self.role_known_at,
                false => self.bootstrap.is_due(now, self.peers()),
            };
            if due {
                return;
            }
            let _ = timeout(BOOTSTRAP_POLL, self.fleet.changed()).await;
        }
    }

    fn is_initialized(&self) -> bool {
        match self.resource {
            Resource::Text => self.process.revision() > 0 && self.process.knows_cordons(),
            Resource::Targets => self.process.has_target_list(),
        }
    }

    fn peers(&self) -> Peers {
        match self.resource {
            Resource::Text => {
                self.fleet.peer_state(|heartbeat| heartbeat.text > 0 && heartbeat.cordons.is_some())
            }
            Resource::Targets => self.fleet.peer_state(|heartbeat| heartbeat.targets.is_some()),
        }
    }

    /// Waits while other entries watch and send this entry the changes.
    ///
    /// Returns after a random delay once no entry watches for it, or at once while the initial
    /// state is missing.
    async fn stand_by(&self) {
        let mut takeover_at = None;
        loop {
            let now = self.process.clock.now();
            if self.is_covered_by_peers() || !self.is_initialized() {
                takeover_at = None;
            } else {
                let takeover =
                    || now + backoff::initial_delay(self.fleet.registry_role(), rand::random());
                if now >= *takeover_at.get_or_insert_with(takeover) {
                    return;
                }
            }
            if !self.is_initialized() {
                return;
            }
            // The wait is bounded because a change between the check above and the wait is missed.
            let wait = if takeover_at.is_some() { STANDBY_POLL } else { COVERED_POLL };
            let _ = timeout(wait, self.fleet.changed()).await;
        }
    }

    /// Applies changes until watching breaks or is left to other entries.
    async fn watch<P: Platform>(&mut self, mut at: Position) {
        loop {
            // After a restore the registry may use revisions of an earlier era again, so changes
            // since such a revision mean nothing.
            if self.is_covered_by_peers() || self.process.era() != at.era() {
                // Changes until the next watch may be more than the registry keeps, so it starts
                // with a list.
                return;
            }
            match self.watch_once::<P>(at.revision()).await {
                Ok((era, _)) if era != at.era() => return,
                Ok((_, page)) => {
                    at = at.max(Position::new(at.era(), page.revision));
                    self.apply_changes(at, page);
                    if self.resource == Resource::Targets {
                        sleep(self.min_watch_interval()).await;
                    }
                }
                Err(CallError::Expired) => return,
                // The next watch waits for a short time.
                Err(CallError::Uncovered) => {}
                Err(error) => {
                    self.back_off(&error).await;
                    if error.is_in_reply() {
                        // The same changes would fail again, the list may have none of them.
                        return;
                    }
                }
            }
        }
    }

    /// Waits until fewer than two peers reach the registry.
    async fn uncovered(fleet: &Fleet) {
        while fleet.peers_reach_registry() {
            // The wait is bounded because a change between the check and the wait is missed.
            let _ = timeout(STANDBY_POLL, fleet.changed()).await;
        }
    }

    /// Returns the least time until the next watch of targets.
    fn min_watch_interval(&self) -> Duration {
        if self.fleet.is_alone() && self.process.is_idle() {
            return MIN_IDLE_WATCH_INTERVAL;
        }
        if self.fleet.watcher_rank() == Some(0) {
            MIN_WATCH_INTERVAL
        } else {
            MIN_SECOND_WATCH_INTERVAL
        }
    }

    /// Returns whether other entries watch and would send this entry what it misses.
    ///
    /// Each new text ends the watch of every entry that has one. With 80 entries, of which 18 are
    /// active, most calls of a day were watches of texts by standby entries.
    fn is_covered_by_peers(&self) -> bool {
        if !self.is_initialized() {
            return false;
        }
        match self.resource {
            Resource::Targets => {
                let covered = self.fleet.watcher_rank().is_none();
                if covered {
                    self.process.set_watching(false);
                }
                covered
            }
            Resource::Text => self.fleet.is_standby() && self.fleet.peers_reach_registry(),
        }
    }

    async fn call<P: Platform>(
        &mut self,
        path: String,
        reply_timeout: Duration,
    ) -> Result<Reply, CallError> {
        self.called_at = self.process.clock.now();
        let known = self.process.era();
        let (method, headers) = (Method::GET, HeaderMap::new());
        let outgoing = Outgoing { method, path, headers, body: Content::default() };
        let filter = Filter::new(match self.resource {
            Resource::Text => MAX_TEXT_STRING,
            Resource::Targets => MAX_TARGET_STRING,
        });
        let (address, limit) = (self.address, MAX_REPLY_BYTES);
        let result =
            exchange::fetch(address, outgoing, reply_timeout, READ_TIMEOUT, filter, limit).await;
        self.process.metrics.registry_call();
        let response = result.map_err(CallError::Exchange)?;
        let era = self.history.resolve_era(known, P::era(&response.headers));
        match response.status {
            StatusCode::OK => Ok(Reply { era, body: response.body }),
            StatusCode::GONE => Err(CallError::Expired),
            status => Err(CallError::Status(status)),
        }
    }

    /// Reads the full list and returns the position from which to watch.
    async fn list<P: Platform>(&mut self) -> Result<Position, CallError> {
        let mut list = List::default();
        let result = self.read_pages::<P>(&mut list).await;
        let position = list.position.unwrap_or_default();
        match result {
            Ok(()) => {
                self.record_success();
                self.apply_list(position, list.items);
                Ok(position)
            }
            Err(error) => {
                // An entry without any list serves nobody. After a failure that passes the next list is
                // complete, and worth waiting for.
                if error.is_lasting() && list.position.is_some() && !self.has_full_list() {
                    // The lowest position of the era: every complete list replaces this one.
                    self.apply_list(Position::new(position.era(), 0), list.items);
                }
                match list.after {
                    Some(after) => {
                        Err(CallError::Page { after: shorten(&after), error: Box::new(error) })
                    }
                    None => Err(error),
                }
            }
        }
    }

    /// Reads the pages of a list until the last one.
    async fn read_pages<P: Platform>(&mut self, list: &mut List) -> Result<(), CallError> {
        loop {
            let path = P::list_path(self.resource, list.after.as_deref());
            let reply = self.call::<P>(path, LIST_TIMEOUT).await?;
            let page = P::decode_list(self.resource, &reply.body).map_err(CallError::Decode)?;
            // Pages are no snapshot: what changes between them is in the changes after the first
            // page.
            let position = self.history.resolve_position(reply.era, page.revision);
            if list.position.is_some_and(|first| position.has_later_era_than(first)) {
                return Err(CallError::Expired);
            }
            if list.add(position, reply.body.len(), page)? {
                return Ok(());
            }
        }
    }

    /// Returns whether a list was read to its end, by this entry or by a peer.
    fn has_full_list(&self) -> bool {
        let position = match self.resource {
            Resource::Text => self.process.cordons_position(),
            Resource::Targets => self.process.targets_position(),
        };
        self.is_initialized() && position.revision() > 0
    }

    /// Makes one watch call; returns the changes with the era of the reply.
    async fn watch_once<P: Platform>(&mut self, revision: u64) -> Result<(u64, Page), CallError> {
        let wait = match self.resource {
            // After an outage the registry may have been restored from an older copy and have used
            // the revision again. A watch that waits would show that only at its end.
            _ if self.failures > 0 => Duration::ZERO,
            Resource::Targets => TARGETS_WATCH_WAIT,
            // Entries that watch targets always use the short wait for texts. If all entries used
            // the long one and their connections to the registry fell silent together, a new text
            // would be in force nowhere for half a minute.
            Resource::Text
                if self.fleet.peers_reach_registry() && self.fleet.watcher_rank().is_none() =>
            {
                COVERED_WATCH_WAIT
            }
            Resource::Text => WATCH_WAIT,
        };
        let path = P::watch_path(self.resource, revision, wait);
        let fleet = Arc::clone(&self.fleet);
        // The connection of a long watch may hang, which this entry notices only at its end.
        let reply = tokio::select! {
            reply = self.call::<P>(path, wait + WATCH_SLACK) => reply?,
            () = Self::uncovered(&fleet), if wait == COVERED_WATCH_WAIT => {
                return Err(CallError::Uncovered);
            }
        };
        let page = P::decode_watch(self.resource, &reply.body).map_err(CallError::Decode)?;
        let position = self.history.resolve_position(reply.era, page.revision);
        self.record_success();
        Ok((position.era(), page))
    }

    /// Records that a call succeeded.
    fn record_success(&mut self) {
        if self.resource == Resource::Targets {
            if self.failures > 0 {
                self.process.start_lease_grace();
            }
            self.process.set_watching(true);
        }
        self.failures = 0;
        self.process.set_registry_available(true);
    }

    /// Records that a call failed and waits before the next one; logs only the first of several
    /// failures, and each page that can't be read.
    async fn back_off(&mut self, error: &CallError) {
        let now = self.process.clock.now();
        let is_new_page = matches!(error, CallError::Page { .. })
            && self.skipped.record(now, &error.to_string()).is_some();
        if self.failures == 0 || is_new_page {
            let ms = millis(now.since(self.called_at));
            ::log::warn!(what:% = self.resource, ms = ms, error:% = error; "registry call failed");
        }
        self.failures += 1;
        self.process.set_registry_available(false);
        if self.resource == Resource::Targets {
            self.process.set_watching(false);
        }
        sleep(backoff::delay(self.fleet.registry_role(), self.failures, rand::random())).await;
    }

    /// Applies a full list.
    fn apply_list(&mut self, at: Position, items: Vec<Result<Item, DecodeError>>) {
        let changes = self.apply_texts(items);
        let changed = match self.resource {
            Resource::Text => {
                let set = changes.cordons.into_iter().filter_map(|change| match change {
                    cordon::Change::Set(domain) => Some(domain),
                    cordon::Change::Lifted(_) => None,
                });
                self.process.apply_cordon_list(at, set.collect()) || changes.adopted
            }
            Resource::Targets => {
                let put = changes.targets.into_iter().filter_map(|change| match change {
                    Change::Put(target) => Some(target),
                    Change::Gone(_) => None,
                });
                self.process.apply_target_list(at, put.collect(), "registry")
            }
        };
        // The next heartbeats announce what a list changed; entries that lag behind are sent the
        // full state.
        if changed {
            self.fleet.send_heartbeats();
        }
    }

    /// Applies the changes of a watch and sends those that are new to other entries.
    fn apply_changes(&mut self, at: Position, page: Page) {
        let changes = self.apply_texts(page.items);
        let since = self.process.targets_position();
        let new = self.process.apply_target_changes(at, changes.targets);
        if !new.is_empty() {
            self.fleet.announce_changes(since, new);
        }
        let cordoned = self.resource == Resource::Text
            && self.process.apply_cordon_changes(at, &changes.cordons);
        if changes.adopted || cordoned {
            self.fleet.send_heartbeats();
        }
    }

    /// Puts texts in force and returns all other changes.
    fn apply_texts(&mut self, items: Vec<Result<Item, DecodeError>>) -> Changes {
        let mut changes = Changes::default();
        for item in items {
            match item {
                Ok(Item::Text(text)) => {
                    changes.adopted |= self.process.apply_text(*text, "registry")
                }
                Ok(Item::Target(change)) => changes.targets.push(change),
                Ok(Item::Cordon(change)) => changes.cordons.push(change),
                Err(error) => {
                    let now = self.process.clock.now();
                    if let Some(unlogged) = self.skipped.record(now, &error.what) {
                        ::log::warn!(
                            what:% = self.resource, error:% = error, unlogged = unlogged;
                            "registry entry skipped"
                        );
                    }
                }
            }
        }
        changes
    }
}
