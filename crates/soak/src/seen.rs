//! What was seen in one run.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use fireflyhoist_policy::lease::Target;
use smol_str::{SmolStr, format_smolstr};
use tokio::time::Instant;

use crate::ledger::{Asked, Disturbed, Isolated, Ledger, Limit, Overload, Probed, Span, Word};
use crate::parts;
use crate::rolls::{Rolled, Stop};
use crate::streams::Try;

/// What everyone in a run notes what they see in.
#[derive(Clone, Debug)]
pub(crate) struct Seen {
    began: Instant,
    over: Rc<Cell<bool>>,
    ledger: Rc<RefCell<Ledger>>,
    /// The versions of the engines that take requests, by target.
    versions: Rc<RefCell<BTreeMap<SmolStr, SmolStr>>>,
}

impl Seen {
    /// Begins now.
    pub(crate) fn open() -> Self {
        Self {
            began: Instant::now(),
            over: Rc::default(),
            ledger: Rc::default(),
            versions: Rc::default(),
        }
    }

    pub(crate) fn now(&self) -> Duration {
        self.began.elapsed()
    }

    pub(crate) fn is_over(&self) -> bool {
        self.over.get()
    }

    pub(crate) fn ran(&self, request: &SmolStr, run: u64) {
        self.ledger.borrow_mut().runs.entry(request.clone()).or_default().insert(run);
    }

    pub(crate) fn arrived(&self, request: &SmolStr, target: &SmolStr) {
        let arrival = (request.clone(), target.clone(), self.now());
        self.ledger.borrow_mut().arrivals.push(arrival);
    }

    /// Notes that a request has reached a target, which may stall before it reads more of it.
    pub(crate) fn reached(&self, request: SmolStr) {
        self.ledger.borrow_mut().rolls.reached.insert(request);
    }

    /// Notes that a target's work on a request is complete.
    pub(crate) fn finished(&self, request: SmolStr) {
        let now = self.now();
        self.ledger.borrow_mut().rolls.finished.insert(request, now);
    }

    pub(crate) fn rolled(&self, rolled: Rolled) {
        self.ledger.borrow_mut().rolls.requests.push(rolled);
    }

    /// Notes that an entry that got SIGTERM has ended.
    pub(crate) fn stopped(&self, entry: usize, from: Duration) {
        let stop = Stop { entry, from, ended: self.now() };
        self.ledger.borrow_mut().rolls.stops.push(stop);
    }

    /// Notes that a timer of the soak was late.
    pub(crate) fn delayed(&self, delay: Duration) {
        let mut ledger = self.ledger.borrow_mut();
        ledger.rolls.delay = ledger.rolls.delay.max(delay);
    }

    /// Notes the time that entries have to drain.
    pub(crate) fn drains_within(&self, grace: Duration) {
        self.ledger.borrow_mut().rolls.grace = grace;
    }

    pub(crate) fn asked_with_parts(&self, asked: parts::Asked) {
        self.ledger.borrow_mut().part.asked.push(asked);
    }

    /// Notes that a request with the part that ends targets has reached one.
    pub(crate) fn bad_part_arrived(&self, request: &SmolStr) {
        let arrival = (self.now(), request.clone());
        self.ledger.borrow_mut().part.arrivals.push(arrival);
    }

    /// Notes that a target ended on that part.
    pub(crate) fn ended_on_part(&self) {
        let now = self.now();
        self.ledger.borrow_mut().part.ends.push(now);
    }

    /// Notes that all entries were killed.
    pub(crate) fn forgotten(&self) {
        let now = self.now();
        self.ledger.borrow_mut().part.forgotten.push(now);
    }

    /// Notes that a target takes requests from now on, if it has a version.
    pub(crate) fn serves(&self, listed: &Target) {
        if let Some(software) = &listed.software {
            let version = format_smolstr!("{software}");
            self.versions.borrow_mut().insert(listed.instance.clone(), version);
        }
    }

    /// Notes that a target takes no requests from now on.
    pub(crate) fn ceases(&self, listed: &Target) {
        self.versions.borrow_mut().remove(&listed.instance);
    }

    /// Returns how many targets of a version take requests.
    pub(crate) fn serving(&self, version: &SmolStr) -> usize {
        self.versions.borrow().values().filter(|one| *one == version).count()
    }

    pub(crate) fn tried(&self, tried: Try) {
        self.ledger.borrow_mut().tries.push(tried);
    }

