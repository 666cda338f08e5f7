//! The `workswood` program: parses the command line and runs the operation of the command.

#![warn(clippy::print_stdout, clippy::print_stderr)]

mod cli;
mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::cli().get_matches();
    let res = cli::exec(&matches);
    workswood::util::logs::flush();
    match res {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            workswood::errout!("{}", e.report());
            ExitCode::from(e.exit_status())
        }
    }
}
