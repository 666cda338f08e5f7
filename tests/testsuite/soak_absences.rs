//! Finds long-running tasks of a soak that no worker runs, as the workers see it, and reports for how long.

use std::collections::{BTreeSet, HashMap};
use std::path::Path;
use std::time::{Duration, Instant, SystemTime};

use workswood_adapter_standin::Absence;
use workswood_test_support::job_world::{ABSENCE_BOUND, CALM_BEFORE, RESTART_BOUND};

use super::fault_soak::{Soak, World};

/// Capacity of a worker, and what an ordinary and a long-running task take of it, in thousandths of a core.
const WORKER_CPU: usize = 4000;
const ORDINARY_CPU: usize = 500;
const LASTING_CPU: usize = 200;
/// Free places that make up room for a task twice over.
const TWICE_OVER: usize = 2;
/// Absences that are reported.
const REPORTED_FROM: Duration = Duration::from_secs(6);
/// Logs are kept of a seed with an absence of this length.
const KEPT_FROM: Duration = RESTART_BOUND.saturating_add(ABSENCE_BOUND);

/// The long-running tasks of a soak, and what was seen of them.
pub(super) struct Watch {
    tasks: Vec<String>,
    max_per_worker: usize,
    begun_at: Instant,
    /// Since when there has been free room twice over for each task that does not run.
    room_since: HashMap<String, Instant>,
    /// When each calm began and ended.
    calms: Vec<(Instant, Instant)>,
    /// Tasks that were absent for too long in a calm.
    lost: BTreeSet<String>,
    /// Workers that ran more tasks of a step than they may.
    over_limit: BTreeSet<String>,
}

/// The name of the step of a task.
fn step_of(task: &str) -> &str {
    task.rsplit_once('.').map_or(task, |(step, _)| step)
}

impl Watch {
    /// Begins to watch tasks of which at most so many of a step may be on one worker (0 for no limit).
    pub(super) fn new(tasks: Vec<String>, max_per_worker: u32) -> Watch {
        Watch {
            tasks,
            max_per_worker: if max_per_worker == 0 { usize::MAX } else { max_per_worker as usize },
            begun_at: Instant::now(),
            room_since: HashMap::new(),
            calms: Vec::new(),
            lost: BTreeSet::new(),
            over_limit: BTreeSet::new(),
        }
    }

    /// Watches further tasks.
    pub(super) fn add(&mut self, tasks: Vec<String>) {
        self.tasks.extend(tasks);
    }

    pub(super) fn tasks(&self) -> &[String] {
        &self.tasks
    }

    /// Records that the time since `since` has been calm.
    pub(super) fn record_calm(&mut self, since: Instant) {
        self.calms.push((since, Instant::now()));
    }

    /// Looks at all tasks, and for absent ones if it has been calm since some time.
    pub(super) fn look(&mut self, world: &World, calm_since: Option<Instant>) {
        self.check_limit(world);
        let is_calm = calm_since.is_some_and(|since| since.elapsed() >= CALM_BEFORE + ABSENCE_BOUND);
        for task in &self.tasks {
            if world.ledger.is_running(task) || self.places(world, task) < TWICE_OVER {
                self.room_since.remove(task);
            } else {
                self.room_since.entry(task.clone()).or_insert_with(Instant::now);
            }
            let ended = world.ledger.last_end(task);
            let is_late = ended.is_some_and(|at| at.elapsed() >= RESTART_BOUND + ABSENCE_BOUND);
            if is_calm && is_late && !world.ledger.is_running(task) && self.lost.insert(task.clone()) {
                let room_ms = self.room_since.get(task).map_or(0, |since| since.elapsed().as_millis());
                tell(&format!("event=lost task={task} room_ms={room_ms}"));
            }
        }
    }

    /// What was broken.
    pub(super) fn broken(&self) -> Vec<String> {
        let lost = self.lost.iter().map(|task| format!("LOST: {task} is absent in a calm"));
        lost.chain(self.over_limit.iter().cloned()).collect()
    }

    /// How many tasks like this one the workers could take.
    fn places(&self, world: &World, task: &str) -> usize {
        let alive = world.lives.iter().filter(|life| life.standin.is_some());
        alive.map(|life| self.places_on(&world.ledger.running_on(&life.id), task)).sum()
    }

