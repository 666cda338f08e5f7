//! Long-running tasks on processes whose troubles come together, while the demand for ordinary tasks rises and falls.
//! A seed draws the troubles, the number of processes and the limit of tasks of a step per worker. Each absence is measured at the workers.
//!
//! By hand: `SOAK_SEEDS=1-12 cargo test --test testsuite mixed_soak::by_hand -- --ignored --nocapture`.

use std::time::{Duration, Instant};

use workswood_test_support::job_world::{ABSENCE_BOUND, CALM_BEFORE, FaultRng};

use super::fault_scripts::{Mixture, Schedule};
use super::fault_soak::{Life, Soak, World, hand_seeds, settle};
use super::lasting_soak::{JOBS, ShortJobs, WATCHED_FOR, cancel};
use super::soak_absences::{Watch, tell};

/// Spells of a seed by hand.
const SPELLS_BY_HAND: u32 = 3;
/// Time between two looks at the world.
const LOOK_EVERY: Duration = Duration::from_millis(30);
/// Time between two looks where a moment has to be met.
const LOOK_OFTEN: Duration = Duration::from_millis(5);
/// How long an ordinary task takes.
const TAKES: Duration = Duration::from_millis(600);
/// Ordinary jobs per second and worker in the mean: they use about a third of the workers.
const JOBS_PER_S: f64 = 0.67;
/// What demand is to its mean while it is high, which is more than the workers hold, and while it is low.
const HIGH: f64 = 5.0;
const LOW: f64 = 0.05;
/// Shortest and longest time of high and of low demand, in milliseconds.
const HIGH_MS: (u64, u64) = (3000, 5000);
const LOW_MS: (u64, u64) = (5000, 11000);
/// Time after which no holder before the first one can have given a lease.
const HELD_FOR: Duration = Duration::from_secs(5);
/// How long after a worker the lease holder is killed, before it records the end of the worker's lease; and how long after that its
/// next process starts, before another entry claims the lease.
const KILLED_AFTER: Duration = Duration::from_millis(200);
const BACK_AFTER: Duration = Duration::from_millis(900);
/// Time in which all faults of a spell have come and gone.
const SPELL_WITHIN: Duration = Duration::from_secs(60);

/// The demand for ordinary tasks.
struct Demand {
    jobs: ShortJobs,
    luck: FaultRng,
    /// Jobs per second in the mean.
    mean: f64,
    has_turns: bool,
    is_high: bool,
    next_turn: Instant,
    next_job: Instant,
}

impl Demand {
    fn new(seed: u64, mixture: &Mixture) -> Demand {
        Demand {
            jobs: ShortJobs::new(seed),
            luck: FaultRng::mixed(seed ^ 0xdeed),
            mean: JOBS_PER_S * mixture.size.workers as f64,
            has_turns: mixture.has_turns,
            is_high: false,
            next_turn: Instant::now(),
            next_job: Instant::now(),
        }
    }

    fn turn(&mut self, now: Instant) {
        self.is_high = !self.is_high;
        let (least, most) = if self.is_high { HIGH_MS } else { LOW_MS };
        self.next_turn = now + Duration::from_millis(least + self.luck.below(most - least));
        self.next_job = now;
        tell(&format!("event=demand high={}", self.is_high));
    }

    /// Submits the jobs that are due.
    fn submit(&mut self, soak: &mut Soak) {
        let now = Instant::now();
        if self.has_turns && now >= self.next_turn {
            self.turn(now);
        }
        let share = match (self.has_turns, self.is_high) {
            (false, _) => 1.0,
            (true, true) => HIGH,
            (true, false) => LOW,
        };
        while now >= self.next_job {
            self.next_job += Duration::from_secs_f64(1.0 / (self.mean * share));
            self.jobs.submit(soak);
        }
    }
}

/// Plays a schedule, and then looks for absent tasks in the calm after it.
async fn spell(soak: &mut Soak, demand: &mut Demand, watch: &mut Watch, mut schedule: Schedule) {
    let begun = Instant::now();
    while !schedule.is_over() {
        assert!(begun.elapsed() < SPELL_WITHIN, "not over: {schedule:?}");
        schedule.carry_out(soak).await;
        demand.submit(soak);
        watch.look(&soak.world, None);
        tokio::time::sleep(LOOK_EVERY).await;
    }
    tell("event=calm");
    let calm_since = Instant::now();
    while calm_since.elapsed() < CALM_BEFORE + ABSENCE_BOUND + WATCHED_FOR {
        demand.submit(soak);
        watch.look(&soak.world, Some(calm_since));
        tokio::time::sleep(LOOK_EVERY).await;
    }
    watch.record_calm(calm_since);
}

/// Whether entries stand still as well.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Freezes {
    No,
    Yes,
}

