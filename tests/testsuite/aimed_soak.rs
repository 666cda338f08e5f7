//! Long-running tasks on processes whose troubles aim: the worker that one task was just started on is lost, several
//! times in a row, while the store refuses at times and lease holders change in series. No worker crashes under a run.
//! In the calm that follows, every task has to be at work, and none may have been given up.
//!
//! By hand: `SOAK_SEEDS=1-50 cargo test --test testsuite aimed_soak::by_hand -- --ignored --nocapture`.

use std::time::{Duration, Instant};

use tokio::task::JoinSet;
use workswood_adapter_standin::caller::hold_connection;
use workswood_test_support::job_world::{ABSENCE_BOUND, CALM_BEFORE, FaultRng};

use super::fault_scripts::Schedule;
use super::fault_soak::{JOB_EVERY, Size, Soak, hand_seeds, settle};
use super::lasting_soak::{ShortJobs, WATCHED_FOR, cancel};
use super::soak_absences::{Watch, tell};
use super::worker_losses::{Aim, Loss, Losses, STRUCK_MS, report_starts};

/// Spells of a seed by hand.
const SPELLS_BY_HAND: u64 = 1;
/// Time between two looks at the world; short, since a run is struck from 10 ms on.
const LOOK_EVERY: Duration = Duration::from_millis(5);
/// How long an ordinary task takes.
const TAKES: Duration = Duration::from_millis(120);
/// Time for which a task is aimed at, at the longest: one that stays away is not started again.
const AIMED_WITHIN: Duration = Duration::from_secs(40);
/// Time for which the store refuses and holders change, while a task is aimed at.
const UNSTEADY_FOR: Duration = Duration::from_secs(22);
/// Time in which all faults of a spell have come and gone.
const SPELL_WITHIN: Duration = Duration::from_secs(70);
/// Crashes under a task after which it may be given up.
const CRASHES_TO_GIVE_UP: usize = 2;
/// Seed with which each worker has left the store well before it is back.
const SEED_OF_LAPSES: u64 = 3;
/// The event of a task that is given up.
const GIVEN_UP: &str = "task_given_up";
/// Time after which a client opens a connection anew that was closed.
const REOPENED_AFTER: Duration = Duration::from_millis(300);

/// What a seed plays.
#[derive(Clone, Copy, Debug)]
struct Plan {
    size: Size,
    max_per_worker: u32,
    /// Whether workers tell when they have started.
    reports_starts: bool,
}

impl Plan {
    fn draw(luck: &mut FaultRng) -> Plan {
        let (entries, workers) = (3 + luck.below(4) as usize, 5 + luck.below(3) as usize);
        let max_per_worker = luck.below(3) as u32;
        let size = Size { entries, workers, takes: TAKES };
        Plan { size, max_per_worker, reports_starts: luck.below(2) == 0 }
    }
}

/// What happens to one task in a spell.
#[derive(Clone, Debug)]
struct Trouble {
    losses: Vec<Loss>,
    delay_ms: (u64, u64),
    is_steady: bool,
}

impl Trouble {
    fn draw(luck: &mut FaultRng) -> Trouble {
        let count = 3 + luck.below(2) as usize;
        let alike = Some(Loss::draw(luck)).filter(|_| luck.below(2) == 0);
        let losses = (0..count).map(|_| alike.unwrap_or_else(|| Loss::draw(luck))).collect();
        let most = [60, 400, STRUCK_MS.1][luck.below(3) as usize];
        Trouble { losses, delay_ms: (STRUCK_MS.0, most), is_steady: luck.below(3) == 0 }
    }
}

/// Clients that keep a connection to each entry open.
pub(super) fn open_connections(soak: &Soak, job: &str) -> JoinSet<()> {
    let mut all = JoinSet::new();
    for to in soak.callers(0) {
        let job = job.to_string();
        all.spawn(async move {
            loop {
                // An entry that has ended refuses.
                let _ = hold_connection(to, &job).await;
                tokio::time::sleep(REOPENED_AFTER).await;
            }
        });
    }
    all
}

