//! The platform's store: lists, watches, and a way to cut the watches that wait.

use std::collections::BTreeMap;
use std::io::Write;
use std::net::{TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, json};

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, (u64, String)>,
    /// All changes: the revision, the key, and the value unless it was removed.
    changes: Vec<(u64, String, Option<String>)>,
    cuts: u64,
    /// Whether it answers no call.
    silent: bool,
}

pub struct Store {
    pub port: u16,
    state: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn open() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let port = listener.local_addr().expect("bound").port();
        let state =
            Arc::new((Mutex::new(State { revision: 10, ..State::default() }), Condvar::new()));
        let serving = Arc::clone(&state);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let state = Arc::clone(&serving);
                std::thread::spawn(move || serve(stream, &state));
            }
        });
        Self { port, state }
    }

    pub fn put(&self, key: &str, value: &str) {
        self.change(key, Some(value));
    }

    pub fn remove(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<&str>) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no panic");
        state.revision += 1;
        let revision = state.revision;
        match value {
            Some(value) => _ = state.items.insert(key.to_owned(), (revision, value.to_owned())),
            None => _ = state.items.remove(key),
        }
        state.changes.push((revision, key.to_owned(), value.map(str::to_owned)));
        changed.notify_all();
    }

    /// Stops answering calls, or answers those that come from now on; the others stay unanswered.
    pub fn set_silent(&self, silent: bool) {
        let (state, changed) = &*self.state;
        let mut state = state.lock().expect("no panic");
        state.silent = silent;
        state.cuts += 1;
        changed.notify_all();
    }

    /// Cuts all watches that wait.
    pub fn cut(&self) {
        let (state, changed) = &*self.state;
        state.lock().expect("no panic").cuts += 1;
        changed.notify_all();
    }
}

fn item(key: &str, revision: u64, value: Option<&str>) -> String {
    match value {
        Some(value) => {
            let value = base64(value.as_bytes());
            format!(
                r#"{{"key":"{key}","value":"{value}","rev":{revision},"created":{revision},"lease":0}}"#
            )
        }
        None => format!(r#"{{"key":"{key}","rev":{revision},"tombstone":true}}"#),
    }
}

fn serve(mut stream: TcpStream, state: &(Mutex<State>, Condvar)) {
    let Some(request) = Message::read(&mut stream) else { return };
    let query = request.path().split_once('?').map_or("", |(_, query)| query).to_owned();
    let value = |name: &str| {
        let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        pairs.find(|(key, _)| *key == name).map(|(_, value)| value.replace("%2F", "/"))
    };
    let prefix = value("prefix").unwrap_or_default();
    let after = value("after").unwrap_or_default();
    let (state, changed) = state;
    let mut state = state.lock().expect("no panic");
    if state.silent {
        drop(state);
        // The connection stays open without an answer.
        std::thread::sleep(Duration::from_secs(10));
        return;
    }
    let body = if request.path().starts_with("/kv-range") {
        let items = state.items.iter().filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let items: Vec<String> =
            items.map(|(key, (revision, value))| item(key, *revision, Some(value))).collect();
        let revision = state.revision;
        format!(r#"{{"items":[{}],"hasMore":false,"currentRev":{revision}}}"#, items.join(","))
    } else if request.path().starts_with("/kv-watch") {
        let after: u64 = after.parse().unwrap_or(0);
        let wait = value("waitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(wait);
        let cuts = state.cuts;
        loop {
            if state.cuts != cuts {
                if state.silent {
                    drop(state);
                    std::thread::sleep(Duration::from_secs(10));
                }
                return;
            }
            let new =
                state.changes.iter().filter(|(at, key, _)| *at > after && key.starts_with(&prefix));
            let events: Vec<String> =
                new.map(|(at, key, value)| item(key, *at, value.as_deref())).collect();
            let left = end.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let revision = state.revision;
                break format!(r#"{{"events":[{}],"currentRev":{revision}}}"#, events.join(","));
            }
            state = changed.wait_timeout(state, left).expect("no panic").0;
        }
    } else {
        drop(state);
        let _ = stream.write_all(json("404 Not Found", "{}").as_bytes());
        return;
    };
    drop(state);
    let _ = stream.write_all(json("200 OK", &body).as_bytes());
}

fn base64(bytes: &[u8]) -> String {
    const SYMBOLS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for three in bytes.chunks(3) {
        let at = |index: usize| u32::from(three.get(index).copied().unwrap_or(0));
        let bits = at(0) << 16 | at(1) << 8 | at(2);
        for index in 0..4 {
            let symbol = SYMBOLS[(bits >> (18 - 6 * index) & 63) as usize];
            text.push(if index <= three.len() { symbol as char } else { '=' });
        }
    }
    text
}
