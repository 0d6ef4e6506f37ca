//! Tickets and the idempotency store: a call that must not be repeated runs at most once.

use fireflyhoist_policy::id::{Host, Instance, Service, Workspace};
use fireflyhoist_policy::idempotency::{Claim, Ledger, MAX_REPLY, Result};
use fireflyhoist_policy::mac::Key;
use fireflyhoist_policy::ticket::{LIFETIME, Ticket, TicketError};
use fireflyhoist_policy::time::Time;
use proptest::prelude::*;
use yare::parameterized;

fn host(name: &str) -> Host {
    name.parse().expect("name")
}

fn ticket(sequence: u64, expires: u64) -> Ticket {
    Ticket {
        issuer: host("oslo-1"),
        instance: Instance::new(1),
        sequence,
        expires: Time::from_micros(expires),
    }
}

#[parameterized(
    good = { "k", "nord", "dispatch", true },
    other_key = { "other", "nord", "dispatch", false },
    other_workspace = { "k", "bergen", "dispatch", false },
    other_service = { "k", "nord", "payroll", false },
)]
fn a_ticket_is_read_only_where_it_belongs(key: &str, workspace: &str, service: &str, good: bool) {
    let nord: Workspace = "nord".parse().expect("name");
    let dispatch: Service = "dispatch".parse().expect("name");
    let text = ticket(7, 9).write(&Key::open("k"), &nord, &dispatch);
    let workspace = workspace.parse().expect("name");
    let service = service.parse().expect("name");
    let read = Ticket::read(&Key::open(key), &workspace, &service, &text);
    assert_eq!(read, if good { Ok(ticket(7, 9)) } else { Err(TicketError::Forged) });
}

proptest! {
    /// A caller modifies one character of a used ticket to have its call run again.
    #[test]
    fn a_changed_ticket_is_forged(index in 0usize..90, with in "[0-9a-z~]") {
        let nord: Workspace = "nord".parse().expect("name");
        let dispatch: Service = "dispatch".parse().expect("name");
        let text = ticket(7, 9_000_000).write(&Key::open("k"), &nord, &dispatch);
        let index = index % text.len();
        let mut changed = text.to_string();
        changed.replace_range(index..=index, &with);
        prop_assume!(changed != text.as_str());
        prop_assert!(Ticket::read(&Key::open("k"), &nord, &dispatch, &changed).is_err());
    }

    /// Claims, outcomes, releases and the passage of time come in any order. Between two claims of
    /// a ticket that are told to run, the first was always released without having been written.
    #[test]
    fn a_ticket_runs_at_most_once_whatever_the_order(
        steps in prop::collection::vec((0u8..5, 1u64..6, 0u64..200), 1..200),
        room in 1usize..6,
    ) {
        let mut ledger: Ledger<u8> = Ledger::open(room);
        let mut now = Time::ZERO;
        let mut runs = [0u32; 6];
        let lifetime = LIFETIME.as_micros() as u64;
        for (step, sequence, seconds) in steps {
            let index = sequence as usize;
            match step {
                0 | 1 => match ledger.claim(now, &ticket(sequence, lifetime * sequence), 1) {
                    Claim::Run => runs[index] += 1,
                    Claim::Running | Claim::Ran(_) => prop_assert_eq!(runs[index], 1),
                    Claim::Crossed => prop_assert!(false, "one call only"),
                    Claim::Expired | Claim::Full => {}
                },
                2 => ledger.settle(sequence, Result::Replied { status: 200, reply: Some(1) }, 1),
                3 if runs[index] == 1 && ledger.knows(sequence) => {
                    ledger.release(sequence);
                    runs[index] = 0;
                }
                _ => now = now + std::time::Duration::from_secs(seconds),
            }
            prop_assert!(runs.iter().all(|runs| *runs <= 1));
            prop_assert!(ledger.len() <= room);
        }
    }
}

#[test]
fn a_ticket_used_for_one_call_is_not_taken_for_another() {
    let mut ledger: Ledger<u8> = Ledger::open(9);
    assert_eq!(ledger.claim(Time::ZERO, &ticket(1, 9), 1), Claim::Run);
    assert_eq!(ledger.claim(Time::ZERO, &ticket(1, 9), 2), Claim::Crossed);
}

/// Of a reply that is too large to keep, the fact that the call ran and its status are kept.
#[test]
fn of_a_large_reply_the_status_is_remembered() {
    let mut ledger: Ledger<u8> = Ledger::open(9);
    assert_eq!(ledger.claim(Time::ZERO, &ticket(1, 9), 1), Claim::Run);
    ledger.settle(1, Result::Replied { status: 201, reply: Some(1) }, MAX_REPLY + 1);
    let ran = Claim::Ran(Result::Replied { status: 201, reply: None });
    assert_eq!(ledger.claim(Time::ZERO, &ticket(1, 9), 1), ran);
}
