//! How faults are done to the processes, links and back ends of a run.

use std::time::Duration;

use fireflyhoist_policy::lease::{State, Target};
use fireflyhoist_standin::registry::Mood;
use rustix::process::{Pid, Signal, kill_process};
use tokio::sync::mpsc;
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep};

use crate::backend::{self, Backend, SERVICES, Traits};
use crate::caller;
use crate::entry;
use crate::plan::{BACKENDS, DOMAINS, Fault, Isolation, Planned};
use crate::proxy::{Mode, Proxy};
use crate::world::World;

/// How long a target serves on after its leaving is known.
const NOTICE: Duration = Duration::from_secs(2);

/// From the end of a process or target until the next one starts.
const RESTART: Duration = Duration::from_millis(300);

/// An entry that was started anew and does not listen after so long is traced: the programs listen
/// within tenths of a second, and three runs beside builds had some that never did.
const STALLED: Duration = Duration::from_secs(4);

/// Time between two copies of the registry, and how many are kept.
const COPY: Duration = Duration::from_millis(500);
const COPIES: usize = 6;

/// Within which what a copy lacks is written again.
const REWRITE: Duration = Duration::from_secs(2);

/// How long an entry that just started owes no bound.
const START: Duration = Duration::from_secs(2);

impl World {
    /// Does one fault, and undoes it where it lasts.
    pub(super) async fn strike(self, planned: Planned) {
        let Planned { span, fault, .. } = planned;
        match fault {
            Fault::Kill(nth) => self.kill(nth).await,
            Fault::KillAll => {
                self.seen.forgotten();
                let all = 0..self.entries.len();
                let kills = all.map(|nth| spawn_local(self.clone().kill_owned(nth)));
                for kill in kills.collect::<Vec<_>>() {
                    // A task of its own does not panic.
                    let _ = kill.await;
                }
            }
            Fault::Term(nth) => self.term(nth).await,
            Fault::Pause(nth) => self.pause(nth, span).await,
            Fault::Reload(nth) => self.signal(nth, Signal::HUP),
            Fault::Cut(nth) => self.link(nth, Mode::Silent, span).await,
            Fault::CutOneWay(nth) => self.link(nth, Mode::OneWay, span).await,
            Fault::Reset => {
                self.seen.disturbed(None, Duration::ZERO);
                self.entries.iter().for_each(|entry| entry.link.reset());
            }
            Fault::Busy => self.mood(Mood::Busy, span).await,
            Fault::Silent => self.mood(Mood::Silent, span).await,
            Fault::Forget => self.registry.forget(),
            Fault::Restore => self.restore(span).await,
            Fault::Publish => self.publish(),
            Fault::Change(change) => self.change(change),
            Fault::Stall(slot) => self.backends[slot].borrow().stall(span),
            Fault::Leave(slot) => self.leave(slot, true).await,
            Fault::LeaveSilently(slot) => self.leave(slot, false).await,
            Fault::Crash(slot) => self.crash(slot).await,
            Fault::ResetTarget(slot) => self.proxies[slot].reset(),
            Fault::Silence(slot) => self.target_link(slot, Mode::Silent, span).await,
            Fault::Lose(slot) => {
                self.backends[slot].borrow().set_losing(true);
                sleep(span).await;
                self.backends[slot].borrow().set_losing(false);
            }
            Fault::Delay(slot) => self.target_link(slot, Mode::Late, span).await,
            Fault::Narrow(nth) => {
                // No disturbance: what an entry owes, it owes on a narrow link as well.
                self.entries[nth].link.set_mode(Mode::Narrow);
                self.peers(nth, Mode::Narrow, span).await;
                self.entries[nth].link.set_mode(Mode::Open);
            }
            Fault::Hush(nth) => {
                self.seen.unlinked(nth, span);
                self.peers(nth, Mode::Silent, span).await;
            }
            Fault::Limit(slot, tenths) => {
                self.name_limit(slot, f64::from(tenths) / 10.0, span).await
            }
            Fault::Upgrade(slot, version) => {
                self.versions.borrow_mut()[slot] = version;
                self.leave(slot, true).await;
            }
            Fault::Isolate(nth, isolation) => self.isolate(nth, isolation, span).await,
            Fault::Announce(slot) => self.announce(slot, span).await,
            Fault::Rest(slot, tenths) => {
                let instance = self.backends[slot].borrow().listed.instance.clone();
                let rest = Duration::from_millis(100) * tenths;
                self.backends[slot].borrow().set_rest(Some(rest));
                sleep(span).await;
                if self.backends[slot].borrow().listed.instance == instance {
                    self.backends[slot].borrow().set_rest(None);
                }
            }
            Fault::Fragile(service, rejects) => self.fragile(service, rejects, span).await,
            Fault::Cordon(domain) => self.cordon(domain, span).await,
            Fault::ColdReturn(domain) => {
                let slots = (0..self.backends.len()).filter(|slot| slot % DOMAINS == domain);
                slots.for_each(|slot| _ = spawn_local(self.clone().crash_owned(slot)));
            }
            Fault::ResetPeers(nth) => {
                self.seen.unlinked(nth, Duration::ZERO);
                self.entries[nth].peers.iter().for_each(Proxy::reset);
            }
        }
    }

