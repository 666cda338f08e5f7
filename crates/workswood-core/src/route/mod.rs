//! Decisions of one entry host about requests.
//!
//! A [`Dispatcher`] serves one service on one entry host. It owns a share of
//! the slots of each endpoint ([`share`]), may borrow idle slots of its peers,
//! keeps bounded queues by class, and never uses a slot that it does not hold.
//! So the slots of an endpoint are used by all entry hosts together without
//! any of them knowing the others' load.

mod dispatch;
mod endpoint;
mod health;
mod queue;
mod retry;
mod slot_ownership;
mod table;

pub use dispatch::{Action, Dispatcher, DispatcherConfig, Outcome, RequestId, SlotDemand};
pub use endpoint::Loan;
pub use health::{Health, HealthState};
pub use queue::{ClassQueues, MAX_QUEUED, QueuedRequest};
pub use retry::RetryBudget;
pub use slot_ownership::owned_slots;
pub use table::{Endpoint, RouteTable, ServiceView};
