//! `workswood bench`

use clap::builder::PossibleValuesParser;
use clap::{Arg, ArgMatches, Command};
use workswood::{Result, ops};

/// Builds the command line of the command.
pub fn cli() -> Command {
    let names = ops::bench::ALL.iter().map(|b| b.name);
    let list = ops::bench::ALL.iter().map(|b| format!("  {:10} {}\n", b.name, b.about));
    Command::new("bench")
        .about("Run a benchmark whose results are in docs/")
        .arg(
            Arg::new("name").value_name("NAME").required(true).value_parser(PossibleValuesParser::new(names)),
        )
        .after_help(format!("{}\nExample: workswood bench route", list.collect::<String>()))
}

/// Runs the command.
pub fn exec(args: &ArgMatches) -> Result<()> {
    workswood::util::logs::start(log::LevelFilter::Error);
    super::block_on(ops::bench::run(&super::string_arg(args, "name")))
}
