//! `workswood entry`

use clap::{Arg, ArgMatches, Command};
use workswood::{Result, ops};

/// Builds the command line of the command.
pub fn cli() -> Command {
    Command::new("entry")
        .about("Run the process of an entry that routes requests and manages hosts")
        .arg(
            Arg::new("settings")
                .value_name("SETTINGS")
                .required(true)
                .help("settings file, see docs/SETTINGS.md"),
        )
        .after_help("Example: workswood entry /etc/workswood/settings.json")
}

/// Runs the command.
pub fn exec(args: &ArgMatches) -> Result<()> {
    super::block_on(ops::entry::run(&super::string_arg(args, "settings")))
}
