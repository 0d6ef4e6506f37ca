//! Tickets and the idempotency store: a call that must not be repeated runs at most once.

use fireflyhoist_policy::id::{Host, Instance, Service, Workspace};
use fireflyhoist_policy::idempotency::{Claim, MAX_REPLY_BYTES, Outcome, Store};
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
    valid = { "k", "nord", "dispatch", true },
    other_key = { "other", "nord", "dispatch", false },
    other_workspace = { "k", "bergen", "dispatch", false },
    other_service = { "k", "nord", "payroll", false },
)]
fn ticket_is_valid_only_for_its_service_and_workspace(
    key: &str,
    workspace: &str,
    service: &str,
    valid: bool,
) {
    let nord: Workspace = "nord".parse().expect("name");
    let dispatch: Service = "dispatch".parse().expect("name");
    let text = ticket(7, 9).write(&Key::open("k"), &nord, &dispatch);
    let workspace = workspace.parse().expect("name");
    let service = service.parse().expect("name");
    let read = Ticket::read(&Key::open(key), &workspace, &service, &text);
    assert_eq!(read, if valid { Ok(ticket(7, 9)) } else { Err(TicketError::Forged) });
}

proptest! {
    /// A caller modifies one character of a used ticket to have its call run again.
    #[test]
    fn modified_ticket_is_rejected(index in 0usize..90, with in "[0-9a-z~]") {
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
    fn ticket_runs_at_most_once_in_any_order(
        steps in prop::collection::vec((0u8..5, 1u64..6, 0u64..200), 1..200),
        max_entries in 1usize..6,
    ) {
        let mut store: Store<u8> = Store::open(max_entries);
        let mut now = Time::ZERO;
        let mut runs = [0u32; 6];
        let lifetime = LIFETIME.as_micros() as u64;
        for (step, sequence, seconds) in steps {
            let index = sequence as usize;
            match step {
                0 | 1 => match store.claim(now, &ticket(sequence, lifetime * sequence), 1) {
                    Claim::Run => runs[index] += 1,
                    Claim::Running | Claim::Ran(_) => prop_assert_eq!(runs[index], 1),
                    Claim::Mismatch => prop_assert!(false, "one call only"),
                    Claim::Expired | Claim::Full => {}
                },
                2 => store.complete(sequence, Outcome::Replied { status: 200, reply: Some(1) }, 1),
                3 if runs[index] == 1 && store.contains(sequence) => {
                    store.release(sequence);
                    runs[index] = 0;
                }
                _ => now = now + std::time::Duration::from_secs(seconds),
            }
            prop_assert!(runs.iter().all(|runs| *runs <= 1));
            prop_assert!(store.len() <= max_entries);
        }
    }
}

#[test]
fn used_ticket_is_rejected_for_another_call() {
    let mut store: Store<u8> = Store::open(9);
    assert_eq!(store.claim(Time::ZERO, &ticket(1, 9), 1), Claim::Run);
    assert_eq!(store.claim(Time::ZERO, &ticket(1, 9), 2), Claim::Mismatch);
}

/// Of a reply that is too large to keep, the fact that the call ran and its status are kept.
#[test]
fn status_of_a_large_reply_is_kept() {
    let mut store: Store<u8> = Store::open(9);
    assert_eq!(store.claim(Time::ZERO, &ticket(1, 9), 1), Claim::Run);
    store.complete(1, Outcome::Replied { status: 201, reply: Some(1) }, MAX_REPLY_BYTES + 1);
    let ran = Claim::Ran(Outcome::Replied { status: 201, reply: None });
    assert_eq!(store.claim(Time::ZERO, &ticket(1, 9), 1), ran);
}
