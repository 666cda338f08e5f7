//! Starts entries that run jobs as separate processes.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use serde_json::json;

use crate::program::Program;

/// Number of ports on which an entry listens.
pub const PORTS: usize = 4;

/// Starts an entry from the built program. `ports` are for callers, readiness, peers and metrics.
/// The settings and the log are written to `folder` as `entry-N.json` and `entry-N.log`.
pub fn start_entry(
    program: &str,
    folder: &Path,
    n: usize,
    ports: &[SocketAddr],
    store: SocketAddr,
    adviser: SocketAddr,
) -> Program {
    let settings = json!({
        "name": format!("entry-{n}"), "data_centre": "north", "callers": ports[0], "readiness": ports[1],
        "peers": ports[2], "metrics": ports[3], "store": store, "machines": store,
        "adviser": adviser, "longest_lease_ms": 10000, "machine_handover_ms": 3000,
        "keep_ended_s": 120, "stop_within_s": 6,
    });
    let path = folder.join(format!("entry-{n}.json"));
    std::fs::write(&path, settings.to_string()).expect("a settings file");
    let mut command = Command::new(program);
    command.arg("jobs").env("WORKSWOOD_SETTINGS", &path);
    Program::start_logged(command, &path.with_extension("log"))
}
