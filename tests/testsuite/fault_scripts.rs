//! Troubles of several machines at once, as scripts of a soak: what happens to entries, workers and the store, and when.

use std::time::{Duration, Instant};

use workswood_test_support::cut::Fault;
use workswood_test_support::job_world::FaultRng;

use super::fault_soak::{Size, Soak};
use super::soak_absences::tell;

/// Time after which something is tried again that nothing could be done to.
const RETRY_AFTER: Duration = Duration::from_millis(30);
/// Shortest and longest time for which a worker is cut off, in milliseconds: about a lease.
const CUT_MS: (u64, u64) = (4500, 7500);
/// Shortest and longest time until a worker that crashed is replaced, in milliseconds.
const REPLACED_MS: (u64, u64) = (500, 6000);
/// Shortest and longest time for which the store turns calls away, in milliseconds.
const REFUSED_MS: (u64, u64) = (500, 2000);
/// Shortest and longest time until an entry that has ended is started again, in milliseconds.
const STARTED_AGAIN_MS: (u64, u64) = (200, 1500);
/// Shortest and longest time from the loss of a worker to about the end of its lease, in milliseconds.
const LEASE_END_MS: (u64, u64) = (3500, 6500);
/// Shortest and longest time between two ends of lease holders in series, in milliseconds.
const GAP_MS: (u64, u64) = (300, 2600);

/// Shortest and longest time between two troubles of the store, and between two ends of lease holders, while all is unsteady.
const UNSTEADY_GAP_MS: (u64, u64) = (700, 6000);

/// The time from the beginning of a sudden loss to the crash; the lease holder may end before it.
const SUDDEN_FROM: Duration = Duration::from_millis(300);
/// Shortest and longest time until a worker that is lost suddenly is replaced, in milliseconds.
const SUDDENLY_BACK_MS: (u64, u64) = (500, 1600);

/// Earliest and latest begin of a freeze in a spell, in milliseconds.
const FROZEN_FROM_MS: (u64, u64) = (0, 7000);
/// Shortest and longest time for which an entry stands still, in milliseconds.
const FROZEN_MS: (u64, u64) = (500, 5500);

/// Draws a time between two, in milliseconds.
pub(super) fn between(luck: &mut FaultRng, (least, most): (u64, u64)) -> Duration {
    Duration::from_millis(least + luck.below(most - least))
}

/// Whom the store turns away.
#[derive(Clone, Debug)]
enum Refused {
    Everyone,
    These(Vec<usize>),
    Holder,
}

/// Something that happens to the world around the entries, or to one of them.
#[derive(Clone, Debug)]
enum Act {
    /// The lease holder is told to stop, and started again after this time.
    StopHolder(Duration),
    /// The lease holder is killed, and started again after this time.
    KillHolder(Duration),
    /// An entry is killed, and started again after this time.
    KillEntry(usize, Duration),
    StartAgain(usize),
    /// The lease holder, or another entry, stands still for a time.
    FreezeHolder(Duration),
    FreezeEntry(usize, Duration),
    Thaw(usize),
    /// The store turns entries away for a time.
    Refuse(Refused, Duration),
    Serve(Vec<usize>),
    /// A worker is cut off.
    Cut(usize, Fault),
    Reconnect(usize),
    KillWorker(usize),
    ReplaceWorker(usize),
    /// The next starts on a worker are carried out without a good answer.
    LoseStarts(usize),
}

