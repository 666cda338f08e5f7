//! The platform: its log, its list of hosts, and acts on hosts and tasks.
//!
//! The rest of the program uses the platform only through the trait [`Platform`], and
//! through [`jobs::JobPlatform`] for running jobs. [`HttpPlatform`] implements the former
//! with JSON over HTTP/1.1:
//!
//! | request | response |
//! |---|---|
//! | `POST /log` with one record as body | `{"offset": n}` |
//! | `GET /log?from=N&max=M` | [`ReadReply`] |
//! | `GET /hosts` | the list, [`workswood_core::plan::ObservedFleet`] |
//! | `POST /acts` with a [`HostAction`] | `{}` |

pub mod copies;
mod http;
pub mod jobs;

use std::time::Duration;

use futures::future::BoxFuture;
use serde::{Deserialize, Serialize};
use snafu::Snafu;
use workswood_core::ids::Offset;
use workswood_core::plan::{HostAction, ObservedFleet};

pub use http::HttpPlatform;

/// Longest wait for a response of the platform.
pub const CALL_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a call to the platform failed.
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
        /// Body of the response.
        text: String,
    },
    /// No complete response arrived; the call may have taken effect.
    #[snafu(display("no response from the platform: {text}"))]
    NoAnswer {
        /// What went wrong.
        text: String,
    },
    /// The response can't be decoded; the call may have taken effect.
    #[snafu(display("can't decode the response of the platform"))]
    Garbled {
        /// The reason.
        source: serde_json::Error,
    },
}

/// A record of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct LogRecord {
    /// Its offset.
    pub offset: Offset,
    /// Its content.
    pub body: String,
}

/// A section of the log.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadReply {
    /// Lowest offset that the platform still keeps.
    pub first: Offset,
    /// Offset that the next appended record will get.
    pub head: Offset,
    /// The records, in order of their offsets.
    pub records: Vec<LogRecord>,
}

/// What the program needs of the platform.
pub trait Platform: Send + Sync + 'static {
    /// Appends one record; returns its offset.
    fn append(&self, body: String) -> BoxFuture<'_, Result<Offset, Error>>;
    /// Reads up to `max` records from an offset on.
    fn read(&self, from: Offset, max: usize) -> BoxFuture<'_, Result<ReadReply, Error>>;
    /// Reads the list of hosts, which may be out of date.
    fn hosts(&self) -> BoxFuture<'_, Result<ObservedFleet, Error>>;
    /// Carries out an act on a host or task.
    fn act(&self, act: &HostAction) -> BoxFuture<'_, Result<(), Error>>;
}
