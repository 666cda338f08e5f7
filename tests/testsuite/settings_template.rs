//! The deployed template of the settings, filled from what the platform gives every process.

use std::net::{SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::{Duration, Instant};

use serde_json::{Value, json};
use workswood::util::job_settings::JobSettings;
use workswood_adapter::HostLimits;
use workswood_adapter_standin::StoreStandin;
use workswood_adapter_standin::caller::{config, request_readiness};
use workswood_adapter_standin::settings_template::{
    DEPLOYED, GapError, ProcessAddresses, fill, missing_fields, promised_fields,
};
use workswood_test_support::program::{Program, free_ports};

/// All that is waited for comes within this time.
const WITHIN: Duration = Duration::from_secs(20);
const PAUSE: Duration = Duration::from_millis(50);

const ADDRESSES: ProcessAddresses = ProcessAddresses {
    ip: "127.0.0.1",
    ports: [9, 10, 11, 12, 13],
    store: "127.0.0.1:9",
    hosts: "127.0.0.1:9",
};

/// The fields of every process, with these limits of the host.
fn fields(limits: Value) -> Value {
    let mut fields = promised_fields("entry-1", &ADDRESSES);
    fields["limits"] = limits;
    fields
}

fn file(name: &str, text: &str) -> PathBuf {
    let path = std::env::temp_dir().join(format!("workswood-template-{}-{name}.json", std::process::id()));
    std::fs::write(&path, text).expect("the temporary folder takes a file");
    path
}

/// Reads the settings that the deployed template gives with these limits.
fn read(name: &str, limits: Value) -> Result<JobSettings, String> {
    let path = file(name, &fill(DEPLOYED, &fields(limits)).expect("every gap is filled"));
    let res = JobSettings::read(&path.to_string_lossy()).map_err(|e| e.report());
    std::fs::remove_file(path).expect("the file is there");
    res
}

/// Guards against a gap of the template for a field that the platform may leave out.
#[test]
fn gaps_are_promised() {
    let fields = promised_fields("entry-1", &ADDRESSES);
    assert_eq!(missing_fields(DEPLOYED, &fields), Vec::<String>::new(), "fields that may be left out");
    fill(DEPLOYED, &fields).unwrap_or_else(|e| panic!("{e}"));
}

/// The guard names whatever gap is added.
#[test]
fn added_gaps_are_named() {
    let fields = promised_fields("entry-1", &ADDRESSES);
    for path in ["limits.memory_mb", "limits.disk_mb", "data_dir", "bounds.stop_ms", "seed_nodes.1"] {
        for gap in [format!("{{{{{path}}}}}"), format!("{{{{{path}|json}}}}")] {
            let template = DEPLOYED.replacen('{', &format!("{{ \"added\": {gap},"), 1);
            assert_eq!(missing_fields(&template, &fields), [path]);
            assert_eq!(fill(&template, &fields), Err(GapError::Missing(path.to_string())));
        }
    }
    for gap in ["#advice", "advice|text", "", "a b"] {
        let template = format!("{{{{{gap}}}}}");
        assert!(matches!(fill(&template, &fields), Err(GapError::Malformed(_))), "{gap}");
    }
    assert!(matches!(fill("{{advice", &fields), Err(GapError::Malformed(_))));
}

#[test]
fn limits_take_effect() {
    let limits =
        HostLimits { cores: Some(0.25), link_mbps: Some(500.0), memory_mb: Some(2000), max_fds: Some(2000) };
    let table = serde_json::to_value(&limits).expect("a table of numbers");
    let s = read("template", table).expect("the template fills to settings that are read");
    assert_eq!(s.adviser.as_deref(), Some("127.0.0.1:9"));
    assert_eq!((s.cores, s.link_mbps), (0.25, 500.0));
    assert_eq!((s.memory_mb, s.max_fds), (2000, 2000));
    assert_eq!(s.host_limits, HostLimits::default(), "what is in effect stands once");
}

#[test]
fn limits_left_out() {
    let s = read("without", json!({})).expect("every limit has a default");
    assert_eq!((s.cores, s.link_mbps, s.memory_mb, s.max_fds), (1.0, 1000.0, 260, 4096));
    let s = read("other", json!({"memory_mb": 300, "colour": 1})).expect("others are ignored");
    assert_eq!((s.memory_mb, s.max_fds), (300, 4096));
    let report = read("least", json!({"memory_mb": 1})).expect_err("too little memory");
    assert!(report.starts_with("error 300") && report.contains("`memory_mb`"), "{report}");
}

/// Starts a process with the settings of a file, which has a log beside it.
pub(super) fn start_with(path: &Path) -> Program {
    let mut command = Command::new(env!("CARGO_BIN_EXE_workswood"));
    command.arg("jobs").arg(path);
    Program::start_logged(command, &path.with_extension("log"))
}

/// Starts a process with this text as its settings; returns it, and the path of the settings.
fn start(name: &str, text: &str) -> (Program, PathBuf) {
    let path = file(name, text);
    (start_with(&path), path)
}

/// Guards against settings that fill but with which no entry starts.
#[tokio::test(flavor = "multi_thread")]
async fn process_becomes_ready() {
    let store = StoreStandin::start().await;
    store.declare(&config("desk", 1));
    let pid = std::process::id();
    let ip = format!("127.84.{}.{}", pid >> 8 & 255, pid & 255);
    let listeners = free_ports(&ip, 5);
    let ports: Vec<u16> = listeners.iter().map(SocketAddr::port).collect();
    let address = store.address.to_string();
    let ports = ports.try_into().expect("five ports");
    let addresses = ProcessAddresses { ip: &ip, ports, store: &address, hosts: &address };
    let text = fill(DEPLOYED, &promised_fields("entry-1", &addresses)).expect("every gap is filled");
    let (mut program, path) = start("ready", &text);
    let until = Instant::now() + WITHIN;
    while request_readiness(listeners[1]).await != Some(200) {
        assert!(program.is_running(), "{:?}", std::fs::read_to_string(path.with_extension("log")));
        assert!(Instant::now() < until, "not ready");
        tokio::time::sleep(PAUSE).await;
    }
    drop(program);
    let _ = std::fs::remove_file(path);
}

/// The output of a process that ends by itself.
fn output_of_failed(name: &str, text: &str) -> String {
    let (mut program, path) = start(name, text);
    let status = program.wait_within(WITHIN).expect("the process does not hang");
    assert!(!status.success());
    let log = path.with_extension("log");
    let output = std::fs::read_to_string(&log).expect("a log");
    let _ = (std::fs::remove_file(path), std::fs::remove_file(log));
    output
}

/// Guards against a process that hangs, or ends without a numbered error, where its settings can't be read.
#[test]
fn unreadable_settings() {
    let without_limits = DEPLOYED.replace("{{limits|json}}", "");
    let text = fill(&without_limits, &fields(json!({}))).expect("every gap is filled");
    let output = output_of_failed("unfilled", &text);
    let line = 1 + text.lines().take_while(|line| !line.contains("host_limits")).count();
    assert!(output.contains("error 300") && output.contains(&format!("line {line} ")), "{output}");
}

/// The same where another process has its port.
#[test]
fn port_taken() {
    let pid = std::process::id();
    let ip = format!("127.85.{}.{}", pid >> 8 & 255, pid & 255);
    let taken = TcpListener::bind((ip.as_str(), 0)).expect("a port");
    let callers = taken.local_addr().expect("an address");
    let mut fields = promised_fields("entry-1", &ADDRESSES);
    fields["bind_addrs"]["frontend"] = json!(callers);
    let output = output_of_failed("taken", &fill(DEPLOYED, &fields).expect("every gap is filled"));
    assert!(output.contains("error 301") && output.contains(&callers.to_string()), "{output}");
}