impl Act {
    /// Carries it out; returns what follows from it, and how much later.
    async fn carry_out(self, soak: &mut Soak) -> Option<(Duration, Act)> {
        match self {
            Act::StopHolder(_) | Act::KillHolder(_) => return self.end_holder(soak),
            Act::KillEntry(n, back) => {
                soak.entries[n].end("-KILL");
                return Some((back, Act::StartAgain(n)));
            }
            Act::StartAgain(n) => {
                if !soak.entries[n].start_again() {
                    return Some((RETRY_AFTER, Act::StartAgain(n)));
                }
            }
            Act::FreezeHolder(lasts) => {
                let Some(n) = soak.holder() else { return Some((RETRY_AFTER, self)) };
                return Act::freeze(soak, n, lasts);
            }
            Act::FreezeEntry(n, lasts) => return Act::freeze(soak, n, lasts),
            Act::Thaw(n) => soak.entries[n].signal("-CONT"),
            Act::Refuse(whom, lasts) => return Act::refuse(soak, whom, lasts),
            Act::Serve(entries) => entries.iter().for_each(|n| soak.entries[*n].door.close(false)),
            Act::Cut(w, how) => soak.world.lives[w].relay.set(how),
            Act::Reconnect(w) => soak.world.lives[w].relay.set(Fault::None),
            Act::KillWorker(w) => soak.world.kill(w),
            Act::ReplaceWorker(w) => soak.world.crash(w).await,
            Act::LoseStarts(w) => soak.world.lose_starts(w),
        }
        None
    }

    fn end_holder(self, soak: &mut Soak) -> Option<(Duration, Act)> {
        let alive = soak.holder().filter(|n| soak.entries[*n].runs());
        let (signal, back) = match self {
            Act::StopHolder(back) => ("-TERM", back),
            Act::KillHolder(back) => ("-KILL", back),
            _ => return None,
        };
        let Some(n) = alive.filter(|n| signal == "-KILL" || soak.entries[*n].handles_signals()) else {
            return Some((RETRY_AFTER, self));
        };
        tell(&format!("event=holder_ended entry={n} signal={signal}"));
        // A frozen process would not end by plan.
        soak.entries[n].signal("-CONT");
        soak.entries[n].end(signal);
        Some((back, Act::StartAgain(n)))
    }

    fn freeze(soak: &Soak, n: usize, lasts: Duration) -> Option<(Duration, Act)> {
        soak.entries[n].signal("-STOP");
        Some((lasts, Act::Thaw(n)))
    }

    fn refuse(soak: &Soak, whom: Refused, lasts: Duration) -> Option<(Duration, Act)> {
        let entries: Vec<usize> = match &whom {
            Refused::Everyone => (0..soak.entries.len()).collect(),
            Refused::These(entries) => entries.clone(),
            Refused::Holder => match soak.holder() {
                Some(n) => vec![n],
                None => return Some((RETRY_AFTER, Act::Refuse(whom, lasts))),
            },
        };
        entries.iter().for_each(|n| soak.entries[*n].door.close(true));
        Some((lasts, Act::Serve(entries)))
    }
}

/// A trouble of several machines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Script {
    /// The lease of a lost worker ends around a planned change of holder that the store refuses.
    RefusedHandover,
    /// The workers to which tasks go are cut off as well.
    UnansweredStarts,
    /// A worker is lost, and one lease holder after the other ends.
    HoldersInSeries,
    /// Workers are cut off one after the other.
    LapsesInTurn,
    /// The store turns entries away again and again, and workers are cut off.
    Refusals,
    /// Workers crash and are replaced, and entries are killed.
    Replacements,
    /// A worker crashes and the lease holder ends within a second, and all are back soon.
    SuddenLoss,
}

const SCRIPTS: [Script; 7] = [
    Script::RefusedHandover,
    Script::UnansweredStarts,
    Script::HoldersInSeries,
    Script::LapsesInTurn,
    Script::Refusals,
    Script::Replacements,
    Script::SuddenLoss,
];
/// Scripts of a mixture.
const SCRIPTS_OF_MIXTURE: usize = 3;

/// What a seed plays: which troubles, on how many processes, and with which jobs.
#[derive(Clone, Debug)]
pub(super) struct Mixture {
    pub(super) size: Size,
    /// Most tasks of a long-running step on one worker; 0 for no limit.
    pub(super) max_per_worker: u32,
    /// Whether the demand for ordinary tasks rises and falls by turns.
    pub(super) has_turns: bool,
    scripts: Vec<Script>,
}

