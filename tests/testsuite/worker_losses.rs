//! Ways in which the entries lose a worker that doesn't crash under its runs, and how it comes back.

use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use workswood_adapter_standin::WorkerStandin;
use workswood_test_support::cut::Fault;
use workswood_test_support::job_world::FaultRng;

use super::fault_scripts::between;
use super::fault_soak::World;
use super::soak_absences::tell;

/// Shortest and longest time until a worker is back as the same life, in milliseconds: its runs have lapsed.
const HEALED_MS: (u64, u64) = (5500, 8500);
/// Shortest and longest time until another life of a worker begins, in milliseconds.
const NEXT_LIFE_MS: (u64, u64) = (5600, 8100);
/// Shortest and longest time until the entry of a worker that is cut off leaves the store, in milliseconds: three pings
/// of two seconds each after the last one.
const UNLISTED_MS: (u64, u64) = (4000, 6000);

/// How a worker is lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Loss {
    /// Neither entries nor store hear of it; it comes back as the same life.
    CutOff,
    /// It gets orders, and its answers are lost; the store may not hear of it either.
    AnswersLost,
    /// Its connections are closed, though it lives; the store may not hear of it either.
    Refused,
    /// It is cut off and ends after its runs have lapsed; a worker with another id follows.
    Replaced,
    /// It is cut off and starts again under its name after its runs have lapsed.
    Restarted,
}

/// All of them, those most often that look like a crash.
const LOSSES: [Loss; 8] = [
    Loss::CutOff,
    Loss::CutOff,
    Loss::Replaced,
    Loss::Replaced,
    Loss::Restarted,
    Loss::Restarted,
    Loss::AnswersLost,
    Loss::Refused,
];

impl Loss {
    pub(super) fn draw(luck: &mut FaultRng) -> Loss {
        LOSSES[luck.below(LOSSES.len() as u64) as usize]
    }

    /// What stands between the entries and the worker.
    fn fault(self) -> Fault {
        match self {
            Loss::CutOff | Loss::Replaced | Loss::Restarted => Fault::Silent,
            Loss::AnswersLost => Fault::AnswersHeld,
            Loss::Refused => Fault::Closed,
        }
    }

    /// Whether the store doesn't hear of it either.
    fn is_unlisted(self, luck: &mut FaultRng) -> bool {
        match self {
            Loss::CutOff | Loss::Replaced | Loss::Restarted => true,
            Loss::AnswersLost | Loss::Refused => luck.below(2) == 0,
        }
    }

    fn back_ms(self) -> (u64, u64) {
        match self {
            Loss::CutOff | Loss::AnswersLost | Loss::Refused => HEALED_MS,
            Loss::Replaced | Loss::Restarted => NEXT_LIFE_MS,
        }
    }
}

/// A worker that is lost.
#[derive(Debug)]
struct Lost {
    worker: usize,
    how: Loss,
    /// When its entry leaves the store, and whether it has left.
    unlisted_at: Option<Instant>,
    is_unlisted: bool,
    back_at: Instant,
}

/// The workers that are lost now.
#[derive(Debug, Default)]
pub(super) struct Losses {
    all: Vec<Lost>,
}

impl Losses {
    pub(super) fn is_over(&self) -> bool {
        self.all.is_empty()
    }

    /// Whether a worker is lost now.
    pub(super) fn has(&self, worker: usize) -> bool {
        self.all.iter().any(|lost| lost.worker == worker)
    }

    /// A worker is lost from now on. One that doesn't tell when it started has another id in its next life.
    pub(super) fn begin(&mut self, world: &World, worker: usize, how: Loss, luck: &mut FaultRng) {
        let reports_start = world.lives[worker].standin.as_ref().is_some_and(WorkerStandin::reports_start);
        let how = if how == Loss::Restarted && !reports_start { Loss::Replaced } else { how };
        let now = Instant::now();
        let unlisted_at = now + between(luck, UNLISTED_MS);
        let back_at = now + between(luck, how.back_ms());
        tell(&format!("event=worker_lost worker={} how={how:?}", world.lives[worker].id));
        world.lives[worker].relay.set(how.fault());
        let unlisted_at = how.is_unlisted(luck).then_some(unlisted_at);
        self.all.push(Lost { worker, how, unlisted_at, is_unlisted: false, back_at });
    }

