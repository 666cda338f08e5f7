//! Messages between the entries of workswood.
//!
//! Every entry listens for its peers and keeps one connection to each peer it talks to.
//! A connection begins with a [`Hello`] that carries the shared token. After that each
//! side sends [`Frame`]s, each preceded by its length. A frame with a `call` number other
//! than 0 is a request or the reply to it. A connection on which [`relay::RelayOpen`]
//! follows the [`Hello`] is a relay connection: both sides send messages at any time, and
//! none of them has a call number. [`bridge::BridgeOpen`] in its place opens such a connection to
//! another entry through this one.

pub mod bridge;
mod connection;
mod counting_stream;
mod duplex;
mod link;
mod message;
mod opening;
pub mod relay;
mod server;

pub use duplex::{Closed, DuplexRx, DuplexTx, ReceivedBytes, connect_duplex};
pub use link::{CallError, Link};
pub use message::*;
pub use server::{Handler, RelayHandler, serve, serve_with_relay, serve_within};

/// Longest frame that is accepted.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
