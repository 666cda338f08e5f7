//! The platform: its log, its list of hosts, and acts on hosts and tasks.
//!
//! The platform's real interface is not known yet. Everything the rest of the
//! program needs of it is the trait [`Platform`]; another protocol is another
//! implementation of it. [`HttpPlatform`] speaks JSON over HTTP/1.1:
//!
//! | call | answer |
//! |---|---|
//! | `POST /log` with one record as body | `{"offset": n}` |
//! | `GET /log?from=N&max=M` | [`ReadReply`] |
//! | `GET /hosts` | the list, [`workswood_core::plan::ObservedFleet`] |
//! | `POST /acts` with a [`HostAction`] | `{}` |

mod http;
pub mod jobs;

use std::time::Duration;

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use workswood_core::ids::Offset;
use workswood_core::plan::{HostAction, ObservedFleet};

pub use http::HttpPlatform;

/// Longest wait for an answer of the platform.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum Error {
    /// No connection was made, so nothing was done.
    #[snafu(display("platform unreachable at {address}"))]
    Unreachable {
        /// The platform's address.
        address: String,
    },
    /// The platform refused the call; nothing was done.
    #[snafu(display("platform refused with status {status}: {text}"))]
    Refused {
        /// HTTP status.
        status: u16,
        /// What it said.
        text: String,
    },
    /// No whole answer came; the call may have had its effect.
    #[snafu(display("no answer from the platform: {text}"))]
    NoAnswer {
        /// What went wrong.
        text: String,
    },
    /// The answer can't be read; the call may have had its effect.
    #[snafu(display("answer of the platform can't be read"))]
    Garbled {
        /// The reason.
        source: serde_json::Error,
    },
}

/// One record read back from the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: Offset,
    /// Its content.
    pub body: String,
}

/// Part of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadReply {
    /// Oldest offset that is still kept.
    pub first: Offset,
    /// Offset that the next record will get.
    pub head: Offset,
    /// Records in offset order.
    pub records: Vec<LogRecord>,
}

/// What the program needs of the platform.
pub trait Platform: Send + Sync + 'static {
    /// Appends one record; returns its offset.
    fn append(&self, body: String) -> BoxFuture<'_, Result<Offset, Error>>;
    /// Reads up to `max` records from an offset on.
    fn read(&self, from: Offset, max: usize) -> BoxFuture<'_, Result<ReadReply, Error>>;
    /// Reads the list of hosts, which lags.
    fn hosts(&self) -> BoxFuture<'_, Result<ObservedFleet, Error>>;
    /// Acts on a host or task.
    fn act(&self, act: &HostAction) -> BoxFuture<'_, Result<(), Error>>;
}
