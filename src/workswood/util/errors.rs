//! Errors of commands, with their numbered codes and exit statuses.

use snafu::Snafu;
use workswood_core::code::Code;
use workswood_core::fleet::Issue;
use workswood_operators::ClientError;
use workswood_platform::jobs::StoreError;

/// Result of an operation.
pub type Result<T, E = Error> = std::result::Result<T, E>;

/// Why an operation failed.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub))]
pub enum Error {
    /// A file can't be read.
    #[snafu(display("can't read `{path}`"))]
    ReadFile {
        /// The file.
        path: String,
        /// The reason.
        source: std::io::Error,
    },
    /// A file is not valid.
    #[snafu(display("`{path}` has {} error(s)", issues.len()))]
    InvalidFile {
        /// The file.
        path: String,
        /// The errors.
        issues: Vec<Issue>,
    },
    /// The settings of a process are not valid.
    #[snafu(display("settings `{path}`: {text}"))]
    InvalidSettings {
        /// The file.
        path: String,
        /// What is wrong.
        text: String,
    },
    /// A listener can't be opened.
    #[snafu(display("can't listen on {address}"))]
    Listen {
        /// The address.
        address: String,
        /// The reason.
        source: std::io::Error,
    },
    /// A call to an entry failed.
    #[snafu(display("the call to the entry failed"))]
    Call {
        /// The reason.
        source: ClientError,
    },
    /// The platform's store can't be read.
    #[snafu(display("the store at {address} can't be read"))]
    Store {
        /// Address of the store.
        address: String,
        /// The reason.
        source: StoreError,
    },
    /// A change was refused.
    #[snafu(display("refused: {message}"))]
    Refused {
        /// The code.
        code: Code,
        /// The reason.
        message: String,
    },
    /// It is unknown whether a change was accepted.
    #[snafu(display("it is unknown whether the change was accepted"))]
    OutcomeUnknown {
        /// The code.
        code: Code,
    },
    /// A maintenance can't finish before its deadline.
    #[snafu(display("{message}"))]
    PlanImpossible {
        /// The maintenance, and the nearest feasible plan.
        message: String,
    },
    /// There is no such code.
    #[snafu(display("unknown code `{text}`; see docs/ERRORS.md for all codes"))]
    UnknownCode {
        /// The code.
        text: String,
    },
    /// The given logs do not contain what is needed.
    #[snafu(display("{message}"))]
    InsufficientLogs {
        /// What is missing.
        message: String,
    },
    /// The variation of a policy field is malformed.
    #[snafu(display("`{text}` is not of the form FIELD=VALUE,VALUE, such as need.full=0.7,0.85"))]
    InvalidVariation {
        /// The argument.
        text: String,
    },
    /// A run of a development command failed.
    #[snafu(display("{message}"))]
    RunFailed {
        /// The reason.
        message: String,
    },
}

impl Error {
    /// The numbered code of the error.
    pub fn code(&self) -> Code {
        match self {
            Error::ReadFile { .. } => Code::FileUnreadable,
            Error::InvalidFile { issues, .. } => issues.first().map_or(Code::BadValue, |i| i.code),
            Error::InvalidSettings { .. } => Code::SettingsInvalid,
            Error::Listen { .. } => Code::ListenFailed,
            Error::Call { .. } | Error::Store { .. } => Code::PlatformUnreachable,
            Error::Refused { code, .. } | Error::OutcomeUnknown { code } => *code,
            Error::PlanImpossible { .. } => Code::PlanImpossible,
            Error::UnknownCode { .. }
            | Error::InvalidVariation { .. }
            | Error::InsufficientLogs { .. }
            | Error::RunFailed { .. } => Code::BadRequest,
        }
    }

    /// The exit status of the process. See `docs/OPERATIONS.md`.
    pub fn exit_status(&self) -> u8 {
        match self {
            Error::InvalidFile { .. }
            | Error::InvalidSettings { .. }
            | Error::UnknownCode { .. }
            | Error::InvalidVariation { .. }
            | Error::InsufficientLogs { .. } => 2,
            Error::Refused { .. } | Error::PlanImpossible { .. } => 3,
            Error::OutcomeUnknown { .. } => 4,
            Error::Call { .. } | Error::Store { .. } => 5,
            Error::RunFailed { .. } => 6,
            Error::ReadFile { .. } | Error::Listen { .. } => 1,
        }
    }

    /// Formats the error, its causes and what to do about it, one per line.
    pub fn report(&self) -> String {
        use std::error::Error as _;
        let code = self.code();
        let mut text = format!("error {}: {self}\n", code.number());
        if let Error::InvalidFile { issues, .. } = self {
            for i in issues {
                text.push_str(&format!("  {i}\n"));
            }
        }
        let mut cause = self.source();
        while let Some(c) = cause {
            text.push_str(&format!("  caused by: {c}\n"));
            cause = c.source();
        }
        text.push_str(&format!("  what to do: {}\n", code.advice()));
        text
    }
}
