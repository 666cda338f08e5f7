//! Which submitted jobs are refused because they can't be done in time, and when their callers return.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use prost::Message;
use workswood_core::jobs::admission::{Loads, ServiceLoad, WaitingWork, retry_after_outage, spread};
use workswood_core::jobs::policy::OrderPolicy;
use workswood_core::jobs::queue_order::{QueueOrder, TaskDurations};
use workswood_core::jobs::{
    Admission, AdmissionPolicy, Candidate, Event, JobKey, JobSpec, Owner, Policy, Repeat, Verdict,
};
use workswood_peers::{AdmissionOutcome, AdmissionReply, AdmissionRequest, Frame, Msg, StepDemand};
use workswood_test_support::host_world::{HostWorld, SPARE, host};
use workswood_test_support::job_world::{QUEUE, SERVICE, config, job, step};

const NOW: Duration = Duration::from_secs(100);
/// Cores of the service.
const CORES: f64 = 100.0;
/// Work of each job: 8 cores for a second.
const WORK: u64 = 8_000;
const PATH: Duration = Duration::from_secs(1);
/// Wait with which a job is just in time.
const SLACK: Duration = Duration::from_millis(1_200);

fn policy() -> AdmissionPolicy {
    AdmissionPolicy { enabled: true, ..AdmissionPolicy::default() }
}

fn candidate(key: JobKey) -> Candidate {
    let time_to_deadline = PATH + SLACK;
    Candidate {
        key,
        service: SERVICE.to_string(),
        owner: Owner::PUBLIC,
        priority: 0,
        work: WORK,
        first_work: WORK,
        path: PATH,
        time_to_deadline,
        time_to_worthless: time_to_deadline * 3,
    }
}

fn waiting(work: u64) -> WaitingWork {
    WaitingWork { priority: 0, over_rate: false, latest_start: 0, job_work: 0, work }
}

fn loads(waiting: Vec<WaitingWork>) -> Loads {
    let load =
        ServiceLoad { cores: CORES, cores_after_moves: CORES, order: QueueOrder::EarliestDeadline, waiting };
    Loads { services: BTreeMap::from([(SERVICE.to_string(), load)]), ..Loads::default() }
}

/// Admission that was told of this much waiting work, in milliseconds of the whole service.
fn told(wait: Duration) -> Admission {
    let mut admission = Admission::default();
    let work = (wait.as_millis() as f64 * CORES) as u64;
    admission.update(loads(vec![waiting(work)]), |_| false, NOW);
    admission
}

fn decide(admission: &mut Admission, job: &Candidate, now: Duration) -> Verdict {
    admission.decide(job, &policy(), now, 1_000_000)
}

fn admits(verdict: Verdict) -> bool {
    matches!(verdict, Verdict::Admitted { .. })
}

fn retry_after(verdict: Verdict) -> Duration {
    match verdict {
        Verdict::Refused { retry_after, .. } => retry_after,
        Verdict::Admitted { .. } => panic!("it is admitted"),
    }
}

#[test]
fn in_time_or_refused() {
    assert!(admits(decide(&mut told(SLACK), &candidate(JobKey::of_number(1)), NOW)));
    let verdict = decide(&mut told(SLACK + Duration::from_millis(10)), &candidate(JobKey::of_number(1)), NOW);
    assert_eq!(
        verdict,
        Verdict::Refused {
            retry_after: SLACK + Duration::from_millis(10),
            wait: SLACK + Duration::from_millis(10),
            age: Duration::ZERO
        }
    );
}

#[test]
fn free_workers_refuse_nothing() {
    let mut admission = Admission::default();
    let mut idle = loads(Vec::new());
    idle.services.values_mut().for_each(|load| (load.cores, load.cores_after_moves) = (0.0, 0.0));
    admission.update(idle, |_| false, NOW);
    let hopeless = Candidate { time_to_deadline: Duration::ZERO, ..candidate(JobKey::of_number(1)) };
    assert!(admits(decide(&mut admission, &hopeless, NOW)), "nothing waits");
}

#[test]
fn unknown_load_refuses_nothing() {
    assert!(admits(decide(&mut Admission::default(), &candidate(JobKey::of_number(1)), NOW)));
}

