//! Errors of commands, with codes and the way out.

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
    /// A file has errors.
    #[snafu(display("`{path}` has {} error(s)", issues.len()))]
    BadFile {
        /// The file.
        path: String,
        /// The errors.
        issues: Vec<Issue>,
    },
    /// The settings of a process are not usable.
    #[snafu(display("settings `{path}`: {text}"))]
    Settings {
        /// The file.
        path: String,
        /// What is wrong.
        text: String,
    },
    /// An address can't be listened on.
    #[snafu(display("can't listen on {address}"))]
    Listen {
        /// The address.
        address: String,
        /// The reason.
        source: std::io::Error,
    },
    /// A call to an entry host failed.
    #[snafu(display("call to an entry host"))]
    Call {
        /// The reason.
        source: ClientError,
    },
    /// The platform's store can't be read.
    #[snafu(display("the store at {address} can't be read"))]
    Store {
        /// Its address.
        address: String,
        /// The reason.
        source: StoreError,
    },
    /// A change was refused.
    #[snafu(display("refused: {message}"))]
    Refused {
        /// The code.
        code: Code,
        /// Why.
        message: String,
    },
    /// It is not known whether a change was accepted.
    #[snafu(display("not known whether the change was accepted"))]
    Unknown {
        /// The code.
        code: Code,
    },
    /// A maintenance can't finish in time.
    #[snafu(display("{message}"))]
    PlanImpossible {
        /// Which, and the nearest plan.
        message: String,
    },
    /// No such code.
    #[snafu(display("no code `{text}`; codes are listed in docs/ERRORS.md"))]
    NoCode {
        /// What was asked for.
        text: String,
    },
    /// Logs do not tell what was asked for.
    #[snafu(display("{message}"))]
    Logs {
        /// What is missing.
        message: String,
    },
    /// A field of a policy and its values can't be read.
    #[snafu(display("`{text}` is not of the form FIELD=VALUE,VALUE, as need.full=0.7,0.85"))]
    BadVary {
        /// What was given.
        text: String,
    },
    /// The run found something broken.
    #[snafu(display("{message}"))]
    Broken {
        /// What.
        message: String,
    },
}

impl Error {
    /// The numbered code of the error.
    pub fn code(&self) -> Code {
        match self {
            Error::ReadFile { .. } => Code::FileUnreadable,
            Error::BadFile { issues, .. } => issues.first().map_or(Code::BadValue, |i| i.code),
            Error::Settings { .. } => Code::SettingsInvalid,
            Error::Listen { .. } => Code::ListenFailed,
            Error::Call { .. } | Error::Store { .. } => Code::PlatformUnreachable,
            Error::Refused { code, .. } | Error::Unknown { code } => *code,
            Error::PlanImpossible { .. } => Code::PlanImpossible,
            Error::NoCode { .. } | Error::BadVary { .. } | Error::Logs { .. } | Error::Broken { .. } => {
                Code::BadRequest
            }
        }
    }

    /// The exit status of the process; see `docs/OPERATIONS.md`.
    pub fn exit_status(&self) -> u8 {
        match self {
            Error::BadFile { .. }
            | Error::Settings { .. }
            | Error::NoCode { .. }
            | Error::BadVary { .. }
            | Error::Logs { .. } => 2,
            Error::Refused { .. } | Error::PlanImpossible { .. } => 3,
            Error::Unknown { .. } => 4,
            Error::Call { .. } | Error::Store { .. } => 5,
            Error::Broken { .. } => 6,
            Error::ReadFile { .. } | Error::Listen { .. } => 1,
        }
    }

    /// The error with its causes, a line each, and the way out.
    pub fn report(&self) -> String {
        use std::error::Error as _;
        let code = self.code();
        let mut text = format!("error {}: {self}\n", code.number());
        if let Error::BadFile { issues, .. } = self {
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
