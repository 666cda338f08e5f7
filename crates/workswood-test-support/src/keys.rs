//! Random schedules of requests that may not be repeated: copies through any
//! entry, deaths, pauses, lost appends, outages and late claims, against a
//! ledger of what truly ran.

use std::collections::BTreeMap;

use arbtest::arbitrary::{Result, Unstructured};
use workswood_core::code::ExecutionStatus;
use workswood_core::fold::RecordResult;
use workswood_core::idempotency::{
    ClaimDecision, ClaimInquiry, InquiryReply, RequestIdentity, answer_if_known, decide_after_claim,
};
use workswood_core::ids::UnixMs;
use workswood_core::record::{AttemptOutcome, Envelope, Record, Role, RosterMember};

use crate::log::{Log, Process};

const ENTRIES: usize = 4;
const KEYS: usize = 3;
/// Time that the window of a key lasts here.
const WINDOW: UnixMs = 60_000;

/// Where a copy of a request is.
#[derive(Debug)]
enum Stage {
    /// It has come; nothing was looked at.
    Came,
    /// Its claim is written but not in the log.
    Claiming(Envelope),
    /// Its claim is in the log, at the offset.
    Claimed(u64),
    /// Its process has won and will send.
    Won,
    /// Its process asks the others before it refuses.
    Asking(ClaimInquiry),
    /// The endpoint has it; the outcome is not in the log.
    Ran,
    /// Nothing was sent; the release is not in the log.
    Released,
    /// The caller has its answer.
    Over,
}

struct Copy {
    number: u64,
    entry: usize,
    given: RequestIdentity,
    stage: Stage,
    /// The caller was answered and the process only tidies up.
    told: bool,
    /// Step at which its process began to ask the others.
    asking_since: u64,
}

struct Entry {
    process: Process,
    alive: bool,
    lives: u32,
    /// Claims that were given up and may still be accepted.
    abandoned: Vec<(String, Envelope)>,
    /// Keys held for the question of the copy numbered.
    held: Vec<(String, u64)>,
    /// Step at which it came on the roster, in this life.
    joined: Option<u64>,
}

/// What a schedule found.
#[derive(Clone, Debug, Default)]
pub struct KeyTally {
    /// Copies that came.
    pub copies: u64,
    /// Requests that ran.
    pub ran: u64,
    /// Copies told that it was not run.
    pub not_run: u64,
    /// Copies told that it is not known.
    pub unknown: u64,
    /// Processes that died.
    pub deaths: u64,
    /// What was broken.
    pub broken: Vec<String>,
    /// What was done.
    pub trace: Vec<String>,
}

/// A schedule.
pub struct Schedule {
    log: Log,
    entries: Vec<Entry>,
    planner: Process,
    copies: Vec<Copy>,
    runs: BTreeMap<String, u32>,
    now: UnixMs,
    log_down: bool,
    steps: u64,
    /// What was done and found.
    pub tally: KeyTally,
}

impl Schedule {
    /// A schedule on a log with all entries on the roster.
    pub fn new() -> Schedule {
        let entry = |i: usize| Entry {
            process: Process::new(&format!("e{i}-0")),
            alive: true,
            lives: 0,
            abandoned: Vec::new(),
            held: Vec::new(),
            joined: None,
        };
        let mut s = Schedule {
            log: Log::default(),
            entries: (0..ENTRIES).map(entry).collect(),
            planner: Process::new("planner"),
            copies: Vec::new(),
            runs: BTreeMap::new(),
            now: 1_000_000,
            log_down: false,
            steps: 0,
            tally: KeyTally::default(),
        };
        let take = Record::Take { role: Role::Planner, holder: "planner".into(), term: 1, seen_renewals: 0 };
        s.planner.append(&mut s.log, s.now, vec![take]);
        s.set_roster();
        s.entries.iter_mut().for_each(|e| e.process.follow(&s.log, usize::MAX));
        s
    }

