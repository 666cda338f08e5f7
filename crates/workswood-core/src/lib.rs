//! The decisions of workswood, without input, output, clocks or randomness.
//!
//! Everything in this crate is a function of state and time. The processes
//! around it read the platform's log, sockets and clocks, hand the facts in
//! and carry out the actions that come back.
//!
//! How the pieces meet:
//!
//! * [`fleet`] holds the files operators write, and checks them offline.
//! * [`record`] holds what is appended to the platform's log. An envelope is
//!   one append and carries many records of one process.
//! * [`fold`] turns envelopes, in offset order, into [`fold::State`]. Each
//!   record states a precondition; a record whose precondition does not hold
//!   at its offset is void, and every process decides that alike.
//! * [`plan`] proposes records: which hosts belong to which pool, where
//!   instances run, which hosts are maintained together. The fold checks each
//!   proposal again, so that a slow or paused planner can't break a budget.
//! * [`route`] decides on one entry host which request gets which endpoint.
//! * [`jobs`] queues and runs jobs of many steps on the workers of services.
//! * [`idempotency`] decides what a request that may not be repeated is told.
//! * [`membership`] decides which other entry hosts are alive.
//! * [`invariant`] counts what must never happen, in release builds too.
//! * [`code`] numbers every answer that says something went wrong.

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

/// Digest of several byte strings, each with its length.
pub fn digest(parts: &[&[u8]]) -> u64 {
    let mut h = xxhash_rust::xxh3::Xxh3::new();
    for p in parts {
        h.update(&(p.len() as u64).to_le_bytes());
        h.update(p);
    }
    h.digest()
}
