//! The pump of one generation: takes events from engines and hands them to the caller, once each
//! and in order, whichever engine they come from.

use std::cell::Cell;
use std::convert::Infallible;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;

use fireflyhoist_policy::gate::Outcome;
use fireflyhoist_policy::lease::Target;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use futures_util::future::{Fuse, FutureExt};
use futures_util::{Stream, pin_mut};
use ntex::time::sleep;
use ntex::util::Bytes;
use tokio::sync::mpsc;

use crate::connection::exchange::Response;
use crate::platform::Platform;
use crate::process::lane::Pass;
use crate::process::state::RequestGuard;
use crate::request::attempt::{Begun, Ended};
use crate::request::carry::{self, Arrived, Backup, Trip, Way};
use crate::request::sse::Splitter;
use crate::request::{Inquiry, Worker, broken};

/// Pieces that wait for a slow caller before its engine is held back as well.
const BACKLOG: usize = 32;

/// An engine that makes nothing for so long is given up where a copy of the answer is kept.
///
/// The failure: an engine goes dark, its connections stay open, and the caller waits until its
/// entry lapses seconds later. Ten times the longest ordinary time between two events; a run that
/// is only slow goes on from its copy without loss.
const SILENCE: Duration = Duration::from_millis(700);

/// Tries to carry one answer on after which it is given up.
const TRIPS: u32 = 12;

/// What the body of a response is told.
enum Piece {
    Bytes(Bytes),
    /// The answer is whole.
    End,
}

/// The body of the caller's response.
pub(crate) struct Body {
    pieces: mpsc::Receiver<Piece>,
    ended: bool,
}

impl Stream for Body {
    type Item = Result<Bytes, Infallible>;

    fn poll_next(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<Option<Self::Item>> {
        if self.ended {
            return Poll::Ready(None);
        }
        match self.pieces.poll_recv(cx) {
            Poll::Ready(Some(Piece::Bytes(bytes))) => Poll::Ready(Some(Ok(bytes))),
            Poll::Ready(Some(Piece::End)) => {
                self.ended = true;
                Poll::Ready(None)
            }
            // The failure: a body that ends here looks whole to the caller, and one that fails
            // makes the library write a second response into the middle of it. The pump has closed
            // the connection, so nothing more is ever said.
            Poll::Ready(None) | Poll::Pending => Poll::Pending,
        }
    }
}

/// How a pump ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum End {
    Whole,
    /// The caller went away.
    Left,
    /// Broken off: its time is up.
    Late,
    /// Broken off: no engine goes on with it.
    Cut,
}

pub(crate) struct Pump {
    worker: Worker,
    inquiry: Rc<Inquiry>,
    pass: Pass,
    backup: Option<Backup>,
    /// `None` while the old run has stopped and the next has not begun.
    upstream: Option<Response>,
    /// The engine as it was listed when the run began there.
    at: Option<Target>,
    /// When the run was sent there.
    sent: Time,
    splitter: Splitter,
    last: Rc<Cell<Option<u64>>>,
    events: u64,
    trips: u32,
    /// Runs that began at an engine and not from the memory of another.
    runs: u32,
    /// The place where the way of a copy failed, so that it is not tried twice.
    switched: bool,
    pieces: mpsc::Sender<Piece>,
    _open: Option<RequestGuard>,
}

impl Pump {
    /// Starts to pump an answer whose head is there; returns the body for the caller.
    pub(crate) fn spawn<P: Platform>(
        worker: Worker,
        inquiry: Rc<Inquiry>,
        pass: Pass,
        backup: Option<Backup>,
        begun: Begun,
        runs: u32,
        open: Option<RequestGuard>,
    ) -> Body {
        let (pieces, receiver) = mpsc::channel(BACKLOG);
        let last = Rc::new(Cell::new(inquiry.facts.last_event));
        let at = worker.process.target(pass.target());
        let pump = Self {
            worker,
            inquiry,
            pass,
            backup,
            upstream: Some(begun.response),
            at,
            sent: begun.sent,
            splitter: Splitter::default(),
            last,
            events: 0,
            trips: 0,
            runs,
            switched: false,
            pieces,
            _open: open,
        };
        ntex::rt::spawn(pump.run::<P>()).detach();
        Body { pieces: receiver, ended: false }
    }

