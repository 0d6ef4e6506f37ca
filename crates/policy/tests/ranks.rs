//! The order of requests by rank, at the queue and at one gate.

use std::collections::BTreeMap;
use std::time::Duration;

use fireflyhoist_policy::gate::{Class, Gate, Outcome, Reason, Report, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::queue::{CAPACITY, Item, Queue};
use fireflyhoist_policy::resubmission::{Fingerprint, Ledger, Resubmission};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use yare::parameterized;

fn at(ms: u64) -> Time {
    Time::ZERO + Duration::from_millis(ms)
}

fn request(number: u128, workspace: &str, class: Class, rank: u8, now: Time) -> Request {
    Request {
        id: id::Request::new(number),
        workspace: workspace.parse().expect("a name"),
        class,
        rank,
        prompt: Tokens::new(200),
        limit: Tokens::new(1_000),
        prefix: 0,
        objective: now + Duration::from_secs(4),
        deadline: now + Duration::from_secs(16),
        retry: false,
        avoid: None,
    }
}

fn ranked() -> Queue {
    let mut queue = Queue::open(true);
    queue.set_ranked(true);
    queue
}

fn push(queue: &mut Queue, number: u128, workspace: &str, rank: u8) {
    let now = at(u64::try_from(number).expect("a small number"));
    let request = request(number, workspace, Class::Live, rank, now);
    queue.push(now, Item { request, work: 100.0 }, false);
}

fn next(queue: &mut Queue) -> Option<Request> {
    let (level, workspace) = queue.next_workspaces().into_iter().next()?;
    let item = queue.pop(Time::ZERO, level, &workspace)?;
    queue.charge(&workspace, item.work);
    Some(item.request)
}

fn target() -> id::Target {
    "t0".parse().expect("a name")
}

fn full() -> Report {
    let (capacity, used) = (Tokens::new(26_000), Tokens::new(26_000));
    Report { capacity, used, running: 20, waiting: 0, preemptions: 0 }
}

fn gate(ranks: bool) -> Gate {
    let settings = Settings { ranks, shed_late: true, share: false, ..Settings::default() };
    let mut gate = Gate::open(settings);
    gate.set_targets(Time::ZERO, vec![target()]);
    gate.report(Time::ZERO, &target(), &full(), Duration::ZERO);
    gate
}

/// Guards against an urgent request waiting behind less urgent ones, and against one of these
/// starving while urgent ones keep coming: the ranks below the first get one turn in eight.
#[parameterized(two_ranks = { &[0, 2], &[70, 10] }, three_ranks = { &[0, 1, 2], &[70, 5, 5] })]
fn urgent_ranks_go_first_and_none_starves(ranks: &[u8], expected: &[usize]) {
    let mut queue = ranked();
    for number in 0..100 {
        for rank in ranks {
            push(&mut queue, number * 10 + u128::from(*rank), "w", *rank);
        }
    }
    let served: Vec<u8> = (0..80).filter_map(|_| next(&mut queue)).map(|r| r.rank).collect();
    let count = |rank: &u8| served.iter().filter(|served| *served == rank).count();
    assert_eq!(served[..7], [0; 7]);
    assert_eq!(ranks.iter().map(count).collect::<Vec<_>>(), expected);
}

/// Guards against a workspace with an urgent rank that sends without end taking the shares of all
/// others: they keep a quarter of their equal part.
#[test]
fn an_urgent_workspace_leaves_others_a_quarter_of_their_part() {
    let mut queue = ranked();
    for number in 0..400 {
        push(&mut queue, number, "urgent", 0);
        push(&mut queue, 1_000 + number, &format!("w{}", number % 23), 2);
    }
    let mut served: BTreeMap<id::Workspace, u32> = BTreeMap::new();
    for request in (0..368).filter_map(|_| next(&mut queue)) {
        *served.entry(request.workspace).or_default() += 1;
    }
    // An equal part of 368 turns among 24 workspaces is 15.3.
    assert_eq!(served.len(), 24, "{served:?}");
    assert!(served.values().all(|count| *count >= 3), "{served:?}");
}

/// Guards against a new text changing the rank of later requests only. A request that waits takes
/// its place in the new order, also when ranks are switched on or off.
#[test]
fn a_change_of_rank_applies_to_waiting_requests() {
    let mut queue = ranked();
    (0..3).for_each(|number| push(&mut queue, number, "one", 1));
    (3..6).for_each(|number| push(&mut queue, number, "two", 2));
    queue.update_ranks(|request| (request.get() >= 4).then_some(0));
    assert_eq!(next(&mut queue).map(|r| r.id.get()), Some(4));
    queue.set_ranked(false);
    queue.charge(&"one".parse().expect("a name"), 1_000.0);
    assert_eq!(next(&mut queue).map(|r| r.id.get()), Some(3), "the first of its workspace");
    queue.set_ranked(true);
    let rest: Vec<u128> = std::iter::from_fn(|| next(&mut queue)).map(|r| r.id.get()).collect();
    assert_eq!(rest, [5, 0, 1, 2]);
}

/// Guards against an urgent request being refused because less urgent ones fill the queue, and
/// against one that may have run at a target being told that it has not.
#[test]
fn a_full_queue_refuses_the_least_urgent() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut gate = gate(true);
    for number in 0..CAPACITY as u128 {
        let rank = if number == 7 { 3 } else { 2 };
        let waiting = request(number, "w", Class::Overnight, rank, Time::ZERO);
        assert_eq!(gate.offer(Time::ZERO, &mut rng, waiting), Verdict::Wait);
    }
    let equal = request(20_000, "w", Class::Overnight, 3, Time::ZERO);
    let Verdict::Refuse(refusal) = gate.offer(Time::ZERO, &mut rng, equal) else { panic!() };
    assert_eq!(refusal.reason, Reason::QueueFull);
    let urgent = request(20_001, "v", Class::Overnight, 0, Time::ZERO);
    assert_eq!(gate.offer(Time::ZERO, &mut rng, urgent), Verdict::Wait);
    let displaced = gate.take_displaced();
    let [(request, Verdict::Refuse(refusal))] = &displaced[..] else { panic!("{displaced:?}") };
    assert_eq!((request.get(), refusal.reason), (7, Reason::QueueFull));
}

