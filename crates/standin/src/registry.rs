//! A registry that lists texts and targets, and can be silent, refuse, forget or come back from a copy.

use std::collections::{BTreeMap, BTreeSet};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_gateway::native::{ERA_HEADER, Listing};
use fireflyhoist_policy::lease::{Change, Target};
use fireflyhoist_policy::route::Text;
use fireflyhoist_policy::{cordon, id};
use fireflyhoist_wire::registry::CORDONS_PATH;
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

/// What it does with calls.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Mood {
    /// It answers.
    #[default]
    Well,
    /// It answers 503.
    Busy,
    /// It takes calls and never answers.
    Silent,
}

/// What a registry holds.
#[derive(Clone, Debug, Default)]
pub struct Copy {
    revision: u64,
    text: Option<(u64, Text)>,
    /// Every change, with its revision.
    changes: Vec<(u64, Change)>,
    /// The same of cordons.
    cordons: Vec<(u64, cordon::Change)>,
    /// Changes up to this revision are forgotten.
    forgotten: u64,
}

#[derive(Debug, Default)]
struct State {
    mood: Mood,
    held: Copy,
    /// How often it came back from a copy; said in every answer but where it is kept quiet.
    era: u64,
    quiet: bool,
    calls: u64,
    /// Calls up to this one are never answered.
    lost: u64,
}

/// A registry on loopback.
#[derive(Clone, Debug)]
pub struct Registry {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Registry {
    /// Listens on a free port; runs on the thread that opens it.
    pub async fn open() -> Self {
        Self::bind(SocketAddr::from(([127, 0, 0, 1], 0))).await.expect("a free port")
    }

