//! Formats the status for a terminal.

use super::aggregate::{HolderStatus, JobsStatus, PoolStatus, QueueStatus, WaveStatus, WorkspaceStatus};
use crate::util::table::columns;

/// Most host names shown per wave.
const MAX_HOST_NAMES: usize = 6;

fn header(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| n.to_string()).collect()
}

/// Formats the status as tables for a terminal.
pub fn text(status: &JobsStatus) -> String {
    let mut out =
        format!("lease    {}\n", status.holder.as_ref().map_or("not held".to_string(), holder_text));
    out += &format!("config   version {}\n", status.config_version);
    if !status.evacuated.is_empty() {
        let names: Vec<&str> = status.evacuated.iter().map(String::as_str).collect();
        out += &format!("evacuated {}: no tasks are started there\n", names.join(", "));
    }
    if status.undecodable_records > 0 {
        out += &format!(
            "unread   {} records can't be decoded; see the logs of the lease holder\n",
            status.undecodable_records
        );
    }
    let mut queues = vec![header(&[
        "queue",
        "service",
        "new",
        "queued",
        "running",
        "completed",
        "failed",
        "canceled",
        "tasks",
        "at work",
        "longest wait",
    ])];
    queues.extend(status.queues.iter().map(queue_row));
    out += &format!("\n{}", columns(&queues));
    if !status.workspaces.is_empty() {
        let mut rows = vec![header(&["workspace", "jobs/s", "open", "tasks", "cores", "of", "MB", "of"])];
        rows.extend(status.workspaces.iter().map(workspace_row));
        out += &format!("\n{}", columns(&rows));
    }
    let mut pools = vec![header(&["pool", "up", "moving", "upkeep", "down", "workers", "leaving"])];
    pools.extend(status.pools.iter().map(|p| pool_row(p, status.hosts_error.is_none())));
    out += &format!("\n{}", columns(&pools));
    if let Some(e) = &status.hosts_error {
        out += &format!("hosts are not known: {e}\n");
    }
    if status.waves.is_empty() {
        return out + "\nno waves\n";
    }
    let mut waves = vec![header(&["wave", "hosts", "at once", "within s", "waiting", "down", "done", ""])];
    waves.extend(status.waves.iter().map(wave_row));
    out + &format!("\n{}", columns(&waves))
}

fn holder_text(h: &HolderStatus) -> String {
    let lease_state = match (h.released, h.renewing) {
        (true, _) => "released",
        (false, true) => "renewing",
        (false, false) => "NOT renewed during the read",
    };
    format!("{}, term {}, peers {}: {lease_state}", h.name, h.term, h.peer_address)
}

fn queue_row(q: &QueueStatus) -> Vec<String> {
    let counts = [q.not_yet_loaded, q.queued, q.running, q.completed, q.failed, q.canceled, q.tasks_open];
    let mut row = vec![q.queue.clone(), q.service.clone()];
    row.extend(counts.iter().map(usize::to_string));
    row.push(q.tasks_running.to_string());
    row.push(format!("{:.1} s", q.longest_wait_ms as f64 / 1000.0));
    row
}

fn workspace_row(w: &WorkspaceStatus) -> Vec<String> {
    let cores = |millis: u64| format!("{:.1}", millis as f64 / 1000.0);
    let limit = |text: String, max: u64| if max == 0 { "-".to_string() } else { text };
    let (cpu, mem) = (w.limit.cpu_millis, w.limit.mem_mb);
    vec![
        w.workspace.clone(),
        format!("{:.1}", w.guaranteed_jobs_per_s),
        w.open_jobs.to_string(),
        w.tasks_running.to_string(),
        cores(w.resources_in_use.cpu_millis),
        limit(cores(cpu), cpu),
        w.resources_in_use.mem_mb.to_string(),
        limit(mem.to_string(), mem),
    ]
}

fn pool_row(p: &PoolStatus, hosts_known: bool) -> Vec<String> {
    let mut row = vec![if p.spare { format!("{} (off)", p.pool) } else { p.pool.clone() }];
    let hosts = [p.up, p.moving, p.in_maintenance, p.down];
    row.extend(hosts.iter().map(|n| if hosts_known { n.to_string() } else { "-".to_string() }));
    row.extend([p.workers.to_string(), p.draining.to_string()]);
    row
}

fn wave_row(w: &WaveStatus) -> Vec<String> {
    let listed = |names: &[String]| names.iter().take(MAX_HOST_NAMES).cloned().collect::<Vec<_>>().join(" ");
    let note = match (w.complete, w.down.is_empty()) {
        (true, _) => "complete".to_string(),
        (false, false) => format!("down: {}", listed(&w.down)),
        (false, true) if w.waiting.is_empty() => String::new(),
        (false, true) => format!("waiting: {}", listed(&w.waiting)),
    };
    let counts = [w.hosts, w.max_down, (w.time_allowed_ms / 1000) as usize, w.waiting.len(), w.down.len()];
    let mut row = vec![w.wave.to_string()];
    row.extend(counts.iter().map(usize::to_string));
    row.extend([w.finished.to_string(), note]);
    row
}
