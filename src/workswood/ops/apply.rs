//! `apply`: puts fleet files in force through an entry host.

use std::time::Duration;

use snafu::ResultExt;
use workswood_operators::{ApplyReply, ApplyRequest, OperatorClient};

use crate::ops::check;
use crate::util::errors::{CallSnafu, Error, ReadFileSnafu, Result};

/// How `apply` is called.
pub struct ApplyOptions {
    /// Address of an entry host's listener for operators.
    pub address: String,
    /// The operators' token.
    pub token: String,
    /// Version that the change was made on.
    pub base: u64,
    /// Who applies it.
    pub author: String,
    /// How long to wait until it is in force everywhere.
    pub wait: Duration,
}

/// Applies one file; the reply is an accepted one.
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
