//! The order state of a stand-in engine: takes orders, loads for a while, and counts.
//!
//! Time is an argument, so that tests of stewards run in virtual time against the same state that
//! the engine serves over HTTP.

use std::sync::Arc;
use std::time::{Duration, Instant};

use fireflyhoist_policy::order::desired::{Fencing, Setup};
use fireflyhoist_policy::order::fence::Fence;
use fireflyhoist_policy::time::Time;
use fireflyhoist_wire::order::{Observed, Order, PATH, Refused};
use ntex::web::{self, HttpResponse, ServiceConfig};
use parking_lot::Mutex;
use serde::{Deserialize, Serialize};

/// What an engine remembers of its orders.
#[derive(Clone, Debug)]
pub struct Orders {
    fencing: Fencing,
    load: Duration,
    highest: Fence,
    holds: Option<Setup>,
    loading: Option<(Setup, Time)>,
    taken: Vec<Order>,
    loads: u64,
    refused: u64,
}

impl Orders {
    /// Opens an engine that holds nothing and takes `load` to load anything.
    pub fn open(fencing: Fencing, load: Duration) -> Self {
        Self {
            fencing,
            load,
            highest: Fence::default(),
            holds: None,
            loading: None,
            taken: Vec::new(),
            loads: 0,
            refused: 0,
        }
    }

    /// What it says of itself; one that ignores fencing numbers reports none.
    pub fn observe(&mut self, now: Time) -> Observed {
        if let Some((setup, until)) = self.loading.take() {
            match now >= until {
                true => self.holds = Some(setup),
                false => self.loading = Some((setup, until)),
            }
        }
        Observed {
            fence: self.highest,
            holds: self.holds.clone(),
            loading: self.loading.as_ref().map(|(setup, _)| setup.clone()),
        }
    }

    /// Takes an order, or refuses one whose number is not above the highest, which it names.
    pub fn take(&mut self, now: Time, order: &Order) -> Result<(), Fence> {
        let observed = self.observe(now);
        if self.fencing == Fencing::Checked {
            if order.fence <= self.highest {
                self.refused += 1;
                return Err(self.highest);
            }
            self.highest = order.fence;
        }
        self.taken.push(order.clone());
        if observed.loading.as_ref().or(observed.holds.as_ref()) != Some(&order.setup) {
            self.loads += 1;
            self.holds = None;
            self.loading = Some((order.setup.clone(), now + self.load));
        }
        Ok(())
    }

    /// The orders taken, in turn.
    pub fn taken(&self) -> &[Order] {
        &self.taken
    }

    /// How many loads began.
    pub fn loads(&self) -> u64 {
        self.loads
    }

    /// How many orders were refused.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}

/// What goes wrong with orders on their way to the engine; the sender is told that all is well.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The next order never arrives.
    Lose,
    /// The next order arrives twice.
    Double,
    /// The next order arrives only once one for another setup has.
    Late,
}

/// What a test or an operator may set: `PUT` on `/orders`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Setting {
    /// Whether the engine checks fencing numbers.
    pub fencing: Fencing,
    /// How long it loads, in milliseconds.
    pub load_ms: u64,
    /// What goes wrong with the next order.
    #[serde(default)]
    pub fault: Option<Fault>,
}

impl Default for Setting {
    fn default() -> Self {
        Self { fencing: Fencing::Checked, load_ms: 50, fault: None }
    }
}

#[derive(Debug)]
struct State {
    orders: Orders,
    fault: Option<Fault>,
    held: Option<Order>,
}

impl State {
    fn open(setting: Setting) -> Self {
        let load = Duration::from_millis(setting.load_ms);
        let orders = Orders::open(setting.fencing, load);
        Self { orders, fault: setting.fault, held: None }
    }

    fn take(&mut self, now: Time, order: Order) -> Result<(), Fence> {
        match self.fault.take() {
            Some(Fault::Lose) => return Ok(()),
            Some(Fault::Late) => {
                self.held = Some(order);
                return Ok(());
            }
            Some(Fault::Double) => {
                let _ = self.orders.take(now, &order);
                let _ = self.orders.take(now, &order);
                return Ok(());
            }
            None => {}
        }
        let taken = self.orders.take(now, &order);
        if let Some(late) = self.held.take_if(|held| held.setup != order.setup) {
            let _ = self.orders.take(now, &late);
        }
        taken
    }
}

/// The order state of a running engine, by the real clock.
#[derive(Debug)]
pub struct Desk {
    started: Instant,
    state: Mutex<State>,
}

impl Default for Desk {
    fn default() -> Self {
        let state = Mutex::new(State::open(Setting::default()));
        Self { started: Instant::now(), state }
    }
}

impl Desk {
    /// Begins anew, as an engine does that restarts with another setting.
    pub fn set(&self, setting: Setting) {
        *self.state.lock() = State::open(setting);
    }

    /// What the engine says of itself.
    pub fn observe(&self) -> Observed {
        self.state.lock().orders.observe(self.now())
    }

    /// A copy of the whole state.
    pub fn orders(&self) -> Orders {
        self.state.lock().orders.clone()
    }

    fn now(&self) -> Time {
        let micros = self.started.elapsed().as_micros();
        Time::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }
}

async fn observe(desk: web::types::State<Arc<Desk>>) -> HttpResponse {
    HttpResponse::Ok().json(&desk.observe())
}

async fn take(desk: web::types::State<Arc<Desk>>, order: web::types::Json<Order>) -> HttpResponse {
    let now = desk.now();
    match desk.state.lock().take(now, order.into_inner()) {
        Ok(()) => HttpResponse::NoContent().finish(),
        Err(highest) => HttpResponse::Conflict().json(&Refused { highest }),
    }
}

async fn set(
    desk: web::types::State<Arc<Desk>>,
    setting: web::types::Json<Setting>,
) -> HttpResponse {
    desk.set(setting.into_inner());
    HttpResponse::NoContent().finish()
}

pub(crate) fn routes(config: &mut ServiceConfig, desk: &Arc<Desk>) {
    config
        .state(Arc::clone(desk))
        .route(PATH, web::get().to(observe))
        .route(PATH, web::post().to(take))
        .route("/orders", web::put().to(set));
}
