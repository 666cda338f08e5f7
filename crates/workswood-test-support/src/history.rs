//! Random histories of planners that race, sleep and lag, against a simple
//! oracle.

use arbtest::arbitrary::{Result, Unstructured};
use workswood_core::fleet::FleetFile;
use workswood_core::fold::{Rejection, State};
use workswood_core::ids::{Term, UnixMs};
use workswood_core::plan::{EntryReports, HostAction, WaveState, decide, missing_actions, wave_status};
use workswood_core::record::{Envelope, HostChange, InstanceChange, Record, Role};

use crate::log::{Log, Process};
use crate::platform::Platform;

const PLANNERS: usize = 3;
const TICK_MS: UnixMs = 1_000;
/// Rounds after which a history without further faults must have settled.
const HEAL_ROUNDS: usize = 400;

/// Which faults a history may hold.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Faults {
    /// Everything but failures of hosts: then the truth must keep budgets.
    Ours,
    /// Failures of hosts and racks as well.
    All,
}

/// What a history did and found.
#[derive(Clone, Debug, Default)]
pub struct Tally {
    /// Steps taken.
    pub steps: u64,
    /// Records accepted.
    pub accepted: u64,
    /// Records void.
    pub void: u64,
    /// Acts that reached the platform.
    pub acts: u64,
    /// Acts delivered late, twice or never.
    pub disturbed: u64,
    /// Hosts that failed.
    pub failures: u64,
    /// Changes by operators.
    pub edits: u64,
    /// Budgets broken by our acts.
    pub budgets_broken: Vec<String>,
    /// Jobs that ran twice and may not.
    pub doubled: Vec<String>,
    /// What did not settle.
    pub unsettled: Vec<String>,
    /// The last things that were done.
    pub trace: Vec<String>,
}

/// Lines of a trace that are kept.
const TRACE: usize = 120;

impl Tally {
    fn note(&mut self, line: String) {
        if self.trace.len() >= TRACE {
            self.trace.remove(0);
        }
        self.trace.push(line);
    }

    /// The first broken promise with what led to it.
    pub fn broken(&self) -> Option<String> {
        let all = self.budgets_broken.iter().chain(&self.doubled).chain(&self.unsettled);
        let first: Vec<&String> = all.take(4).collect();
        (!first.is_empty()).then(|| format!("{first:#?}\n{}", self.trace.join("\n")))
    }
}

/// A planner with what it was about to do when it fell asleep.
struct Planner {
    process: Process,
    term: Term,
    held: Vec<Envelope>,
    late: Vec<HostAction>,
}

/// A history.
pub struct History {
    log: Log,
    planners: Vec<Planner>,
    operator: Process,
    truth: Process,
    platform: Platform,
    file: FleetFile,
    now: UnixMs,
    faults: Faults,
    log_down: bool,
    placed: bool,
    /// What was done and found.
    pub tally: Tally,
}

impl History {
    /// A history of a file on a fresh platform.
    pub fn new(file: FleetFile, faults: Faults) -> History {
        let planner = |i| Planner {
            process: Process::new(&format!("p{i}")),
            term: 0,
            held: Vec::new(),
            late: Vec::new(),
        };
        let mut h = History {
            log: Log::default(),
            planners: (0..PLANNERS).map(planner).collect(),
            operator: Process::new("op"),
            truth: Process::new("truth"),
            platform: Platform::new(&file),
            file,
            now: 1_000_000,
            faults,
            log_down: false,
            placed: false,
            tally: Tally::default(),
        };
        let file = FleetFile { maintenance: Vec::new(), ..h.file.clone() };
        h.apply(&file);
        h.take_over(0);
        h.heal();
        h.placed = true;
        let whole = h.file.clone();
        h.apply(&whole);
        h
    }

    fn apply(&mut self, file: &FleetFile) {
        self.operator.follow(&self.log, usize::MAX);
        let base = self.operator.state.files.get(&file.file).map_or(0, |f| f.version);
        let id = format!("change-{}", self.log.all.len());
        let record =
            Record::Apply { change_id: id, base, author: "op".to_string(), file: Box::new(file.clone()) };
        let env = self.operator.envelope(self.now, vec![record]);
        self.push(env);
    }

