//! `workswood explain`

use clap::{Arg, ArgAction, ArgMatches, Command};
use workswood::{Result, ops};
use workswood_core::jobs::spec::parse_job_key;

/// Its command line.
pub fn cli() -> Command {
    Command::new("explain")
        .about("Explain a result code, or the way of a job through the logs of all hosts")
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
                .help("logs of `workswood jobs`, of as many hosts as there are"),
        )
        .arg(Arg::new("all").long("all").action(ArgAction::SetTrue).help("print the page of all codes"))
        .arg(super::json_arg())
        .after_help(
            "Example: workswood explain 124\n         workswood explain 39dc4f63bf46e8e4 entry-1.log entry-2.log",
        )
}

/// Runs it.
pub fn exec(args: &ArgMatches) -> Result<()> {
    if args.get_flag("all") {
        workswood::out!("{}", ops::explain::errors_page());
        return Ok(());
    }
    let what = super::text(args, "what");
    let Some(job) = parse_job_key(&what) else {
        workswood::out!("{}", ops::explain::run(&what)?);
        return Ok(());
    };
    let history = ops::explain::job_history::run(job, &super::texts(args, "logs"))?;
    super::show(args, &history, || history.text());
    Ok(())
}
