//! `workswood plan`

use clap::{Arg, ArgAction, ArgMatches, Command};
use workswood::util::errors::Error;
use workswood::{Result, ops};
use workswood_core::fleet::parse_rfc3339;

/// Builds the command line of the command.
pub fn cli() -> Command {
    Command::new("plan")
        .about("Show the placements and maintenance waves of fleet files without changing anything")
        .arg(Arg::new("files").value_name("FILE").required(true).action(ArgAction::Append).num_args(1..))
        .arg(Arg::new("at").long("at").value_name("TIME").help("plan as of this time instead of now"))
        .after_help("Example: workswood plan --at 2027-03-01T00:00:00Z examples/gridlark.json")
}

/// Runs the command.
pub fn exec(args: &ArgMatches) -> Result<()> {
    let (files, mut errors) = ops::check::run(&super::string_args(args, "files"));
    if let Some(e) = errors.pop() {
        return Err(e);
    }
    let at = match args.get_one::<String>("at") {
        None => super::now_ms(),
        Some(t) => parse_rfc3339(t).ok_or_else(|| Error::InvalidSettings {
            path: "--at".to_string(),
            text: format!("`{t}` is not a time such as 2027-03-01T00:00:00Z"),
        })?,
    };
    let (state, plans) = ops::plan::run(&files, at);
    workswood::out!("{}", ops::plan::text(&state, &plans));
    ops::plan::refuse_impossible(&files, at)
}