    /// Puts an envelope into the log and judges what it did.
    fn push(&mut self, env: Envelope) {
        let before = self.truth.state.clone();
        self.log.all.push(env.clone());
        let offset = self.log.all.len() as u64 - 1;
        let verdicts = self.truth.state.fold(offset, &env);
        let mut state = before;
        for (r, v) in env.records.iter().zip(&verdicts) {
            match v {
                Ok(()) => self.tally.accepted += 1,
                Err(_) => self.tally.void += 1,
            }
            if self.tally.budgets_broken.is_empty() {
                self.tally.note(format!("{} #{offset} {} {v:?} {r:?}", self.now, env.sender));
            }
            if v.is_ok() {
                self.judge(&state, r);
            }
            // The oracle looks at each record on the state just before it.
            let single = Envelope {
                records: vec![r.clone()],
                seq: u64::MAX - 1,
                sender: format!("o{offset}"),
                ..env.clone()
            };
            let mut next = state.clone();
            next.next_offset = offset;
            next.senders.remove(&single.sender);
            next.fold(offset, &Envelope { sender: env.sender.clone(), seq: env.seq + 1, ..single });
            state = next;
        }
    }

    /// Recounts a service's instances for an accepted step that takes some.
    fn judge(&mut self, before: &State, r: &Record) {
        let host = match r {
            Record::Host { host, change: HostChange::Drain { .. }, .. } => Some(host.clone()),
            Record::Instance { instance, change: InstanceChange::Remove, .. } => {
                before.instances.get(instance).map(|i| i.host.clone())
            }
            _ => None,
        };
        let Some(host) = host else { return };
        let works = |h: &str| before.hosts.get(h).is_some_and(|h| h.takes_work());
        if !works(&host) {
            return;
        }
        for s in before.services() {
            let of =
                |i: &&workswood_core::fold::PlacedInstance| i.service == s.name && i.ready && works(&i.host);
            let have = before.instances.values().filter(of).count() as u32;
            let touched = match r {
                Record::Instance { instance, .. } => before.instances.get(instance).filter(of).is_some(),
                _ => before.instances.values().filter(of).any(|i| i.host == host),
            };
            if touched && have < s.budget.min_available + 1 {
                let text = format!("{} has {have}, needs {}: {r:?}", s.name, s.budget.min_available);
                self.tally.budgets_broken.push(text);
            }
        }
    }

    fn take_over(&mut self, i: usize) {
        let p = &mut self.planners[i];
        p.process.follow(&self.log, usize::MAX);
        let lease = p.process.state.lease(Role::Planner);
        let record = Record::Take {
            role: Role::Planner,
            holder: p.process.id.clone(),
            term: lease.term + 1,
            seen_renewals: lease.renewals,
        };
        p.term = lease.term + 1;
        let env = p.process.envelope(self.now, vec![record]);
        self.push(env);
    }

    /// Lets a planner decide on what it has folded and on a list of some age.
    fn decide(&mut self, i: usize, lag: usize) -> (Option<Envelope>, Vec<HostAction>) {
        let seen = self.platform.list(lag);
        let now = self.now;
        let p = &mut self.planners[i];
        let facts = EntryReports { folded_by_all: u64::MAX, ..EntryReports::default() };
        let records = decide(&p.process.state, &seen, &facts, now, p.term);
        let acts = missing_actions(&p.process.state, &seen);
        let env = (!records.is_empty()).then(|| p.process.envelope(now, records));
        (env, acts)
    }

    fn act(&mut self, act: &HostAction) {
        self.tally.acts += 1;
        if self.tally.budgets_broken.is_empty() {
            self.tally.note(format!("{} {act:?}", self.now));
        }
        self.platform.act(act, self.now);
    }

