//! The order in which queued requests are served.

use std::time::Duration;

use fireflyhoist_policy::gate::{Class, Request};
use fireflyhoist_policy::id;
use fireflyhoist_policy::queue::{Item, Queue};
use fireflyhoist_policy::time::Time;
use fireflyhoist_policy::unit::Tokens;
use proptest::prelude::*;

fn item(number: u128, workspace: &str, class: Class, work: f64) -> Item {
    let request = Request {
        id: id::Request::new(number),
        workspace: workspace.parse().expect("a name"),
        class,
        rank: 0,
        prompt: Tokens::new(10),
        limit: Tokens::new(1_000),
        prefix: 0,
        objective: Time::ZERO + Duration::from_secs(60),
        deadline: Time::ZERO + Duration::from_secs(60),
        retry: false,
        avoid: None,
    };
    Item { request, work }
}

/// Takes the next item as the gate does, and charges its work when it is sent.
fn next(queue: &mut Queue) -> Option<Item> {
    let (class, workspace) = queue.next_workspaces().into_iter().next()?;
    let item = queue.pop(Time::ZERO, class, &workspace)?;
    queue.charge(&workspace, item.work);
    Some(item)
}

/// A hot workspace queues a thousand requests before another workspace queues one. In order of
/// arrival that one would be served last; with fair queueing it is among the first.
#[test]
fn one_request_does_not_wait_behind_a_hot_workspace() {
    let mut queue = Queue::open(true);
    (0..1_000).for_each(|n| queue.push(Time::ZERO, item(n, "hot", Class::Live, 100.0), false));
    queue.push(Time::ZERO, item(5_000, "calm", Class::Live, 100.0), false);
    let order: Vec<Item> = std::iter::from_fn(|| next(&mut queue)).collect();
    let place = order.iter().position(|i| i.request.id == id::Request::new(5_000));
    assert!(place.expect("it is served") <= 1, "served as number {place:?}");
}

/// Overnight requests wait while live ones keep arriving; they get one turn in eight.
#[test]
fn the_lowest_class_is_not_starved() {
    let mut queue = Queue::open(true);
    for n in 0..100 {
        queue.push(Time::ZERO, item(n, "live", Class::Live, 1.0), false);
        queue.push(Time::ZERO, item(1_000 + n, "night", Class::Overnight, 1.0), false);
    }
    let first: Vec<Item> = (0..80).filter_map(|_| next(&mut queue)).collect();
    let night = first.iter().filter(|i| i.request.class == Class::Overnight).count();
    assert_eq!(night, 10);
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    /// While two workspaces are both backlogged, the work that they have received differs at any
    /// time by no more than the largest request of either.
    #[test]
    fn backlogged_workspaces_receive_equal_work(
        one in prop::collection::vec(1.0_f64..500.0, 20..60),
        two in prop::collection::vec(1.0_f64..500.0, 20..60),
    ) {
        let mut queue = Queue::open(true);
        for (n, work) in one.iter().enumerate() {
            queue.push(Time::ZERO, item(n as u128, "one", Class::Live, *work), false);
        }
        for (n, work) in two.iter().enumerate() {
            queue.push(Time::ZERO, item(1_000 + n as u128, "two", Class::Live, *work), false);
        }
        let (mut left, mut received) = ([one.len(), two.len()], [0.0, 0.0]);
        while left[0] > 0 && left[1] > 0 {
            let item = next(&mut queue).expect("both wait");
            let at = usize::from(item.request.workspace.as_str() == "two");
            left[at] -= 1;
            received[at] += item.work;
            let apart: f64 = received[0] - received[1];
            prop_assert!(apart.abs() <= 500.0 + 1e-6, "{received:?}");
        }
    }
}
