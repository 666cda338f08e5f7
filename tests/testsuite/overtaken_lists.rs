//! An entry, as a process of its own, that gets a list of a worker's runs after a newer one.

use std::sync::Arc;
use std::time::{Duration, Instant};

use workswood_adapter_standin::caller::{JobReply, Submission, request_state, submit_job};
use workswood_adapter_standin::{Gates, Moment};

use super::fault_soak::{JOB_EVERY, SERVICE, Size, Soak};

/// The job whose start is lost, and the one whose start is carried out late.
const LOST_JOB: &str = "8000000000000001";
const LATE_JOB: &str = "8000000000000002";
/// The task of the second one that is started first.
const LATE_TASK: &str = "8000000000000002.0.0.0";
/// How often a start is sent that is not answered.
const TRIES: u64 = 3;
/// How long a task takes: longer than all answers are held back.
const TAKES: Duration = Duration::from_millis(1500);
/// Longest wait for a step of the scene.
const PATIENCE: Duration = Duration::from_secs(15);

/// An entry with a worker whose calls are held back; a second worker is listed later.
struct Scene {
    soak: Soak,
    gates: Arc<Gates>,
}

impl Scene {
    async fn new() -> Scene {
        let size = Size { entries: 1, workers: 2, takes: TAKES };
        let soak = Soak::with_size("overtaken-lists", 1, size).await;
        soak.world.unlist(1);
        let standin = soak.world.lives[0].standin.as_ref().expect("a worker");
        standin.faults(|f| f.tells_orders = true);
        let gates = standin.gates();
        Scene { soak, gates }
    }

    async fn reach(&self, moment: Moment, count: u64) {
        let reached = tokio::time::timeout(PATIENCE, self.gates.reach(moment, count)).await;
        assert!(reached.is_ok(), "{moment:?} is not reached {count} times");
    }

    /// Submits a job until it is accepted.
    async fn submit(&self, job: &str) {
        let (to, until) = (self.soak.entries[0].callers, Instant::now() + PATIENCE);
        loop {
            let told = submit_job(to, job, 1).await;
            if told == Submission::Accepted {
                return;
            }
            assert!(Instant::now() < until, "job {job} is not accepted: {told:?}");
            tokio::time::sleep(JOB_EVERY).await;
        }
    }

    /// Lists the second worker, which is filled up before the first one.
    fn list_fuller_worker(&self) {
        let life = &self.soak.world.lives[1];
        let standin = life.standin.as_ref().expect("a worker");
        let entry = standin.entry(SERVICE, "m-1").replace("\"cpu\":4000", "\"cpu\":1000");
        self.soak.world.store.enter_worker(&life.id, &entry);
    }

    /// One start is lost, another one is under way, and the worker is told to stop the run of the first.
    async fn stop_beside_start(&self) {
        for moment in [Moment::StartArrived, Moment::StartCarriedOut, Moment::StopArrived] {
            self.gates.close(moment);
        }
        self.submit(LOST_JOB).await;
        self.reach(Moment::StartArrived, TRIES).await;
        self.submit(LATE_JOB).await;
        self.reach(Moment::StartArrived, TRIES + 1).await;
        self.list_fuller_worker();
        self.reach(Moment::StopArrived, 1).await;
    }

    /// The stop is answered while a poll waits at the worker. The list for the poll after it is made, and held back.
    async fn make_older_list(&self) {
        let (polls, lists) =
            (self.gates.reached(Moment::WaitingPollArrived), self.gates.reached(Moment::PromptListMade));
        self.gates.close(Moment::StopCarriedOut);
        self.gates.close(Moment::PromptListMade);
        self.gates.open(Moment::StopArrived);
        self.reach(Moment::WaitingPollArrived, polls + 1).await;
        self.gates.open(Moment::StopCarriedOut);
        self.reach(Moment::PromptListMade, lists + 1).await;
    }

    /// The start is carried out, and the poll that waits is answered. The older list comes after that.
    async fn send_older_list(&self) {
        let polls = self.gates.reached(Moment::WaitingPollArrived);
        self.gates.open(Moment::StartArrived);
        self.reach(Moment::WaitingPollArrived, polls + 1).await;
        self.gates.open(Moment::PromptListMade);
        self.gates.open(Moment::StartCarriedOut);
    }

    async fn complete(&self, job: &str) {
        let until = Instant::now() + PATIENCE;
        loop {
            let told = request_state(self.soak.entries[0].callers, job).await;
            if told == JobReply::State("completed".to_string()) {
                return;
            }
            assert!(Instant::now() < until, "job {job} is not completed: {told:?}");
            tokio::time::sleep(JOB_EVERY).await;
        }
    }

    /// The attempts of a task that any worker accepted.
    fn attempts(&self, task: &str) -> Vec<u32> {
        let standins = self.soak.world.lives.iter().filter_map(|life| life.standin.as_ref());
        let starts = standins.flat_map(|standin| standin.starts());
        starts.filter(|(started, _)| started == task).map(|(_, attempt)| attempt).collect()
    }
}

/// TWICE: a list from before a start came after the list with its run, which was taken for over and started again.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn second_run_after_older_list() {
    let scene = Scene::new().await;
    scene.stop_beside_start().await;
    scene.make_older_list().await;
    scene.send_older_list().await;
    scene.complete(LATE_JOB).await;
    let attempts = scene.attempts(LATE_TASK);
    let mut broken = scene.soak.world.ledger.violations();
    if attempts.len() != 1 {
        broken.push(format!("{LATE_TASK} was started as attempts {attempts:?}"));
    }
    scene.soak.end(1, &broken);
    assert!(broken.is_empty(), "{broken:#?}");
}
