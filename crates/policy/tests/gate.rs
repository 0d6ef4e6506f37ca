//! The gate as an entry uses it: what it never does, whatever happens.

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

fn ask(number: u128, workspace: &str, class: Class, now: Time) -> Request {
    Request {
        id: id::Request::new(number),
        workspace: workspace.parse().expect("a name"),
        class,
        prompt: Tokens::new(200),
        limit: Tokens::new(4_096),
        prefix: 0,
        objective: now + Duration::from_secs(5),
        deadline: now + Duration::from_secs(5),
        retry: false,
        avoid: None,
    }
}

fn full() -> Report {
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

/// The search page asks while every engine is full of manuscripts and a thousand pages wait. The
/// lookup must go out at once; behind the pages it would be answered after minutes.
#[test]
fn a_lookup_never_waits_behind_generations() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut gate = gate(Some(&full()));
    for number in 0..1_000 {
        let page = ask(number, "archive", Class::Overnight, Time::ZERO);
        assert_eq!(gate.offer(Time::ZERO, &mut rng, page), Verdict::Wait);
    }
    let lookup = ask(5_000, "members", Class::Lookup, Time::ZERO);
    assert!(matches!(gate.offer(Time::ZERO, &mut rng, lookup), Verdict::Send(_)));
}

/// A request waits, its deadline passes, its caller is told. It has been sent nowhere.
#[test]
fn what_waits_past_its_deadline_is_refused_and_was_sent_nowhere() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut gate = gate(Some(&full()));
    let page = ask(1, "archive", Class::Live, Time::ZERO);
    assert_eq!(gate.offer(Time::ZERO, &mut rng, page), Verdict::Wait);
    assert_eq!(gate.next_poll(), Some(Time::ZERO + Duration::from_secs(5)));
    let decided = gate.poll(Time::ZERO + Duration::from_secs(5), &mut rng);
    let [(request, Verdict::Refuse(refusal))] = &decided[..] else { panic!("{decided:?}") };
    assert_eq!(*request, id::Request::new(1));
    assert!(refusal.retry_after >= Duration::from_secs(1));
}

