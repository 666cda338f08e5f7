//! `workswood explain`

use clap::{Arg, ArgAction, ArgMatches, Command};
use workswood::{Result, ops};
use workswood_core::jobs::spec::parse_job_number;

/// Builds the command line of the command.
pub fn cli() -> Command {
    Command::new("explain")
        .about("Explain a result code, or show the history of a job from the logs of all entries")
        .arg(
            Arg::new("what")
                .value_name("CODE|JOB")
                .required_unless_present("all")
                .help("a result code, or the 16 hex digits of a job"),
        )
        .arg(
            Arg::new("logs")
                .value_name("LOG")
                .action(ArgAction::Append)
                .num_args(0..)
                .help("logs of `workswood jobs` from all entries"),
        )
        .arg(Arg::new("all").long("all").action(ArgAction::SetTrue).help("print the documentation of all codes"))
        .arg(super::json_arg())
        .after_help(
            "Example: workswood explain 124\n         workswood explain 39dc4f63bf46e8e4 entry-1.log entry-2.log",
        )
}

/// Runs the command.
pub fn exec(args: &ArgMatches) -> Result<()> {
    if args.get_flag("all") {
        workswood::out!("{}", ops::explain::errors_page());
        return Ok(());
    }
    let what = super::string_arg(args, "what");
    let Some(job) = parse_job_number(&what) else {
        workswood::out!("{}", ops::explain::run(&what)?);
        return Ok(());
    };
    let history = ops::explain::job_history::run(job, &super::string_args(args, "logs"))?;
    super::print_value(args, &history, || history.text());
    Ok(())
}
