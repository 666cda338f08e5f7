//! Settings of a process that runs jobs.

use std::path::PathBuf;

use workswood::util::job_settings::JobSettings;
use workswood_core::jobs::Policy;

const GOOD: &str = r#"{
  "name": "entry-1", "data_centre": "north", "callers": "127.0.0.1:0", "readiness": "127.0.0.1:0",
  "peers": "127.0.0.1:0", "metrics": "127.0.0.1:0", "store": "127.0.0.1:9", "machines": "127.0.0.1:9",
  "longest_lease_ms": 10000, "machine_handover_ms": 3000, "keep_ended_s": 120, "stop_within_s": 6 }"#;

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("workswood-{}-{name}.json", std::process::id()));
    std::fs::write(&path, text).expect("the temporary folder takes a file");
    path
}

fn read(name: &str, text: &str) -> Result<JobSettings, String> {
    let path = file(name, text);
    let res = JobSettings::read(&path.to_string_lossy()).map_err(|e| e.report());
    std::fs::remove_file(path).expect("the file is there");
    res
}

#[test]
fn good_file() {
    let s = read("good", GOOD).expect("the file is good");
    assert_eq!((s.name.as_str(), s.adviser.as_deref()), ("entry-1", None));
    assert_eq!(s.stop_timeout().as_secs(), 6);
    assert_eq!((s.memory_mb, s.max_fds), (260, 4096));
    assert!(s.max_peer_connections() > 900, "hundreds of entries ask a lease holder");
}

#[test]
fn bad_values_numbered() {
    let cases = [
        (r#""name": "entry-1""#, r#""name": """#, "`name`"),
        (r#""peers": "127.0.0.1:0""#, r#""peers": "0.0.0.0:1""#, "`peers`"),
        (r#""store": "127.0.0.1:9""#, r#""store": "store:9""#, "`store`"),
        (r#""longest_lease_ms": 10000"#, r#""longest_lease_ms": 10"#, "`longest_lease_ms`"),
        (r#""stop_within_s": 6"#, r#""stop_within_s": 0"#, "`stop_within_s`"),
        (r#""stop_within_s": 6"#, r#""stop_within_s": 6, "cores": 0"#, "`cores`"),
        (r#""stop_within_s": 6"#, r#""stop_within_s": 6, "link_mbps": -1"#, "`link_mbps`"),
        (r#""stop_within_s": 6"#, r#""stop_within_s": 6, "memory_mb": 0"#, "`memory_mb`"),
        (r#""stop_within_s": 6"#, r#""stop_within_s": 6, "memory_mb": 99999999"#, "`memory_mb`"),
        (r#""stop_within_s": 6"#, r#""stop_within_s": 6, "max_fds": 200"#, "`max_fds`"),
        (r#""stop_within_s": 6"#, r#""stop_within_s": 6, "max_fds": 99999999"#, "`max_fds`"),
        (r#""stop_within_s": 6"#, r#""stop_within_s": 6, "colour": 1"#, "colour"),
        (r#""stop_within_s": 6"#, r#""stop_within_s": 6, "seeds": "127.0.0.1:9,seed:9""#, "`seeds`"),
    ];
    for (n, (from, to, named)) in cases.into_iter().enumerate() {
        let report = read(&format!("bad{n}"), &GOOD.replace(from, to)).expect_err("the file is bad");
        assert!(report.starts_with("error 300") && report.contains(named), "{report}");
    }
    let report = JobSettings::read("/nowhere/at/all.json").expect_err("no such file").report();
    assert!(report.starts_with("error 200"), "{report}");
}

#[test]
fn policy_values() {
    let with = |table: &str| {
        GOOD.replace("\"stop_within_s\": 6", &format!("\"stop_within_s\": 6, \"policy\": {table}"))
    };
    let s = read("policy", &with(r#"{"need": {"full": 0.5, "arrivals": "2s"}}"#)).expect("the file is good");
    assert_eq!(s.policy.need.target_use, 0.5);
    assert_eq!(s.policy.need.arrival_window.as_secs(), 2);
    assert_eq!(s.policy.order, Policy::default().order, "what is not named keeps its default");
    let cases = [
        (r#"{"need": {"full": 0}}"#, "policy.need.full"),
        (r#"{"pools": {"margin": -0.1}}"#, "policy.pools.margin"),
        (r#"{"health": {"shun_one_of": 0}}"#, "policy.health.shun_one_of"),
        (r#"{"waves": {"ahead": "3h"}}"#, "policy.waves.ahead"),
        (r#"{"need": {"arrivals": "0s"}}"#, "policy.need.arrivals"),
        (r#"{"need": {"colour": 1}}"#, "colour"),
        (r#"{"handover": {"late_after": "0s"}}"#, "policy.handover.late_after"),
        (r#"{"handover": {"late_after": "3h"}}"#, "policy.handover.late_after"),
        (r#"{"outage": {"write_stall": "0s"}}"#, "policy.outage.write_stall"),
        (r#"{"outage": {"show_completed_after": "1s"}}"#, "policy.outage.show_completed_after"),
    ];
    for (n, (table, named)) in cases.into_iter().enumerate() {
        let report = read(&format!("policy{n}"), &with(table)).expect_err("the table is bad");
        assert!(report.starts_with("error 300") && report.contains(named), "{report}");
    }
}