#[derive(Clone, Debug)]
enum Step {
    Offer(u8, bool),
    Report(usize, u64),
    Progress(usize, u64),
    Finish(usize, bool),
    Pass(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (0_u8..4, any::<bool>()).prop_map(|(w, live)| Step::Offer(w, live)),
        1 => (0_usize..2, 0_u64..12_000).prop_map(|(t, used)| Step::Report(t, used)),
        2 => (any::<usize>(), 1_u64..2_000).prop_map(|(r, n)| Step::Progress(r, n)),
        2 => (any::<usize>(), any::<bool>()).prop_map(|(r, whole)| Step::Finish(r, whole)),
        2 => (1_u64..3_000).prop_map(Step::Pass),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Whatever callers, engines and time do: each request is told one thing, a refused one has
    /// touched no target, and nothing stays in the queue for ever.
    #[test]
    fn a_refused_request_touched_no_target(steps in prop::collection::vec(step(), 1..200)) {
        let mut rng = ChaCha8Rng::seed_from_u64(7);
        let mut gate = gate(None);
        let mut now = Time::ZERO;
        let mut told: HashMap<id::Request, Verdict> = HashMap::new();
        let mut asked = 0;
        for step in steps {
            let known: Vec<id::Request> = (0..asked).map(id::Request::new).collect();
            let pick = |at: usize| known.get(at % known.len().max(1)).copied();
            match step {
                Step::Offer(workspace, live) => {
                    let class = if live { Class::Live } else { Class::Overnight };
                    let ask = ask(asked, &format!("w{workspace}"), class, now);
                    asked += 1;
                    let request = ask.id;
                    let verdict = gate.offer(now, &mut rng, ask);
                    if verdict != Verdict::Wait {
                        told.insert(request, verdict);
                    }
                }
                Step::Report(at, used) => {
                    let used = Tokens::new(used);
                    gate.report(now, &target(at), &Report { used, ..full() }, Duration::ZERO);
                }
                Step::Progress(at, produced) => {
                    pick(at).into_iter().for_each(|r| gate.progress(now, r, Tokens::new(produced)));
                }
                Step::Finish(at, whole) => {
                    let outcome = if whole { Outcome::Whole } else { Outcome::Failed };
                    // Only what was sent can end; a queued one is left to its deadline.
                    let sent = |r: &id::Request| matches!(told.get(r), Some(Verdict::Send(_)));
                    pick(at).filter(sent).into_iter().for_each(|r| gate.finish(now, r, outcome));
                }
                Step::Pass(millis) => now = now + Duration::from_millis(millis),
            }
            for (request, verdict) in gate.poll(now, &mut rng) {
                prop_assert!(verdict != Verdict::Wait);
                prop_assert!(told.insert(request, verdict).is_none(), "told twice");
            }
        }
        for (request, verdict) in gate.poll(now + Duration::from_secs(60), &mut rng) {
            prop_assert!(told.insert(request, verdict).is_none(), "told twice");
        }
        prop_assert_eq!(told.len() as u128, asked);
    }
}

/// A search page fails twice at the same target while others are free: each of them had answered
/// some request with an error of its own within the last second, so all were in doubt, and the one
/// that had just hung up was drawn again.
#[test]
fn a_second_attempt_avoids_the_target_that_just_failed() {
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
            ..ask(number, "w", Class::Lookup, now)
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

/// One target in eight answers with an error of its own; each such answer kept all lookups off it
/// for a second, so that three targets were hardly ever free of doubt.
#[test]
fn an_error_of_its_own_does_not_pause_a_target() {
    let mut rng = ChaCha8Rng::seed_from_u64(6);
    let mut gate = Gate::default();
    gate.set_targets(Time::ZERO, vec![target(0), target(1)]);
    let now = Time::ZERO + Duration::from_secs(1);
    let mut seen = std::collections::BTreeSet::new();
    for number in 0..20 {
        let verdict = gate.offer(now, &mut rng, ask(number, "w", Class::Lookup, now));
        let Verdict::Send(at) = verdict else { panic!("{verdict:?}") };
        let outcome = if number == 0 { Outcome::ServerError } else { Outcome::Whole };
        seen.insert(at);
        gate.finish(now, id::Request::new(number), outcome);
    }
    assert_eq!(seen.len(), 2);
}

/// Targets vanish and each request's first connection fails; the budget for repeats is soon spent,
/// and requests that no target ever got are refused with others free. What arrived nowhere is no
/// repeat.
#[test]
fn a_request_that_arrived_nowhere_draws_on_no_budget() {
    let mut rng = ChaCha8Rng::seed_from_u64(7);
    let mut gate = Gate::default();
    gate.set_targets(Time::ZERO, (0..3).map(target).collect());
    let now = Time::ZERO + Duration::from_secs(1);
    for number in 0..100 {
        let next = Request { avoid: Some(target(0)), ..ask(number, "w", Class::Lookup, now) };
        let verdict = gate.offer(now, &mut rng, next);
        assert!(matches!(verdict, Verdict::Send(_)), "{number}: {verdict:?}");
        gate.finish(now, id::Request::new(number), Outcome::Cancelled);
    }
}

/// Guards against requests going to a target that takes no more, or waiting where none does.
#[test]
fn what_a_target_does_not_take_goes_to_others_or_is_refused() {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    let mut gate = gate(None);
    let second = Duration::from_secs(1);
    let lookup = |number| ask(number, "members", Class::Lookup, Time::ZERO);
    gate.close(Time::ZERO, &target(0), second, Exclusion::Limited);
    for number in 0..20 {
        let verdict = gate.offer(Time::ZERO, &mut rng, lookup(number));
        assert_eq!(verdict, Verdict::Send(target(1)));
    }
    gate.close(Time::ZERO, &target(1), second * 3, Exclusion::Limited);
    let Verdict::Refuse(refusal) = gate.offer(Time::ZERO, &mut rng, lookup(30)) else {
        panic!("it is sent");
    };
    assert_eq!(refusal.reason, Reason::Limited);
    assert!(refusal.retry_after >= second && refusal.retry_after < second * 2, "{refusal:?}");
    let later = Time::ZERO + second;
    assert_eq!(gate.offer(later, &mut rng, lookup(31)), Verdict::Send(target(0)));
}
