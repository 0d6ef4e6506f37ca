//! What a seed does, and when.

use std::time::Duration;

use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;

use crate::rolls::text::Change;
use crate::{Size, rolls};

/// Back ends of each service.
pub(crate) const BACKENDS: usize = 4;

/// The number of the service that has engines.
const ENGINE_SERVICE: usize = 2;

/// Versions of engines.
const VERSIONS: u32 = 3;

/// Failure domains of back ends.
pub(crate) const DOMAINS: usize = 2;

/// Time before the first fault, in which everything starts and links.
pub(crate) const LEAD: Duration = Duration::from_secs(2);

/// Time after the last fault in which everything must have recovered.
pub(crate) const CALM: Duration = Duration::from_secs(6);

/// Time after that in which nearly everything must be served.
pub(crate) const PROOF: Duration = Duration::from_secs(3);

/// One fault; entries and back ends are named by number.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) enum Fault {
    /// SIGKILL, and a start.
    Kill(usize),
    /// SIGKILL of all entries at once, and a start of each.
    KillAll,
    /// SIGTERM, and a start once it has ended.
    Term(usize),
    /// SIGSTOP, and SIGCONT after the fault's span.
    Pause(usize),
    /// SIGHUP.
    Reload(usize),
    /// The registry can't be reached by one entry: connections hang.
    Cut(usize),
    /// What one entry sends to the registry arrives, and nothing comes back.
    CutOneWay(usize),
    /// Every connection to the registry is reset.
    Reset,
    /// The registry answers 503.
    Busy,
    /// The registry takes calls and never answers.
    Silent,
    /// The registry drops its history.
    Forget,
    /// A new text, which moves the versioned route.
    Publish,
    /// A target says that it leaves, and ends two seconds later; another starts.
    Leave(usize),
    /// A target's entry goes away without a word; it ends two seconds later, another starts.
    LeaveSilently(usize),
    /// A target ends at once; its entry stays for a second, then another starts.
    Crash(usize),
    /// Connections to a target are reset.
    ResetTarget(usize),
    /// Connections to a target go silent, new ones too.
    Silence(usize),
    /// Bytes to and from a target are held up.
    Delay(usize),
    /// A target runs what it is asked and loses every other answer.
    Lose(usize),
    /// Every link of an entry carries little: those of others to it, and its own to the registry.
    Narrow(usize),
    /// The links of others to an entry fall silent.
    Hush(usize),
    /// The links of others to an entry are reset.
    ResetPeers(usize),
    /// The registry is away and comes back from a copy of some seconds ago.
    Restore,
    /// A target names a limit, in requests for each ten seconds.
    Limit(usize, u32),
    /// An entry is cut from all targets for the fault's span.
    Isolate(usize, Isolation),
    /// A target says in its answers that it leaves; the registry hears of it seconds later.
    Announce(usize),
    /// A target turns requests away for the fault's span, and asks for so many tenths of a second of
    /// rest.
    Rest(usize, u32),
    /// The targets of a service crash if they reject more than so many requests in a second.
    Fragile(usize, u32),
    /// An engine leaves, and one of this version takes its place.
    Upgrade(usize, u32),
    /// A failure domain is cordoned for the fault's span.
    Cordon(usize),
    /// The targets of a failure domain end, and come back together, cold.
    ColdReturn(usize),
    /// A target stalls for the fault's span, and goes on.
    Stall(usize),
    /// A new text with a change, or without one that the text before had.
    Change(Change),
}

/// What becomes of the connections of an entry that is cut from all targets.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
pub(crate) enum Isolation {
    /// All fall silent.
    Hang,
    /// All are reset, new ones too.
    Reset,
    /// Those that are open live on, new ones are refused.
    RefuseNew,
}

/// A fault at its time.
#[derive(Clone, Copy, Debug, Serialize)]
pub(crate) struct Planned {
    pub(crate) at: Duration,
    pub(crate) span: Duration,
    pub(crate) fault: Fault,
}

/// All that one seed does.
#[derive(Clone, Debug, Serialize)]
pub(crate) struct Plan {
    pub(crate) faults: Vec<Planned>,
    pub(crate) end: Duration,
}

