//! Invariants of the gate, as an entry uses it.

use std::collections::HashMap;
use std::time::Duration;

use fireflyhoist_policy::exclusion::Exclusion;
use fireflyhoist_policy::gate::{Class, Gate, Outcome, Reason, Report, Request, Settings, Verdict};
use fireflyhoist_policy::id;
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use proptest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;

fn target(number: usize) -> id::Target {
    format!("t{number}").parse().expect("a name")
}

fn request(number: u128, workspace: &str, class: Class, now: Time) -> Request {
    Request {
        id: id::Request::new(number),
        workspace: workspace.parse().expect("a name"),
        class,
        rank: 0,
        prompt: Tokens::new(200),
        limit: Tokens::new(4_096),
        prefix: 0,
        objective: now + Duration::from_secs(5),
        deadline: now + Duration::from_secs(5),
        retry: false,
        avoid: None,
    }
}

fn full_report() -> Report {
    let tokens = Tokens::new(10_000);
    Report { capacity: tokens, used: tokens, running: 20, waiting: 0, preemptions: 0 }
}

fn gate(report: Option<&Report>) -> Gate {
    let mut gate = Gate::open(Settings::default());
    gate.set_entries(Time::ZERO, 2, Some(0));
    gate.set_targets(Time::ZERO, vec![target(0), target(1)]);
    if let Some(report) = report {
        (0..2).for_each(|at| gate.report(Time::ZERO, &target(at), report, Duration::ZERO));
    }
    gate
}

/// Every engine is full and a thousand generations are queued; a lookup behind them would be
/// answered only after minutes. It must be sent at once.
#[test]
fn a_lookup_never_waits_behind_generations() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut gate = gate(Some(&full_report()));
    for number in 0..1_000 {
        let page = request(number, "archive", Class::Overnight, Time::ZERO);
        assert_eq!(gate.offer(Time::ZERO, &mut rng, page), Verdict::Wait);
    }
    let lookup = request(5_000, "members", Class::Lookup, Time::ZERO);
    assert!(matches!(gate.offer(Time::ZERO, &mut rng, lookup), Verdict::Send(_)));
}

/// A queued request whose deadline passes must be refused, with a retry delay, and without having
/// been sent.
#[test]
fn a_queued_request_is_refused_at_its_deadline() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut gate = gate(Some(&full_report()));
    let page = request(1, "archive", Class::Live, Time::ZERO);
    assert_eq!(gate.offer(Time::ZERO, &mut rng, page), Verdict::Wait);
    assert_eq!(gate.next_poll(), Some(Time::ZERO + Duration::from_secs(5)));
    let decided = gate.poll(Time::ZERO + Duration::from_secs(5), &mut rng);
    let [(request, Verdict::Refuse(refusal))] = &decided[..] else { panic!("{decided:?}") };
    assert_eq!(*request, id::Request::new(1));
    assert!(refusal.retry_after >= Duration::from_secs(1));
}

