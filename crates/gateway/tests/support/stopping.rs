//! Engines that stop runs for moves in many ways, and an entry before them.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fireflyhoist_gateway::Gateway;
use fireflyhoist_gateway::native::{Copied, Move};
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use parking_lot::Mutex;
use tokio::net::TcpListener;

use super::caller::{self, Answer, Request};
use super::target::{Seen, Standin, Step, answer, declined, events};
use super::{eventually, gateway, route, text};

/// The events of each answer.
pub(crate) const LENGTH: u64 = 30;

/// Time from each event to the next.
pub(crate) const GAP: Duration = Duration::from_millis(60);

/// Time after which an engine replies that has stopped its run and closed its stream.
pub(crate) const PROMPT: Duration = Duration::from_millis(20);

/// How the end of a stream is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Framing {
    Connection,
    /// The same over HTTP/1.0.
    Old,
    Chunks,
    Length,
}

impl Framing {
    fn head(self, from: u64) -> Step {
        let (version, header) = match self {
            Self::Connection => ("1.1", String::new()),
            Self::Old => ("1.0", String::new()),
            Self::Chunks => ("1.1", "transfer-encoding: chunked\r\n".to_owned()),
            Self::Length => ("1.1", format!("content-length: {}\r\n", events(from, LENGTH).len())),
        };
        Step::Write(format!(
            "HTTP/{version} 200 OK\r\nfireflyhoist-request: r-1\r\ncontent-type: text/event-stream\r\n\
             {header}\r\n"
        ))
    }

    fn part(self, text: &str) -> Step {
        Step::Write(match self {
            Self::Chunks => format!("{:x}\r\n{text}\r\n", text.len()),
            _ => text.to_owned(),
        })
    }
}

/// How an engine closes the stream of a run that it stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Close {
    /// In order between two events, after this time.
    BetweenEvents(Duration),
    WithinEvent,
    Reset,
}

/// What an engine replies when it is told to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reply {
    /// It has copied the rest.
    Copied,
    /// It keeps the memory, since the other engine has no room any more.
    Kept,
    /// This status, and no name of a copy.
    Status(u16),
    /// The first bytes of a reply that names the copy.
    CutOff,
    /// Nothing: the connection of the call is reset.
    Lost,
}

/// What an engine does when it is told to stop a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Last {
    /// It stops the run, closes its stream, and replies after a time. Later calls get 404.
    Stops(Close, Duration, Reply),
    /// The run goes on for so many calls, which get this status; the next one stops it.
    RefusesFirst(u32, u16),
    /// The run goes on, and each call gets this status.
    Refuses(u16),
    /// The same, and the reply says that the call was not run.
    Declines(u16),
    /// The run ends as it is called, and after this time it replies that there is none.
    HasEnded(Duration),
    /// It stops the run, and each call gets 409.
    StopsAndStaysBusy,
    /// The run has written its last event, but its stream is open; it is stopped and copied.
    StopsAfterLastEvent,
}

impl Last {
    pub(crate) const fn stops(after: Duration, reply: Reply) -> Self {
        Self::Stops(Close::BetweenEvents(Duration::ZERO), after, reply)
    }
}

/// What an engine does when a run is to go on from a copy there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Resume {
    GoesOn,
    /// It answers that it did not run the request.
    Declines,
    /// It has ended by the time that the first run is told to stop.
    IsGone,
}

/// What the engines of a test do.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Manner {
    pub(crate) framing: Framing,
    pub(crate) last: Last,
    /// At the engine that the run is copied to.
    pub(crate) resume: Resume,
    /// At the engine whose run was stopped.
    pub(crate) resume_at_source: Resume,
}

impl Manner {
    pub(crate) const fn of(last: Last) -> Self {
        let (resume, resume_at_source) = (Resume::GoesOn, Resume::GoesOn);
        Self { framing: Framing::Connection, last, resume, resume_at_source }
    }
}

/// What is left of a run.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
enum Progress {
    #[default]
    Running,
    /// It writes no more events, and its stream ends at this time.
    Stopped(Instant),
    /// It writes all that are left at once.
    Finishing,
    /// It has come to its own end.
    Ended,
}

/// The state of one engine that its scripts share.
#[derive(Debug, Default)]
struct State {
    progress: Mutex<Progress>,
    /// The calls to stop a run.
    told: Mutex<u32>,
    /// Whether it has run the request.
    is_source: Mutex<bool>,
    /// The last event that was written.
    written: Mutex<u64>,
}