impl Mixture {
    /// Draws the mixture of a seed.
    pub(super) fn draw(seed: u64, takes: Duration) -> Mixture {
        let mut luck = FaultRng::mixed(seed);
        let (entries, workers) = (4 + luck.below(5) as usize, 5 + luck.below(4) as usize);
        let max_per_worker = luck.below(3) as u32;
        let has_turns = luck.below(4) > 0;
        let mut scripts = SCRIPTS.to_vec();
        while scripts.len() > SCRIPTS_OF_MIXTURE {
            scripts.remove(luck.below(scripts.len() as u64) as usize);
        }
        Mixture { size: Size { entries, workers, takes }, max_per_worker, has_turns, scripts }
    }

    /// Draws one or two of its scripts; the second begins somewhat later.
    pub(super) fn draw_schedule(&self, luck: &mut FaultRng) -> Schedule {
        let mut workers: Vec<usize> = (0..self.size.workers).collect();
        let mut drawn = Draw { size: self.size, luck, schedule: Schedule::default() };
        let mut order = Vec::new();
        while !workers.is_empty() {
            order.push(workers.remove(drawn.luck.below(workers.len() as u64) as usize));
        }
        let (first, second) = order.split_at(order.len() / 2);
        let scripts = 1 + drawn.luck.below(2) as usize;
        for (workers, latest_ms) in [(first, 1), (second, 2500)].into_iter().take(scripts) {
            let script = self.scripts[drawn.luck.below(self.scripts.len() as u64) as usize];
            let from = Instant::now() + between(drawn.luck, (0, latest_ms));
            tell(&format!("event=script script={script:?} workers={workers:?}"));
            drawn.add(script, from, workers);
        }
        drawn.schedule
    }
}

/// What is still to happen, and when.
#[derive(Debug, Default)]
pub(super) struct Schedule {
    acts: Vec<(Instant, Act)>,
}

impl Schedule {
    /// A worker crashes, and the lease holder is killed and started again; the times count from now.
    pub(super) fn killed_with_worker(w: usize, killed_after: Duration, back: Duration) -> Schedule {
        let now = Instant::now();
        let acts = vec![
            (now, Act::KillWorker(w)),
            (now + killed_after, Act::KillHolder(back)),
            (now + back, Act::ReplaceWorker(w)),
        ];
        Schedule { acts }
    }

    /// A worker is cut off until it is reconnected.
    pub(super) fn cut_off(w: usize) -> Schedule {
        Schedule { acts: vec![(Instant::now(), Act::Cut(w, Fault::Silent))] }
    }

    /// A worker is reconnected.
    pub(super) fn reconnect(w: usize) -> Schedule {
        Schedule { acts: vec![(Instant::now(), Act::Reconnect(w))] }
    }

    /// Has entries stand still as well: the lease holder or any other, up to three times.
    pub(super) fn add_freezes(&mut self, luck: &mut FaultRng, entries: usize) {
        for _ in 0..1 + luck.below(3) {
            let at = Instant::now() + between(luck, FROZEN_FROM_MS);
            let lasts = between(luck, FROZEN_MS);
            let act = match luck.below(3) {
                0 => Act::FreezeHolder(lasts),
                _ => Act::FreezeEntry(luck.below(entries as u64) as usize, lasts),
            };
            self.acts.push((at, act));
        }
    }

