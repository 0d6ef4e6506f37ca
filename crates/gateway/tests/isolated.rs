//! An entry that reaches no target, while its callers, the registry and its peers reach it.

mod support;

use std::path::PathBuf;
use std::time::Duration;

use fireflyhoist_gateway::native::Native;
use fireflyhoist_gateway::{Gateway, Settings};
use fireflyhoist_policy::route::{Kind, Route};
use fireflyhoist_standin::registry::Registry;
use support::caller::Request;
use support::forwarder::{Forwarder, Mode};
use support::target::{Standin, answer};
use support::{eventually, route, settings, text, until_ready};
use tokio::time::{Instant, sleep};
use yare::parameterized;

/// How long an entry may take to notice that it reaches no target.
const NOTICE: Duration = Duration::from_secs(1);

/// Routes to lookups, with the time that callers in use have for them.
fn lookups() -> Vec<Route> {
    let lookup = |name, kind| Route {
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(150),
        ..route(name, kind)
    };
    vec![lookup("look", Kind::Safe), lookup("send", Kind::Unsafe)]
}

/// Three entries that know each other; each reaches the targets through a forwarder of its own.
struct Fleet {
    entries: Vec<Gateway>,
    forwarders: Vec<Forwarder>,
    targets: Vec<Standin>,
}

impl Fleet {
    async fn open() -> Self {
        let registry = Registry::open().await;
        let mut targets = Vec::new();
        for service in ["look", "send"] {
            for nth in 0..3 {
                let name = format!("t-{service}-{nth}");
                targets.push(Standin::open(&name, service, |_| answer(200, "found")).await);
            }
        }
        registry.publish(text(1, lookups()));
        targets.iter().for_each(|target| registry.put(target.listed.clone()));
        let (mut entries, mut forwarders) = (Vec::<Gateway>::new(), Vec::new());
        for nth in 0..3 {
            let seeds: Vec<_> = entries.iter().map(Gateway::peers).collect();
            let forwarder = Forwarder::open().await;
            let own = settings(&format!("entry-{nth}"), registry.address(), &seeds);
            let settings = Settings { forwarder: Some(forwarder.address), ..own };
            let entry =
                Gateway::bind::<Native>(settings, PathBuf::from("none")).await.expect("gateway");
            until_ready(&entry).await;
            entries.push(entry);
            forwarders.push(forwarder);
        }
        let fleet = Self { entries, forwarders, targets };
        for entry in &fleet.entries {
            eventually(async || fleet.listed(entry).await == 3).await;
        }
        fleet
    }

    /// Returns how many entries the directory of an entry lists.
    async fn listed(&self, entry: &Gateway) -> usize {
        let known = Request::get("/v1/entries?domain=hala-a");
        known.send(entry.directory()).await.body.matches("entry-").count()
    }

    /// Returns how many requests that must not be repeated have reached targets.
    fn posts(&self) -> usize {
        let seen = self.targets.iter().flat_map(Standin::seen);
        seen.filter(|seen| seen.line().starts_with("POST")).count()
    }

    /// Returns how many of `count` first tries at an entry are answered by a target in time.
    async fn served(&self, nth: usize, count: usize) -> usize {
        let mut served = 0;
        for number in 0..count {
            let request = match number % 2 {
                0 => Request::new("GET", "/look/x"),
                _ => Request::new("POST", "/send/x").body("once"),
            };
            let request = request.header("fireflyhoist-timeout-ms", "1000");
            let answer = request.send(self.entries[nth].callers()).await;
            let in_time = answer.took < Duration::from_secs(1);
            served += usize::from(answer.status == 200 && answer.whole && in_time);
        }
        served
    }
}

/// Callers of an entry without a path to any target are served through the other entries.
#[parameterized(
    connections_hang = { Mode::Hang },
    connections_are_refused = { Mode::Refuse },
)]
#[test_macro(ntex::test)]
async fn an_isolated_entry_serves_its_callers(mode: Mode) {
    let fleet = Fleet::open().await;
    assert_eq!(fleet.served(0, 6).await, 6, "all are served before");
    fleet.forwarders[0].set_mode(mode);
    let cut_at = Instant::now();
    let _ = fleet.served(0, 4).await;
    sleep(NOTICE.saturating_sub(cut_at.elapsed())).await;
    let (isolated, others) = (fleet.served(0, 20).await, fleet.served(1, 20).await);
    assert_eq!(others, 20, "the other entries serve as before");
    assert!(fleet.posts() <= 25, "{} sent for 25 asked", fleet.posts());
    assert!(isolated * 3 >= others * 2, "{isolated} of 20 served, {others} of 20 elsewhere");
}
