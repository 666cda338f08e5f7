//! `workswood status`

use clap::{Arg, ArgMatches, Command};
use workswood::{Result, ops};

/// Builds the command line of the command.
pub fn cli() -> Command {
    let entry_args = super::entry_args().map(|a| a.required(false).required_unless_present("jobs"));
    Command::new("status")
        .about("Show applied files, duties, maintenance waves, budgets and stuck work; or the status of jobs")
        .args(entry_args)
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("SETTINGS")
                .conflicts_with_all(["entry", "token-file"])
                .help(
                    "settings file of `workswood jobs` of any entry: show the lease holder, jobs, pools and waves",
                ),
        )
        .arg(super::json_arg())
        .after_help(
            "Example: workswood status --entry 127.0.0.1:7102 --token-file operators.token\n         \
             workswood status --jobs /etc/workswood/jobs.json",
        )
}

/// Runs the command.
pub fn exec(args: &ArgMatches) -> Result<()> {
    if let Some(settings) = args.get_one::<String>("jobs") {
        let status = super::block_on(ops::job_status::run(settings))?;
        super::print_value(args, &status, || ops::job_status::text(&status));
        return Ok(());
    }
    let token = super::read_token(args)?;
    let status = super::block_on(ops::status::run(&super::string_arg(args, "entry"), &token))?;
    super::print_value(args, &status, || ops::status::text(&status));
    Ok(())
}
