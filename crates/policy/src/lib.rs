//! Every decision of fireflyhoist, free of network, clock and randomness of its own.
//!
//! Callers of this crate pass `now` and a random source into each decision, so that every test and
//! every load pattern replays exactly. The absence of any I/O library in `Cargo.toml` is what
//! keeps that true; see `docs/DESIGN.md`, section "One daemon, one tool".

pub mod ask;
pub mod bootstrap;
pub mod burn;
pub mod cold;
pub mod comeback;
pub mod cordon;
pub mod curve;
pub mod drain;
pub mod exclusion;
pub mod gate;
pub mod handle;
pub mod handover;
pub mod heartbeat;
pub mod hedge;
pub mod id;
mod late;
pub mod lease;
pub mod ledger;
pub mod length;
pub mod mac;
pub mod member;
pub mod migration_queue;
pub mod newcomer;
pub mod observation;
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
pub mod retry;
pub mod room;
pub mod route;
pub mod session;
pub mod share;
pub mod sink;
mod slot;
pub mod suppress;
pub mod target_limit;
pub mod ticket;
pub mod time;
pub mod token_bucket;
pub mod topology;
pub mod unit;
pub mod usage;
pub mod version;
pub mod workspace_limit;