    /// Listens on `listen`; runs on the thread that opens it.
    pub async fn bind(listen: SocketAddr) -> io::Result<Self> {
        let listener = TcpListener::bind(listen).await?;
        let address = listener.local_addr()?;
        let state = Arc::new(Mutex::new(State::default()));
        let own = Self { address, state };
        let served = own.clone();
        tokio::task::spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::task::spawn_local(served.clone().serve(stream));
            }
        });
        Ok(own)
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes what it does with calls.
    pub fn set_mood(&self, mood: Mood) {
        self.state.lock().mood = mood;
    }

    /// Calls that came so far.
    pub fn calls(&self) -> u64 {
        self.state.lock().calls
    }

    /// Writes a text.
    pub fn publish(&self, text: Text) {
        let mut state = self.state.lock();
        state.held.revision += 1;
        state.held.text = Some((state.held.revision, text));
    }

    /// Writes a target's entry.
    pub fn put(&self, target: Target) {
        self.change(Change::Put(target));
    }

    /// Takes a target's entry away.
    pub fn remove(&self, target: &Target) {
        self.change(Change::Gone(target.id.clone()));
    }

    /// Cordons a failure domain.
    pub fn cordon(&self, domain: &id::Domain) {
        self.change_cordon(cordon::Change::Set(domain.clone()));
    }

    /// Lifts its cordon.
    pub fn lift(&self, domain: &id::Domain) {
        self.change_cordon(cordon::Change::Lifted(domain.clone()));
    }

    fn change_cordon(&self, change: cordon::Change) {
        let mut state = self.state.lock();
        state.held.revision += 1;
        let revision = state.held.revision;
        state.held.cordons.push((revision, change));
    }

    /// Loses the connections of all calls in progress without a word; new ones are answered.
    pub fn lose_calls(&self) {
        let mut state = self.state.lock();
        state.lost = state.calls;
    }

    /// Drops its history, so that watches must read the list again.
    pub fn forget(&self) {
        let mut state = self.state.lock();
        state.held.revision += 1;
        state.held.forgotten = state.held.revision;
    }

    /// The targets that it lists.
    pub fn targets(&self) -> Vec<Target> {
        let target = |change| match change {
            Change::Put(target) => Some(target),
            Change::Gone(_) => None,
        };
        list(&self.state.lock().held.changes).into_iter().filter_map(target).collect()
    }

    /// What it holds now.
    pub fn copy(&self) -> Copy {
        self.state.lock().held.clone()
    }

    /// Comes back from a copy: what was written since is gone, and revisions are given out again.
    pub fn restore(&self, copy: Copy) {
        let mut state = self.state.lock();
        state.held = copy;
        state.era += 1;
    }

    /// Says another era from now on.
    pub fn set_era(&self, era: u64) {
        self.state.lock().era = era;
    }

    /// Says nothing of its era from now on.
    pub fn keep_quiet(&self) {
        self.state.lock().quiet = true;
    }

    fn change(&self, change: Change) {
        let mut state = self.state.lock();
        state.held.revision += 1;
        let revision = state.held.revision;
        state.held.changes.push((revision, change));
    }

    async fn serve(self, mut stream: TcpStream) {
        let mut bytes = vec![0; 4096];
        let Ok(read) = stream.read(&mut bytes).await else { return };
        let head = String::from_utf8_lossy(&bytes[..read]).into_owned();
        let mut line = head.split(' ');
        let method = line.next().unwrap_or_default().to_owned();
        let path = line.next().unwrap_or_default().to_owned();
        let call = {
            let mut state = self.state.lock();
            state.calls += 1;
            state.calls
        };
        let mood = self.state.lock().mood;
        // As strict as a registry may be: HTTP/1.1 wants the header.
        let named = head.to_ascii_lowercase().contains("\r\nhost: ");
        let reply = match mood {
            _ if !named => self.response(400, ""),
            Mood::Silent => std::future::pending().await,
            Mood::Busy => self.response(503, ""),
            Mood::Well if path.starts_with(CORDONS_PATH) => self.operate(&method, &path),
            Mood::Well => self.reply(&path).await,
        };
        if call <= self.state.lock().lost {
            std::future::pending::<()>().await;
        }
        // The caller may have given up.
        let _ = stream.write_all(&reply).await;
    }

    /// Does what an operator asks about cordons.
    fn operate(&self, method: &str, path: &str) -> Vec<u8> {
        let named = path.strip_prefix(CORDONS_PATH).and_then(|rest| rest.strip_prefix('/'));
        let domain = named.map(str::parse::<id::Domain>);
        match (method, domain) {
            ("GET", None) => {
                let domains: Vec<id::Domain> = self.cordoned().into_iter().collect();
                self.response(200, &serde_json::to_string(&domains).expect("JSON"))
            }
            ("PUT", Some(Ok(domain))) => {
                self.cordon(&domain);
                self.response(204, "")
            }
            ("DELETE", Some(Ok(domain))) => {
                self.lift(&domain);
                self.response(204, "")
            }
            (_, Some(Err(error))) => self.response(400, &error.to_string()),
            _ => self.response(405, ""),
        }
    }

    /// The failure domains that are cordoned.
    pub fn cordoned(&self) -> BTreeSet<id::Domain> {
        let state = self.state.lock();
        cordoned(state.held.cordons.iter().map(|(_, change)| change))
    }

    async fn reply(&self, path: &str) -> Vec<u8> {
        let number = |key: &str| -> Option<u64> {
            let query = path.split_once('?')?.1;
            query.split('&').find_map(|pair| pair.strip_prefix(key))?.parse().ok()
        };
        let since = number("since=");
        // By the clock: on a busy machine rounds of ten milliseconds take longer and add up.
        let end = Instant::now() + Duration::from_millis(number("wait_ms=").unwrap_or_default());
        let texts = path.starts_with("/v1/registry/text");
        loop {
            let held = |since| {
                let state = self.state.lock();
                (state.held.forgotten..=state.held.revision).contains(&since)
            };
            if since.is_some_and(|since| !held(since)) {
                return self.response(410, "");
            }
            if self.state.lock().mood != Mood::Well {
                return self.response(503, "");
            }
            let listing = self.listing(texts, since);
            let news = listing.text.is_some()
                || !listing.targets.is_empty()
                || !listing.cordons.is_empty();
            if since.is_none() || news || Instant::now() >= end {
                return self.response(200, &serde_json::to_string(&listing).expect("JSON"));
            }
            sleep(Duration::from_millis(10)).await;
        }
    }

    fn response(&self, status: u16, body: &str) -> Vec<u8> {
        let state = self.state.lock();
        let era = (!state.quiet).then(|| format!("{ERA_HEADER}: {}\r\n", state.era));
        let (era, length) = (era.unwrap_or_default(), body.len());
        format!(
            "HTTP/1.1 {status} X\r\n{era}content-length: {length}\r\nconnection: close\r\n\r\n{body}"
        )
        .into_bytes()
    }

    fn listing(&self, texts: bool, since: Option<u64>) -> Listing {
        let state = self.state.lock();
        let from = since.unwrap_or_default();
        let mut listing = Listing { revision: state.held.revision, ..Listing::default() };
        if texts {
            let text = state.held.text.as_ref().filter(|(revision, _)| *revision > from);
            listing.text = text.map(|(_, text)| text.clone());
            let news = state.held.cordons.iter().filter(|(revision, _)| *revision > from);
            let news = news.map(|(_, change)| change);
            listing.cordons = match since {
                Some(_) => news.cloned().collect(),
                None => cordoned(news).into_iter().map(cordon::Change::Set).collect(),
            };
        } else if since.is_some() {
            let news = state.held.changes.iter().filter(|(revision, _)| *revision > from);
            listing.targets = news.map(|(_, change)| change.clone()).collect();
        } else {
            listing.targets = list(&state.held.changes);
        }
        listing
    }
}

/// What is cordoned after all changes.
fn cordoned<'a>(changes: impl Iterator<Item = &'a cordon::Change>) -> BTreeSet<id::Domain> {
    let mut set = BTreeSet::new();
    for change in changes {
        match change {
            cordon::Change::Set(domain) => set.insert(domain.clone()),
            cordon::Change::Lifted(domain) => set.remove(domain),
        };
    }
    set
}

/// What is listed after all changes.
fn list(changes: &[(u64, Change)]) -> Vec<Change> {
    let mut listed = BTreeMap::new();
    for (_, change) in changes {
        match change {
            Change::Put(target) => listed.insert(target.id.clone(), target.clone()),
            Change::Gone(id) => listed.remove(id),
        };
    }
    listed.into_values().map(Change::Put).collect()
}