    async fn run<P: Platform>(mut self) {
        let began = self.worker.process.clock.now();
        let end = self.play::<P>().await;
        let elapsed = self.worker.process.clock.now().since(began);
        log::info!(
            request = self.inquiry.facts.request.as_str(), end:? = end, events = self.events,
            last = self.last.get().unwrap_or(0), trips = self.trips, target:% = self.pass.target(),
            ms = crate::process::state::millis(elapsed); "stream ended"
        );
        match end {
            End::Whole => {
                // A caller that left meanwhile needs no end.
                let _ = self.pieces.send(Piece::End).await;
                self.worker.process.record_completion(self.inquiry.print);
                self.pass.finish(Outcome::Whole);
            }
            End::Left => self.pass.finish(Outcome::Cancelled),
            End::Late | End::Cut => {
                if let Some(io) = &self.inquiry.io {
                    io.close();
                }
                let outcome = if end == End::Cut { Outcome::Failed } else { Outcome::Cancelled };
                self.pass.finish(outcome);
            }
        }
    }

    async fn play<P: Platform>(&mut self) -> End {
        let gone = self.inquiry.io.as_ref().map(ntex::io::IoRef::on_disconnect);
        let gone = async move {
            match gone {
                Some(gone) => gone.await,
                None => std::future::pending().await,
            }
        };
        let deadline = sleep(self.inquiry.left(self.worker.process.clock.now()));
        let carrying = Fuse::terminated();
        pin_mut!(gone, deadline, carrying);
        let mut targets = self.worker.process.watch_targets();
        let (mut under_way, mut silent) = (false, false);
        loop {
            if !under_way && (silent || self.wants_to_go()) {
                silent = false;
                match self.trip() {
                    Some(trip) => {
                        let (worker, inquiry) = (self.worker.clone(), Rc::clone(&self.inquiry));
                        carrying.set(carry::go::<P>(worker, inquiry, trip).fuse());
                        under_way = true;
                    }
                    None if self.upstream.is_none() => return End::Cut,
                    None => {}
                }
            }
            tokio::select! {
                biased;
                () = &mut gone => return End::Left,
                () = &mut deadline => return End::Late,
                arrived = &mut carrying, if under_way => {
                    under_way = false;
                    self.take(arrived);
                }
                chunk = next(&mut self.upstream) => match chunk {
                    Some(bytes) => {
                        if !self.forward(&bytes).await {
                            return End::Left;
                        }
                    }
                    None if self.is_whole() => return End::Whole,
                    None => self.broke_off(),
                },
                _ = targets.changed() => self.look_at_engines(),
                () = sleep(SILENCE), if self.backup.is_some() => silent = true,
            }
        }
    }

    /// The run ended without its end.
    fn broke_off(&mut self) {
        self.upstream = None;
        if let Some(at) = &self.at {
            broken::Run::of(&self.worker, &self.inquiry, at, self.sent).spawn();
        }
    }

    /// Whether the answer must go on elsewhere: its engine leaves, or its run ended unfinished.
    fn wants_to_go(&self) -> bool {
        match &self.upstream {
            None => true,
            Some(_) if self.may_stay() => false,
            Some(_) => !self.worker.process.is_target_ready(self.pass.target()),
        }
    }

    /// Whether the answer is better left where it is: it is expected to end within the notice, and
    /// where it does not, another run can go on after its last event.
    fn may_stay(&self) -> bool {
        let long = carry::is_long(&self.inquiry) || self.produced() >= carry::WORTH_A_COPY;
        self.inquiry.route.kind.is_idempotent() && !long
    }

    /// The next way to try; `None` where there is none.
    fn trip(&mut self) -> Option<Trip> {
        if self.trips >= TRIPS {
            return None;
        }
        let engine = self.inquiry.service.engine.as_ref()?;
        let (moves, resumable) = (engine.moves, self.inquiry.route.kind.is_idempotent());
        let process = &self.worker.process;
        let (way, to) = if let Some(backup) = self.backup.take_if(|_| !self.switched) {
            self.switched = true;
            (Way::Switch, vec![process.target(backup.target())?])
        } else if self.upstream.is_some() && moves {
            let from = process.target(self.pass.target())?;
            (Way::Move { from, left: self.left(), held: self.held() }, self.refuges())
        } else if self.upstream.is_none() && resumable && self.may_run_again() {
            self.runs += 1;
            (Way::Again, self.refuges())
        } else {
            return None;
        };
        if to.is_empty() {
            return None;
        }
        self.trips += 1;
        Some(Trip { way, to, last: Rc::clone(&self.last) })
    }

