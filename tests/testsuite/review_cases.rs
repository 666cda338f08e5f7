//! The cases of `review/`: what each shows, by the reason in its output, compared with KNOWN-RED.txt.
//!
//! A case starts real processes beside a platform in Python, so the whole check is played by hand:
//! `cargo build --release --locked && cargo test --locked --test testsuite review_cases::by_hand -- --ignored --nocapture`

use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::time::Duration;

use workswood_test_support::program::Program;

/// Each case ends by itself within this time.
const LIMIT: Duration = Duration::from_secs(130);
/// Exit statuses of a case that held, that was broken, and that could not run.
const HELD: i32 = 0;
const BROKEN: i32 = 1;
const COULD_NOT_RUN: i32 = 2;

/// What the output of a case says of it. The exit status alone says nothing: an error of the case may end with any.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Reason {
    /// The rule held.
    Held,
    /// The rule of this name was broken, as the text says.
    Broken { rule: String, text: String },
    /// The case could not be played to its end.
    CouldNotRun(String),
    /// The case itself failed; the last line of its traceback.
    Traceback(String),
    /// The case did not end.
    Hangs,
    /// The output says something else, or not what the exit status says.
    Unclear(String),
}

/// Last lines of a case that held, and of one whose rule was broken but that names the rule in its claim alone.
const HELD_LINES: [&str; 3] = ["exit 0: held", "result: the rule held", "the rule held"];
const BROKEN_LINE: &str = "the rule was broken";

/// The reason that the output gives, with the claim of the case and the record that it wrote.
fn reason_of(status: Option<i32>, output: &str, record: &str, claim: &str) -> Reason {
    if output.contains("Traceback (most recent call last)") {
        return Reason::Traceback(last_line(output));
    }
    let unable = |line: &str| {
        let texts = ["could not run: ", "the case can't run: "];
        texts.iter().find_map(|text| line.split_once(text)).map(|(_, why)| why.to_string())
    };
    let why = record.lines().chain(output.lines()).find_map(unable);
    match why {
        Some(why) if why.starts_with("Traceback") => {
            return Reason::Traceback(
                why.trim_end_matches(" | ").rsplit(" | ").next().unwrap_or_default().to_string(),
            );
        }
        Some(why) => return Reason::CouldNotRun(why),
        None => {}
    }
    match status {
        Some(HELD) if HELD_LINES.contains(&last_line(output).as_str()) => Reason::Held,
        Some(BROKEN) => {
            let broken = broken_rule(output).or_else(|| claimed_rule(output, record, claim));
            broken.unwrap_or_else(|| Reason::Unclear(last_line(output)))
        }
        Some(COULD_NOT_RUN) => Reason::CouldNotRun(last_line(output)),
        _ => Reason::Unclear(format!("status {status:?}: {}", last_line(output))),
    }
}

/// The rule that the output names as broken.
fn broken_rule(output: &str) -> Option<Reason> {
    let line = output.lines().find(|line| !line.starts_with("result: "))?;
    let (rule, text) = line.strip_prefix("exit 1: ").unwrap_or(line).split_once(": ")?;
    let is_rule = !rule.is_empty() && rule.chars().all(|c| c.is_ascii_uppercase());
    is_rule.then(|| Reason::Broken { rule: rule.to_string(), text: text.to_string() })
}

/// The rule that a case has broken whose output names none: the record names it, or else the claim. The text is what the
/// record says of it, or what it says last.
fn claimed_rule(output: &str, record: &str, claim: &str) -> Option<Reason> {
    if last_line(output) != BROKEN_LINE {
        return None;
    }
    let mut told = record.lines().filter_map(|line| line.trim_start().split_once(' ')).map(|(_, text)| text);
    let named = told.clone().find_map(|text| broken_rule(text.strip_prefix("broken: ")?));
    named.or_else(|| {
        let rule = claim.lines().find_map(|line| line.strip_prefix("rule: "))?.trim().to_string();
        let text = told.rfind(|text| *text != BROKEN_LINE).unwrap_or_default().to_string();
        Some(Reason::Broken { rule, text })
    })
}

fn last_line(text: &str) -> String {
    text.trim_end().lines().last().unwrap_or_default().to_string()
}

