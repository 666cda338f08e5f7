//! HTTP calls with limits on time and size, over connections that may go silent.
//!
//! * [`HttpClient`] makes calls and reads their responses into memory. A call that may be
//!   sent twice is sent again over a new connection when its response is late.
//! * [`CopyOutcome`] is what is known of a request of which several copies may have been sent.
//! * [`Pool`] keeps connections by address, and drops those that are suspect.

mod attempt;
mod client;
mod copies;
mod pool;

pub use attempt::Attempt;
pub use client::{Call, CallError, Header, HttpClient, Response, RetryPolicy};
pub use copies::{CopyAnswers, CopyOutcome, settle};
pub use pool::{Pool, PoolLimits};
