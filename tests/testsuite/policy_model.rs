//! The model of a fleet, in which policies are compared.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use workswood::ops::model::compare::Gain;
use workswood::ops::model::spec::{FaultKind, FaultSpec};
use workswood::ops::model::workload::{self, ModelJob};
use workswood::ops::model::{ModelSpec, PolicyVariants, RunMetrics, lower_bound, read, run, simulation};
use workswood_core::invariant;
use workswood_core::jobs::Policy;
use workswood_core::jobs::policy::OrderPolicy;
use workswood_test_support::job_world::{job, step};

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/examples/model-turns.json");

fn example() -> ModelSpec {
    read(EXAMPLE).expect("the example is good")
}

/// The example without a wave, faults, and most of its load.
fn calm() -> ModelSpec {
    let mut spec = example();
    (spec.wave, spec.faults) = (None, Vec::new());
    spec.services.iter_mut().for_each(|s| s.jobs_per_s /= 4.0);
    spec
}

/// Mean of some runs of a spec.
fn mean(spec: &ModelSpec, seeds: u64) -> RunMetrics {
    let found = run(spec, None, 1..seeds + 1, |_, _| {}).expect("one variant");
    found.variants[0].mean
}

#[test]
fn calm_fleet_is_in_time() {
    let f = mean(&calm(), 3);
    assert!(f.on_time_share > 0.99, "{f:?}");
    assert!(f.jobs > 50.0 && f.hosts < 41.0, "{f:?}");
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
}

#[test]
fn faults_cost_time() {
    let calm = mean(&calm(), 3);
    for kind in [FaultKind::HolderDies, FaultKind::MachinesDark(4), FaultKind::StoreSlow(150.0)] {
        let mut spec = self::calm();
        let duration = Duration::from_secs(6);
        spec.faults = vec![FaultSpec { at: Duration::from_secs(4), duration, kind }];
        let f = mean(&spec, 3);
        assert!(f.on_time_share < calm.on_time_share, "{kind:?}: {f:?} against {calm:?}");
        assert!(f.on_time_share > 0.5, "{kind:?}: {f:?}, it has to come back");
    }
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
}

/// Half of the data centres are evacuated, one after the other and while the holder dies: nothing begins there,
/// and the hosts of the others carry what they can.
#[test]
fn evacuated_centres() {
    let mut spec = calm();
    let fault = |at, duration, kind| FaultSpec {
        at: Duration::from_secs(at),
        duration: Duration::from_secs(duration),
        kind,
    };
    spec.faults = vec![
        fault(3, 12, FaultKind::Evacuated(0)),
        fault(6, 12, FaultKind::Evacuated(2)),
        fault(8, 0, FaultKind::HolderDies),
    ];
    let f = mean(&spec, 3);
    assert!(f.on_time_share > 0.5, "{f:?}");
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
}

/// Without a wave and faults nothing but the turns makes jobs late.
#[test]
fn turns_known_or_not() {
    let mut spec = example();
    (spec.wave, spec.faults) = (None, Vec::new());
    let variants = PolicyVariants::parse("need.turn_share=0,0.8").expect("a field and values");
    let found = run(&spec, Some(&variants), 1..7, |_, _| {}).expect("both are good");
    let [without, with] = &found.variants[..] else { panic!("{found:?}") };
    assert_eq!(without.name, "need.turn_share=0");
    let gain = with.gain.expect("it is the second");
    assert!(
        gain.on_time_share > 2.0 * gain.standard_error,
        "{gain:?}: {:?} against {:?}",
        with.mean,
        without.mean
    );
    let late = 1.0 - without.mean.on_time_share;
    assert!(gain.on_time_share > late / 4.0, "{gain:?} of {late} that is late without it");
}

#[test]
fn same_seed_same_run() {
    let spec = example();
    let once = |seed| simulation::simulate(&spec, &Policy::default(), seed);
    assert_eq!(once(3), once(3));
    assert_ne!(once(3), once(4));
}

#[test]
fn load_by_turns() {
    let mut spec = example();
    spec.duration = spec.period() * 20;
    let jobs = workload::generate_jobs(&spec, 1);
    let (period, turn) = (spec.period().as_secs_f64(), spec.peak_duration.as_secs_f64());
    for (n, s) in spec.services.iter().enumerate() {
        let begins = period * n as f64 / spec.services.len() as f64;
        let own = jobs.iter().filter(|j| j.spec.queue == s.name && j.value > 0.0);
        let since =
            |j: &ModelJob| ((j.submitted_at - workload::LEAD_TIME).as_secs_f64() - begins).rem_euclid(period);
        let (within, between): (Vec<f64>, Vec<f64>) = own.map(since).partition(|at| *at < turn);
        let (in_turn, out) = (within.len() as f64 / turn, between.len() as f64 / (period - turn));
        let (peak, rest) = (in_turn / 20.0 / s.jobs_per_s, out / 20.0 / s.jobs_per_s);
        assert!((4.5..5.5).contains(&peak), "{}: {peak} times its mean in its turn", s.name);
        assert!((0.02..0.09).contains(&rest), "{}: {rest} times its mean in between", s.name);
        let mean = own_mean(&jobs, s.name.as_str(), &spec) / s.jobs_per_s;
        assert!((0.9..1.1).contains(&mean), "{}: {mean} times its mean in all", s.name);
    }
}