/// The rule that KNOWN-RED.txt lists as broken by a case.
fn listed_rule(known_red: &str, case: &str) -> Option<String> {
    let line = known_red.lines().find(|line| line.split(',').next() == Some(&format!("review/{case}")))?;
    let rules = line.split([' ', ':', ',', '(']).filter(|word| word.len() > 3);
    rules
        .into_iter()
        .find(|word| word.chars().all(|c| c.is_ascii_uppercase()) && !is_setting(word))
        .map(str::to_string)
}

/// Whether a word in capitals is the variable with which the disruption is left out.
fn is_setting(word: &str) -> bool {
    word.starts_with("TROUBLE")
}

/// Whether a case shows just what is listed of it. Without its disruption every case holds.
fn is_as_listed(reason: &Reason, listed: Option<&str>, disrupted: bool) -> bool {
    match (reason, listed.filter(|_| disrupted)) {
        (Reason::Held, None) => true,
        (Reason::Broken { rule, .. }, Some(listed)) => rule == listed,
        _ => false,
    }
}

#[test]
fn reasons_are_told_apart() {
    let traceback = "Traceback (most recent call last):\n  File \"play.py\"\nKeyError: 'memory_mb'\n";
    for status in [0, 1, 2] {
        let reason = reason_of(Some(status), traceback, "", "");
        assert_eq!(reason, Reason::Traceback("KeyError: 'memory_mb'".to_string()), "whatever its status");
    }
    let recorded = "the case can't run: Traceback (most recent call last): |   File \"case.py\" | KeyError: 'memory_mb' | ";
    let reason = reason_of(Some(2), "result: the case could not run", recorded, "");
    assert_eq!(reason, Reason::Traceback("KeyError: 'memory_mb'".to_string()));
    let broken = |rule: &str, text: &str| Reason::Broken { rule: rule.to_string(), text: text.to_string() };
    let reason = reason_of(Some(1), "exit 1: REFUSED: 9 of 149 jobs run\n", "", "");
    assert_eq!(reason, broken("REFUSED", "9 of 149 jobs run"));
    let reason = reason_of(Some(1), "LOST: job 5c is running\nresult: the rule was broken\n", "", "");
    assert_eq!(reason, broken("LOST", "job 5c is running"));
    let reason = reason_of(Some(2), "exit 2: held\n", "12.1 could not run: entry-1 is not ready\n", "");
    assert_eq!(reason, Reason::CouldNotRun("entry-1 is not ready".to_string()));
    assert_eq!(
        reason_of(Some(2), "the program is not built\n", "", ""),
        Reason::CouldNotRun("the program is not built".to_string())
    );
    for (status, output) in [(0, "exit 0: held\n"), (0, "result: the rule held\n"), (0, "the rule held\n")] {
        assert_eq!(reason_of(Some(status), output, "", ""), Reason::Held);
        assert!(
            matches!(reason_of(Some(1), output, "", ""), Reason::Unclear(_)),
            "its status says otherwise"
        );
    }
    assert!(matches!(reason_of(Some(1), "exit 1: held\n", "", ""), Reason::Unclear(_)), "no rule is named");
    assert!(matches!(reason_of(None, "", "", ""), Reason::Unclear(_)));
}

/// Guards against a case that counts as unclear since its output names no rule.
#[test]
fn claimed_rule_counts() {
    let broken = |rule: &str, text: &str| Reason::Broken { rule: rule.to_string(), text: text.to_string() };
    let claim = "rule: LOST\nsite: sajha-kathmandu\n";
    let record = "   0.000 trouble: True\n  12.345 5 jobs wait\n  12.346 the rule was broken\n";
    let output = "the rule was broken\n";
    assert_eq!(reason_of(Some(1), output, record, claim), broken("LOST", "5 jobs wait"));
    let named = "   0.000 trouble: True\n   9.100 broken: MIXED: b is shown\n   9.200 the rule was broken\n";
    assert_eq!(
        reason_of(Some(1), output, named, claim),
        broken("MIXED", "b is shown"),
        "the record goes first"
    );
    for status in [0, 2] {
        let reason = reason_of(Some(status), output, record, claim);
        assert!(
            !matches!(reason, Reason::Broken { .. } | Reason::Held),
            "its status says otherwise: {reason:?}"
        );
    }
    assert!(matches!(reason_of(Some(1), "the rule held\n", record, claim), Reason::Unclear(_)));
    assert!(matches!(reason_of(Some(1), output, record, ""), Reason::Unclear(_)), "no rule is named");
    let reason = reason_of(Some(2), "could not run: the script hangs\n", record, claim);
    assert_eq!(reason, Reason::CouldNotRun("the script hangs".to_string()));
}

