//! Daemons send load orders to engines over real connections on which orders are lost, doubled and
//! late.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use fireflyhoist_harness::{Entry, entry, host_list};
use fireflyhoist_standin::engine::{Engine, Pace};
use fireflyhoist_standin::order::{Fault, Setting};
use fireflyhoist_standin::platform::Platform;

const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::LOCALHOST), 0);

struct Fleet {
    platform: Arc<Platform>,
    engines: Vec<(SocketAddr, Arc<Engine>)>,
    entries: Vec<Entry>,
}

impl Fleet {
    fn open(name: &str, settings: &[Setting]) -> Self {
        let (running, platform) = Platform::bind(ANY).expect("the platform listens");
        let engine = |setting: &Setting| {
            let (running, engine) = Engine::bind(ANY, Pace::default()).expect("an engine listens");
            engine.orders().set(*setting);
            (running.address(), engine)
        };
        let engines = settings.iter().map(engine).collect();
        let start = |n| entry(&format!("{name}-{n}"), "hala-a", running.address());
        let entries: Vec<Entry> = (0..2).map(start).collect();
        let list = host_list(&entries.iter().collect::<Vec<_>>());
        platform.set_hosts(serde_json::from_str(&list).expect("a host list"));
        Self { platform, engines, entries }
    }

    fn publish(&self, revision: u64, checks_fence: bool) {
        let target = |(n, (address, _)): (usize, &(SocketAddr, Arc<Engine>))| {
            format!("{{ name = \"t{n}\", host = \"m{n}\", address = \"{address}\" }}")
        };
        let targets: Vec<String> = self.engines.iter().enumerate().map(target).collect();
        self.platform.publish(&format!(
            "revision = {revision}\n\
             [[model]]\nname = \"scribe\"\nversion = \"v{revision}\"\nadapters = [\"kurrent\"]\n\
             [[service]]\nname = \"transcribe\"\nmodel = \"scribe\"\n\
             checks_fence = {checks_fence}\ntarget = [{}]\n",
            targets.join(", ")
        ));
    }

    /// Returns the version that each engine serves, `None` for one that serves nothing.
    fn held(&self) -> Vec<Option<String>> {
        let held = |(_, engine): &(SocketAddr, Arc<Engine>)| {
            engine.orders().observe().holds.map(|setup| setup.version.to_string())
        };
        self.engines.iter().map(held).collect()
    }

    /// Waits until all engines serve `version` and returns the lowest number that served any
    /// version in the meantime.
    ///
    /// Panics after 3,000 polls.
    async fn until(&self, version: &str) -> usize {
        let mut fewest = self.engines.len();
        for _ in 0..3_000 {
            let held = self.held();
            fewest = fewest.min(held.iter().flatten().count());
            if held.iter().all(|held| held.as_deref() == Some(version)) {
                return fewest;
            }
            ntex::time::sleep(Duration::from_millis(10)).await;
        }
        panic!("not all engines serve {version}: {:?}", self.held());
    }
}

/// Two daemons roll out a new model version to the engines of a service. One engine loses an order,
/// one receives an order twice and one receives it after a later order, while the senders get
/// success replies. At least three of the four engines must serve throughout, each engine must load
/// once per version, and its fences must never go back.
#[ntex::test]
async fn a_rollout_survives_lost_doubled_and_late_orders() {
    let faults = [None, Some(Fault::Lose), Some(Fault::Double), Some(Fault::Late)];
    let setting = |fault| Setting { load_ms: 100, fault, ..Setting::default() };
    let fleet = Fleet::open("order", &faults.map(setting));
    fleet.publish(1, true);
    fleet.until("v1").await;
    let fewest = {
        fleet.publish(2, true);
        fleet.until("v2").await
    };
    assert!(fewest >= 3, "only {fewest} of 4 served during the rollout");
    for (index, (_, engine)) in fleet.engines.iter().enumerate() {
        let orders = engine.orders().orders();
        assert_eq!(orders.loads(), 2, "engine {index} loaded once for each version");
        let fences: Vec<_> = orders.taken().iter().map(|order| order.fence).collect();
        assert!(fences.is_sorted(), "engine {index} took {fences:?}");
    }
    assert_eq!(fleet.entries.len(), 2);
}
