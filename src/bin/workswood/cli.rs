//! The command line.

use clap::{ArgMatches, Command};
use workswood::Result;

use crate::commands;

/// Builds the command line of the program with all commands.
pub fn cli() -> Command {
    Command::new("workswood")
        .about("Fleet capacity and maintenance manager")
        .version(env!("CARGO_PKG_VERSION"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommands(commands::all().into_iter().map(|c| (c.cli)()))
}

/// Runs the given command.
pub fn exec(matches: &ArgMatches) -> Result<()> {
    let Some((name, args)) = matches.subcommand() else { return Ok(()) };
    let all = commands::all();
    let command = all.into_iter().find(|c| (c.cli)().get_name() == name);
    command.map_or(Ok(()), |c| (c.exec)(args))
}