    /// Carries out what is due.
    pub(super) async fn carry_out(&mut self, world: &mut World) {
        let now = Instant::now();
        for mut lost in std::mem::take(&mut self.all) {
            if lost.back_at <= now && lost.come_back(world).await {
                continue;
            }
            if lost.unlisted_at.is_some_and(|at| at <= now) {
                (lost.unlisted_at, lost.is_unlisted) = (None, true);
                tell(&format!("event=worker_unlisted worker={}", world.lives[lost.worker].id));
                world.unlist(lost.worker);
            }
            self.all.push(lost);
        }
    }
}

impl Lost {
    /// The worker comes back; returns whether it could. A life with a run doesn't end.
    async fn come_back(&self, world: &mut World) -> bool {
        let n = self.worker;
        let lives_on = matches!(self.how, Loss::CutOff | Loss::AnswersLost | Loss::Refused);
        if !lives_on && !world.ledger.running_on(&world.lives[n].id).is_empty() {
            return false;
        }
        match self.how {
            Loss::CutOff | Loss::AnswersLost | Loss::Refused => {}
            Loss::Replaced => {
                world.kill(n);
                world.crash(n).await;
            }
            Loss::Restarted => restart(world, n),
        }
        world.lives[n].relay.set(Fault::None);
        if self.is_unlisted || self.how == Loss::Restarted {
            world.list(n);
        }
        tell(&format!("event=worker_back worker={} how={:?}", world.lives[n].id, self.how));
        true
    }
}

/// Starts a worker again under its name; what was on its way to the earlier life is lost.
pub(super) fn restart(world: &World, n: usize) {
    let life = &world.lives[n];
    life.relay.set(Fault::Closed);
    let since = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time after 1970");
    if let Some(standin) = &life.standin {
        standin.restart(since.as_millis() as u64);
    }
}

/// Gives all workers a time of their start, which they report from then on.
pub(super) fn report_starts(world: &World) {
    for n in 0..world.lives.len() {
        restart(world, n);
        world.lives[n].relay.set(Fault::None);
        world.list(n);
    }
}

/// Shortest and longest time from the start of a run to the loss of its worker, in milliseconds.
pub(super) const STRUCK_MS: (u64, u64) = (10, 1500);

/// A long-running task whose workers are lost one after the other, each soon after it was told to run the task.
#[derive(Debug)]
pub(super) struct Aim {
    pub(super) task: String,
    /// How the workers are lost, in order.
    losses: Vec<Loss>,
    delay_ms: (u64, u64),
    struck: usize,
    /// When the run began whose worker is lost next, and when that happens.
    next: Option<(Instant, Instant)>,
    begun_at: Instant,
}

impl Aim {
    pub(super) fn new(task: String, losses: Vec<Loss>, delay_ms: (u64, u64)) -> Aim {
        Aim { task, losses, delay_ms, struck: 0, next: None, begun_at: Instant::now() }
    }

    /// Whether all workers have been lost, or so long has passed.
    pub(super) fn is_over(&self, within: Duration) -> bool {
        self.struck == self.losses.len() || self.begun_at.elapsed() >= within
    }

    /// Loses the worker of the task if its time has come.
    pub(super) fn look(&mut self, world: &World, losses: &mut Losses, luck: &mut FaultRng) {
        let Some(how) = self.losses.get(self.struck).copied() else { return };
        let Some((worker, began)) = world.ledger.current_run(&self.task) else { return };
        let Some(w) = world.lives.iter().position(|life| life.id == worker) else { return };
        if losses.has(w) {
            return;
        }
        let now = Instant::now();
        let due = match self.next {
            Some((run, due)) if run == began => due,
            _ => began.max(now) + between(luck, self.delay_ms),
        };
        self.next = Some((began, due));
        if due <= now {
            self.struck += 1;
            losses.begin(world, w, how, luck);
        }
    }
}
