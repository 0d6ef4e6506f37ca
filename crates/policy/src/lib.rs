//! Decision logic of fireflyhoist, without network access, clock reads or randomness of its own.
//!
//! Callers pass `now` and a random source into each decision, so that tests and simulated load
//! replay deterministically. `Cargo.toml` lists no I/O library, which enforces this.

pub mod bootstrap;
pub mod burn;
pub mod cold;
pub mod comeback;
pub mod cordon;
pub mod curve;
pub mod drain;
pub mod exclusion;
pub mod failover;
pub mod gate;
pub mod handle;
pub mod heartbeat;
pub mod hedge;
pub mod id;
pub mod idempotency;
pub mod intake;
pub mod keeper;
mod late;
pub mod lease;
pub mod length;
pub mod limit;
pub mod mac;
pub mod member;
pub mod newcomer;
pub mod order;
pub mod outage;
pub mod outlier;
pub mod pace;
pub mod placement;
pub mod poison;
pub mod position;
pub mod presence;
pub mod queue;
pub mod rendezvous;
pub mod request;
pub mod retry;
pub mod room;
pub mod roster;
pub mod route;
pub mod sequencer;
pub mod share;
pub mod shutdown;
mod slot;
pub mod suppress;
pub mod ticket;
pub mod time;
pub mod turn;
pub mod unit;
pub mod usage;
pub mod version;
pub mod witness;