impl Plan {
    /// Draws the faults of a seed: single ones, and series that overlap.
    pub(crate) fn draw(seed: u64, size: Size) -> Self {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let end = LEAD + Duration::from_secs(size.seconds);
        if size.rolls {
            return Self::of_rolls(seed, size, end);
        }
        let (mut at, mut faults) = (LEAD, Vec::new());
        while at < end {
            let series = if rng.random_bool(0.2) { rng.random_range(2..5) } else { 1 };
            for _ in 0..series {
                let span = Duration::from_millis(rng.random_range(300..4_000));
                faults.push(Planned { at, span, fault: fault(&mut rng, size.processes) });
                at += Duration::from_millis(rng.random_range(0..400));
            }
            at += Duration::from_millis(rng.random_range(300..1_800));
        }
        if size.links {
            faults.extend(of_links(seed, size, end));
        }
        if size.needy {
            faults.extend(of_limits(seed, end));
        }
        if size.restores {
            faults.extend(of_restores(seed, end));
        }
        if size.domains {
            faults.extend(of_domains(seed, end));
        }
        if size.isolated {
            faults.extend(of_isolation(seed, size, end));
        }
        if size.overload {
            faults.extend(of_overload(seed, end));
        }
        if size.announcements {
            faults.extend(of_announcements(seed, end));
        }
        if size.versions {
            faults.extend(of_versions(seed, size, end));
        }
        faults.sort_by_key(|planned| planned.at);
        Self { faults, end: end + Duration::from_secs(4) }
    }

    /// Planned work, and no other faults, which would excuse that answers are lost.
    fn of_rolls(seed: u64, size: Size, end: Duration) -> Self {
        let mut faults = rolls::plan::draw(seed, size, end);
        faults.sort_by_key(|planned| planned.at);
        Self { faults, end: end + rolls::plan::grace(seed, size) + Duration::from_secs(4) }
    }
}

/// Faults of links between entries, and texts one after the other while links are narrow. They have a
/// source of their own, so that all else of the seed stays as it is without them.
fn of_links(seed: u64, size: Size, end: Duration) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(!seed);
    let (mut at, mut faults) = (LEAD, Vec::new());
    while at < end {
        let span = Duration::from_millis(rng.random_range(3_000..7_000));
        let entry = rng.random_range(0..size.processes);
        let fault = match rng.random_range(0..5) {
            0..3 => Fault::Narrow(entry),
            3 => Fault::Hush(entry),
            _ => Fault::ResetPeers(entry),
        };
        faults.push(Planned { at, span, fault });
        // Soon enough that the text must be in force while the link is as it is.
        let soon = at + Duration::from_millis(rng.random_range(0..800));
        faults.push(Planned { at: soon, span, fault: Fault::Publish });
        at += Duration::from_millis(rng.random_range(500..2_500));
    }
    faults
}

/// Restores, some of them two in a row.
fn of_restores(seed: u64, end: Duration) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(16));
    let (mut at, mut faults) = (LEAD + Duration::from_secs(2), Vec::new());
    while at < end {
        let span = Duration::from_millis(rng.random_range(100..1_500));
        faults.push(Planned { at, span, fault: Fault::Restore });
        let again = if rng.random_bool(0.3) { 1_600..2_500 } else { 4_000..8_000 };
        at += Duration::from_millis(rng.random_range(again));
    }
    faults
}

/// Cordons, some of both domains and some lifted at once, and domains that come back cold.
fn of_domains(seed: u64, end: Duration) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(48));
    let (mut at, mut faults) = (LEAD, Vec::new());
    while at < end {
        let domain = rng.random_range(0..DOMAINS);
        let fault = match rng.random_bool(0.7) {
            true => Fault::Cordon(domain),
            false => Fault::ColdReturn(domain),
        };
        let span = if rng.random_bool(0.2) { 100..600 } else { 3_000..7_000 };
        let span = Duration::from_millis(rng.random_range(span));
        faults.push(Planned { at, span, fault });
        at += Duration::from_millis(rng.random_range(500..4_000));
    }
    faults
}

/// Cuts of entries from all targets: of one, of half, of those of a failure domain or of all but one;
/// once, or on and off each second.
fn of_isolation(seed: u64, size: Size, end: Duration) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(8));
    let (mut at, mut faults) = (LEAD, Vec::new());
    while at < end {
        let first = rng.random_range(0..size.processes);
        let entries: Vec<usize> = match rng.random_range(0..4) {
            0 => vec![first],
            1 => (0..size.processes / 2).map(|nth| (first + nth) % size.processes).collect(),
            2 => (0..size.processes).filter(|nth| nth % DOMAINS == first % DOMAINS).collect(),
            _ => (0..size.processes).filter(|nth| *nth != first).collect(),
        };
        let kinds = [Isolation::Hang, Isolation::Reset, Isolation::RefuseNew];
        let isolation = kinds[rng.random_range(0..kinds.len())];
        let on_and_off = rng.random_bool(0.2);
        let (span, count) =
            if on_and_off { (1_000, 4) } else { (rng.random_range(2_000..9_000), 1) };
        let span = Duration::from_millis(span);
        for nth in 0..count {
            let at = at + 2 * nth * span;
            let fault = |entry: &usize| Fault::Isolate(*entry, isolation);
            faults.extend(entries.iter().map(|entry| Planned { at, span, fault: fault(entry) }));
        }
        at += (2 * count - 1) * span + Duration::from_millis(rng.random_range(0..3_000));
    }
    faults
}

