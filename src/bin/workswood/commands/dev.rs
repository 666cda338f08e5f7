//! `workswood dev`

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use workswood::{Result, ops};

/// Builds the command line of the command.
pub fn cli() -> Command {
    Command::new("dev")
        .about("Run entries, a stand-in platform and stand-in endpoints in one process")
        .arg(
            Arg::new("files")
                .value_name("FILE")
                .action(ArgAction::Append)
                .num_args(0..)
                .help("fleet file [default: the factoring example]"),
        )
        .arg(
            Arg::new("entries")
                .long("entries")
                .value_name("N")
                .value_parser(value_parser!(u64).range(1..=32))
                .default_value("2"),
        )
        .arg(Arg::new("keep").long("keep").action(ArgAction::SetTrue).help("keep serving afterwards"))
        .arg(
            Arg::new("log")
                .long("log")
                .value_name("LEVEL")
                .default_value("warn")
                .help("error, warn, info or debug"),
        )
        .after_help("Example: workswood dev examples/gridlark.json --entries 6")
}

/// Runs the command.
pub fn exec(args: &ArgMatches) -> Result<()> {
    workswood::util::logs::start(super::string_arg(args, "log").parse().unwrap_or(log::LevelFilter::Warn));
    let paths = super::string_args(args, "files");
    let mut files = Vec::new();
    if paths.is_empty() {
        files.push(ops::check::read_text("factoring.json", ops::dev::DEFAULT_FILE)?);
    }
    for p in &paths {
        files.push(ops::check::read(p)?);
    }
    let entries = args.get_one::<u64>("entries").copied().unwrap_or(2) as usize;
    super::block_on(ops::dev::run(files, entries, args.get_flag("keep")))
}
