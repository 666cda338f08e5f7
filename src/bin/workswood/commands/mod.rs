//! One module for each command.

pub mod apply;
pub mod bench;
pub mod check;
pub mod dev;
pub mod entry;
pub mod explain;
pub mod jobs;
pub mod late;
pub mod model;
pub mod plan;
pub mod soak;
pub mod status;

use clap::{Arg, ArgAction, ArgMatches, Command};
use serde::Serialize;
use snafu::ResultExt;
use workswood::Result;
use workswood::util::errors::ReadFileSnafu;

/// A command: how it is called and what it does.
pub struct Entry {
    /// Its command line.
    pub cli: fn() -> Command,
    /// What it does.
    pub exec: fn(&ArgMatches) -> Result<()>,
}

/// All commands.
pub fn all() -> Vec<Entry> {
    vec![
        Entry { cli: entry::cli, exec: entry::exec },
        Entry { cli: jobs::cli, exec: jobs::exec },
        Entry { cli: check::cli, exec: check::exec },
        Entry { cli: plan::cli, exec: plan::exec },
        Entry { cli: apply::cli, exec: apply::exec },
        Entry { cli: status::cli, exec: status::exec },
        Entry { cli: explain::cli, exec: explain::exec },
        Entry { cli: late::cli, exec: late::exec },
        Entry { cli: model::cli, exec: model::exec },
        Entry { cli: dev::cli, exec: dev::exec },
        Entry { cli: bench::cli, exec: bench::exec },
        Entry { cli: soak::cli, exec: soak::exec },
    ]
}

/// Arguments that name an entry host.
fn entry_args() -> [Arg; 2] {
    [
        Arg::new("entry")
            .long("entry")
            .value_name("IP:PORT")
            .required(true)
            .help("listener for operators of any entry host"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .required(true)
            .help("file with the operators' token"),
    ]
}

/// The argument that asks for JSON.
fn json_arg() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("print JSON")
}

/// Prints a value as JSON if that was asked for, else as text.
fn show<T: Serialize>(args: &ArgMatches, value: &T, text: impl Fn() -> String) {
    if args.get_flag("json") {
        workswood::outln!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
    } else {
        workswood::out!("{}", text());
    }
}

fn text(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).cloned().unwrap_or_default()
}

fn texts(args: &ArgMatches, name: &str) -> Vec<String> {
    args.get_many::<String>(name).into_iter().flatten().cloned().collect()
}

fn token(args: &ArgMatches) -> Result<String> {
    let path = text(args, "token-file");
    let token = std::fs::read_to_string(&path).context(ReadFileSnafu { path })?;
    Ok(token.trim().to_string())
}

/// Runs a future on a runtime with several threads.
fn block_on<T>(f: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_multi_thread().enable_all().build();
    runtime.expect("the system gives threads").block_on(f)
}

/// The clock, in milliseconds since 1970.
fn now() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