    /// The store turns entries away again and again, and lease holders end in series, in this time from now.
    pub(super) fn unsteady(size: Size, luck: &mut FaultRng, lasts: Duration) -> Schedule {
        let mut drawn = Draw { size, luck, schedule: Schedule::default() };
        let (refuses, ends) = [(true, false), (false, true), (true, true)][drawn.luck.below(3) as usize];
        let now = Instant::now();
        let until = now + lasts;
        let mut at = now + between(drawn.luck, UNSTEADY_GAP_MS);
        while refuses && at < until {
            drawn.refuse(at);
            at += between(drawn.luck, UNSTEADY_GAP_MS);
        }
        let mut at = now + between(drawn.luck, UNSTEADY_GAP_MS);
        while ends && at < until {
            drawn.end_holder(at);
            at += between(drawn.luck, UNSTEADY_GAP_MS);
        }
        drawn.schedule
    }

    /// Both of them.
    pub(super) fn and(mut self, other: Schedule) -> Schedule {
        self.acts.extend(other.acts);
        self
    }

    pub(super) fn is_over(&self) -> bool {
        self.acts.is_empty()
    }

    /// Carries out what is due.
    pub(super) async fn carry_out(&mut self, soak: &mut Soak) {
        let now = Instant::now();
        let (due, later) = std::mem::take(&mut self.acts).into_iter().partition(|(at, _)| *at <= now);
        self.acts = later;
        let due: Vec<(Instant, Act)> = due;
        for (_, act) in due {
            if !matches!(act, Act::StopHolder(_) | Act::KillHolder(_) | Act::StartAgain(_)) {
                tell(&format!("event=act act={act:?}"));
            }
            let next = act.carry_out(soak).await;
            self.acts.extend(next.map(|(after, act)| (now + after, act)));
        }
    }
}

/// A schedule that is being drawn.
struct Draw<'a> {
    size: Size,
    luck: &'a mut FaultRng,
    schedule: Schedule,
}