impl State {
    fn reply(self: &Arc<Self>, seen: &Seen, manner: Manner) -> Vec<Step> {
        let line = seen.line();
        if line.contains("/v1/report") {
            return answer(200, "{}");
        }
        if line.starts_with("DELETE") {
            return answer(200, "");
        }
        if line.contains("/move") {
            let request: Move = serde_json::from_str(&seen.body).expect("a move");
            return match request.last {
                true => self.reply_to_last(manner.last),
                false => self.reply_to_first(manner),
            };
        }
        if seen.header("fireflyhoist-copy").is_some() {
            let is_source = *self.is_source.lock();
            let resume = if is_source { manner.resume_at_source } else { manner.resume };
            if resume != Resume::GoesOn {
                return declined();
            }
        }
        *self.is_source.lock() = true;
        *self.progress.lock() = Progress::Running;
        let last: u64 = seen.header("last-event-id").map_or(0, |id| id.parse().expect("a number"));
        self.run(last + 1, manner)
    }

    /// Replies to a call that copies a run while it goes on.
    fn reply_to_first(&self, manner: Manner) -> Vec<Step> {
        if matches!(*self.progress.lock(), Progress::Ended | Progress::Finishing) {
            return answer(404, "{}");
        }
        let Manner { last, resume, .. } = manner;
        let has_no_room = resume != Resume::GoesOn
            || matches!(
                last,
                Last::Stops(_, _, Reply::Kept) | Last::Refuses(_) | Last::Declines(_)
            );
        match has_no_room && *self.told.lock() > 0 {
            true => answer(503, "{}"),
            false => copied(200, "c-1"),
        }
    }

    /// Replies to a call that stops a run.
    fn reply_to_last(self: &Arc<Self>, last: Last) -> Vec<Step> {
        let (mut told, mut progress) = (self.told.lock(), self.progress.lock());
        *told += 1;
        if last == Last::StopsAndStaysBusy {
            *progress = Progress::Stopped(Instant::now());
            return answer(409, "{}");
        }
        if *progress != Progress::Running {
            return answer(404, "{}");
        }
        let wait = |after, reply: Vec<Step>| [vec![Step::Wait(after)], reply].concat();
        match last {
            Last::RefusesFirst(times, status) if *told <= times => answer(status, "{}"),
            Last::Refuses(status) => answer(status, "{}"),
            Last::Declines(status) => vec![Step::Write(format!(
                "HTTP/1.1 {status} X\r\nfireflyhoist-declined: 1\r\ncontent-length: 0\r\n\r\n"
            ))],
            Last::HasEnded(after) => {
                *progress = Progress::Finishing;
                wait(after, answer(404, "{}"))
            }
            Last::StopsAfterLastEvent => {
                drop((told, progress));
                let own = Arc::clone(self);
                let is_written = Step::Until(Arc::new(move || *own.written.lock() == LENGTH));
                let stop = |own: &Self| *own.progress.lock() = Progress::Stopped(Instant::now());
                [vec![is_written, self.set(stop)], wait(PROMPT, copied(200, "c-2"))].concat()
            }
            Last::RefusesFirst(..) | Last::StopsAndStaysBusy => {
                *progress = Progress::Stopped(Instant::now());
                wait(PROMPT, copied(200, "c-2"))
            }
            Last::Stops(close, after, reply) => {
                let delay = match close {
                    Close::BetweenEvents(delay) => delay,
                    Close::WithinEvent | Close::Reset => Duration::ZERO,
                };
                *progress = Progress::Stopped(Instant::now() + delay);
                let reply = match reply {
                    Reply::Copied => copied(200, "c-2"),
                    Reply::Kept => copied(503, "c-2"),
                    Reply::Status(status) => answer(status, "{}"),
                    Reply::CutOff => vec![Step::Write(
                        "HTTP/1.1 200 OK\r\ncontent-length: 14\r\n\r\n{\"copy\":".to_owned(),
                    )],
                    Reply::Lost => vec![Step::Reset],
                };
                wait(after, reply)
            }
        }
    }

    /// Runs from an event until the end, or until the run is stopped, which ends its stream.
    fn run(self: &Arc<Self>, from: u64, manner: Manner) -> Vec<Step> {
        let Manner { framing, last, .. } = manner;
        let close = match last {
            Last::Stops(close, ..) => close,
            _ => Close::BetweenEvents(Duration::ZERO),
        };
        let mut steps = vec![framing.head(from)];
        for id in from..=LENGTH {
            let event = events(id, id);
            let (first, rest) = event.split_at(if close == Close::WithinEvent { 9 } else { 0 });
            if !first.is_empty() {
                steps.extend([framing.part(first), self.pause(GAP / 2), self.check(close)]);
            }
            let written = self.set(move |own| *own.written.lock() = id);
            steps.extend([framing.part(rest), written, self.pause(GAP)]);
            if close != Close::WithinEvent {
                steps.push(self.check(close));
            }
        }
        steps.push(self.set(|own| *own.progress.lock() = Progress::Ended));
        steps.extend((framing == Framing::Chunks).then(super::target::stream_end));
        steps
    }

    /// Changes the state.
    fn set(self: &Arc<Self>, set: impl Fn(&Self) + Send + Sync + 'static) -> Step {
        let own = Arc::clone(self);
        Step::Only(Arc::new(move || {
            set(&own);
            true
        }))
    }

