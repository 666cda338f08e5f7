//! The commands, one module for each.

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

/// A command of the program.
pub struct Subcommand {
    /// Builds the command line.
    pub cli: fn() -> Command,
    /// Runs the command.
    pub exec: fn(&ArgMatches) -> Result<()>,
}

/// All commands.
pub fn all() -> Vec<Subcommand> {
    vec![
        Subcommand { cli: entry::cli, exec: entry::exec },
        Subcommand { cli: jobs::cli, exec: jobs::exec },
        Subcommand { cli: check::cli, exec: check::exec },
        Subcommand { cli: plan::cli, exec: plan::exec },
        Subcommand { cli: apply::cli, exec: apply::exec },
        Subcommand { cli: status::cli, exec: status::exec },
        Subcommand { cli: explain::cli, exec: explain::exec },
        Subcommand { cli: late::cli, exec: late::exec },
        Subcommand { cli: model::cli, exec: model::exec },
        Subcommand { cli: dev::cli, exec: dev::exec },
        Subcommand { cli: bench::cli, exec: bench::exec },
        Subcommand { cli: soak::cli, exec: soak::exec },
    ]
}

/// Arguments to call an entry as an operator.
fn entry_args() -> [Arg; 2] {
    [
        Arg::new("entry")
            .long("entry")
            .value_name("IP:PORT")
            .required(true)
            .help("listener for operators of any entry"),
        Arg::new("token-file")
            .long("token-file")
            .value_name("FILE")
            .required(true)
            .help("file with the operators' token"),
    ]
}

/// The flag for output as JSON.
fn json_arg() -> Arg {
    Arg::new("json").long("json").action(ArgAction::SetTrue).help("print JSON")
}

/// Prints a value as JSON if the flag is set, otherwise as text.
fn print_value<T: Serialize>(args: &ArgMatches, value: &T, text: impl Fn() -> String) {
    if args.get_flag("json") {
        workswood::outln!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
    } else {
        workswood::out!("{}", text());
    }
}

fn string_arg(args: &ArgMatches, name: &str) -> String {
    args.get_one::<String>(name).cloned().unwrap_or_default()
}

fn string_args(args: &ArgMatches, name: &str) -> Vec<String> {
    args.get_many::<String>(name).into_iter().flatten().cloned().collect()
}

fn read_token(args: &ArgMatches) -> Result<String> {
    let path = string_arg(args, "token-file");
    let token = std::fs::read_to_string(&path).context(ReadFileSnafu { path })?;
    Ok(token.trim().to_string())
}

/// Runs a future on a runtime with several threads.
fn block_on<T>(f: impl Future<Output = T>) -> T {
    run_on(tokio::runtime::Builder::new_multi_thread(), f)
}

/// Runs a future on a runtime with so many threads.
fn block_on_threads<T>(threads: usize, f: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_multi_thread();
    builder.worker_threads(threads);
    run_on(builder, f)
}

fn run_on<T>(mut builder: tokio::runtime::Builder, f: impl Future<Output = T>) -> T {
    builder.enable_all().build().expect("the system can start threads").block_on(f)
}

/// The time in milliseconds since 1970.
fn now_ms() -> u64 {
    let since = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