    fn set_roster(&mut self) {
        self.tally.trace.push("roster".to_string());
        let alive = self.entries.iter().filter(|e| e.alive);
        let members =
            alive.map(|e| RosterMember { id: e.process.id.clone(), data_centre: "d".into() }).collect();
        self.planner.append(&mut self.log, self.now, vec![Record::Roster { term: 1, members }]);
        let steps = self.steps;
        for e in self.entries.iter_mut().filter(|e| e.alive) {
            e.joined.get_or_insert(steps);
        }
    }

    /// One random step.
    pub fn step(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        self.steps += 1;
        match u.int_in_range(0..=13u8)? {
            0 => self.now += u.int_in_range(1..=WINDOW)?,
            1 | 2 => self.come(u)?,
            3 => self.die(u)?,
            4 if !self.log_down => self.set_roster(),
            5 => self.log_down = u.ratio(1, 3u8)?,
            6 | 7 => {
                let i = u.choose_index(ENTRIES)?;
                let most = u.int_in_range(0..=4usize)?;
                self.entries[i].process.follow(&self.log, most);
            }
            8 => self.late_claim(u)?,
            _ => self.advance(u)?,
        }
        Ok(())
    }

    fn come(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let key = u.choose_index(KEYS)?;
        let era = self.now / (4 * WINDOW);
        // Copies of one request carry the same last moment.
        let last_moment = (era * 4 + 1 + key as u64) * WINDOW;
        let given = RequestIdentity { key: format!("k{key}-{era}"), last_moment, digest: key as u64 };
        let entry = u.choose_index(ENTRIES)?;
        self.tally.copies += 1;
        let number = self.tally.copies;
        self.copies.push(Copy { number, entry, given, stage: Stage::Came, told: false, asking_since: 0 });
        Ok(())
    }

    fn die(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let i = u.choose_index(ENTRIES)?;
        self.tally.deaths += 1;
        self.tally.trace.push(format!("death of {}", self.entries[i].process.id));
        let gone: Vec<u64> = self.copies.iter().filter(|c| c.entry == i).map(|c| c.number).collect();
        self.entries.iter_mut().for_each(|e| e.held.retain(|(_, of)| !gone.contains(of)));
        self.copies.retain(|c| c.entry != i);
        let e = &mut self.entries[i];
        e.lives += 1;
        e.abandoned.clear();
        e.held.clear();
        e.joined = None;
        // Its replacement has folded nothing and is another incarnation.
        e.process = Process::new(&format!("e{i}-{}", e.lives));
        e.alive = true;
        if u.ratio(1, 2u8)? {
            e.process.follow(&self.log, usize::MAX);
        }
        Ok(())
    }

    /// An append that was given up reaches the log after all.
    fn late_claim(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        let i = u.choose_index(ENTRIES)?;
        let Some((key, env)) = self.entries[i].abandoned.pop() else { return Ok(()) };
        if self.log_down {
            self.entries[i].abandoned.push((key, env));
            return Ok(());
        }
        self.log.all.push(env);
        let offset = self.log.all.len() as u64 - 1;
        let verdict = self.verdict_at(offset);
        self.tally.trace.push(format!("late claim of {key}: {verdict:?}"));
        if verdict == Ok(()) {
            // The process releases what it no longer wants.
            let e = &mut self.entries[i];
            let holder = e.process.id.clone();
            let record = Record::Finish { key, holder, outcome: AttemptOutcome::NotSent };
            e.process.append(&mut self.log, self.now, vec![record]);
        }
        Ok(())
    }

    fn verdict_at(&self, offset: u64) -> RecordResult {
        let mut state = workswood_core::fold::State::default();
        let mut last = Ok(());
        for (i, env) in self.log.all.iter().enumerate().take(offset as usize + 1) {
            last = state.fold(i as u64, env).first().cloned().unwrap_or(Ok(()));
        }
        last
    }

