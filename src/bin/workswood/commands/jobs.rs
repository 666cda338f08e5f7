//! `workswood jobs`

use clap::{Arg, ArgMatches, Command};
use workswood::util::job_settings::JobSettings;
use workswood::{Result, ops};

/// Builds the command line of the command.
pub fn cli() -> Command {
    Command::new("jobs")
        .about("Run the process of an entry that queues and runs jobs")
        .arg(
            Arg::new("settings")
                .value_name("SETTINGS")
                .help("settings file, see docs/SETTINGS.md [default: the path in WORKSWOOD_SETTINGS]"),
        )
        .after_help("Example: workswood jobs /etc/workswood/jobs.json")
}

/// Runs the command.
pub fn exec(args: &ArgMatches) -> Result<()> {
    let path = args.get_one::<String>("settings").cloned();
    let path = ops::jobs::settings_path(path)?;
    let settings = JobSettings::read(&path)?;
    super::block_on_threads(settings.worker_threads(), ops::jobs::run(path, settings))
}
