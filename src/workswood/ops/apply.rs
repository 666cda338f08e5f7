//! `apply`: applies fleet files through an entry.

use std::time::Duration;

use snafu::ResultExt;
use workswood_operators::{ApplyReply, ApplyRequest, OperatorClient};

use crate::ops::check;
use crate::util::errors::{CallSnafu, Error, ReadFileSnafu, Result};

/// Options of `apply`.
pub struct ApplyOptions {
    /// Address of an entry's listener for operators.
    pub address: String,
    /// Token of the operators.
    pub token: String,
    /// Version of the file on which the change is based; 0 for a new file.
    pub base: u64,
    /// Name of the operator who applies the change.
    pub author: String,
    /// How long to wait until all entries confirm the change.
    pub wait: Duration,
}

/// Applies one file. A reply that does not accept it is returned as an error.
pub async fn run(path: &str, opts: &ApplyOptions) -> Result<ApplyReply> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    check::read_text(path, &text)?;
    let req = ApplyRequest {
        id: uuid::Uuid::new_v4().to_string(),
        base: opts.base,
        author: opts.author.clone(),
        text,
        wait_ms: opts.wait.as_millis() as u64,
    };
    let client = OperatorClient::new(&opts.address, &opts.token);
    match client.apply(&req).await.context(CallSnafu)? {
        ApplyReply::Refused { code, message, issues } => {
            let lines = issues.iter().map(|i| format!("\n  error {}: {}: {}", i.code, i.path, i.message));
            Err(Error::Refused { code, message: message + &lines.collect::<String>() })
        }
        ApplyReply::Unknown { code } => Err(Error::OutcomeUnknown { code }),
        accepted => Ok(accepted),
    }
}
