//! Commands whose reader has closed its end of the pipe.

use std::process::{Command, ExitStatus, Output, Stdio};

/// Runs the program with standard output, or standard error, in a pipe that
/// nobody reads any more.
fn run(args: &[&str], closed_error: bool) -> Output {
    let (reader, writer) = std::io::pipe().expect("a pipe");
    drop(reader);
    let mut command = Command::new(env!("CARGO_BIN_EXE_workswood"));
    command.args(args).current_dir(env!("CARGO_MANIFEST_DIR"));
    if closed_error {
        command.stdout(Stdio::piped()).stderr(writer);
    } else {
        command.stdout(writer).stderr(Stdio::piped());
    }
    command.output().expect("it runs")
}

fn code(status: ExitStatus) -> Option<i32> {
    status.code()
}

#[test]
fn output_not_read() {
    let commands: [&[&str]; 4] = [
        &["explain", "--all"],
        &["explain", "124"],
        &["check", "examples/factoring.json"],
        &["plan", "examples/factoring.json"],
    ];
    for args in commands {
        let done = run(args, false);
        let told = String::from_utf8_lossy(&done.stderr).into_owned();
        assert_eq!((code(done.status), told.as_str()), (Some(0), ""), "{args:?}");
    }
}

#[test]
fn errors_not_read() {
    let done = run(&["explain", "9999"], true);
    assert_eq!(code(done.status), Some(2), "the status tells, whoever reads");
}
