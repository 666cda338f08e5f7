//! `workswood explain`

use clap::{Arg, ArgAction, ArgMatches, Command};
use workswood::{Result, ops};

/// Its command line.
pub fn cli() -> Command {
    Command::new("explain")
        .about("Explain a result code")
        .arg(Arg::new("code").value_name("CODE").required_unless_present("all"))
        .arg(Arg::new("all").long("all").action(ArgAction::SetTrue).help("print the page of all codes"))
        .after_help("Example: workswood explain 124")
}

/// Runs it.
pub fn exec(args: &ArgMatches) -> Result<()> {
    if args.get_flag("all") {
        workswood::out!("{}", ops::explain::page());
        return Ok(());
    }
    workswood::out!("{}", ops::explain::run(&super::text(args, "code"))?);
    Ok(())
}
