//! Messages between the processes of workswood.
//!
//! Every process listens for its peers and keeps one connection to each peer
//! it talks to. A connection begins with a [`Hello`] that carries the token;
//! then frames of [`Frame`] go both ways, each with the length in front. A
//! frame with a `call` number other than 0 is a question or its answer. A connection that
//! a [`relay::RelayOpen`] follows belongs to a relay from then on: both sides send when
//! they have something to say.

mod counted;
mod duplex;
mod exchange;
mod link;
mod message;
pub mod relay;
mod server;

pub use duplex::{Closed, DuplexRx, DuplexTx, connect};
pub use link::{CallError, Link};
pub use message::*;
pub use server::{Handler, RelayHandler, serve, serve_with_relay};

/// Largest frame; a state of the target's size fits.
pub const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;
