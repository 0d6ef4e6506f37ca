//! Targets that crash on some requests and restart at the same address under another name.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use fireflyhoist_standin::registry::Registry;
use tokio::net::TcpListener;
use tokio::time::sleep;

use super::target::{Seen, Standin, Step};

/// The delay from the crash of a target until the next one starts at its address.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// The crashes of all targets of a test.
#[derive(Clone, Debug, Default)]
pub(crate) struct Crashes {
    count: Arc<AtomicUsize>,
}

impl Crashes {
    /// Returns how many targets have crashed.
    pub(crate) fn count(&self) -> usize {
        self.count.load(Ordering::SeqCst)
    }
}

/// Keeps a target running at one address; each start answers requests by `script`.
pub(crate) fn spawn(
    registry: &Arc<Registry>,
    crashes: &Crashes,
    name: &'static str,
    script: impl Fn(&Seen) -> Vec<Step> + Clone + Send + Sync + 'static,
) {
    let (registry, crashes) = (Arc::clone(registry), crashes.clone());
    tokio::task::spawn_local(async move {
        let mut address = "127.0.0.1:0".parse().expect("an address");
        for start in 0.. {
            let listener = TcpListener::bind(address).await.expect("its port");
            address = listener.local_addr().expect("bound");
            let name = format!("{name}-{start}");
            let target = Standin::on(listener, &name, "gen", script.clone());
            registry.put(target.listed.clone());
            while !target.has_ended() {
                sleep(Duration::from_millis(5)).await;
            }
            crashes.count.fetch_add(1, Ordering::SeqCst);
            registry.remove(&target.listed);
            sleep(RESTART_DELAY).await;
        }
    });
}
