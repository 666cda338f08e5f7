//! `workswood late`

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use workswood::{Result, ops};

/// Its command line.
pub fn cli() -> Command {
    Command::new("late")
        .about("Sum up, from the logs of `workswood jobs`, why jobs were late")
        .arg(Arg::new("logs").value_name("LOG").required(true).action(ArgAction::Append).num_args(1..))
        .arg(
            Arg::new("span")
                .long("span")
                .value_name("SECONDS")
                .value_parser(value_parser!(f64))
                .default_value("2")
                .help("length of the spans of time that jobs are sorted into"),
        )
        .after_help("Example: workswood late entry-1.log entry-2.log")
}

/// Runs it.
pub fn exec(args: &ArgMatches) -> Result<()> {
    let seconds = args.get_one::<f64>("span").copied().unwrap_or(2.0).clamp(0.1, 3600.0);
    let report = ops::late::run(&super::texts(args, "logs"), Duration::from_secs_f64(seconds))?;
    workswood::out!("{}", report.table());
    Ok(())
}
