//! Processes whose workers answer in any order: a list of runs comes after a newer one, starts are lost, or carried out
//! and answered late. Beside that the store refuses, lease holders end in series, and workers start again under their
//! names. No task may run twice at any time, as the workers see it, nor may a worker be told to start a task that it runs.
//!
//! By hand: `SOAK_SEEDS=1-50 cargo test --test testsuite answer_order_soak::by_hand -- --ignored --nocapture`.

use std::time::{Duration, Instant};

use workswood_adapter_standin::CallDelays;
use workswood_test_support::cut::Fault;
use workswood_test_support::job_world::FaultRng;

use super::aimed_soak::open_connections;
use super::fault_scripts::{Schedule, between};
use super::fault_soak::{Size, Soak, World, hand_seeds, settle};
use super::lasting_soak::ShortJobs;
use super::soak_absences::tell;
use super::worker_losses::{report_starts, restart};

/// How long a task takes.
const TAKES: Duration = Duration::from_millis(1000);
/// Time between two jobs.
const JOB_EVERY: Duration = Duration::from_millis(500);
/// Time between two looks at the world.
const LOOK_EVERY: Duration = Duration::from_millis(10);
/// Time for which faults begin, in the suite and by hand.
const SHORT: Duration = Duration::from_secs(5);
const BY_HAND: Duration = Duration::from_secs(16);
/// Shortest and longest time between two restarts of workers, in milliseconds.
const RESTART_EVERY_MS: (u64, u64) = (1500, 5000);
/// Shortest and longest time that a restart takes, in milliseconds.
const RESTART_TAKES_MS: (u64, u64) = (600, 1500);
/// Time in which all faults have come and gone after the last one began.
const FAULTS_WITHIN: Duration = Duration::from_secs(20);

/// Workers that start again under their names, one after the other.
struct Restarts {
    next: Instant,
    /// The worker that is away now, and when it is back.
    away: Option<(usize, Instant)>,
}

impl Restarts {
    fn new(luck: &mut FaultRng) -> Restarts {
        Restarts { next: Instant::now() + between(luck, RESTART_EVERY_MS), away: None }
    }

    fn carry_out(&mut self, world: &World, luck: &mut FaultRng) {
        let now = Instant::now();
        self.end(world, now);
        if self.away.is_none() && now >= self.next {
            let n = luck.below(world.lives.len() as u64) as usize;
            tell(&format!("event=worker_restarted worker={}", world.lives[n].id));
            restart(world, n);
            self.next = now + between(luck, RESTART_EVERY_MS);
            self.away = Some((n, now + between(luck, RESTART_TAKES_MS)));
        }
    }

    /// The worker that is away is back, if its time has come.
    fn end(&mut self, world: &World, now: Instant) {
        if let Some((n, back)) = self.away
            && back <= now
        {
            world.lives[n].relay.set(Fault::None);
            world.list(n);
            self.away = None;
        }
    }
}

/// Has workers answer in any order, or in the order in which they are asked.
fn disorder(world: &World, seed: Option<u64>) {
    for (n, life) in world.lives.iter().enumerate() {
        let delays = seed.map(|seed| CallDelays::new(seed << 8 | n as u64));
        let Some(standin) = &life.standin else { continue };
        standin.faults(|f| (f.tells_orders, f.delays) = (true, delays));
    }
}

/// Number of lists that came after newer ones.
fn overtaken_lists(world: &World) -> u64 {
    let standins = world.lives.iter().filter_map(|life| life.standin.as_ref());
    standins.map(|standin| standin.overtaken_lists()).sum()
}

/// Plays one seed; returns what was broken.
async fn play(seed: u64, lasts: Duration) -> Vec<String> {
    let mut luck = FaultRng::mixed(seed ^ 0x0dd5);
    let (entries, workers) = (3 + luck.below(3) as usize, 4 + luck.below(3) as usize);
    let size = Size { entries, workers, takes: TAKES };
    let mut soak = Soak::with_size("answer-order-soak", seed, size).await;
    report_starts(&soak.world);
    disorder(&soak.world, Some(seed));
    let clients = open_connections(&soak, &format!("{seed:016x}"));
    let mut short = ShortJobs::new(seed);
    let mut schedule = Schedule::unsteady(size, &mut luck, lasts);
    let mut restarts = Restarts::new(&mut luck);
    let (begun, mut next_job) = (Instant::now(), Instant::now());
    while begun.elapsed() < lasts || !schedule.is_over() {
        assert!(begun.elapsed() < lasts + FAULTS_WITHIN, "not over: {schedule:?}");
        schedule.carry_out(&mut soak).await;
        if begun.elapsed() < lasts {
            restarts.carry_out(&soak.world, &mut luck);
        }
        if Instant::now() >= next_job {
            next_job = Instant::now() + JOB_EVERY;
            short.submit(&mut soak);
        }
        tokio::time::sleep(LOOK_EVERY).await;
    }
    if let Some((_, back)) = restarts.away {
        tokio::time::sleep_until(back.into()).await;
        restarts.end(&soak.world, back);
    }
    disorder(&soak.world, None);
    let mut broken = settle(&soak, short.outcomes().await).await;
    broken.extend(soak.world.ledger.second_starts());
    println!("event=answer_order seed={seed} overtaken_lists={}", overtaken_lists(&soak.world));
    soak.end(seed, &broken);
    drop(clients);
    broken
}

#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn short_seed() {
    let broken = play(1, SHORT).await;
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Seeds from the variable `SOAK_SEEDS`, such as `1-50`, longer than in the suite.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "takes 20 s and more a seed"]
async fn by_hand() {
    let mut failed = Vec::new();
    for seed in hand_seeds() {
        let broken = play(seed, BY_HAND).await;
        if !broken.is_empty() {
            failed.push((seed, broken));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