/// Jobs a second of a queue.
fn own_mean(jobs: &[ModelJob], queue: &str, spec: &ModelSpec) -> f64 {
    let own = jobs.iter().filter(|j| j.spec.queue == *queue && j.value > 0.0);
    own.count() as f64 / spec.duration.as_secs_f64()
}

/// A job of two steps, one after the other, of so many thousandths of a core each.
fn two_steps(key: u64, handed_in: u64, cpu_millis: u64, takes: [u64; 2]) -> ModelJob {
    let mut spec = job(vec![step(2, vec![]), step(1, vec![0])], handed_in);
    spec.steps.iter_mut().for_each(|s| s.resources.cpu_millis = cpu_millis);
    ModelJob {
        key,
        submitted_at: Duration::from_millis(handed_in),
        spec: Arc::new(spec),
        step_durations: takes.map(Duration::from_millis).to_vec(),
        deadline: Duration::from_secs(3600),
        value: 1.0,
        crashes_workers: false,
    }
}

#[test]
fn bound_of_jobs() {
    let mut spec = example();
    spec.cpu_millis = 1000;
    let end = Duration::from_secs(10);
    // Two tasks of 0.8 cores for two seconds, then one for a second: 4 core-seconds.
    let one = lower_bound::lower_bounds(&spec, &[two_steps(1, 4000, 800, [2000, 1000])], end);
    assert!((one.any_policy - 0.4).abs() < 1e-9, "{one:?}");
    // 1.6 cores take two hosts, sent for 1.5 s ahead; then one for a second.
    assert!((one.perfect_forecast - (2.0 * 3.5 + 1.0) / 10.0).abs() < 1e-9, "{one:?}");
    // What goes on at the end of the run counts up to it.
    let cut = lower_bound::lower_bounds(&spec, &[two_steps(1, 9000, 500, [2000, 1000])], end);
    assert!((cut.any_policy - 0.1).abs() < 1e-9 && (cut.perfect_forecast - 0.25).abs() < 1e-9, "{cut:?}");
}

#[test]
fn bound_below_run() {
    for seed in 1..4 {
        let f = simulation::simulate(&calm(), &Policy::default(), seed);
        assert!(
            f.min_hosts <= f.busy_hosts && f.min_hosts <= f.forecast_hosts && f.forecast_hosts <= f.hosts,
            "{f:?}"
        );
    }
}

#[test]
fn gain_on_same_seeds() {
    let runs =
        |shares: [f64; 4]| shares.map(|on_time_share| RunMetrics { on_time_share, ..RunMetrics::default() });
    let gain = Gain::between(&runs([0.9, 0.8, 0.7, 0.6]), &runs([0.8, 0.7, 0.6, 0.5]));
    assert!((gain.on_time_share - 0.1).abs() < 1e-9 && gain.standard_error < 1e-9, "{gain:?}");
    let gain = Gain::between(&runs([0.9, 0.7, 0.9, 0.7]), &runs([0.8, 0.8, 0.8, 0.8]));
    assert!(gain.on_time_share.abs() < 1e-9 && (gain.standard_error - 0.0577).abs() < 1e-4, "{gain:?}");
}

#[test]
fn table_and_json() {
    let variants = PolicyVariants::parse("need.full=0.7,0.85").expect("a field and values");
    let mut told = Vec::new();
    let found = run(&calm(), Some(&variants), 5..7, |name, seed| told.push((name.to_string(), seed)));
    let found = found.expect("both are good");
    let seeds: Vec<u64> = told.iter().map(|(_, seed)| *seed).collect();
    assert_eq!(seeds, [5, 6, 5, 6]);
    let table = found.table();
    assert_eq!(table.lines().count(), 3, "{table}");
    assert!(table.contains("need.full=0.85"), "{table}");
    let json: serde_json::Value = serde_json::from_str(&found.json()).expect("it is JSON");
    assert_eq!(json["first_seed"], 5);
    assert_eq!(json["variants"][1]["runs"].as_array().map(Vec::len), Some(2));
    assert!(json["variants"][0]["mean"]["in_time"].is_number() && json["variants"][1]["gain"].is_object());
}

