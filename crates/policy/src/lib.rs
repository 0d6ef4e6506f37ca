//! Decision logic of fireflyhoist, without network access, clock reads or randomness of its own.
//!
//! Callers pass `now` and a random source into each decision, so that tests and simulated load
//! replay deterministically. `Cargo.toml` lists no I/O library, which enforces this.

pub mod backoff;
pub mod bootstrap;
pub mod burn;
pub mod cold;
pub mod concurrency;
pub mod cordon;
pub mod curve;
pub mod exclusion;
pub mod failover;
pub mod gate;
pub mod handle;
pub mod heartbeat;
pub mod hedge;
pub mod id;
pub mod idempotency;
pub mod isolation;
pub mod lease;
pub mod length;
pub mod load;
pub mod mac;
pub mod member;
pub mod memory;
pub mod migration_queue;
pub mod observation;
pub mod order;
pub mod outlier;
pub mod permit;
pub mod placement;
pub mod poison;
pub mod position;
pub mod presence;
pub mod queue;
pub mod rendezvous;
pub mod request;
pub mod resubmission;
pub mod retry;
pub mod route;
pub mod sequencer;
pub mod share;
mod shedding;
pub mod shutdown;
pub mod stagger;
pub mod suppress;
mod target;
pub mod target_limit;
pub mod throughput;
pub mod ticket;
pub mod time;
pub mod token_bucket;
pub mod topology;
pub mod unit;
pub mod usage;
pub mod version;
pub mod workspace_limit;