    /// Waits for a time while the run goes on, and until its stream ends if it is stopped.
    fn pause(self: &Arc<Self>, span: Duration) -> Step {
        let (own, begun) = (Arc::clone(self), Mutex::new(None));
        Step::Until(Arc::new(move || {
            let since = *begun.lock().get_or_insert_with(Instant::now);
            match *own.progress.lock() {
                Progress::Running => since.elapsed() >= span,
                Progress::Stopped(at) => Instant::now() >= at,
                Progress::Finishing | Progress::Ended => true,
            }
        }))
    }

    /// Ends the stream if the run is stopped.
    fn check(self: &Arc<Self>, close: Close) -> Step {
        let own = Arc::clone(self);
        let goes_on = move || !matches!(*own.progress.lock(), Progress::Stopped(_));
        match close {
            Close::Reset => Step::OrReset(Arc::new(goes_on)),
            Close::BetweenEvents(_) | Close::WithinEvent => Step::Only(Arc::new(goes_on)),
        }
    }
}

fn copied(status: u16, name: &str) -> Vec<Step> {
    let copied = Copied { copy: Some(name.into()) };
    answer(status, &serde_json::to_string(&copied).expect("JSON"))
}

/// An entry before engines that stop runs.
pub(crate) struct Fleet {
    registry: Registry,
    pub(crate) entry: Gateway,
    engines: Vec<(Standin, Arc<State>)>,
    manner: Manner,
}

impl Fleet {
    pub(crate) async fn open(resumable: bool, count: usize, manner: Manner) -> Self {
        let registry = Registry::open().await;
        let route = Route { attempts: 1, ..route("gen", Kind::Stream { resumable }) };
        let mut text = text(1, vec![route]);
        let engine = text.services[0].engine.as_mut().expect("a service of engines");
        engine.backups = false;
        registry.publish(text);
        let mut engines = Vec::new();
        for nth in 1..=count {
            let state = Arc::new(State::default());
            let own = Arc::clone(&state);
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let script = move |seen: &Seen| own.reply(seen, manner);
            let engine = Standin::on(listener, &format!("e-{nth}"), "gen", script);
            registry.put(engine.listed.clone());
            engines.push((engine, state));
        }
        let entry = gateway(&registry).await;
        Self { registry, entry, engines, manner }
    }

    /// The requests that began a run or went on with one, at each engine.
    pub(crate) fn runs(&self) -> Vec<usize> {
        self.count(|seen| seen.line().contains("/gen/"))
    }

    /// The calls that free a copy, over all engines.
    pub(crate) fn freed(&self) -> usize {
        self.count(|seen| seen.line().starts_with("DELETE")).iter().sum()
    }

    fn count(&self, counts: impl Fn(&Seen) -> bool) -> Vec<usize> {
        let of = |engine: &Standin| engine.seen().iter().filter(|seen| counts(seen)).count();
        self.engines.iter().map(|(engine, _)| of(engine)).collect()
    }

    /// The request for a generation.
    pub(crate) fn request(&self) -> Request {
        Request::stream("/gen/x", 500).body("b")
    }

    /// Has a generation answered whose engine leaves once it runs; each engine that goes on leaves too,
    /// until so many have.
    pub(crate) async fn generation(&self, leaving: usize) -> Answer {
        let caller = self.request().open(self.entry.callers()).await;
        let answered = tokio::task::spawn_local(caller::read(caller));
        self.drain_after(leaving).await;
        answered.await.expect("the caller ends")
    }

    /// Has the engine of each run leave once it has begun, until so many have.
    pub(crate) async fn drain_after(&self, runs: usize) {
        let mut before = vec![0; self.engines.len()];
        for nth in 1..=runs {
            eventually(async || self.runs().iter().sum::<usize>() >= nth).await;
            let at = self.runs().iter().zip(&before).position(|(now, before)| now > before);
            let at = at.expect("it runs");
            before = self.runs();
            self.registry.put(self.engines[at].0.draining());
        }
    }

    /// Stops the entry as SIGTERM does; returns what it needs until it has ended.
    pub(crate) fn drain_entry(self) -> Registry {
        tokio::task::spawn_local(self.entry.drain());
        self.registry
    }

    /// Waits until an engine was told to stop a run.
    pub(crate) async fn told(&self) {
        eventually(async || self.engines.iter().any(|(_, state)| *state.told.lock() > 0)).await;
        if self.manner.resume == Resume::IsGone {
            let others = self.engines.iter().filter(|(_, state)| !*state.is_source.lock());
            others.for_each(|(engine, _)| engine.end());
        }
        if self.manner.resume_at_source == Resume::IsGone {
            // The reply is on its way.
            tokio::time::sleep(PROMPT * 2).await;
            let sources = self.engines.iter().filter(|(_, state)| *state.is_source.lock());
            sources.for_each(|(engine, _)| engine.end());
        }
    }
}