    /// Whether the route and the retry budget allow one more run.
    fn may_run_again(&self) -> bool {
        self.runs < self.inquiry.route.attempts && self.pass.try_repeat()
    }

    fn refuges(&self) -> Vec<Target> {
        let process = &self.worker.process;
        let near = process.same_domain_targets(self.pass.target());
        let refuges = self.pass.refuges(&near, None);
        refuges.iter().filter_map(|refuge| process.target(refuge)).collect()
    }

    /// Tokens that the answer is expected to hold still: by the caller's guess, or where it has
    /// passed that, a third of what it has, since long answers tend to go on.
    fn left(&self) -> Tokens {
        let produced = self.produced();
        let guess = carry::expected(&self.inquiry).get();
        Tokens::new(guess.saturating_sub(produced).max(produced / 3))
    }

    /// Tokens in the answer's memory.
    fn held(&self) -> Tokens {
        Tokens::new(self.inquiry.facts.prompt_tokens.get() + self.produced())
    }

    fn produced(&self) -> u64 {
        let engine = self.inquiry.service.engine.as_ref();
        self.events * engine.map_or(1, |engine| u64::from(engine.tokens_per_event))
    }

    fn take(&mut self, arrived: Result<Arrived, Ended>) {
        // Where the trip failed, the old run goes on for as long as it can.
        let Ok(arrived) = arrived else { return };
        self.pass.transfer(&arrived.to);
        drop(arrived.kept);
        // A copy of its own would share the links over which others still leave.
        self.backup = None;
        self.upstream = Some(arrived.begun.response);
        self.sent = arrived.begun.sent;
        self.at = self.worker.process.target(&arrived.to);
        self.splitter = Splitter::default();
        self.switched = false;
    }

    /// Gives up what is lost with its engine: a copy where that leaves or gets nothing new, and a run or a copy where it
    /// has started again.
    ///
    /// **Failure:** an engine is cut off, crashes, and starts again under its name before its lease
    /// ends. The connection to the old start stays silent for good, and nothing else tells that the
    /// run is gone: its caller waits until its time is up. **Guard:** the newer start does.
    fn look_at_engines(&mut self) {
        let process = &self.worker.process;
        let leaves = |backup: &Backup| {
            !process.is_target_ready(backup.target()) || process.is_cordoned(backup.listed())
        };
        let restarted = |known: &Target| {
            process.target(&known.id).is_some_and(|listed| listed.is_restart_of(known))
        };
        if self.backup.as_ref().is_some_and(|b| leaves(b) || restarted(b.listed())) {
            self.backup = None;
        }
        if self.at.as_ref().is_some_and(restarted) {
            log::info!(
                request = self.inquiry.facts.request.as_str(), target:% = self.pass.target();
                "run lost, its engine has started again"
            );
            self.upstream = None;
            if let Some(at) = self.at.take() {
                broken::Run::of(&self.worker, &self.inquiry, &at, self.sent).ended();
            }
        }
    }

    /// Whether the run that just closed in order had come to its end.
    fn is_whole(&self) -> bool {
        self.splitter.is_empty() && self.upstream.is_some()
    }

    /// Hands on the events that the caller has not had yet; false once it is gone.
    async fn forward(&mut self, bytes: &Bytes) -> bool {
        let Ok(events) = self.splitter.feed(bytes) else {
            self.upstream = None;
            return true;
        };
        for event in events {
            if let Some(id) = event.id {
                // The old run made these while the next one began.
                if self.last.get().is_some_and(|last| id <= last) {
                    continue;
                }
                self.last.set(Some(id));
            }
            self.events += 1;
            if self.pieces.send(Piece::Bytes(event.bytes)).await.is_err() {
                return false;
            }
        }
        self.progress();
        true
    }

    fn progress(&mut self) {
        self.pass.progress(Tokens::new(self.produced()), self.events == 1);
        let held = self.held().get();
        if let Some(backup) = &mut self.backup {
            backup.grow(held);
        }
    }
}

/// The next bytes of a run; `None` at its end, in order or not.
async fn next(upstream: &mut Option<Response>) -> Option<Bytes> {
    match upstream {
        Some(response) => match response.chunk().await {
            Ok(Some(bytes)) => Some(bytes),
            Ok(None) => None,
            Err(_) => {
                *upstream = None;
                None
            }
        },
        None => std::future::pending().await,
    }
}