/// All are weighed by the same loads: those that were just admitted count.
#[test]
fn admitted_work_counts_at_once() {
    let mut admission = told(Duration::from_millis(1));
    let admitted = (0..100)
        .filter(|key| admits(decide(&mut admission, &candidate(JobKey::of_number(*key)), NOW)))
        .count();
    // Each takes 80 ms of the service.
    assert_eq!(admitted, 1_200 / 80);
    admission.update(loads(vec![waiting(1)]), |_| true, NOW);
    assert!(
        admits(decide(&mut admission, &candidate(JobKey::of_number(200)), NOW)),
        "the scheduler counts them itself"
    );
}

/// What was admitted and never came could not be stored.
#[test]
fn admitted_work_expires() {
    let mut admission = told(Duration::from_millis(1));
    (0..100).for_each(|key| _ = decide(&mut admission, &candidate(JobKey::of_number(key)), NOW));
    let later = NOW + Duration::from_secs(2);
    admission.update(loads(vec![waiting(1_000)]), |_| false, later);
    assert!(admits(decide(&mut admission, &candidate(JobKey::of_number(200)), later)));
}

#[test]
fn admitted_stays_admitted() {
    let mut admission = told(SLACK);
    assert!(admits(decide(&mut admission, &candidate(JobKey::of_number(1)), NOW)));
    admission.update(loads(vec![waiting(WORK * 1_000)]), |_| false, NOW);
    assert!(!admits(decide(&mut admission, &candidate(JobKey::of_number(2)), NOW)));
    assert!(
        admits(decide(&mut admission, &candidate(JobKey::of_number(1)), NOW)),
        "its answer may have been lost"
    );
}

#[test]
fn retry_is_as_old_as_first_try() {
    let mut admission = told(SLACK * 2);
    assert!(!admits(decide(&mut admission, &candidate(JobKey::of_number(1)), NOW)));
    let later = NOW + Duration::from_secs(1);
    admission.update(loads(vec![waiting(30_000)]), |_| false, later);
    assert!(
        admits(decide(&mut admission, &candidate(JobKey::of_number(2)), later)),
        "300 ms are left for a new one"
    );
    assert!(
        !admits(decide(&mut admission, &candidate(JobKey::of_number(1)), later)),
        "its slack is 200 ms by now"
    );
    admission.update(loads(vec![waiting(10_000)]), |_| false, later);
    assert_eq!(
        decide(&mut admission, &candidate(JobKey::of_number(1)), later),
        Verdict::Admitted { age: Duration::from_secs(1) }
    );
}

#[test]
fn over_rate_refused_first() {
    let over = Owner::of_workspace(Some("flood"));
    let mut now = loads(vec![WaitingWork { over_rate: true, ..waiting(WORK * 100) }]);
    now.owners_over_rate = vec![over];
    let mut admission = Admission::default();
    admission.update(now, |_| false, NOW);
    assert!(
        admits(decide(&mut admission, &candidate(JobKey::of_number(1)), NOW)),
        "what is over its rate waits behind it"
    );
    assert!(!admits(decide(
        &mut admission,
        &Candidate { owner: over, ..candidate(JobKey::of_number(2)) },
        NOW
    )));
}

#[test]
fn less_urgent_work_is_not_ahead() {
    let mut admission = Admission::default();
    admission.update(loads(vec![WaitingWork { priority: 1, ..waiting(WORK * 100) }]), |_| false, NOW);
    assert!(admits(decide(&mut admission, &candidate(JobKey::of_number(1)), NOW)));
    assert!(!admits(decide(
        &mut admission,
        &Candidate { priority: 1, ..candidate(JobKey::of_number(2)) },
        NOW
    )));
}

#[test]
fn hosts_of_other_pools_count_once_moved() {
    let mut now = loads(vec![waiting(CORES as u64 * 2_000)]);
    now.services.values_mut().for_each(|load| load.cores_after_moves = 100.0 * CORES);
    let mut admission = Admission::default();
    admission.update(now, |_| false, NOW);
    assert!(
        admits(decide(&mut admission, &candidate(JobKey::of_number(1)), NOW)),
        "a second, then a hundred times as fast"
    );
}

/// Callers return one after the other, at the rate of the service and in the order in which they came.
#[test]
fn returns_follow_each_other() {
    let wait = Duration::from_secs(2);
    let mut admission = told(wait);
    let after: Vec<Duration> = (0..20)
        .map(|key| retry_after(decide(&mut admission, &candidate(JobKey::of_number(key)), NOW)))
        .collect();
    for (n, retry_after) in after.iter().enumerate() {
        assert_eq!(*retry_after, wait + Duration::from_millis(80) * n as u32);
    }
}

