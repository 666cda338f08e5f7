//! A simulated platform on injected time, without sockets.

use std::collections::{BTreeMap, VecDeque};

use workswood_core::fleet::FleetFile;
use workswood_core::ids::UnixMs;
use workswood_core::plan::{HostAction, HostState, ObservedFleet, ObservedHost, ObservedTask};

/// Duration of a reboot.
pub const REBOOT_MS: UnixMs = 5_000;

/// A simulated platform.
pub struct Platform {
    /// Current state of the hosts.
    pub hosts: BTreeMap<String, ObservedHost>,
    /// Whether a host has failed; a failed host stays down even after a reboot.
    pub failed: BTreeMap<String, bool>,
    /// Number of starts per task.
    pub starts: BTreeMap<String, u32>,
    /// Number of reboots per host.
    pub reboots: BTreeMap<String, u32>,
    task_tokens: BTreeMap<String, u64>,
    /// Rebooting hosts, with the end of the reboot.
    reboot_ends: BTreeMap<String, UnixMs>,
    snapshots: VecDeque<(UnixMs, ObservedFleet)>,
}

impl Platform {
    /// Creates a platform with the hosts of a file, all live and in no pool.
    pub fn new(file: &FleetFile) -> Platform {
        let hosts = file.hosts.iter().map(|h| {
            let observed = ObservedHost::newly_declared(h);
            (h.name.clone(), observed)
        });
        Platform {
            hosts: hosts.collect(),
            failed: BTreeMap::new(),
            starts: BTreeMap::new(),
            reboots: BTreeMap::new(),
            task_tokens: BTreeMap::new(),
            reboot_ends: BTreeMap::new(),
            snapshots: VecDeque::new(),
        }
    }

    /// Ends due reboots and takes a snapshot of the fleet.
    pub fn tick(&mut self, now: UnixMs) {
        let rebooted: Vec<String> =
            self.reboot_ends.iter().filter(|(_, at)| **at <= now).map(|(h, _)| h.clone()).collect();
        for h in rebooted {
            self.reboot_ends.remove(&h);
            self.refresh(&h);
        }
        self.snapshots.push_back((now, ObservedFleet { hosts: self.hosts.clone(), entries: Vec::new() }));
        while self.snapshots.len() > 8 {
            self.snapshots.pop_front();
        }
    }

    /// Sets whether a host has failed.
    pub fn fail(&mut self, host: &str, failed: bool) {
        self.failed.insert(host.to_string(), failed);
        self.refresh(host);
    }

    fn refresh(&mut self, host: &str) {
        let down = self.failed.get(host).copied().unwrap_or(false) || self.reboot_ends.contains_key(host);
        if let Some(h) = self.hosts.get_mut(host) {
            h.state = if down { HostState::Down } else { HostState::Live };
            for t in &mut h.tasks {
                t.ready = !down && t.ended.is_none() && t.id.contains('/');
            }
        }
    }

    /// Returns the fleet as it was `lag` ticks ago.
    pub fn list(&self, lag: usize) -> ObservedFleet {
        let newest = self.snapshots.len().saturating_sub(1);
        self.snapshots.get(newest.saturating_sub(lag)).map(|(_, s)| s.clone()).unwrap_or_default()
    }

    /// Returns the number of ready instances of a service on live hosts that are not draining.
    pub fn available(&self, service: &str) -> u32 {
        let prefix = format!("{service}/");
        let accepts_work = |h: &&ObservedHost| h.state == HostState::Live && !h.draining;
        let tasks = self.hosts.values().filter(accepts_work).flat_map(|h| &h.tasks);
        tasks.filter(|t| t.ready && t.id.starts_with(&prefix)).count() as u32
    }

    /// Carries out a host action unless its fencing token or boot identifier is stale.
    pub fn act(&mut self, action: &HostAction, now: UnixMs) {
        if let HostAction::Start { host, task, token } = action {
            return self.start(host, task, *token);
        }
        let Some(h) = self.hosts.get_mut(action.host()) else { return };
        match action {
            HostAction::SetPool { pool, token, .. } if h.token <= *token => {
                h.token = *token;
                h.pool = Some(pool.clone());
            }
            HostAction::Drain { token, .. } if h.token <= *token => {
                h.token = *token;
                h.draining = true;
                h.drained = true;
            }
            HostAction::Undrain { token, .. } if h.token <= *token => {
                h.token = *token;
                h.draining = false;
                h.drained = false;
            }
            HostAction::Reboot { host, boot, token } if h.token <= *token && h.boot == *boot => {
                h.token = *token;
                let n = self.reboots.entry(host.clone()).or_default();
                *n += 1;
                h.boot = format!("{}", *n + 1);
                self.reboot_ends.insert(host.clone(), now + REBOOT_MS);
                self.refresh(host);
            }
            HostAction::Stop { task, token, .. } => h.tasks.retain(|t| t.id != *task || t.token != *token),
            _ => {}
        }
    }

    fn start(&mut self, host: &str, task: &str, token: u64) {
        let last_token = self.task_tokens.get(task).copied().unwrap_or(0);
        let Some(h) = self.hosts.get_mut(host).filter(|h| h.state == HostState::Live) else { return };
        if last_token >= token {
            return;
        }
        self.task_tokens.insert(task.to_string(), token);
        *self.starts.entry(task.to_string()).or_default() += 1;
        let is_instance = task.contains('/');
        h.tasks.retain(|t| t.id != task);
        h.tasks.push(ObservedTask {
            id: task.to_string(),
            address: "127.0.0.1:1".to_string(),
            ready: is_instance,
            used_millicores: 0,
            ended: None,
            token,
        });
    }

    /// Ends all jobs successfully.
    pub fn end_jobs(&mut self) {
        for t in self.hosts.values_mut().flat_map(|h| &mut h.tasks).filter(|t| !t.id.contains('/')) {
            t.ended = Some(true);
        }
    }
}
