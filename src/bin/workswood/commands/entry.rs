//! `workswood entry`

use clap::{Arg, ArgMatches, Command};
use workswood::{Result, ops};

/// Its command line.
pub fn cli() -> Command {
    Command::new("entry")
        .about("Run the process of an entry host")
        .arg(
            Arg::new("settings")
                .value_name("SETTINGS")
                .required(true)
                .help("settings file, see docs/SETTINGS.md"),
        )
        .after_help("Example: workswood entry /etc/workswood/settings.json")
}

/// Runs it.
pub fn exec(args: &ArgMatches) -> Result<()> {
    super::block_on(ops::entry::run(&super::text(args, "settings")))
}