impl Draw<'_> {
    fn at(&mut self, time: Instant, act: Act) {
        self.schedule.acts.push((time, act));
    }

    fn chance(&mut self, one_in: u64) -> bool {
        self.luck.below(one_in) == 0
    }

    fn add(&mut self, script: Script, from: Instant, workers: &[usize]) {
        match script {
            Script::RefusedHandover => self.refused_handover(from, workers),
            Script::UnansweredStarts => self.unanswered_starts(from, workers),
            Script::HoldersInSeries => self.holders_in_series(from, workers),
            Script::LapsesInTurn => self.lapses_in_turn(from, workers),
            Script::Refusals => self.refusals(from, workers),
            Script::Replacements => self.replacements(from, workers),
            Script::SuddenLoss => self.sudden_loss(from, workers),
        }
    }

    /// A worker is cut off for about a lease.
    fn cut(&mut self, from: Instant, w: usize) {
        let how = if self.chance(2) { Fault::Silent } else { Fault::Closed };
        let lasts = between(self.luck, CUT_MS);
        self.at(from, Act::Cut(w, how));
        self.at(from + lasts, Act::Reconnect(w));
    }

    /// A worker crashes, or is cut off for good, and is replaced.
    fn replace(&mut self, from: Instant, w: usize) {
        let loss = if self.chance(2) { Act::KillWorker(w) } else { Act::Cut(w, Fault::Silent) };
        let back = between(self.luck, REPLACED_MS);
        self.at(from, loss);
        self.at(from + back, Act::ReplaceWorker(w));
    }

    fn lose(&mut self, from: Instant, w: usize) {
        if self.chance(3) { self.replace(from, w) } else { self.cut(from, w) }
    }

    fn refused(&mut self) -> Refused {
        let entries = self.size.entries;
        match self.luck.below(3) {
            0 => Refused::Everyone,
            1 => Refused::These((0..entries).filter(|_| self.luck.below(2) == 0).collect()),
            _ => Refused::Holder,
        }
    }

    /// The store turns some away from this time on.
    fn refuse(&mut self, from: Instant) {
        let (whom, lasts) = (self.refused(), between(self.luck, REFUSED_MS));
        self.at(from, Act::Refuse(whom, lasts));
    }

    /// The lease holder ends, planned or not.
    fn end_holder(&mut self, at: Instant) {
        let back = between(self.luck, STARTED_AGAIN_MS);
        let act = if self.chance(2) { Act::StopHolder(back) } else { Act::KillHolder(back) };
        self.at(at, act);
    }

    fn refused_handover(&mut self, from: Instant, workers: &[usize]) {
        let lost = 1 + self.luck.below(2) as usize;
        for w in &workers[..lost] {
            let at = from + between(self.luck, (0, 800));
            self.lose(at, *w);
        }
        let stop = from + between(self.luck, LEASE_END_MS);
        let back = between(self.luck, STARTED_AGAIN_MS);
        self.at(stop, Act::StopHolder(back));
        let refused_at = stop - Duration::from_millis(700) + between(self.luck, (0, 1500));
        self.refuse(refused_at);
        if self.chance(2) {
            let again = stop + between(self.luck, GAP_MS);
            self.end_holder(again);
        }
    }

    fn unanswered_starts(&mut self, from: Instant, workers: &[usize]) {
        let (first, second) = workers.split_at(workers.len() / 2);
        for w in first {
            self.lose(from, *w);
        }
        let next = from + between(self.luck, LEASE_END_MS);
        for w in second {
            match self.luck.below(3) {
                0 => self.at(next, Act::LoseStarts(*w)),
                _ => self.lose(next, *w),
            }
        }
        if self.chance(2) {
            let at = next + between(self.luck, GAP_MS);
            self.end_holder(at);
        }
    }

    fn holders_in_series(&mut self, from: Instant, workers: &[usize]) {
        self.lose(from, workers[0]);
        let mut at = from + between(self.luck, (0, 1000));
        for _ in 0..2 + self.luck.below(3) {
            self.end_holder(at);
            at += between(self.luck, GAP_MS);
        }
    }

    fn lapses_in_turn(&mut self, from: Instant, workers: &[usize]) {
        let mut at = from;
        for w in workers {
            self.cut(at, *w);
            at += between(self.luck, (1500, 3500));
        }
    }

    fn refusals(&mut self, from: Instant, workers: &[usize]) {
        self.lose(from, workers[0]);
        let mut at = from + between(self.luck, (0, 4000));
        for _ in 0..2 + self.luck.below(2) {
            self.refuse(at);
            at += between(self.luck, (1000, 3500));
        }
        if self.chance(2) {
            self.end_holder(at);
        }
    }

    fn replacements(&mut self, from: Instant, workers: &[usize]) {
        for w in &workers[..workers.len().min(2)] {
            let at = from + between(self.luck, (0, 2500));
            self.replace(at, *w);
        }
        let (n, back) =
            (self.luck.below(self.size.entries as u64) as usize, between(self.luck, STARTED_AGAIN_MS));
        let at = from + between(self.luck, (0, 3500));
        self.at(at, Act::KillEntry(n, back));
        let at = from + between(self.luck, (0, 3500));
        self.end_holder(at);
    }

    fn sudden_loss(&mut self, from: Instant, workers: &[usize]) {
        let loss = from + SUDDEN_FROM;
        let back = between(self.luck, SUDDENLY_BACK_MS);
        self.at(loss, Act::KillWorker(workers[0]));
        self.at(loss + back, Act::ReplaceWorker(workers[0]));
        let end = from + between(self.luck, (0, 1000));
        let back = between(self.luck, (200, 700));
        self.at(end, Act::KillHolder(back));
        if self.chance(2) {
            let (again, back) = (end + between(self.luck, GAP_MS), between(self.luck, (200, 500)));
            self.at(again, Act::StopHolder(back));
        }
        if self.chance(3) {
            let at = from + between(self.luck, (0, 1000));
            let whom = self.refused();
            let lasts = between(self.luck, (500, 1000));
            self.at(at, Act::Refuse(whom, lasts));
        }
    }
}