/// Who can't be back while the result is worth anything takes no one's turn, and returns after what waits.
#[test]
fn hopeless_callers_are_spread() {
    let wait = Duration::from_secs(6);
    let mut admission = told(wait);
    let mut after: Vec<Duration> = (0..100)
        .map(|key| retry_after(decide(&mut admission, &candidate(JobKey::of_number(key)), NOW)))
        .collect();
    assert!(after.iter().all(|d| *d >= wait), "{after:?}");
    after.sort();
    let most = after.windows(11).map(|w| w[10] - w[0]).min().expect("many");
    assert!(most > Duration::from_millis(100), "ten of a hundred within {most:?} of 4 s");
}

#[test]
fn late_share_admits_late_jobs() {
    let late = AdmissionPolicy { late_share: 1.0, ..policy() };
    let wait = SLACK + (PATH + SLACK) * 2;
    assert!(admits(told(wait).decide(&candidate(JobKey::of_number(1)), &late, NOW, 0)));
    assert!(
        !admits(told(wait + PATH).decide(&candidate(JobKey::of_number(1)), &late, NOW, 0)),
        "it would be worthless"
    );
}

/// Three times what a service can do is submitted for ten seconds. Without admission, all that is taken
/// in after the first seconds is late.
#[test]
fn goodput_at_three_times_the_load() {
    let best = 10.0 * CORES * 1_000.0 / WORK as f64;
    let (with, without) = (play(true), play(false));
    assert!(with.in_time as f64 >= 0.8 * best, "{} of {best} in time", with.in_time);
    assert!((without.in_time as f64) < 0.5 * best, "{} of {best} in time", without.in_time);
    assert_eq!(with.late, 0, "what is accepted is done in time");
    assert!(with.most_at_once <= 2, "{} callers told to return within 100 ms", with.most_at_once);
}

/// What callers got.
#[derive(Debug, Default)]
struct Played {
    in_time: usize,
    late: usize,
    /// Most callers told to return within the same 100 ms, of those with a turn.
    most_at_once: usize,
}

/// A service that works off what it accepted, first come, first served.
fn play(refuses: bool) -> Played {
    let mut admission = Admission::default();
    let (mut played, mut returns) = (Played::default(), BTreeMap::<u128, usize>::new());
    let own = Duration::from_secs_f64(WORK as f64 / 1_000.0 / CORES);
    let mut busy_until = NOW;
    for n in 0..375 {
        let now = NOW + own / 3 * n;
        let ahead = busy_until.saturating_sub(now).as_secs_f64() * CORES * 1_000.0;
        let queue = if ahead >= 1.0 { vec![waiting(ahead as u64)] } else { Vec::new() };
        admission.update(loads(queue), |_| true, now);
        match decide(&mut admission, &candidate(JobKey::of_number(n.into())), now) {
            Verdict::Refused { retry_after, .. } if refuses => {
                if retry_after + PATH <= (PATH + SLACK) * 3 {
                    *returns.entry((now + retry_after).as_millis() / 100).or_default() += 1;
                }
                continue;
            }
            Verdict::Refused { .. } | Verdict::Admitted { .. } => {}
        }
        let start = busy_until.max(now);
        busy_until = start + own;
        // The rounding of the queue to whole milliseconds is no delay.
        let in_time = start - now <= SLACK + Duration::from_millis(1);
        *if in_time { &mut played.in_time } else { &mut played.late } += 1;
    }
    played.most_at_once = returns.values().copied().max().unwrap_or(0);
    played
}

/// Jobs that last or repeat are not weighed.
#[test]
fn lasting_and_repeated_jobs() {
    let cfg = config();
    let weigh = |spec: &JobSpec| {
        let queue = cfg.queues.get(QUEUE).expect("the queue");
        Candidate::new(JobKey::of_number(1), spec, queue, &TaskDurations::default(), &OrderPolicy::default())
    };
    let plain = job(vec![step(2, vec![]), step(3, vec![0])], 0);
    let weighed = weigh(&plain).expect("it is weighed");
    // Steps are estimated at 500 ms and take a core each.
    assert_eq!((weighed.work, weighed.first_work), (2_500, 1_000));
    assert_eq!((weighed.path, weighed.time_to_deadline), (PATH, Duration::from_millis(2_200)));
    let mut lasting = plain.clone();
    lasting.steps[0].long_running = true;
    assert_eq!(weigh(&lasting), None);
    let repeat = Repeat { count: 2, first_due_at: 0, interval: Duration::from_secs(1) };
    assert_eq!(weigh(&JobSpec { repeat: Some(repeat), ..plain }), None);
}