    /// One random step.
    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.tally.steps += 1;
        match u.int_in_range(0..=15u8)? {
            0..=2 => self.now += TICK_MS * u.int_in_range(1..=8u64)?,
            3..=8 => self.planner_step(u)?,
            9 => {
                let i = u.choose_index(PLANNERS)?;
                self.wake(i);
            }
            10 if !self.log_down => {
                let i = u.choose_index(PLANNERS)?;
                self.take_over(i);
            }
            11 => self.log_down = u.ratio(1, 3u8)?,
            12 if self.faults == Faults::All => self.fail(u)?,
            13 => self.edit(u)?,
            14 => self.platform.end_jobs(),
            _ => {
                let i = u.choose_index(PLANNERS)?;
                let most = u.int_in_range(0..=6usize)?;
                self.planners[i].process.follow(&self.log, most);
            }
        }
        self.platform.tick(self.now);
        self.check_truth();
        Ok(())
    }

    fn planner_step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let i = u.choose_index(PLANNERS)?;
        if u.ratio(2, 3u8)? {
            self.planners[i].process.follow(&self.log, usize::MAX);
        }
        let lag = u.int_in_range(0..=6usize)?;
        let (env, acts) = self.decide(i, lag);
        if let Some(env) = env {
            match (self.log_down, u.int_in_range(0..=5u8)?) {
                // The answer is lost: the append is made again.
                (false, 0) => {
                    self.push(env.clone());
                    self.push(env);
                }
                // The planner falls asleep with the append in its hands.
                (_, 1) => self.planners[i].held.push(env),
                (false, _) => self.push(env),
                (true, _) => {}
            }
        }
        for a in acts {
            match u.int_in_range(0..=7u8)? {
                0 => self.tally.disturbed += 1,
                1 => {
                    self.tally.disturbed += 1;
                    self.planners[i].late.push(a);
                }
                2 => {
                    self.tally.disturbed += 1;
                    self.act(&a);
                    self.act(&a);
                }
                _ => self.act(&a),
            }
        }
        Ok(())
    }

    /// A planner wakes and does what it was about to do long ago.
    fn wake(&mut self, i: usize) {
        let held = std::mem::take(&mut self.planners[i].held);
        let late = std::mem::take(&mut self.planners[i].late);
        if !self.log_down {
            held.into_iter().for_each(|e| self.push(e));
        }
        late.iter().for_each(|a| self.act(a));
    }

    fn fail(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let names: Vec<String> = self.platform.hosts.keys().cloned().collect();
        let host = u.choose(&names)?.clone();
        let rack = self.platform.hosts[&host].location.rack.clone();
        let whole_rack = u.ratio(1, 4u8)?;
        let failed = u.ratio(1, 3u8)?;
        for n in names {
            if n == host || (whole_rack && self.platform.hosts[&n].location.rack == rack) {
                self.tally.failures += u64::from(failed);
                self.platform.fail(&n, failed);
            }
        }
        Ok(())
    }

    fn edit(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.tally.edits += 1;
        if self.log_down {
            return Ok(());
        }
        match u.int_in_range(0..=3u8)? {
            0 => {
                let paused = u.ratio(1, 2u8)?;
                self.file.maintenance.iter_mut().for_each(|m| m.paused = paused);
            }
            1 => {
                // A new name is new maintenance; the old one is withdrawn.
                let n = u.int_in_range(0..=3u8)?;
                self.file.maintenance.iter_mut().for_each(|m| m.name = format!("m{n}"));
            }
            2 => {
                // Hosts move between the two pools.
                let total: u32 = self.file.pools.iter().map(|p| p.size).sum();
                let spread = self.file.services.iter().map(|s| s.instances).max().unwrap_or(1);
                let first = u.int_in_range(spread..=total - 1)?;
                self.file.pools[0].size = first;
                self.file.pools[1].size = total - first;
            }
            _ => {
                // Two operators race on one base; exactly one may win.
                self.operator.follow(&self.log, usize::MAX);
                let file = self.file.clone();
                self.race(&file);
                return Ok(());
            }
        }
        let file = self.file.clone();
        self.apply(&file);
        Ok(())
    }

    fn race(&mut self, file: &FleetFile) {
        let base = self.operator.state.files.get(&file.file).map_or(0, |f| f.version);
        let mut wins = 0;
        for n in 0..2 {
            let mut mine = file.clone();
            mine.objective.buffer = 10 + n + base as u32 * 2;
            let record = Record::Apply {
                change_id: format!("race-{}-{n}", self.log.all.len()),
                base,
                author: format!("op{n}"),
                file: Box::new(mine),
            };
            let before = self.tally.accepted;
            let env = self.operator.envelope(self.now, vec![record]);
            self.push(env);
            wins += self.tally.accepted - before;
        }
        if wins != 1 {
            self.tally.unsettled.push(format!("{wins} of two racing changes won"));
        }
        if let Some(f) = self.truth.state.files.get(&file.file) {
            self.file = f.file.clone();
        }
    }

    /// Without failures of hosts the truth itself must keep every budget.
    fn check_truth(&mut self) {
        let once: Vec<String> =
            self.file.jobs.iter().filter(|j| !j.repeatable).map(|j| j.name.clone()).collect();
        for j in once {
            if self.platform.starts.get(&j).copied().unwrap_or(0) > 1 {
                self.tally.doubled.push(j);
            }
        }
        if self.faults == Faults::All || !self.placed {
            return;
        }
        for s in &self.file.services {
            let have = self.platform.available(&s.name);
            if have < s.budget.min_available {
                let text = format!("truth: {} has {have}, needs {}", s.name, s.budget.min_available);
                self.tally.budgets_broken.push(text);
            }
        }
    }

    /// Ends all faults and lets one planner finish.
    pub fn heal(&mut self) {
        self.log_down = false;
        for i in 0..PLANNERS {
            self.wake(i);
        }
        for h in self.platform.hosts.keys().cloned().collect::<Vec<_>>() {
            self.platform.fail(&h, false);
        }
        self.file.maintenance.iter_mut().for_each(|m| m.paused = false);
        if self.placed {
            let file = self.file.clone();
            self.apply(&file);
        }
        self.take_over(0);
        for _ in 0..HEAL_ROUNDS {
            self.now += TICK_MS;
            self.platform.tick(self.now);
            self.platform.end_jobs();
            self.planners[0].process.follow(&self.log, usize::MAX);
            let (env, acts) = self.decide(0, 1);
            let quiet = env.is_none() && acts.is_empty();
            if let Some(env) = env {
                self.push(env);
            }
            acts.iter().for_each(|a| self.act(a));
            self.check_truth();
            if quiet && self.finished() {
                return;
            }
        }
        self.explain();
    }

    fn finished(&self) -> bool {
        let state = &self.truth.state;
        let waves = wave_status(state, self.now);
        let declared: u32 = state.services().map(|s| s.instances).sum();
        let ready = state.instances.values().filter(|i| i.ready).count() as u32;
        waves.iter().all(|w| w.state == WaveState::Finished)
            && state.hosts.values().all(|h| !h.out_of_service())
            && ready == declared
    }

    fn explain(&mut self) {
        for w in wave_status(&self.truth.state, self.now) {
            if w.state != WaveState::Finished {
                self.tally.unsettled.push(format!("{w:?}"));
            }
        }
        for (id, h) in
            self.truth.state.hosts.iter().filter(|(_, h)| h.out_of_service() || h.externally_moved || !h.up)
        {
            self.tally.unsettled.push(format!("host {id} {h:?} {:?}", self.platform.hosts.get(id)));
        }
        for (id, i) in self.truth.state.instances.iter().filter(|(_, i)| !i.ready) {
            let on = self.platform.hosts.iter().find(|(_, h)| h.tasks.iter().any(|t| t.id == *id));
            self.tally.unsettled.push(format!("instance {id} {i:?} runs on {on:?}"));
        }
        if self.tally.unsettled.is_empty() {
            self.tally.unsettled.push("records or acts go on for ever".to_string());
        }
    }

    /// The verdict of a record that takes a host, for focused tests.
    pub fn may_leave(&self, host: &str) -> std::result::Result<(), Rejection> {
        self.truth.state.check_drain_budgets(host)
    }
}
