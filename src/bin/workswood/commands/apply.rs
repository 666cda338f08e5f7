//! `workswood apply`

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use workswood::Result;
use workswood::ops::apply::{ApplyOptions, run};
use workswood::util::errors::Error;
use workswood_core::code::Code;
use workswood_operators::ApplyReply;

/// How long `--wait` waits at most.
const MAX_WAIT: Duration = Duration::from_secs(8);

/// Builds the command line of the command.
pub fn cli() -> Command {
    Command::new("apply")
        .about("Apply fleet files, each of them atomically")
        .arg(Arg::new("files").value_name("FILE").required(true).action(ArgAction::Append).num_args(1..))
        .args(super::entry_args())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("version of the file that the change is based on; 0 for a new file"),
        )
        .arg(Arg::new("author").long("author").value_name("NAME").default_value("operator"))
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("wait until all entries confirm the change; names those that do not"),
        )
        .after_help(
            "Example: workswood apply examples/factoring.json --entry 127.0.0.1:7102 --token-file operators.token --wait",
        )
}

/// Runs the command.
pub fn exec(args: &ArgMatches) -> Result<()> {
    let wait = args.get_flag("wait");
    let opts = ApplyOptions {
        address: super::string_arg(args, "entry"),
        token: super::read_token(args)?,
        base: args.get_one::<u64>("base").copied().unwrap_or(0),
        author: super::string_arg(args, "author"),
        wait: if wait { MAX_WAIT } else { Duration::ZERO },
    };
    for path in super::string_args(args, "files") {
        let reply = super::block_on(run(&path, &opts))?;
        let ApplyReply::Accepted { version, offset, behind } = reply else { continue };
        workswood::outln!("{path}: accepted version={version} offset={offset}");
        if !behind.is_empty() {
            let message = format!("accepted, but not confirmed by: {}", behind.join(", "));
            return Err(Error::Refused { code: Code::NotEverywhere, message });
        }
    }
    Ok(())
}
