//! The status for terminals.

use super::aggregate::{HolderStatus, JobsStatus, PoolStatus, QueueStatus, WaveStatus, WorkspaceStatus};
use crate::util::table::columns;

/// Names of hosts that are shown of each wave.
const SHOWN: usize = 6;

fn head(names: &[&str]) -> Vec<String> {
    names.iter().map(|n| n.to_string()).collect()
}

/// The status as text.
pub fn text(s: &JobsStatus) -> String {
    let mut out = format!("lease    {}\n", s.holder.as_ref().map_or("nobody holds it".to_string(), holder));
    out += &format!("config   version {}\n", s.config_version);
    if !s.evacuated.is_empty() {
        let names: Vec<&str> = s.evacuated.iter().map(String::as_str).collect();
        out += &format!("evacuated {}: nothing begins there\n", names.join(", "));
    }
    if s.unread > 0 {
        out += &format!("unread   {} records can't be read; see the logs of the lease holder\n", s.unread);
    }
    let mut queues = vec![head(&[
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
    queues.extend(s.queues.iter().map(queue));
    out += &format!("\n{}", columns(&queues));
    if !s.workspaces.is_empty() {
        let mut rows = vec![head(&["workspace", "jobs/s", "open", "tasks", "cores", "of", "MB", "of"])];
        rows.extend(s.workspaces.iter().map(workspace));
        out += &format!("\n{}", columns(&rows));
    }
    let mut pools = vec![head(&["pool", "up", "moving", "upkeep", "down", "workers", "leaving"])];
    pools.extend(s.pools.iter().map(|p| pool(p, s.hosts_error.is_none())));
    out += &format!("\n{}", columns(&pools));
    if let Some(e) = &s.hosts_error {
        out += &format!("hosts are not known: {e}\n");
    }
    if s.waves.is_empty() {
        return out + "\nno waves\n";
    }
    let mut waves = vec![head(&["wave", "hosts", "at once", "within s", "waiting", "down", "done", ""])];
    waves.extend(s.waves.iter().map(wave));
    out + &format!("\n{}", columns(&waves))
}

fn holder(h: &HolderStatus) -> String {
    let how = match (h.released, h.renewing) {
        (true, _) => "given back",
        (false, true) => "renewing",
        (false, false) => "NOT renewed while we watched",
    };
    format!("{}, term {}, peers {}: {how}", h.name, h.term, h.peers)
}

fn queue(q: &QueueStatus) -> Vec<String> {
    let counts = [q.not_taken_in, q.queued, q.running, q.completed, q.failed, q.canceled, q.tasks_open];
    let mut row = vec![q.queue.clone(), q.service.clone()];
    row.extend(counts.iter().map(usize::to_string));
    row.push(q.tasks_running.to_string());
    row.push(format!("{:.1} s", q.longest_wait_ms as f64 / 1000.0));
    row
}

fn workspace(w: &WorkspaceStatus) -> Vec<String> {
    let cores = |millis: u64| format!("{:.1}", millis as f64 / 1000.0);
    let limit = |text: String, most: u64| if most == 0 { "-".to_string() } else { text };
    let (cpu, mem) = (w.limit.cpu_millis, w.limit.mem_mb);
    vec![
        w.workspace.clone(),
        format!("{:.1}", w.weight),
        w.open.to_string(),
        w.tasks_running.to_string(),
        cores(w.at_work.cpu_millis),
        limit(cores(cpu), cpu),
        w.at_work.mem_mb.to_string(),
        limit(mem.to_string(), mem),
    ]
}

fn pool(p: &PoolStatus, known: bool) -> Vec<String> {
    let mut row = vec![if p.spare { format!("{} (off)", p.pool) } else { p.pool.clone() }];
    let hosts = [p.up, p.moving, p.upkeep, p.down];
    row.extend(hosts.iter().map(|n| if known { n.to_string() } else { "-".to_string() }));
    row.extend([p.workers.to_string(), p.draining.to_string()]);
    row
}

fn wave(w: &WaveStatus) -> Vec<String> {
    let named = |names: &[String]| names.iter().take(SHOWN).cloned().collect::<Vec<_>>().join(" ");
    let note = match (w.complete, w.down.is_empty()) {
        (true, _) => "complete".to_string(),
        (false, false) => format!("down: {}", named(&w.down)),
        (false, true) if w.waiting.is_empty() => String::new(),
        (false, true) => format!("waiting: {}", named(&w.waiting)),
    };
    let counts = [w.hosts, w.most_at_once, (w.within_ms / 1000) as usize, w.waiting.len(), w.down.len()];
    let mut row = vec![w.wave.to_string()];
    row.extend(counts.iter().map(usize::to_string));
    row.extend([w.finished.to_string(), note]);
    row
}