/// Guards against a request that was refused before being served after those that came later, and
/// against one workspace with many such requests delaying all others.
#[test]
fn returned_requests_are_served_by_their_first_arrival() {
    let mut queue = ranked();
    let mut add = |number: u128, workspace: &str, now: u64, returned: Option<u64>| {
        let request = request(number, workspace, Class::Spare, 1, at(now));
        queue.push_returned(at(now), Item { request, work: 100.0 }, false, returned.map(at));
    };
    add(1, "a", 8_000, None);
    add(2, "b", 9_000, Some(3_000));
    add(3, "c", 9_500, Some(2_000));
    add(4, "a", 9_600, Some(1_000));
    (5..30).for_each(|number| add(number, "d", 9_700, Some(4_000)));
    let order: Vec<u128> = std::iter::from_fn(|| next(&mut queue)).map(|r| r.id.get()).collect();
    assert_eq!(order[..3], [4, 3, 2]);
    let last = order.iter().position(|number| *number == 1).expect("it is served");
    // The others are ahead by four requests at most, beyond the one that is served in turn.
    assert!(last <= 9, "served as number {last}: {order:?}");
}

/// Guards against an expired request being held because one that was first sent earlier, but waits
/// for longer, stands before it.
#[test]
fn returned_requests_expire_in_time() {
    let mut queue = ranked();
    for (number, now, first) in [(1, 8_000, 2_000), (2, 10_000, 0)] {
        let request = request(number, "w", Class::Spare, 1, at(now));
        queue.push_returned(at(now), Item { request, work: 1.0 }, false, Some(at(first)));
    }
    assert_eq!(queue.next_deadline(), Some(at(24_000)));
    let expired = queue.expire(at(24_000));
    assert_eq!(expired.iter().map(|item| item.request.id.get()).collect::<Vec<_>>(), [1]);
}