/// Plays one seed; returns what was broken.
async fn play(seed: u64, spells: u32, freezes: Freezes) -> Vec<String> {
    let mixture = Mixture::draw(seed, TAKES);
    println!("event=mixture seed={seed} mixture={mixture:?}");
    let mut soak = Soak::with_size("mixed-soak", seed, mixture.size).await;
    let jobs: Vec<String> = (1..=JOBS).map(|n| format!("{:016x}", 1 << 63 | seed << 32 | n)).collect();
    let tasks = soak.submit_lasting(&jobs, mixture.max_per_worker).await;
    let mut watch = Watch::new(tasks, mixture.max_per_worker);
    let mut demand = Demand::new(seed, &mixture);
    let mut luck = FaultRng::mixed(seed ^ 0xf2ee);
    for _ in 0..spells {
        let mut schedule = mixture.draw_schedule(&mut soak.luck);
        if freezes == Freezes::Yes {
            schedule.add_freezes(&mut luck, mixture.size.entries);
        }
        spell(&mut soak, &mut demand, &mut watch, schedule).await;
    }
    let keeps_logs = watch.report(&soak, seed);
    let mut broken = watch.broken();
    broken.extend(cancel(&soak, &jobs, watch.tasks()).await);
    broken.extend(settle(&soak, demand.jobs.outcomes().await).await);
    soak.end_keeping(seed, &broken, keeps_logs);
    broken
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn short_seed() {
    let broken = play(1, 1, Freezes::No).await;
    assert!(broken.is_empty(), "{broken:#?}");
}

/// LOST: the next process of a holder that was killed with a worker waits for the grants of its own former life.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn holder_killed_with_a_worker() {
    kill_holder_with_worker("killed-with-worker", HELD_FOR).await;
}

/// LOST: the next process of a first holder that was killed with a worker waits for grants of holders that never were.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn first_holder_killed_with_a_worker() {
    kill_holder_with_worker("first-killed-with-worker", Duration::ZERO).await;
}

/// Kills the holder with a worker, once it has held the lease for a time.
async fn kill_holder_with_worker(name: &str, held_for: Duration) {
    let mut soak = Soak::new(name, 1).await;
    let tasks = soak.submit_lasting(&["8000000000000001".to_string()], 0).await;
    tokio::time::sleep(held_for).await;
    let runs_one = |life: &Life| !soak.world.ledger.running_on(&life.id).is_empty();
    let w = soak.world.lives.iter().position(runs_one).expect("a worker with a task");
    let schedule = Schedule::killed_with_worker(w, KILLED_AFTER, BACK_AFTER);
    let mixture = Mixture::draw(1, TAKES);
    let (mut demand, mut watch) = (Demand::new(1, &mixture), Watch::new(tasks, 0));
    spell(&mut soak, &mut demand, &mut watch, schedule).await;
    watch.report(&soak, 1);
    soak.end(1, &watch.broken());
    assert!(watch.broken().is_empty(), "{:?}", watch.broken());
}

/// LOST: after a lapse, the next holder waits for a whole lease of a worker that is gone, since a start there had no answer.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn lapse_and_start_without_an_answer() {
    let mut soak = Soak::new("unanswered-start", 1).await;
    let tasks = soak.submit_lasting(&["8000000000000001".to_string()], 0).await;
    let task = tasks[0].clone();
    let runs_it = |life: &Life| soak.world.ledger.running_on(&life.id).contains(&task);
    let w = soak.world.lives.iter().position(runs_it).expect("its worker");
    let mixture = Mixture::draw(1, TAKES);
    let (mut demand, mut watch) = (Demand::new(1, &mixture), Watch::new(vec![task.clone()], 0));
    Schedule::cut_off(w).carry_out(&mut soak).await;
    let next = lose_start(&soak.world, &task).await;
    let lost = Schedule::killed_with_worker(next, Duration::ZERO, BACK_AFTER);
    let schedule = Schedule::reconnect(w).and(lost);
    spell(&mut soak, &mut demand, &mut watch, schedule).await;
    watch.report(&soak, 1);
    soak.end(1, &watch.broken());
    assert!(watch.broken().is_empty(), "{:?}", watch.broken());
}

/// Has all starts lost until one of a task is, and returns its worker.
async fn lose_start(world: &World, task: &str) -> usize {
    world.drop_starts(true);
    let until = Instant::now() + SPELL_WITHIN;
    loop {
        if let Some(next) = world.lives.iter().position(|life| life.has_dropped_start(task)) {
            world.drop_starts(false);
            return next;
        }
        assert!(Instant::now() < until, "{task} is not started again");
        tokio::time::sleep(LOOK_OFTEN).await;
    }
}

async fn play_by_hand(freezes: Freezes) {
    let mut failed = Vec::new();
    for seed in hand_seeds() {
        let broken = play(seed, SPELLS_BY_HAND, freezes).await;
        if !broken.is_empty() {
            failed.push((seed, broken));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}

/// Seeds from the variable `SOAK_SEEDS`, such as `1-12`, longer than in the suite.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "takes 70 s and more a seed"]
async fn by_hand() {
    play_by_hand(Freezes::No).await;
}

/// The same with entries that stand still for some seconds.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "takes 70 s and more a seed"]
async fn frozen_by_hand() {
    play_by_hand(Freezes::Yes).await;
}
