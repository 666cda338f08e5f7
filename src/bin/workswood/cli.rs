//! The command line.

use clap::{ArgMatches, Command};
use workswood::Result;

use crate::commands;

/// The program with all its commands.
pub fn cli() -> Command {
    Command::new("workswood")
        .about("Fleet capacity and maintenance manager")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(commands::all().into_iter().map(|c| (c.cli)()))
}

/// Runs the command that was named.
pub fn exec(matches: &ArgMatches) -> Result<()> {
    let Some((name, args)) = matches.subcommand() else { return Ok(()) };
    let all = commands::all();
    let found = all.into_iter().find(|c| (c.cli)().get_name() == name);
    found.map_or(Ok(()), |c| (c.exec)(args))
}