#[test]
fn values_of_a_field() {
    let variants = PolicyVariants::parse("need.arrivals=1s,1500ms").expect("a field and values");
    let policies = variants.policies(&Policy::default()).expect("both are good");
    let spans: Vec<Duration> = policies.iter().map(|(_, p)| p.need.arrival_window).collect();
    assert_eq!(spans, [Duration::from_secs(1), Duration::from_millis(1500)]);
    for bad in ["need.full", "=1", "need.full="] {
        let report = PolicyVariants::parse(bad).expect_err("not of that form").report();
        assert!(report.starts_with("error ") && report.contains("FIELD=VALUE"), "{report}");
    }
    for bad in ["need.colour=1", "need.full=2", "need.full=\"much\""] {
        let report = PolicyVariants::parse(bad).expect("the form is good").policies(&Policy::default());
        let report = report.expect_err("no such policy").report();
        assert!(report.starts_with("error 300"), "{report}");
    }
}

#[test]
fn bad_files_refused() {
    let good = std::fs::read_to_string(EXAMPLE).expect("the example");
    let cases = [
        ("\"cpu_millis\": 16000", "\"cpu_millis\": 0", "cpu_millis"),
        ("\"turn\": \"8s\"", "\"turn\": \"0s\"", "turn"),
        ("\"turn\": \"8s\"", "\"turn\": \"8s\", \"peak\": 1", "peak"),
        ("\"turn\": \"8s\"", "\"turn\": \"8s\", \"rest\": 1", "rest"),
        ("\"most_at_once\": 8", "\"most_at_once\": 0", "wave.most_at_once"),
        ("\"reports_late\": 0.055", "\"reports_late\": 55", "reports_late"),
        ("\"jobs_per_s\": 7.2", "\"jobs_per_s\": -1", "jobs_per_s"),
        ("\"share\": 0.5", "\"share\": 1.5", "wave.share"),
        ("\"spare\": 8", "\"spare\": 8, \"colour\": 1", "colour"),
    ];
    for (n, (from, to, named)) in cases.into_iter().enumerate() {
        let path = std::env::temp_dir().join(format!("workswood-model-{}-{n}.json", std::process::id()));
        std::fs::write(&path, good.replacen(from, to, 1)).expect("a file");
        let report = read(&path.to_string_lossy()).expect_err("the file is bad").report();
        std::fs::remove_file(&path).expect("the file is there");
        assert!(report.starts_with("error 300") && report.contains(named), "{report}");
    }
}

#[test]
fn worst_spans_count() {
    let at = |ms: u64| Duration::from_millis(ms);
    let one = |key: u64, handed_in: u64| ModelJob {
        key,
        submitted_at: at(handed_in),
        spec: Arc::new(job(vec![step(1, vec![])], handed_in)),
        step_durations: vec![at(500)],
        deadline: at(handed_in + 1000),
        value: 1.0,
        crashes_workers: false,
    };
    // Two in each of three spans; one of the first is late, both of the last.
    let jobs: Vec<ModelJob> = (0..6).map(|n| one(n, n / 2 * 2000)).collect();
    let done: BTreeMap<u64, Duration> = jobs
        .iter()
        .map(|j| (j.key, j.submitted_at + at(if [0, 4, 5].contains(&j.key) { 1001 } else { 999 })))
        .collect();
    let f = RunMetrics::from_jobs(&jobs, &done);
    assert_eq!((f.jobs, f.on_time_share, f.worst_windows_share), (6.0, 0.5, 0.25));
}

#[test]
fn one_run_plays() {
    let f = simulation::simulate(&example(), &Policy::default(), 1);
    assert!(f.host_moves > 10.0 && f.busy_hosts > 5.0 && f.busy_hosts < f.hosts, "{f:?}");
}

/// In time at four times the load of the example: 0.21 where those always go first that must begin
/// first, 0.47 where those with the least work left do once not all can be in time.
#[test]
fn overload_serves_more() {
    let mut spec = calm();
    spec.services.iter_mut().for_each(|s| s.jobs_per_s *= 16.0);
    spec.duration = Duration::from_secs(24);
    let first_due = Policy {
        order: OrderPolicy { overload_share: f64::MAX, ..OrderPolicy::default() },
        ..spec.policy.clone()
    };
    let before = mean(&ModelSpec { policy: first_due, ..spec.clone() }, 2);
    let f = mean(&spec, 2);
    assert!(f.on_time_share > before.on_time_share * 1.8, "{f:?} against {before:?}");
    assert_eq!(invariant::failed_checks(), 0, "{:?}", invariant::first_failure());
}
