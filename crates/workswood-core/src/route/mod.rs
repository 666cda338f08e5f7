//! Request routing on one entry.
//!
//! A [`Dispatcher`] serves one service on one entry. It owns a share of the
//! slots of each endpoint ([`owned_slots`]), may borrow idle slots from its peers,
//! keeps a bounded queue for each class, and sends a request only in a slot that it
//! holds. So the entries together never exceed the slots of an endpoint, although
//! none of them knows the load of the others.

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
