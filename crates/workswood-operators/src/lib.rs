//! The listener for operators, and the client that the commands use.
//!
//! | call | answer |
//! |---|---|
//! | `POST /v1/apply` with an [`ApplyRequest`] | [`ApplyReply`] |
//! | `GET /v1/status` | [`Status`] |
//! | `GET /metrics` | text for `prometheus` |
//!
//! Each call carries `authorization: Bearer TOKEN`.

mod client;
mod server;
mod types;

pub use client::{ClientError, OperatorClient};
pub use server::{Operations, serve};
pub use types::*;
