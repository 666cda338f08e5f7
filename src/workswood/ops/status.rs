//! `status`: shows the state that an entry knows.

use snafu::ResultExt;
use workswood_operators::{OperatorClient, Status};

use crate::util::errors::{CallSnafu, Result};
use crate::util::table::columns;

/// Requests the status of an entry.
pub async fn run(address: &str, token: &str) -> Result<Status> {
    OperatorClient::new(address, token).status().await.context(CallSnafu)
}

fn row<const N: usize>(cells: [&str; N]) -> Vec<String> {
    cells.iter().map(|c| c.to_string()).collect()
}

/// Formats a status for people to read.
pub fn text(s: &Status) -> String {
    let log = if s.log_up { "up" } else { "down" };
    let mut out = format!("entry {} ready={} log={log} next={}\n\n", s.entry, s.ready, s.next);
    let mut files = vec![row(["file", "version", "offset", "author"])];
    for f in &s.files {
        files.push(vec![f.file.clone(), f.version.to_string(), f.offset.to_string(), f.author.clone()]);
    }
    out += &columns(&files);
    let mut entries = vec![row(["entry", "data_centre", "next", "liveness", "roster", "duties"])];
    for e in &s.entries {
        let held = s.duties.iter().filter(|d| d.holder.as_ref() == Some(&e.id));
        let duties: Vec<&str> = held.map(|d| d.duty.as_str()).collect();
        entries.push(vec![
            e.address.clone(),
            e.data_centre.clone(),
            e.next.to_string(),
            e.liveness.clone(),
            if e.on_roster { "yes" } else { "no" }.to_string(),
            duties.join(","),
        ]);
    }
    out += &format!("\n{}", columns(&entries));
    let mut pools = vec![row(["pool", "active", "away", "down", "foreign"])];
    for p in &s.hosts {
        pools.push(vec![
            if p.pool.is_empty() { "-".to_string() } else { p.pool.clone() },
            p.active.to_string(),
            p.away.len().to_string(),
            p.down.len().to_string(),
            p.foreign.len().to_string(),
        ]);
    }
    out += &format!("\n{}", columns(&pools));
    out += "\nbudgets\n";
    for b in s.budgets.as_array().into_iter().flatten() {
        out += &format!(
            "  {} available={} min_available={} slack={}\n",
            b["service"].as_str().unwrap_or_default(),
            b["available"],
            b["min_available"],
            b["slack"]
        );
    }
    out += "\nwaves\n";
    for w in s.waves.as_array().into_iter().flatten() {
        let away = w["away"].as_array().map_or(0, Vec::len);
        out += &format!(
            "  {} done={} away={away} left={} stop={}\n",
            w["name"].as_str().unwrap_or_default(),
            w["done"],
            w["left"],
            w["stop"]
        );
    }
    out += &format!(
        "\nkeys={} open_deferred={} unknown_records={} invariants_broken={} host_moves={} instance_moves={}\n",
        s.keys, s.open_deferred, s.unknown_records, s.invariants_broken, s.host_moves, s.instance_moves
    );
    for line in &s.stuck {
        out += &format!("stuck: {line}\n");
    }
    out
}
