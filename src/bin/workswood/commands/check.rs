//! `workswood check`

use clap::{Arg, ArgAction, ArgMatches, Command};
use workswood::{Result, ops};

/// Its command line.
pub fn cli() -> Command {
    Command::new("check")
        .about("Check fleet files offline; prints every error with its path")
        .arg(Arg::new("files").value_name("FILE").required(true).action(ArgAction::Append).num_args(1..))
        .after_help("Example: workswood check examples/factoring.json examples/gridlark.json")
}

/// Runs it.
pub fn exec(args: &ArgMatches) -> Result<()> {
    let (files, mut errors) = ops::check::run(&super::texts(args, "files"));
    let last = errors.pop();
    for e in &errors {
        eprint!("{}", e.report());
    }
    if let Some(e) = last {
        return Err(e);
    }
    for f in files {
        println!(
            "{}: {} hosts, {} pools, {} services",
            f.file,
            f.hosts.len(),
            f.pools.len(),
            f.services.len()
        );
    }
    Ok(())
}
