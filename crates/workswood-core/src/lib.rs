//! The decision logic of workswood, without input, output, clocks or randomness.
//!
//! Everything in this crate is a function of state and time. The processes that use
//! it read the platform's log, sockets and clocks, pass in what they read, and carry
//! out the actions that are returned.
//!
//! The modules:
//!
//! * [`fleet`] defines the files that operators write, and checks them offline.
//! * [`record`] defines what is appended to the platform's log. An envelope is one
//!   append and carries records of one process.
//! * [`fold`] applies envelopes, in offset order, to [`fold::State`]. Each record has
//!   a precondition; a record whose precondition does not hold at its offset is
//!   rejected, and every process decides this in the same way.
//! * [`plan`] proposes records: which hosts belong to which pool, where instances
//!   run, which hosts are maintained together. The fold checks each proposal again,
//!   so that a slow or paused planner can't break a budget.
//! * [`route`] decides, on one entry host, which endpoint gets which request.
//! * [`jobs`] queues jobs of many steps and runs them on the workers of services.
//! * [`idempotency`] decides how copies of a request that may not be repeated are
//!   answered.
//! * [`membership`] judges which other entry processes are alive.
//! * [`invariant`] checks invariants, also in release builds.
//! * [`code`] lists the numbered result codes.

pub mod code;
pub mod fleet;
pub mod fold;
pub mod idempotency;
pub mod ids;
pub mod invariant;
pub mod jobs;
pub mod membership;
pub mod plan;
pub mod record;
pub mod route;

/// Digest of several byte strings. Each is preceded by its length, so that the
/// boundaries between them count.
pub fn digest(parts: &[&[u8]]) -> u64 {
    let mut hasher = xxhash_rust::xxh3::Xxh3::new();
    for part in parts {
        hasher.update(&(part.len() as u64).to_le_bytes());
        hasher.update(part);
    }
    hasher.digest()
}
