//! `workswood jobs`

use clap::{Arg, ArgMatches, Command};
use workswood::{Result, ops};

/// Its command line.
pub fn cli() -> Command {
    Command::new("jobs")
        .about("Run the process of an entry host that queues and runs jobs")
        .arg(
            Arg::new("settings")
                .value_name("SETTINGS")
                .help("settings file, see docs/SETTINGS.md [default: the path in WORKSWOOD_SETTINGS]"),
        )
        .after_help("Example: workswood jobs /etc/workswood/jobs.json")
}

/// Runs it.
pub fn exec(args: &ArgMatches) -> Result<()> {
    let named = args.get_one::<String>("settings").cloned();
    super::block_on(ops::jobs::run(named))
}