/// Times in which the targets of a plain service are fragile, one after the other.
fn of_overload(seed: u64, end: Duration) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(24));
    let (mut at, mut faults) = (LEAD, Vec::new());
    while at < end {
        let span = Duration::from_millis(rng.random_range(5_000..9_000));
        let rejects = [1, 3, 50][rng.random_range(0..3)];
        faults.push(Planned { at, span, fault: Fault::Fragile(rng.random_range(0..2), rejects) });
        at += span + Duration::from_millis(rng.random_range(500..2_000));
    }
    faults
}

/// Targets that say in their answers that they leave, or turn requests away and ask for rest.
fn of_announcements(seed: u64, end: Duration) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(40));
    let (mut at, mut faults) = (LEAD, Vec::new());
    while at < end {
        let slot = rng.random_range(0..3 * BACKENDS);
        let span = Duration::from_millis(rng.random_range(500..5_000));
        let fault = match rng.random_bool(0.5) {
            true => Fault::Announce(slot),
            false => Fault::Rest(slot, rng.random_range(0..60)),
        };
        faults.push(Planned { at, span, fault });
        at += Duration::from_millis(rng.random_range(300..2_000));
    }
    faults
}

/// Versions of engines that come and go, as in updates that are rolled out and back, beside engines
/// that crash and entries that are killed, some of them in series.
fn of_versions(seed: u64, size: Size, end: Duration) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(56));
    let (mut at, mut faults, mut version) = (LEAD, Vec::new(), 0);
    while at < end {
        let engine = ENGINE_SERVICE + 3 * rng.random_range(0..BACKENDS);
        let fault = match rng.random_range(0..8) {
            0..4 => Fault::Upgrade(engine, version),
            4..6 => Fault::Crash(engine),
            _ => Fault::Kill(rng.random_range(0..size.processes)),
        };
        if rng.random_bool(0.3) {
            version = rng.random_range(0..VERSIONS);
        }
        faults.push(Planned { at, span: Duration::ZERO, fault });
        let pause = if rng.random_bool(0.3) { 0..100 } else { 200..1_200 };
        at += Duration::from_millis(rng.random_range(pause));
    }
    faults
}

/// Limits that targets name, some at several of a service, some changed while they are named.
fn of_limits(seed: u64, end: Duration) -> Vec<Planned> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed.rotate_left(32));
    let (mut at, mut faults) = (LEAD, Vec::new());
    while at < end {
        let span = Duration::from_millis(rng.random_range(4_000..9_000));
        let limit = rng.random_range(5..40);
        let fault = Fault::Limit(rng.random_range(0..3 * BACKENDS), limit);
        faults.push(Planned { at, span, fault });
        at += Duration::from_millis(rng.random_range(300..2_500));
    }
    faults
}

fn fault(rng: &mut ChaCha8Rng, entries: usize) -> Fault {
    let entry = rng.random_range(0..entries);
    let target = rng.random_range(0..3 * BACKENDS);
    match rng.random_range(0..21) {
        0 => Fault::Kill(entry),
        1 if rng.random_bool(0.3) => Fault::KillAll,
        1 | 2 => Fault::Term(entry),
        3 => Fault::Pause(entry),
        4 => Fault::Reload(entry),
        5 => Fault::Cut(entry),
        6 => Fault::CutOneWay(entry),
        7 => Fault::Reset,
        8 => Fault::Busy,
        9 => Fault::Silent,
        10 => Fault::Forget,
        11 | 12 => Fault::Publish,
        13 | 14 => Fault::Leave(target),
        15 => Fault::LeaveSilently(target),
        16 => Fault::Crash(target),
        17 => Fault::ResetTarget(target),
        18 | 19 => Fault::Lose(target),
        _ if rng.random_bool(0.5) => Fault::Silence(target),
        _ => Fault::Delay(target),
    }
}