/// A soak with the jobs of one seed.
struct Play {
    soak: Soak,
    seed: u64,
    plan: Plan,
    jobs: Vec<String>,
    short: ShortJobs,
    watch: Watch,
    next_job: Instant,
}

impl Play {
    async fn new(name: &str, seed: u64, plan: Plan) -> Play {
        let soak = Soak::with_size(name, seed, plan.size).await;
        if plan.reports_starts {
            report_starts(&soak.world);
        }
        let (short, watch) = (ShortJobs::new(seed), Watch::new(Vec::new(), plan.max_per_worker));
        Play { soak, seed, plan, jobs: Vec::new(), short, watch, next_job: Instant::now() }
    }

    /// Submits a further long-running job; returns its first task, which all of them have begun beside.
    async fn submit_lasting(&mut self) -> String {
        let number = self.jobs.len() as u64 + 1;
        let job = format!("{:016x}", 1 << 63 | self.seed << 32 | number);
        let tasks = self.soak.submit_lasting(std::slice::from_ref(&job), self.plan.max_per_worker).await;
        self.jobs.push(job);
        self.watch.add(tasks.clone());
        tasks.into_iter().next().expect("a task")
    }

    /// Ordinary jobs go on all the time.
    fn submit_due(&mut self) {
        if Instant::now() >= self.next_job {
            self.next_job = Instant::now() + JOB_EVERY;
            self.short.submit(&mut self.soak);
        }
    }

    /// Aims at the first task of a new job, and then looks for absent tasks in the calm after it.
    async fn spell(&mut self, trouble: &Trouble, luck: &mut FaultRng) {
        let task = self.submit_lasting().await;
        tell(&format!("event=aimed task={task} trouble={trouble:?}"));
        let mut aim = Aim::new(task, trouble.losses.clone(), trouble.delay_ms);
        let mut losses = Losses::default();
        let mut schedule = match trouble.is_steady {
            true => Schedule::default(),
            false => Schedule::unsteady(self.plan.size, luck, UNSTEADY_FOR),
        };
        let begun = Instant::now();
        while !aim.is_over(AIMED_WITHIN) || !losses.is_over() || !schedule.is_over() {
            assert!(begun.elapsed() < SPELL_WITHIN, "not over: {losses:?} {schedule:?}");
            schedule.carry_out(&mut self.soak).await;
            losses.carry_out(&mut self.soak.world).await;
            if !aim.is_over(AIMED_WITHIN) {
                aim.look(&self.soak.world, &mut losses, luck);
            }
            self.submit_due();
            self.watch.look(&self.soak.world, None);
            tokio::time::sleep(LOOK_EVERY).await;
        }
        self.calm().await;
    }

    async fn calm(&mut self) {
        tell("event=calm");
        let calm_since = Instant::now();
        while calm_since.elapsed() < CALM_BEFORE + ABSENCE_BOUND + WATCHED_FOR {
            self.submit_due();
            self.watch.look(&self.soak.world, Some(calm_since));
            tokio::time::sleep(LOOK_EVERY).await;
        }
        self.watch.record_calm(calm_since);
    }

    /// Prints how many events of a kind the entries logged: what was taken for a crash, though none was.
    fn print_evidence(&self) {
        let lines = log_lines(&self.soak);
        let of = |event: &str, part: &str| {
            let event = format!("event={event} ");
            lines.iter().filter(|l| l.contains(&event) && l.contains(part)).count()
        };
        let count = |event: &str| of(event, "");
        println!(
            "event=evidence seed={} crashes={} certain={} possible={} withdrawn={} suspected={} paced={} given_up={} reinstated={}",
            self.seed,
            count("worker_crashed"),
            of("crash_counted", " certainty=certain "),
            of("crash_counted", " certainty=possible "),
            count("crash_withdrawn"),
            count("task_suspected"),
            count("task_paced"),
            count(GIVEN_UP),
            count("task_reinstated")
        );
    }

