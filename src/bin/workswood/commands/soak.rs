//! `workswood soak`

use std::time::Duration;

use clap::{Arg, ArgMatches, Command, value_parser};
use workswood::ops::soak::{SoakOptions, run};
use workswood::{Result, ops};

/// Builds the command line of the command.
pub fn cli() -> Command {
    Command::new("soak")
        .about("Run six entries under random faults and check the responses to callers")
        .arg(Arg::new("file").value_name("FILE").help("fleet file [default: the factoring example]"))
        .arg(Arg::new("seconds").long("seconds").value_parser(value_parser!(u64)).default_value("60"))
        .arg(Arg::new("seed").long("seed").value_parser(value_parser!(u64)).default_value("1"))
        .after_help("Example: workswood soak examples/gridlark.json --seconds 1200 --seed 7")
}

/// Runs the command.
pub fn exec(args: &ArgMatches) -> Result<()> {
    workswood::util::logs::start(log::LevelFilter::Error);
    let file = match args.get_one::<String>("file") {
        Some(path) => ops::check::read(path)?,
        None => ops::check::read_text("factoring.json", ops::dev::DEFAULT_FILE)?,
    };
    let number = |name: &str| args.get_one::<u64>(name).copied().unwrap_or(1);
    let opts = SoakOptions { duration: Duration::from_secs(number("seconds")), seed: number("seed") };
    super::block_on(run(file, &opts))
}
