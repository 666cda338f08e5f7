//! `workswood apply`

use std::time::Duration;

use clap::{Arg, ArgAction, ArgMatches, Command, value_parser};
use workswood::Result;
use workswood::ops::apply::{ApplyOptions, run};
use workswood::util::errors::Error;
use workswood_core::code::Code;
use workswood_operators::ApplyReply;

/// Longest time that `--wait` waits.
const WAIT: Duration = Duration::from_secs(8);

/// Its command line.
pub fn cli() -> Command {
    Command::new("apply")
        .about("Put fleet files in force, each as a whole")
        .arg(Arg::new("files").value_name("FILE").required(true).action(ArgAction::Append).num_args(1..))
        .args(super::entry_args())
        .arg(
            Arg::new("base")
                .long("base")
                .value_name("VERSION")
                .value_parser(value_parser!(u64))
                .default_value("0")
                .help("version that the change was made on; 0 for a new file"),
        )
        .arg(Arg::new("author").long("author").value_name("NAME").default_value("operator"))
        .arg(
            Arg::new("wait")
                .long("wait")
                .action(ArgAction::SetTrue)
                .help("wait until it is in force everywhere; names whoever is behind"),
        )
        .after_help(
            "Example: workswood apply examples/factoring.json --entry 127.0.0.1:7102 --token-file operators.token --wait",
        )
}

/// Runs it.
pub fn exec(args: &ArgMatches) -> Result<()> {
    let wait = args.get_flag("wait");
    let opts = ApplyOptions {
        address: super::text(args, "entry"),
        token: super::token(args)?,
        base: args.get_one::<u64>("base").copied().unwrap_or(0),
        author: super::text(args, "author"),
        wait: if wait { WAIT } else { Duration::ZERO },
    };
    for path in super::texts(args, "files") {
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
