//! `workswood status`

use clap::{Arg, ArgMatches, Command};
use workswood::{Result, ops};

/// Its command line.
pub fn cli() -> Command {
    let entry_args = super::entry_args().map(|a| a.required(false).required_unless_present("jobs"));
    Command::new("status")
        .about("Show what is in force where, duties, waves, budgets and what is stuck; or how jobs stand")
        .args(entry_args)
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .value_name("SETTINGS")
                .conflicts_with_all(["entry", "token-file"])
                .help(
                    "settings of `workswood jobs` of any host: show the lease holder, jobs, pools and waves",
                ),
        )
        .arg(super::json_arg())
        .after_help(
            "Example: workswood status --entry 127.0.0.1:7102 --token-file operators.token\n         \
             workswood status --jobs /etc/workswood/jobs.json",
        )
}

/// Runs it.
pub fn exec(args: &ArgMatches) -> Result<()> {
    if let Some(settings) = args.get_one::<String>("jobs") {
        let status = super::block_on(ops::job_status::run(settings))?;
        super::show(args, &status, || ops::job_status::text(&status));
        return Ok(());
    }
    let token = super::token(args)?;
    let status = super::block_on(ops::status::run(&super::text(args, "entry"), &token))?;
    super::show(args, &status, || ops::status::text(&status));
    Ok(())
}