#[derive(Clone, Debug)]
enum Event {
    Offer(u8, bool),
    Report(usize, u64),
    Progress(usize, u64),
    Finish(usize, bool),
    Advance(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        4 => (0_u8..4, any::<bool>()).prop_map(|(w, live)| Event::Offer(w, live)),
        1 => (0_usize..2, 0_u64..12_000).prop_map(|(t, used)| Event::Report(t, used)),
        2 => (any::<usize>(), 1_u64..2_000).prop_map(|(r, n)| Event::Progress(r, n)),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(r, whole)| Event::Finish(r, whole)),
        2 => (1_u64..3_000).prop_map(Event::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// For any sequence of requests, reports, progress and ends, each request gets exactly one
    /// verdict, and none stays queued after its deadline.
    #[test]
    fn every_request_gets_exactly_one_verdict(events in prop::collection::vec(event(), 1..200)) {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut gate = gate(None);
        let mut now = Time::ZERO;
        let mut verdicts: HashMap<id::Request, Verdict> = HashMap::new();
        let mut offered = 0;
        for event in events {
            let known: Vec<id::Request> = (0..offered).map(id::Request::new).collect();
            let pick = |at: usize| known.get(at % known.len().max(1)).copied();
            match event {
                Event::Offer(workspace, live) => {
                    let class = if live { Class::Live } else { Class::Overnight };
                    let request = request(offered, &format!("w{workspace}"), class, now);
                    offered += 1;
                    let id = request.id;
                    let verdict = gate.offer(now, &mut rng, request);
                    if verdict != Verdict::Wait {
                        verdicts.insert(id, verdict);
                    }
                }
                Event::Report(at, used) => {
                    let used = Tokens::new(used);
                    gate.report(now, &target(at), &Report { used, ..full_report() }, Duration::ZERO);
                }
                Event::Progress(at, produced) => {
                    pick(at).into_iter().for_each(|r| gate.progress(now, r, Tokens::new(produced)));
                }
                Event::Finish(at, whole) => {
                    let outcome = if whole { Outcome::Whole } else { Outcome::Failed };
                    // Only a request that was sent can end; a queued one is left to its deadline.
                    let sent = |r: &id::Request| matches!(verdicts.get(r), Some(Verdict::Send(_)));
                    pick(at).filter(sent).into_iter().for_each(|r| gate.finish(now, r, outcome));
                }
                Event::Advance(millis) => now = now + Duration::from_millis(millis),
            }
            for (request, verdict) in gate.poll(now, &mut rng) {
                prop_assert!(verdict != Verdict::Wait);
                prop_assert!(verdicts.insert(request, verdict).is_none(), "decided twice");
            }
        }
        for (request, verdict) in gate.poll(now + Duration::from_secs(60), &mut rng) {
            prop_assert!(verdicts.insert(request, verdict).is_none(), "decided twice");
        }
        prop_assert_eq!(verdicts.len() as u128, offered);
    }
}

/// Guards against a retry at the target that has just failed the request. It comes about when every
/// target has failed some request within the last second, so that all are suspect and any of them
/// may be chosen.
#[test]
fn a_retry_avoids_the_target_that_just_failed() {
    let mut rng = ChaCha8Rng::seed_from_u64(5);
    let mut gate = Gate::default();
    let targets: Vec<id::Target> = (0..3).map(target).collect();
    gate.set_targets(Time::ZERO, targets);
    let now = Time::ZERO + Duration::from_secs(1);
    let mut failed = None;
    for number in 0..60 {
        let avoided = failed.take();
        let repeat = avoided.is_some();
        let first = Request {
            avoid: avoided.clone(),
            retry: repeat,
            ..request(number, "w", Class::Lookup, now)
        };
        let verdict = gate.offer(now, &mut rng, first);
        let Verdict::Send(at) = verdict else { continue };
        assert_ne!(Some(&at), avoided.as_ref());
        gate.finish(now, id::Request::new(number), Outcome::Failed);
        if number % 2 == 0 {
            failed = Some(at);
        }
    }
}

/// Guards against a target being excluded for a second because of an error response. Where one
/// target in eight answers with errors, such pauses leave hardly any of three targets eligible for
/// lookups.
#[test]
fn an_error_response_does_not_exclude_a_target() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut gate = Gate::default();
    gate.set_targets(Time::ZERO, vec![target(0), target(1)]);
    let now = Time::ZERO + Duration::from_secs(1);
    let mut seen = std::collections::BTreeSet::new();
    for number in 0..20 {
        let verdict = gate.offer(now, &mut rng, request(number, "w", Class::Lookup, now));
        let Verdict::Send(at) = verdict else { panic!("{verdict:?}") };
        let outcome = if number == 0 { Outcome::ServerError } else { Outcome::Whole };
        seen.insert(at);
        gate.finish(now, id::Request::new(number), outcome);
    }
    assert_eq!(seen.len(), 2);
}

/// Guards against attempts that never reached a target using up the retry budget. It comes about
/// when targets vanish and connections to them fail: requests would be refused although other
/// targets are free.
#[test]
fn an_attempt_that_reached_no_target_takes_no_retry_budget() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut gate = Gate::default();
    gate.set_targets(Time::ZERO, (0..3).map(target).collect());
    let now = Time::ZERO + Duration::from_secs(1);
    for number in 0..100 {
        let next = Request { avoid: Some(target(0)), ..request(number, "w", Class::Lookup, now) };
        let verdict = gate.offer(now, &mut rng, next);
        assert!(matches!(verdict, Verdict::Send(_)), "{number}: {verdict:?}");
        gate.finish(now, id::Request::new(number), Outcome::Cancelled);
    }
}

/// Guards against requests being sent to a target that accepts no more, or being queued when no
/// target does.
#[test]
fn requests_avoid_a_suspended_target_or_are_refused() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut gate = gate(None);
    let second = Duration::from_secs(1);
    let lookup = |number| request(number, "members", Class::Lookup, Time::ZERO);
    gate.suspend(Time::ZERO, &target(0), second, Exclusion::Limited);
    for number in 0..20 {
        let verdict = gate.offer(Time::ZERO, &mut rng, lookup(number));
        assert_eq!(verdict, Verdict::Send(target(1)));
    }
    gate.suspend(Time::ZERO, &target(1), second * 3, Exclusion::Limited);
    let Verdict::Refuse(refusal) = gate.offer(Time::ZERO, &mut rng, lookup(30)) else {
        panic!("the request is sent");
    };
    assert_eq!(refusal.reason, Reason::Limited);
    assert!(refusal.retry_after >= second && refusal.retry_after < second * 2, "{refusal:?}");
    let later = Time::ZERO + second;
    assert_eq!(gate.offer(later, &mut rng, lookup(31)), Verdict::Send(target(0)));
}
