//! The `workswood` program: parses the command line and calls an operation.

mod cli;
mod commands;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = cli::cli().get_matches();
    match cli::exec(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprint!("{}", e.report());
            ExitCode::from(e.exit_status())
        }
    }
}
