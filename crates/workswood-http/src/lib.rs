//! HTTP calls with limits on time and size, over connections that may go silent.
//!
//! * [`HttpClient`] makes calls whose answers are held whole; what may be done twice
//!   is sent again over a new connection when its answer is late.
//! * [`Pool`] keeps connections by address, and forgets those that are suspect.

mod attempt;
mod client;
mod pool;

pub use attempt::Attempt;
pub use client::{Call, CallError, Header, HttpClient, Response, RetryPolicy};
pub use pool::{Pool, PoolLimits};