/// Guards against a listed case that gives the expected exit status for another reason.
#[test]
fn listed_reason_counts() {
    let list = "random_jobs::x, `cargo test`: BUDGET, text\nreview/2, `review/2/run.sh` (5 of 5, `TROUBLE=0` passed): LOST, text\n";
    assert_eq!(listed_rule(list, "2").as_deref(), Some("LOST"));
    assert_eq!(listed_rule(list, "20"), None);
    let lost = Reason::Broken { rule: "LOST".to_string(), text: String::new() };
    let traceback = Reason::Traceback("KeyError: 'memory_mb'".to_string());
    assert!(is_as_listed(&lost, Some("LOST"), true));
    assert!(!is_as_listed(&lost, Some("LOST"), false), "the calm run breaks too");
    assert!(!is_as_listed(&lost, Some("TWICE"), true));
    assert!(!is_as_listed(&lost, None, true));
    assert!(!is_as_listed(&traceback, Some("LOST"), true));
    assert!(!is_as_listed(&traceback, None, false));
    assert!(!is_as_listed(&Reason::Held, Some("LOST"), true), "it holds, so its entry has to go");
    assert!(is_as_listed(&Reason::Held, Some("LOST"), false) && is_as_listed(&Reason::Held, None, true));
    assert!(!is_as_listed(&Reason::Hangs, None, true));
}

/// The folders of all cases, by their numbers.
fn cases(root: &Path) -> Vec<(String, PathBuf)> {
    let folders = std::fs::read_dir(root.join("review")).expect("the cases").filter_map(Result::ok);
    let case = |path: PathBuf| Some((path.file_name()?.to_str()?.to_string(), path));
    let mut cases: Vec<_> = folders.filter_map(|f| case(f.path())).collect();
    cases.retain(|(_, path)| path.join("run.sh").exists());
    cases.sort();
    cases
}

/// Plays a case to its end.
fn play(folder: &Path, disrupted: bool) -> Reason {
    let name = format!("workswood-review-{}-{disrupted}.txt", std::process::id());
    let log = std::env::temp_dir().join(name);
    // What an earlier run wrote says nothing of this one.
    let _ = std::fs::remove_file(folder.join("record.txt"));
    let mut command = Command::new(folder.join("run.sh"));
    command.env("TROUBLE", if disrupted { "1" } else { "0" }).stdin(Stdio::null());
    let mut program = Program::start_logged(command, &log);
    let ended = program.wait_within(LIMIT);
    let output = std::fs::read_to_string(&log).expect("the output");
    let _ = std::fs::remove_file(&log);
    let file = |name: &str| std::fs::read_to_string(folder.join(name)).unwrap_or_default();
    let (record, claim) = (file("record.txt"), file("claim.txt"));
    ended.map_or(Reason::Hangs, |status| reason_of(status.code(), &output, &record, &claim))
}

#[test]
#[ignore = "by hand: plays the cases in REVIEW_CASES, such as 2,5, or all, with the program of a release build"]
fn by_hand() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let known_red = std::fs::read_to_string(root.join("KNOWN-RED.txt")).expect("the list");
    let wanted = std::env::var("REVIEW_CASES").unwrap_or_default();
    let mut wrong = Vec::new();
    for (name, folder) in cases(root) {
        if !wanted.is_empty() && !wanted.split(',').any(|n| n == name) {
            continue;
        }
        let listed = listed_rule(&known_red, &name);
        for disrupted in [false, true] {
            let reason = play(&folder, disrupted);
            println!("review/{name} disrupted={disrupted} listed={listed:?}: {reason:?}");
            if !is_as_listed(&reason, listed.as_deref(), disrupted) {
                wrong.push(format!("review/{name} disrupted={disrupted}: {reason:?}, listed as {listed:?}"));
            }
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