    async fn kill_owned(self, nth: usize) {
        self.kill(nth).await;
    }

    async fn kill(&self, nth: usize) {
        let entry = &self.entries[nth];
        if entry.busy.replace(true) {
            return;
        }
        self.seen.disturbed(Some(nth), RESTART + START);
        {
            let mut child = entry.child.borrow_mut();
            // It may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.restart(nth).await;
    }

    async fn term(&self, nth: usize) {
        let entry = &self.entries[nth];
        if entry.busy.replace(true) {
            return;
        }
        let (grace, from) = (self.grace, self.seen.now());
        self.seen.disturbed(Some(nth), grace + RESTART + START);
        self.signal(nth, Signal::TERM);
        let end = Instant::now() + grace + Duration::from_secs(1);
        while Instant::now() < end {
            sleep(Duration::from_millis(50)).await;
            if matches!(entry.child.borrow_mut().try_wait(), Ok(Some(_))) {
                break;
            }
        }
        {
            let mut child = entry.child.borrow_mut();
            // It has ended, or is ended as its platform would.
            let _ = child.kill();
            let _ = child.wait();
        }
        self.seen.stopped(nth, from);
        self.restart(nth).await;
    }

    /// Starts an entry anew, which the caller has marked as busy.
    pub(super) async fn restart(&self, nth: usize) {
        let entry = &self.entries[nth];
        sleep(RESTART).await;
        entry.starts.set(entry.starts.get() + 1);
        let log = self.logs.join(format!("{}-{}.log", entry.host, entry.starts.get()));
        match entry::start(&entry.host, &entry.settings, &log) {
            Ok(child) => *entry.child.borrow_mut() = child,
            Err(error) => eprintln!("soak: {error}"),
        }
        entry.busy.set(false);
        spawn_local(self.clone().trace_if_stalled(nth, entry.starts.get()));
    }

    /// Writes down what a process waits for that does not listen in time.
    async fn trace_if_stalled(self, nth: usize, start: u32) {
        sleep(STALLED).await;
        let entry = &self.entries[nth];
        let same = start == entry.starts.get() && !entry.busy.get() && !self.seen.is_over();
        if same && caller::connect(entry.callers).await.is_none() {
            let path = self.logs.join(format!("{}-{start}.trace", entry.host));
            let child = entry.child.borrow().id();
            entry::trace(child, &path);
            eprintln!("soak: {} does not listen; see {}", entry.host, path.display());
        }
    }

    async fn pause(&self, nth: usize, span: Duration) {
        if self.entries[nth].busy.replace(true) {
            return;
        }
        self.seen.disturbed(Some(nth), span);
        self.signal(nth, Signal::STOP);
        sleep(span).await;
        self.signal(nth, Signal::CONT);
        self.entries[nth].busy.set(false);
    }

    /// Signals an entry's process where it still runs.
    ///
    /// **Failure:** between the end of a process and the next one's start its number may be another
    /// program's, which a reload would end. A child that is not yet waited for keeps its number.
    fn signal(&self, nth: usize, signal: Signal) {
        let mut child = self.entries[nth].child.borrow_mut();
        if !matches!(child.try_wait(), Ok(None)) {
            return;
        }
        let id = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        // It may end just now; its number is kept until it is waited for.
        let _ = id.map(|id| kill_process(id, signal));
    }

    async fn link(&self, nth: usize, mode: Mode, span: Duration) {
        self.seen.disturbed(Some(nth), span);
        self.entries[nth].link.set_mode(mode);
        sleep(span).await;
        self.entries[nth].link.set_mode(Mode::Open);
    }

    /// Does something to the links of others to an entry.
    async fn peers(&self, nth: usize, mode: Mode, span: Duration) {
        self.entries[nth].peers.iter().for_each(|proxy| proxy.set_mode(mode));
        sleep(span).await;
        self.entries[nth].peers.iter().for_each(|proxy| proxy.set_mode(Mode::Open));
    }

    async fn target_link(&self, slot: usize, mode: Mode, span: Duration) {
        self.proxies[slot].set_mode(mode);
        sleep(span).await;
        self.proxies[slot].set_mode(Mode::Open);
    }

    async fn mood(&self, mood: Mood, span: Duration) {
        self.seen.disturbed(None, span);
        self.registry.set_mood(mood);
        sleep(span).await;
        self.registry.set_mood(Mood::Well);
    }

    /// Takes the registry away, and brings it back from the oldest copy kept; what was written since is
    /// written again within [`REWRITE`], and what is gone lapses.
    async fn restore(&self, span: Duration) {
        self.seen.disturbed(None, span + REWRITE);
        self.registry.set_mood(Mood::Busy);
        sleep(span).await;
        let copy = self.copies.borrow().front().cloned();
        if let Some(copy) = copy {
            self.registry.restore(copy);
        }
        self.registry.set_mood(Mood::Well);
        for backend in self.backends.iter() {
            sleep(REWRITE / 2 / BACKENDS as u32 / 3).await;
            self.registry.put(backend.borrow().entry());
        }
        sleep(REWRITE / 4).await;
        for listed in self.registry.targets() {
            let lives = self.backends.iter().any(|one| one.borrow().listed.id == listed.id);
            if !lives {
                self.registry.remove(&listed);
            }
        }
        for domain in 0..DOMAINS {
            let name = backend::domain(domain);
            match self.cordoned.borrow().contains(&domain) {
                true => self.registry.cordon(&name),
                // The copy may be older than the operator's latest lift.
                false => self.registry.lift(&name),
            }
        }
        self.registry.publish(self.text());
    }

    /// Keeps copies of the registry, the oldest some seconds old.
    pub(super) async fn copy(self) {
        while !self.seen.is_over() {
            sleep(COPY).await;
            let mut copies = self.copies.borrow_mut();
            copies.push_back(self.registry.copy());
            if copies.len() > COPIES {
                copies.pop_front();
            }
        }
    }

    async fn leave(&self, slot: usize, says: bool) {
        let listed = self.backends[slot].borrow().listed.clone();
        self.backends[slot].borrow().leave();
        self.seen.ceases(&listed);
        match says {
            true => self.registry.put(Target { state: State::Draining, ..listed.clone() }),
            false => self.registry.remove(&listed),
        }
        self.seen.left(listed.instance.clone());
        sleep(NOTICE + Duration::from_millis(500)).await;
        self.replace(slot, &listed).await;
    }

    /// A target names a limit, until it ends or names none any more.
    async fn name_limit(&self, slot: usize, per_s: f64, span: Duration) {
        let instance = self.backends[slot].borrow().listed.instance.clone();
        if !self.backends[slot].borrow().set_limit(&instance, Some(per_s)) {
            return;
        }
        let from = self.seen.now();
        sleep(span).await;
        self.seen.limited(instance.clone(), per_s, from);
        self.backends[slot].borrow().set_limit(&instance, None);
    }

    /// Replaces targets that were ended by a request.
    pub(super) async fn replace_ended(self, mut ends: mpsc::UnboundedReceiver<usize>) {
        while let Some(slot) = ends.recv().await {
            let world = self.clone();
            spawn_local(async move { world.crash(slot).await });
        }
    }

    /// Cordons a failure domain, where it is not already.
    async fn cordon(&self, domain: usize, span: Duration) {
        let name = backend::domain(domain);
        if !self.cordoned.borrow_mut().insert(domain) {
            return;
        }
        let from = self.seen.now();
        self.registry.cordon(&name);
        sleep(span).await;
        self.seen.cordoned(name.as_str(), from);
        self.registry.lift(&name);
        self.cordoned.borrow_mut().remove(&domain);
    }

    /// A target says in its answers that it leaves, and after a time to the registry.
    async fn announce(&self, slot: usize, span: Duration) {
        let listed = self.backends[slot].borrow().listed.clone();
        self.backends[slot].borrow().announce();
        sleep(span).await;
        if self.backends[slot].borrow().listed.id == listed.id {
            self.leave(slot, true).await;
        }
    }

    async fn fragile(&self, service: usize, rejects: u32, span: Duration) {
        let from = self.seen.now();
        let all = || self.backends.iter().filter(|one| one.borrow().service() == SERVICES[service]);
        let end = Instant::now() + span;
        while Instant::now() < end {
            // Those that were replaced say so too.
            all().for_each(|one| one.borrow().set_fragile(Some(rejects)));
            sleep(Duration::from_millis(20)).await;
        }
        self.seen.fragile(SERVICES[service], from);
        all().for_each(|one| one.borrow().set_fragile(None));
    }

    async fn isolate(&self, nth: usize, isolation: Isolation, span: Duration) {
        let forwarder = self.entries[nth].forwarder.iter();
        let from = self.seen.now();
        forwarder.clone().for_each(|forwarder| forwarder.set_isolation(Some(isolation)));
        sleep(span).await;
        self.seen.isolated(nth, from);
        forwarder.for_each(|forwarder| forwarder.set_isolation(None));
    }

    async fn crash_owned(self, slot: usize) {
        self.crash(slot).await;
    }

    async fn crash(&self, slot: usize) {
        let listed = self.backends[slot].borrow().listed.clone();
        self.seen.ceases(&listed);
        self.backends[slot].borrow().crash();
        sleep(Duration::from_secs(1)).await;
        self.replace(slot, &listed).await;
    }

    /// Ends a target where it is still the one of its slot, and starts the next at its address.
    async fn replace(&self, slot: usize, old: &Target) {
        if self.backends[slot].borrow().listed.id != old.id {
            return;
        }
        self.backends[slot].borrow().crash();
        self.registry.remove(old);
        self.proxies[slot].reset();
        self.starts.set(self.starts.get() + 1);
        let (nth, proxy) = (self.starts.get(), &self.proxies[slot]);
        let version = self.size.versions.then(|| self.versions.borrow()[slot]);
        let (engines, ended) = (&self.engines, &self.ended);
        let traits = Traits { version, unframed: self.size.unframed };
        let next = Backend::start(slot, nth, traits, proxy, engines, ended, &self.seen).await;
        let next = if self.size.domains { next.cold() } else { next };
        self.seen.serves(&next.listed);
        self.registry.put(next.listed.clone());
        *self.backends[slot].borrow_mut() = next;
    }
}