    fn places_on(&self, running: &[String], task: &str) -> usize {
        let is_lasting = |t: &&String| self.tasks.contains(t);
        let lasting = running.iter().filter(is_lasting).count();
        let beside = running.iter().filter(|t| step_of(t) == step_of(task)).count();
        let used = lasting * LASTING_CPU + (running.len() - lasting) * ORDINARY_CPU;
        let free = WORKER_CPU.saturating_sub(used) / LASTING_CPU;
        free.min(self.max_per_worker.saturating_sub(beside))
    }

    /// No worker runs more tasks of a step than it may.
    fn check_limit(&mut self, world: &World) {
        for life in &world.lives {
            let running = world.ledger.running_on(&life.id);
            for task in running.iter().filter(|t| self.tasks.contains(t)) {
                let beside = running.iter().filter(|t| step_of(t) == step_of(task)).count();
                if beside > self.max_per_worker {
                    let what = format!("ROUTE: {} runs {beside} tasks of {}", life.id, step_of(task));
                    self.over_limit.insert(what);
                }
            }
        }
    }

    /// Prints the long absences with what the entries say about them; returns whether the logs are to be kept.
    pub(super) fn report(&self, soak: &Soak, seed: u64) -> bool {
        let of_task = |t: &String| {
            soak.world.ledger.absences(t).into_iter().map(|a| (t.clone(), a)).collect::<Vec<_>>()
        };
        let all: Vec<(String, Absence)> = self.tasks.iter().flat_map(of_task).collect();
        for (task, absence) in all.iter().filter(|(_, a)| a.lasted() >= REPORTED_FROM) {
            self.print(seed, task, absence);
            print_reasons(&soak.folder, task, absence);
        }
        let longest = all.iter().map(|(_, a)| a.lasted()).max().unwrap_or_default();
        println!(
            "event=longest_absence seed={seed} absences={} absent_ms={}",
            all.len(),
            longest.as_millis()
        );
        longest >= KEPT_FROM
    }

    fn print(&self, seed: u64, task: &str, absence: &Absence) {
        let until = absence.until.unwrap_or_else(Instant::now);
        let calm = self.calms.iter().find(|(from, to)| (*from..=*to).contains(&until));
        let calm_ms = calm.map_or(0, |(from, _)| (until - *from).as_millis());
        println!(
            "event=absence seed={seed} task={task} from={} from_ms={} absent_ms={} ended={} next_worker={} calm_ms={calm_ms}",
            time_of_day(absence.from),
            absence.from.saturating_duration_since(self.begun_at).as_millis(),
            absence.lasted().as_millis(),
            absence.ended,
            absence.next_worker.as_deref().unwrap_or("none"),
        );
    }
}

/// Prints an event with its time of day.
pub(super) fn tell(event: &str) {
    println!("ts={} {event}", time_of_day(Instant::now()));
}

/// The time of day in the form of the entries' logs.
fn time_of_day(at: Instant) -> String {
    humantime::format_rfc3339_millis(SystemTime::now() - at.elapsed()).to_string()
}

/// Prints what the entries' logs say about an absence.
fn print_reasons(folder: &Path, task: &str, absence: &Absence) {
    let (from, until) = (time_of_day(absence.from), time_of_day(absence.until.unwrap_or_else(Instant::now)));
    let subject = format!("event=long_running_task_absent task={task} ");
    let logs = std::fs::read_dir(folder).expect("a folder").filter_map(Result::ok);
    let mut lines = Vec::new();
    for log in logs.filter(|f| f.path().extension().is_some_and(|e| e == "log")) {
        let text = std::fs::read_to_string(log.path()).unwrap_or_default();
        let name = log.file_name();
        let told = text.lines().filter(|l| l.contains(&subject));
        lines.extend(told.map(|l| format!("{l} entry={}", name.display())));
    }
    lines.retain(|l| {
        l.strip_prefix("ts=").is_some_and(|l| l >= from.as_str() && &l[..until.len()] <= until.as_str())
    });
    lines.sort();
    lines.iter().for_each(|l| println!("  {l}"));
}
