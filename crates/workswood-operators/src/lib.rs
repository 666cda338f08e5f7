//! The HTTP listener for operators, and its client, which the commands use.
//!
//! | call | answer |
//! |---|---|
//! | `POST /v1/apply` with an [`ApplyRequest`] | [`ApplyReply`] |
//! | `GET /v1/status` | [`Status`] |
//! | `GET /metrics` | metrics in the Prometheus text format |
//!
//! Each call carries `authorization: Bearer TOKEN`.

mod client;
mod messages;
mod server;

pub use client::{ClientError, OperatorClient};
pub use messages::*;
pub use server::{OperatorApi, serve};