/// What the scheduler tells: only what found no room, only what can be in time, and the room of hosts that
/// are switched off.
#[test]
fn loads_of_scheduler() {
    let mut world = HostWorld::new(1);
    world.list(vec![host(0, SERVICE, Some(0)), host(7, SPARE, None)]);
    world.at(100);
    // Four tasks fit on the host.
    world.sched.handle(Event::Submitted(1, Arc::new(job(vec![step(4, vec![])], 100))));
    _ = world.sched.take_batch();
    let load = world.sched.loads().services.remove(SERVICE).expect("the service");
    assert_eq!(load.waiting, []);
    assert!(load.cores_after_moves > 1.5 * load.cores, "{load:?}");
    let spec = job(vec![step(3, vec![]), step(2, vec![0])], 100);
    world.sched.handle(Event::Submitted(2, Arc::new(spec)));
    _ = world.sched.take_batch();
    let load = world.sched.loads().services.remove(SERVICE).expect("the service");
    let work: Vec<(u64, u64)> = load.waiting.iter().map(|w| (w.work, w.job_work)).collect();
    assert_eq!(work, [(1_500, 2_500)]);
    world.at(5_000);
    world.tick();
    let load = world.sched.loads().services.remove(SERVICE).expect("the service");
    assert_eq!(load.waiting, [], "it is late");
}

#[test]
fn outage_longer_retry_later() {
    let (first, most) = (Duration::from_secs(1), Duration::from_secs(8));
    let after = |key, outage| retry_after_outage(key, Duration::from_secs(outage), first, most);
    assert!((0..100).all(|key| after(key, 0) >= first && after(key, 0) < first * 2));
    assert!((0..100).all(|key| after(key, 4) >= first * 4));
    assert!((0..100).all(|key| after(key, 1_000) < most * 2));
    let early = (0..1_000).filter(|key| spread(*key, first) < first / 2).count();
    assert!((400..600).contains(&early), "{early} of 1000 in the first half");
}

/// Entries of one version before and after an upgrade must understand each other.
#[test]
fn message_formats() {
    let request = AdmissionRequest {
        job: 5,
        owner: 6,
        queue: "q".to_string(),
        steps: vec![StepDemand { tasks: 2, cpu_millis: 300, estimate_ms: 400, depends_on: vec![0] }],
        queue_tag: 0,
    };
    let reply = AdmissionReply {
        outcome: AdmissionOutcome::Refused as i32,
        age_ms: 1,
        retry_after_ms: 2,
        wait_ms: 3,
    };
    let cases = [
        (
            Msg::AdmissionRequest(request),
            "0807a2021b0805110600000000000000".to_string() + "1a017122" + "0b080210ac02189003220100",
        ),
        (Msg::AdmissionReply(reply), "0807aa02080802100118022003".to_string()),
    ];
    for (msg, hex) in cases {
        let frame = Frame { call: 7, msg: Some(msg) };
        let bytes = frame.encode_to_vec();
        let written: String = bytes.iter().map(|b| format!("{b:02x}")).collect();
        assert_eq!(written, hex);
        assert_eq!(Frame::decode(bytes.as_slice()).expect("it is read"), frame);
    }
}

#[test]
fn settings_out_of_range() {
    let check = |admission| Policy { admission, ..Policy::default() }.check();
    assert_eq!(check(policy()), Ok(()));
    let late = check(AdmissionPolicy { late_share: -0.1, ..policy() }).expect_err("below 0");
    assert!(late.contains("policy.admission.late"), "{late}");
    let wait = check(AdmissionPolicy { wait_factor: f64::NAN, ..policy() }).expect_err("no number");
    assert!(wait.contains("policy.admission.wait"), "{wait}");
    let moves = AdmissionPolicy { move_time: Duration::from_secs(601), ..policy() };
    assert!(check(moves).expect_err("too long").contains("policy.admission.moves_take"));
}
