//! Bounds of what registry entries may hold.
//!
//! Entries may be written by programs other than the one that this release expects. A value that
//! can be decoded but can't be meant would do more harm than one that can't be decoded: a start far in the
//! future hides all later ones, and a duration of centuries overflows sums.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use derive_more::{Display, Error};

use crate::lease::{Start, Target};
use crate::route::{Engine, Route, Service, Text};

/// The largest integer that all programs read from JSON exactly.
pub const MAX_INTEGER: u64 = 1 << 53;

/// The longest duration.
pub const MAX_DURATION: Duration = Duration::from_secs(366 * 24 * 3_600);

/// The highest rate, in requests a second.
pub const MAX_RATE: f64 = 1e6;

/// The latest start, in milliseconds since the Unix epoch: the year 2200.
const MAX_START_MS: u64 = 7_258_118_400_000;

/// The most requests that a target runs at one time, and tokens of an event.
const MAX_COUNT: u32 = 1_000_000;

/// The longest name of a target on the wire, in bytes.
pub const MAX_INSTANCE_BYTES: usize = 200;

/// A field of a registry entry whose value can't be meant.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
#[display("{field} is out of range")]
pub struct Implausible {
    /// The field.
    pub field: &'static str,
}

fn ensure(plausible: bool, field: &'static str) -> Result<(), Implausible> {
    if plausible { Ok(()) } else { Err(Implausible { field }) }
}

/// Checks that an address is one that every host can connect to.
pub fn check_address(address: SocketAddr) -> Result<(), Implausible> {
    ensure(address.port() != 0, "port")?;
    let ip = address.ip().to_canonical();
    let is_broadcast = matches!(ip, IpAddr::V4(ip) if ip.is_broadcast());
    // A zone id means something only on the host that wrote it.
    let is_local = matches!(address, SocketAddr::V6(address) if address.scope_id() != 0);
    ensure(!(ip.is_unspecified() || ip.is_multicast() || is_broadcast || is_local), "address")
}

/// Returns whether a target can have started then.
pub fn is_start(start: Start) -> bool {
    start.millis() <= MAX_START_MS
}

impl Target {
    /// Checks that each value can be meant.
    pub fn check(&self) -> Result<(), Implausible> {
        check_address(self.address)?;
        ensure(self.start.is_none_or(is_start), "start")?;
        ensure(self.renewal <= MAX_INTEGER, "renewal")?;
        ensure(Duration::from_millis(self.cold_ms) <= MAX_DURATION, "cold time")?;
        ensure(self.slots <= MAX_COUNT, "slots")?;
        ensure((1..=MAX_INSTANCE_BYTES).contains(&self.instance.len()), "name")
    }
}

impl Text {
    /// Checks that each value can be meant.
    pub fn check(&self) -> Result<(), Implausible> {
        ensure(self.revision <= MAX_INTEGER, "revision")?;
        self.routes.iter().try_for_each(check_route)?;
        self.services.iter().try_for_each(check_service)
    }
}

fn check_route(route: &Route) -> Result<(), Implausible> {
    ensure(route.timeout <= MAX_DURATION, "timeout of a route")?;
    ensure(route.objective <= MAX_DURATION, "objective of a route")?;
    ensure(route.gap.is_none_or(|gap| gap <= MAX_DURATION), "gap of a route")?;
    let silence = route.silence.is_none_or(|silence| silence <= 8 * MAX_DURATION);
    ensure(silence, "silence of a route")?;
    ensure(route.attempts > 0, "attempts of a route")
}

fn check_service(service: &Service) -> Result<(), Implausible> {
    if let Some(warmup) = &service.warmup {
        ensure(warmup.lasts <= MAX_DURATION, "warm-up time of a service")?;
        let per_s = (0.0..=MAX_RATE).contains(&warmup.per_s.get());
        ensure(per_s, "warm-up rate of a service")?;
    }
    service.engine.as_ref().map_or(Ok(()), check_engine)
}

fn check_engine(engine: &Engine) -> Result<(), Implausible> {
    ensure((1..=MAX_COUNT).contains(&engine.slots), "slots of an engine")?;
    ensure((1..=MAX_INTEGER).contains(&engine.memory.get()), "memory of an engine")?;
    ensure((1..=MAX_COUNT).contains(&engine.tokens_per_event), "tokens of an event")
}