    pub(crate) fn asked(&self, asked: Asked) {
        self.ledger.borrow_mut().asked.push(asked);
    }

    /// Notes that an entry, or where there is none all, owe no bound for a while.
    pub(crate) fn disturbed(&self, entry: Option<usize>, span: Duration) {
        let from = self.now();
        self.ledger.borrow_mut().disturbed.push(Disturbed { entry, from, to: from + span });
    }

    /// Notes that a target said in the answer to a request that it leaves, or asked for rest.
    pub(crate) fn said(&self, request: &str, target: &SmolStr, rest: Option<Duration>) {
        let at = self.now();
        let word = Word { request: request.into(), target: target.clone(), at, rest };
        self.ledger.borrow_mut().words.push(word);
    }

    /// Notes that a fragile target of a service rejected too much.
    pub(crate) fn overloaded(&self, service: &str, rejected: Vec<SmolStr>) {
        let overload = Overload { service: service.into(), at: self.now(), rejected };
        self.ledger.borrow_mut().overloads.push(overload);
    }

    /// Notes that the targets of a service were fragile from a time until now.
    pub(crate) fn fragile(&self, service: &str, from: Duration) {
        let fragile = Span { of: service.into(), from, to: self.now() };
        self.ledger.borrow_mut().fragile.push(fragile);
    }

    /// Notes that the links of others to an entry are cut for a while, or reset.
    pub(crate) fn unlinked(&self, entry: usize, span: Duration) {
        let from = self.now();
        let unlinked = Disturbed { entry: Some(entry), from, to: from + span };
        self.ledger.borrow_mut().unlinked.push(unlinked);
    }

    /// Notes that a version of the text is published, whose routes have this timeout at least.
    pub(crate) fn published(&self, version: u64, timeout: Duration) {
        let now = self.now();
        self.ledger.borrow_mut().published.push((now, version));
        self.ledger.borrow_mut().rolls.timeouts.push((now, timeout));
    }

    pub(crate) fn probed(&self, probed: Probed) {
        self.ledger.borrow_mut().probed.push(probed);
    }

    /// Notes that a target ended under the poison.
    pub(crate) fn poisoned(&self) {
        let at = self.now();
        self.ledger.borrow_mut().ends.push(at);
    }

    /// Notes that a target names a limit for a while.
    pub(crate) fn limited(&self, target: SmolStr, per_s: f64, from: Duration) {
        let limit = Limit { target, per_s, from, to: self.now() };
        self.ledger.borrow_mut().limits.push(limit);
    }

    /// Notes that a target that has just started is cold for a while.
    pub(crate) fn cold(&self, target: &SmolStr, lasts: Duration) {
        let from = self.now();
        let cold = Span { of: target.clone(), from, to: from + lasts };
        self.ledger.borrow_mut().cold.push(cold);
    }

    /// Notes that a failure domain was cordoned from a time until now.
    pub(crate) fn cordoned(&self, domain: &str, from: Duration) {
        let cordon = Span { of: domain.into(), from, to: self.now() };
        self.ledger.borrow_mut().cordons.push(cordon);
    }

    /// Notes that the registry's list of cordons differs from what the operator wrote.
    pub(crate) fn strayed(&self, domain: &str) {
        let stray = (self.now(), domain.into());
        self.ledger.borrow_mut().strays.push(stray);
    }

    /// Notes that an entry was cut from all targets from a time until now.
    pub(crate) fn isolated(&self, entry: usize, from: Duration) {
        let isolated = Isolated { entry, from, to: self.now() };
        self.ledger.borrow_mut().isolations.push(isolated);
    }

    /// Notes that an entry ended by itself.
    pub(crate) fn exited(&self, entry: usize) {
        let exit = (self.now(), entry);
        self.ledger.borrow_mut().exits.push(exit);
    }

    /// Notes when a target's leaving is known, once.
    pub(crate) fn left(&self, instance: SmolStr) {
        let at = self.now();
        self.ledger.borrow_mut().left.entry(instance).or_insert(at);
    }

    /// Notes that no fault acts any more.
    pub(crate) fn calmed(&self) {
        self.ledger.borrow_mut().calm = self.now();
    }

    /// The run is over, for whoever looks.
    pub(crate) fn end(&self) {
        self.over.set(true);
    }

    /// Everything that was noted.
    pub(crate) fn take(&self) -> Ledger {
        self.ledger.take()
    }
}
