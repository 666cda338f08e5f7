//! A platform on injected time: hosts, tasks and acts, without sockets.

use std::collections::{BTreeMap, VecDeque};

use workswood_core::fleet::FleetFile;
use workswood_core::ids::UnixMs;
use workswood_core::plan::{HostAction, HostState, ObservedFleet, ObservedHost, ObservedTask};

/// Time that a reboot takes.
pub const REBOOT_MS: UnixMs = 5_000;

/// The platform.
pub struct Platform {
    /// Hosts as they are.
    pub hosts: BTreeMap<String, ObservedHost>,
    /// Hosts that have failed, whatever else is done to them.
    pub failed: BTreeMap<String, bool>,
    /// Starts of each task so far.
    pub starts: BTreeMap<String, u32>,
    /// Reboots of each host so far.
    pub reboots: BTreeMap<String, u32>,
    tokens: BTreeMap<String, u64>,
    back_at: BTreeMap<String, UnixMs>,
    lists: VecDeque<(UnixMs, ObservedFleet)>,
}

impl Platform {
    /// A platform with the hosts of a file, all live and in no pool.
    pub fn new(file: &FleetFile) -> Platform {
        let hosts = file.hosts.iter().map(|h| {
            let seen = ObservedHost::newly_declared(h);
            (h.name.clone(), seen)
        });
        Platform {
            hosts: hosts.collect(),
            failed: BTreeMap::new(),
            starts: BTreeMap::new(),
            reboots: BTreeMap::new(),
            tokens: BTreeMap::new(),
            back_at: BTreeMap::new(),
            lists: VecDeque::new(),
        }
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: UnixMs) {
        let back: Vec<String> =
            self.back_at.iter().filter(|(_, at)| **at <= now).map(|(h, _)| h.clone()).collect();
        for h in back {
            self.back_at.remove(&h);
            self.refresh(&h);
        }
        self.lists.push_back((now, ObservedFleet { hosts: self.hosts.clone(), entries: Vec::new() }));
        while self.lists.len() > 8 {
            self.lists.pop_front();
        }
    }

    /// Fails a host or lets it recover.
    pub fn fail(&mut self, host: &str, failed: bool) {
        self.failed.insert(host.to_string(), failed);
        self.refresh(host);
    }

    fn refresh(&mut self, host: &str) {
        let down = self.failed.get(host).copied().unwrap_or(false) || self.back_at.contains_key(host);
        if let Some(h) = self.hosts.get_mut(host) {
            h.state = if down { HostState::Down } else { HostState::Live };
            for t in &mut h.tasks {
                t.ready = !down && t.ended.is_none() && t.id.contains('/');
            }
        }
    }

    /// The list as it was some ticks ago.
    pub fn list(&self, lag: usize) -> ObservedFleet {
        let newest = self.lists.len().saturating_sub(1);
        self.lists.get(newest.saturating_sub(lag)).map(|(_, s)| s.clone()).unwrap_or_default()
    }

    /// Instances of a service that take work.
    pub fn available(&self, service: &str) -> u32 {
        let prefix = format!("{service}/");
        let takes = |h: &&ObservedHost| h.state == HostState::Live && !h.draining;
        let tasks = self.hosts.values().filter(takes).flat_map(|h| &h.tasks);
        tasks.filter(|t| t.ready && t.id.starts_with(&prefix)).count() as u32
    }

    /// Carries an act out unless its token or boot is old.
    pub fn act(&mut self, act: &HostAction, now: UnixMs) {
        if let HostAction::Start { host, task, token } = act {
            return self.start(host, task, *token);
        }
        let Some(h) = self.hosts.get_mut(act.host()) else { return };
        match act {
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
                self.back_at.insert(host.clone(), now + REBOOT_MS);
                self.refresh(host);
            }
            HostAction::Stop { task, token, .. } => h.tasks.retain(|t| t.id != *task || t.token != *token),
            _ => {}
        }
    }

    fn start(&mut self, host: &str, task: &str, token: u64) {
        let known = self.tokens.get(task).copied().unwrap_or(0);
        let Some(h) = self.hosts.get_mut(host).filter(|h| h.state == HostState::Live) else { return };
        if known >= token {
            return;
        }
        self.tokens.insert(task.to_string(), token);
        *self.starts.entry(task.to_string()).or_default() += 1;
        let instance = task.contains('/');
        h.tasks.retain(|t| t.id != task);
        h.tasks.push(ObservedTask {
            id: task.to_string(),
            address: "127.0.0.1:1".to_string(),
            ready: instance,
            used_millicores: 0,
            ended: None,
            token,
        });
    }

    /// Ends a running job.
    pub fn end_jobs(&mut self) {
        for t in self.hosts.values_mut().flat_map(|h| &mut h.tasks).filter(|t| !t.id.contains('/')) {
            t.ended = Some(true);
        }
    }
}