    /// Ends all; returns what was broken.
    async fn end(self) -> Vec<String> {
        self.print_evidence();
        let Play { soak, seed, jobs, short, watch, .. } = self;
        let keeps_logs = watch.report(&soak, seed);
        let mut broken = watch.broken();
        broken.extend(given_up_while_sound(&soak, watch.tasks()));
        broken.extend(cancel(&soak, &jobs, watch.tasks()).await);
        broken.extend(settle(&soak, short.outcomes().await).await);
        soak.end_keeping(seed, &broken, keeps_logs);
        broken
    }
}

/// What all entries have logged.
fn log_lines(soak: &Soak) -> Vec<String> {
    let files = std::fs::read_dir(&soak.folder).expect("a folder").filter_map(Result::ok);
    let logs = files.filter(|f| f.path().extension().is_some_and(|e| e == "log"));
    let texts = logs.map(|log| std::fs::read_to_string(log.path()).expect("a log"));
    texts.flat_map(|text| text.lines().map(str::to_string).collect::<Vec<_>>()).collect()
}

/// Tasks that an entry gave up, though no two workers had crashed under them.
fn given_up_while_sound(soak: &Soak, tasks: &[String]) -> Vec<String> {
    let crashed = |task: &String| {
        let absences = soak.world.ledger.absences(task);
        absences.iter().filter(|absence| absence.ended == "crashed").count()
    };
    let lines = log_lines(soak);
    let event = format!("event={GIVEN_UP} ");
    let sound = tasks.iter().filter(|task| crashed(task) < CRASHES_TO_GIVE_UP);
    sound
        .flat_map(|task| {
            let subject = format!("task={task} ");
            let lines = lines.iter().filter(|l| l.contains(&event));
            lines.filter(move |l| l.contains(&subject)).map(|l| format!("GIVEN_UP: {l}"))
        })
        .collect()
}

/// Plays one seed; returns what was broken.
async fn play(seed: u64, spells: u64) -> Vec<String> {
    let mut luck = FaultRng::mixed(seed ^ 0xa13e);
    let plan = Plan::draw(&mut luck);
    println!("event=plan seed={seed} plan={plan:?}");
    let mut play = Play::new("aimed-soak", seed, plan).await;
    let clients = open_connections(&play.soak, &format!("{seed:016x}"));
    for _ in 0..spells {
        let trouble = Trouble::draw(&mut luck);
        play.spell(&trouble, &mut luck).await;
    }
    let broken = play.end().await;
    drop(clients);
    broken
}

/// LOST: a task whose worker is cut off soon after each start is given up, though each worker reports the run as lapsed.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn given_up_after_lapses() {
    let size = Size { entries: 3, workers: 6, takes: TAKES };
    let plan = Plan { size, max_per_worker: 0, reports_starts: false };
    let trouble = Trouble { losses: vec![Loss::CutOff; 3], delay_ms: (10, 60), is_steady: true };
    let mut play = Play::new("given-up-after-lapses", SEED_OF_LAPSES, plan).await;
    play.spell(&trouble, &mut FaultRng::mixed(SEED_OF_LAPSES)).await;
    let broken = play.end().await;
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Workers that are cut off end behind the cut, and others follow.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn short_seed() {
    let broken = play(3, 1).await;
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Seeds from the variable `SOAK_SEEDS`, such as `1-50`, longer than in the suite.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
#[ignore = "takes 30 s and more a seed"]
async fn by_hand() {
    let mut failed = Vec::new();
    for seed in hand_seeds() {
        let broken = play(seed, SPELLS_BY_HAND).await;
        if !broken.is_empty() {
            failed.push((seed, broken));
        }
    }
    assert!(failed.is_empty(), "{failed:#?}");
}