    /// Moves one copy on by one step.
    fn advance(&mut self, u: &mut Unstructured<'_>) -> Result<()> {
        if self.copies.is_empty() {
            return Ok(());
        }
        let n = u.choose_index(self.copies.len())?;
        let luck = u.int_in_range(0..=5u8)?;
        let stage = std::mem::replace(&mut self.copies[n].stage, Stage::Over);
        let c = &self.copies[n];
        let line = format!(
            "copy {} of {} at {}: {stage:?}",
            c.number, c.given.key, self.entries[c.entry].process.id
        );
        self.tally.trace.push(line);
        let next = match stage {
            Stage::Came => self.look(n, luck),
            Stage::Claiming(env) => self.append_claim(n, env, luck),
            Stage::Claimed(offset) => self.read_verdict(n, offset),
            Stage::Won => self.send(n, luck),
            Stage::Asking(inquiry) => self.ask(n, inquiry),
            Stage::Ran => self.finish(n, AttemptOutcome::Answered { status: 200, body: None }),
            Stage::Released => self.finish(n, AttemptOutcome::NotSent),
            Stage::Over => Stage::Over,
        };
        self.copies[n].stage = next;
        self.copies.retain(|c| !matches!(c.stage, Stage::Over));
        Ok(())
    }

    fn look(&mut self, n: usize, luck: u8) -> Stage {
        let (i, given) = (self.copies[n].entry, self.copies[n].given.clone());
        if let Some(told) = answer_if_known(&self.entries[i].process.state, &given) {
            self.tell(n, told.execution());
            return Stage::Over;
        }
        // Questions that began before it came on the roster are over by the
        // time that it may claim.
        let joined = self.entries[i].joined.unwrap_or(u64::MAX);
        let asked = |c: &Copy| matches!(c.stage, Stage::Asking(_)) && c.asking_since <= joined;
        let earlier = self.copies.iter().any(|c| c.given.key == given.key && asked(c));
        if earlier || self.entries[i].held.iter().any(|(k, _)| *k == given.key) {
            self.tell(n, ExecutionStatus::Unknown);
            return Stage::Over;
        }
        if luck == 0 || self.log_down {
            return self.begin_asking(n);
        }
        let process = &mut self.entries[i].process;
        let record = Record::Claim {
            key: given.key.clone(),
            service: "s".into(),
            digest: given.digest,
            holder: Some(process.id.clone()),
            last_moment: given.last_moment,
            deferred: None,
        };
        Stage::Claiming(process.envelope(self.now, vec![record]))
    }

    fn append_claim(&mut self, n: usize, env: Envelope, luck: u8) -> Stage {
        if self.log_down || luck == 0 {
            // Given up: the process never sends for it.
            let i = self.copies[n].entry;
            let key = self.copies[n].given.key.clone();
            self.entries[i].abandoned.push((key, env));
            return self.begin_asking(n);
        }
        self.log.all.push(env.clone());
        let offset = self.log.all.len() as u64 - 1;
        if luck == 1 {
            // The answer was lost and the append made again.
            self.log.all.push(env);
        }
        Stage::Claimed(offset)
    }

    fn read_verdict(&mut self, n: usize, offset: u64) -> Stage {
        let (i, given) = (self.copies[n].entry, self.copies[n].given.clone());
        self.entries[i].process.follow(&self.log, usize::MAX);
        let verdict = self.verdict_at(offset);
        match decide_after_claim(&self.entries[i].process.state, &given, &verdict) {
            ClaimDecision::Send => Stage::Won,
            ClaimDecision::Answer(told) => {
                self.tell(n, told.execution());
                Stage::Over
            }
            ClaimDecision::RetryLater => self.begin_asking(n),
        }
    }

    fn send(&mut self, n: usize, luck: u8) -> Stage {
        let key = self.copies[n].given.key.clone();
        if luck == 0 {
            return Stage::Released;
        }
        let runs = self.runs.entry(key.clone()).or_default();
        *runs += 1;
        self.tally.ran += 1;
        if *runs > 1 {
            self.tally.broken.push(format!("{key} ran twice"));
        }
        Stage::Ran
    }

