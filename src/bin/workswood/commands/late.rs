//! `workswood late`

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use workswood::{Result, ops};

/// Builds the command line of the command.
pub fn cli() -> Command {
    Command::new("late")
        .about("Summarize why jobs were late, from the logs of `workswood jobs`")
        .arg(Arg::new("logs").value_name("LOG").required(true).action(ArgAction::Append).num_args(1..))
        .arg(
            Arg::new("span")
                .long("span")
                .value_name("SECONDS")
                .value_parser(value_parser!(f64))
                .default_value("2")
                .help("length of the time spans by which jobs are grouped"),
        )
        .after_help("Example: workswood late entry-1.log entry-2.log")
}

/// Runs the command.
pub fn exec(args: &ArgMatches) -> Result<()> {
    let seconds = args.get_one::<f64>("span").copied().unwrap_or(2.0).clamp(0.1, 3600.0);
    let summary = ops::late::run(&super::string_args(args, "logs"), Duration::from_secs_f64(seconds))?;
    workswood::out!("{}", summary.table());
    Ok(())
}
