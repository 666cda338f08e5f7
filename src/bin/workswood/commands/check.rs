//! `workswood check`

use clap::{Arg, ArgAction, ArgMatches, Command};
use workswood::{Error, Result, ops};

/// Builds the command line of the command.
pub fn cli() -> Command {
    Command::new("check")
        .about("Check fleet files offline, and print every error with its path")
        .arg(Arg::new("files").value_name("FILE").required(true).action(ArgAction::Append).num_args(1..))
        .arg(
            Arg::new("jobs")
                .long("jobs")
                .action(ArgAction::SetTrue)
                .help("the files are settings of `workswood jobs`"),
        )
        .after_help("Example: workswood check examples/factoring.json examples/gridlark.json")
}

/// Runs the command.
pub fn exec(args: &ArgMatches) -> Result<()> {
    let paths = super::string_args(args, "files");
    if args.get_flag("jobs") {
        let (settings, errors) = ops::check::job_settings(&paths);
        report_errors(errors)?;
        settings
            .iter()
            .for_each(|s| workswood::outln!("{}: {}, callers at {}", s.name, s.data_centre, s.callers));
        return Ok(());
    }
    let (files, errors) = ops::check::run(&paths);
    report_errors(errors)?;
    for f in files {
        workswood::outln!(
            "{}: {} hosts, {} pools, {} services",
            f.file,
            f.hosts.len(),
            f.pools.len(),
            f.services.len()
        );
    }
    Ok(())
}

/// Prints all errors but the last, which is returned.
fn report_errors(mut errors: Vec<Error>) -> Result<()> {
    let last = errors.pop();
    for e in &errors {
        workswood::errout!("{}", e.report());
    }
    last.map_or(Ok(()), Err)
}