fn returned(gate: &mut Gate, number: u128, now: Time, refusals: u32) -> Verdict {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut late = request(number, "w", Class::Overnight, 2, now);
    late.objective = Time::ZERO;
    let earlier = Resubmission { since: Time::ZERO, refusals };
    gate.offer_returned(now, &mut rng, late, Some(earlier))
}

/// Guards against a refused request waiting until its caller gives up at an entry that has had no
/// capacity for a long time, and against a caller being sent away again and again.
#[test]
fn a_returned_request_without_prospects_is_told_at_once() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut gate = gate(true);
    let mut advance = |gate: &mut Gate, from: u64, to: u64| {
        let mut decided = Vec::new();
        for ms in (from..to).step_by(100) {
            decided.extend(gate.poll(at(ms), &mut rng).into_iter().map(|(r, v)| (ms, r, v)));
        }
        decided
    };
    (0..9).for_each(|n| assert_eq!(returned(&mut gate, n, at(5_000), 1), Verdict::Wait));
    let decided = advance(&mut gate, 5_000, 25_000);
    assert!(decided.iter().all(|(ms, ..)| *ms == 21_000), "{decided:?}");
    // Nine requests have waited for 16 s each, and none of them began.
    let Verdict::Refuse(refusal) = returned(&mut gate, 10, at(25_000), 1) else { panic!("waits") };
    assert!(refusal.retry_after >= Duration::from_secs(30), "{refusal:?}");
    assert_eq!(returned(&mut gate, 11, at(25_000), 2), Verdict::Wait);
    // One that begins is a prospect.
    let free = Report { used: Tokens::default(), running: 0, ..full() };
    gate.report(at(25_100), &target(), &free, Duration::ZERO);
    let decided = advance(&mut gate, 25_100, 25_200);
    assert!(matches!(decided[..], [(_, _, Verdict::Send(_))]), "{decided:?}");
    gate.report(at(25_200), &target(), &full(), Duration::ZERO);
    assert_eq!(returned(&mut gate, 12, at(25_300), 1), Verdict::Wait);
}

/// Guards against a caller that comes back to one entry after another being taken for a new one or
/// being sent away at each of them, whatever their number.
#[parameterized(two = { 2 }, thirty = { 30 }, many = { 195 }, thousand = { 1_000 })]
fn returning_callers_are_recognized_at_every_entry(entries: usize) {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut gates: Vec<Gate> = (0..entries).map(|_| gate(true)).collect();
    let mut ledgers: Vec<Ledger> = (0..entries).map(|_| Ledger::default()).collect();
    let print = Fingerprint::of(None, "/drafts/1", b"a bracket");
    let [first, second, third] = [0, entries - 1, (entries - 1) / 2];
    for at_entry in [second, third] {
        (10..19)
            .for_each(|n| assert_eq!(returned(&mut gates[at_entry], n, at(0), 1), Verdict::Wait));
        (0..170).for_each(|step| drop(gates[at_entry].poll(at(100 * step), &mut rng)));
    }
    let mut ask =
        |now: Time, entry: usize, number: u128, gates: &mut [Gate], ledgers: &mut [Ledger]| {
            let earlier = ledgers[entry].find(now, print);
            let since = earlier.map_or(now, |earlier| earlier.since);
            let call = request(number, "w", Class::Overnight, 2, now);
            let call = Request { objective: since + Duration::from_secs(4), ..call };
            let verdict = gates[entry].offer_returned(now, &mut rng, call, earlier);
            // The message by which an entry announces a refusal.
            let refuse = move |ledger: &mut Ledger, now| ledger.record(now, print, since);
            (verdict, refuse)
        };
    let (verdict, refuse) = ask(at(17_000), first, 1, &mut gates, &mut ledgers);
    assert_eq!(verdict, Verdict::Wait);
    gates[first].finish(at(21_000), id::Request::new(1), Outcome::Cancelled);
    ledgers.iter_mut().for_each(|ledger| refuse(ledger, at(21_000)));
    let (verdict, refuse) = ask(at(26_000), second, 2, &mut gates, &mut ledgers);
    assert!(matches!(verdict, Verdict::Refuse(_)), "{verdict:?}");
    ledgers.iter_mut().for_each(|ledger| refuse(ledger, at(26_000)));
    let (verdict, _) = ask(at(30_000), third, 3, &mut gates, &mut ledgers);
    assert_eq!(verdict, Verdict::Wait, "it was sent away twice");
    let free = Report { used: Tokens::default(), running: 0, ..full() };
    gates[third].report(at(30_100), &target(), &free, Duration::ZERO);
    let decided = gates[third].poll(at(30_100), &mut ChaCha8Rng::seed_from_u64(2));
    assert!(matches!(decided[..], [(_, Verdict::Send(_))]), "{decided:?}");
}

