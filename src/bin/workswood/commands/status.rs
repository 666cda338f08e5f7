//! `workswood status`

use clap::{Arg, ArgAction, ArgMatches, Command};
use workswood::{Result, ops};

/// Its command line.
pub fn cli() -> Command {
    Command::new("status")
        .about("Show what is in force where, duties, waves, budgets and what is stuck")
        .args(super::entry_args())
        .arg(Arg::new("json").long("json").action(ArgAction::SetTrue).help("print JSON"))
        .after_help("Example: workswood status --entry 127.0.0.1:7102 --token-file operators.token")
}

/// Runs it.
pub fn exec(args: &ArgMatches) -> Result<()> {
    let token = super::token(args)?;
    let status = super::block_on(ops::status::run(&super::text(args, "entry"), &token))?;
    if args.get_flag("json") {
        workswood::outln!("{}", serde_json::to_string_pretty(&status).unwrap_or_default());
    } else {
        workswood::out!("{}", ops::status::text(&status));
    }
    Ok(())
}