    fn finish(&mut self, n: usize, end: AttemptOutcome) -> Stage {
        if self.log_down {
            return if end == AttemptOutcome::NotSent { Stage::Released } else { Stage::Ran };
        }
        let (i, key) = (self.copies[n].entry, self.copies[n].given.key.clone());
        let process = &mut self.entries[i].process;
        let holder = process.id.clone();
        let released = end == AttemptOutcome::NotSent;
        process.append(&mut self.log, self.now, vec![Record::Finish { key, holder, outcome: end }]);
        if released {
            self.tell(n, ExecutionStatus::NotRun);
        }
        Stage::Over
    }

    fn begin_asking(&mut self, n: usize) -> Stage {
        self.copies[n].asking_since = self.steps;
        let i = self.copies[n].entry;
        let own = self.reply(i, n);
        Stage::Asking(ClaimInquiry::new(&self.entries[i].process.id, own))
    }

    /// What an entry says of the key of copy `n`, apart from that copy.
    fn reply(&mut self, i: usize, n: usize) -> InquiryReply {
        let (key, number) = (self.copies[n].given.key.clone(), self.copies[n].number);
        let e = &self.entries[i];
        let claiming = self.copies.iter().enumerate().any(|(m, c)| {
            let on_way = !matches!(c.stage, Stage::Came | Stage::Asking(_) | Stage::Over);
            m != n && c.entry == i && c.given.key == key && on_way
        });
        let behind = e.process.state.next_offset == 0;
        let known = e.process.state.keys.contains_key(&key) || claiming || behind;
        let roster = e.process.state.roster.iter().map(|m| m.id.clone()).collect();
        if !known {
            self.entries[i].held.push((key, number));
        }
        InquiryReply { known, roster }
    }

    /// The planner never claims here. It may lag, but it knows what it has put
    /// on the roster.
    fn planner_reply(&self) -> InquiryReply {
        let roster = self.planner.state.roster.iter().map(|m| m.id.clone()).collect();
        InquiryReply { known: false, roster }
    }

    fn ask(&mut self, n: usize, mut inquiry: ClaimInquiry) -> Stage {
        let Some(id) = inquiry.next_to_ask().cloned() else {
            let ran =
                if inquiry.never_claimed() { ExecutionStatus::NotRun } else { ExecutionStatus::Unknown };
            self.tell(n, ran);
            return Stage::Over;
        };
        let found = self.entries.iter().position(|e| e.process.id == id);
        let reply = match found {
            Some(i) => Some(self.reply(i, n)),
            None if id == "planner" => Some(self.planner_reply()),
            None => None,
        };
        inquiry.record_reply(reply);
        Stage::Asking(inquiry)
    }

    fn tell(&mut self, n: usize, ran: ExecutionStatus) {
        if std::mem::replace(&mut self.copies[n].told, true) {
            return;
        }
        let number = self.copies[n].number;
        self.tally.trace.push(format!("copy {number} is told {ran:?}"));
        self.entries.iter_mut().for_each(|e| e.held.retain(|(_, of)| *of != number));
        match ran {
            ExecutionStatus::NotRun => self.tally.not_run += 1,
            ExecutionStatus::Unknown => self.tally.unknown += 1,
            ExecutionStatus::Run => {}
        }
        let key = &self.copies[n].given.key;
        let runs = self.runs.get(key).copied().unwrap_or(0);
        if ran == ExecutionStatus::NotRun && runs > 0 {
            self.tally.broken.push(format!("{key} was told not run, and ran"));
        }
        if ran == ExecutionStatus::Run && runs == 0 {
            self.tally.broken.push(format!("{key} was told run, and did not"));
        }
    }
}

impl Default for Schedule {
    fn default() -> Self {
        Schedule::new()
    }
}