#[derive(Clone, Debug)]
enum Event {
    Offer(u8, bool, bool),
    Report(u64),
    Finish(usize),
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        6 => (0_u8..6, any::<bool>(), any::<bool>()).prop_map(|(w, l, r)| Event::Offer(w, l, r)),
        2 => (0_u64..26_000).prop_map(Event::Report),
        2 => any::<usize>().prop_map(Event::Finish),
        4 => (1_u64..1_500).prop_map(Event::Advance),
    ]
}

/// Runs the events, and returns all verdicts.
fn verdicts(
    events: &[Event],
    ranks: bool,
    rank: impl Fn(Class) -> u8,
) -> Vec<(id::Request, Verdict)> {
    let mut rng = ChaCha8Rng::seed_from_u64(3);
    let mut gate = gate(ranks);
    let (mut now, mut offered, mut all) = (Time::ZERO, 0_u128, Vec::new());
    for event in events {
        match event {
            Event::Offer(workspace, live, retry) => {
                let class = if *live { Class::Live } else { Class::Overnight };
                let new = request(offered, &format!("w{workspace}"), class, rank(class), now);
                let (id, retry) = (new.id, *retry && offered > 10);
                offered += 1;
                all.push((id, gate.offer(now, &mut rng, Request { retry, ..new })));
            }
            Event::Report(used) => {
                let used = Tokens::new(*used);
                gate.report(now, &target(), &Report { used, ..full() }, Duration::ZERO);
            }
            Event::Finish(nth) => {
                let request = id::Request::new(*nth as u128 % offered.max(1));
                gate.finish(now, request, Outcome::Whole);
            }
            Event::Advance(millis) => now = now + Duration::from_millis(*millis),
        }
        all.extend(gate.poll(now, &mut rng));
    }
    all
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(128))]

    /// Guards against ranks that change decisions of deployments where all ranks are equal.
    #[test]
    fn equal_ranks_change_no_decision(events in prop::collection::vec(event(), 1..300)) {
        prop_assert_eq!(verdicts(&events, false, |_| 2), verdicts(&events, true, |_| 2));
    }

    /// Guards against ranks that change decisions, before any request is late, where they are equal
    /// within each class.
    #[test]
    fn ranks_equal_within_classes_change_no_decision(
        events in prop::collection::vec(event(), 1..300),
    ) {
        let slow = |event: &Event| match event {
            Event::Advance(millis) => Event::Advance(millis / 300),
            other => other.clone(),
        };
        let events: Vec<Event> = events.iter().map(slow).collect();
        let rank = |class| if class == Class::Live { 0 } else { 2 };
        prop_assert_eq!(verdicts(&events, false, rank), verdicts(&events, true, rank));
    }
}
