//! Entries that run jobs, as processes of their own.

use std::net::SocketAddr;
use std::path::Path;
use std::process::Command;

use serde_json::json;

use crate::program::Program;

/// Listeners of an entry.
pub const PORTS: usize = 4;

/// Starts an entry of the built program; the first of its ports is for callers. Its settings and
/// its log are in a folder, named `entry-N`.
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
