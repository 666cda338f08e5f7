//! Fleet files and settings: every error with its path.

use workswood::ops::{check, plan};
use workswood::util::errors::Error;
use workswood::util::settings::Settings;
use workswood_core::fleet::{Issue, parse_rfc3339};
use workswood_test_support::files::small;

const FACTORING: &str = include_str!("../../examples/factoring.json");
const GRIDLARK: &str = include_str!("../../examples/gridlark.json");

fn issues(text: &str) -> Vec<Issue> {
    match check::read_text("file", text) {
        Err(Error::InvalidFile { issues, .. }) => issues,
        other => panic!("{other:?}"),
    }
}

#[test]
fn examples_fit() {
    for text in [FACTORING, GRIDLARK] {
        let f = check::read_text("file", text).expect("an example is valid");
        assert_eq!((f.hosts.len(), f.services.len()), (50, 5));
        assert_eq!(f.services.iter().map(|s| s.instances).sum::<u32>(), 50);
        let at = parse_rfc3339("2027-03-01T00:00:00Z").expect("a time");
        plan::refuse_impossible(std::slice::from_ref(&f), at).expect("its maintenance fits");
        let (state, plans) = plan::run(&[f], at);
        assert_eq!(state.instances.len(), 50);
        assert!(plans.iter().all(|p| p.waves.not_maintained.is_empty() && p.waves.instance_moves == 0));
    }
}

#[test]
fn all_errors() {
    let text = r#"{
        "file": "shop", "pool": [],
        "hosts": [{"name": "h0", "data_centre": "dc", "rack": "r", "cpu": 4}],
        "pools": [{"name": "main", "size": 2}],
        "services": [
            {"name": "a", "pool": "main", "instances": "two", "budget": {"min_available": 1}},
            {"name": "b", "pool": "main", "instances": 2, "budgets": {}, "budget": {"min_availble": 1}}
        ],
        "maintenance": [{"name": "m", "pool": "main", "duration": "ten minutes"}]
    }"#;
    let found = issues(text);
    let shown: Vec<String> = found.iter().map(ToString::to_string).collect();
    for expected in [
        "error 202: pool: unknown field `pool`; did you mean `pools`?",
        "error 202: hosts[0].cpu: unknown field `cpu`; did you mean `cpus`?",
        "error 203: services[0].instances",
        "error 203: services[1].budget",
        "error 203: maintenance[0].duration",
    ] {
        assert!(shown.iter().any(|s| s.starts_with(expected)), "no `{expected}` in {shown:#?}");
    }
}

#[test]
fn wrong_meaning() {
    let mut f = small(3, 2, 1);
    f.services[0].pool = "nowhere".to_string();
    f.services[0].budget.min_available = 2;
    f.hosts[1].name = "h0".to_string();
    f.pools[0].size = 9;
    let text = serde_json::to_string(&f).expect("a file is JSON");
    let codes: Vec<u16> = issues(&text).iter().map(|i| i.code.number()).collect();
    assert_eq!(codes, [205, 208, 206, 207], "{:#?}", issues(&text));
    let codes: Vec<u16> = issues("{\"file\": ").iter().map(|i| i.code.number()).collect();
    assert_eq!(codes, [201]);
}

#[test]
fn impossible_deadline() {
    let mut f = check::read_text("gridlark", GRIDLARK).expect("an example is valid");
    f.maintenance[0].deadline = f.maintenance[0].start + 3_600_000;
    let at = parse_rfc3339("2027-03-01T00:00:00Z").expect("a time");
    let e = plan::refuse_impossible(&[f.clone()], at).expect_err("an hour is too short");
    let text = e.to_string();
    let nearest = text.rsplit(' ').next().and_then(parse_rfc3339).expect("a time is named");
    f.maintenance[0].deadline = nearest;
    plan::refuse_impossible(&[f], at).expect("the nearest plan that is named fits");
}

#[test]
fn clashing_files() {
    let (a, mut b) = (small(3, 2, 1), small(3, 2, 1));
    b.file = "other".to_string();
    let folder = std::env::temp_dir().join(format!("workswood-files-{}", std::process::id()));
    std::fs::create_dir_all(&folder).expect("a folder");
    let paths: Vec<String> = [("a.json", &a), ("b.json", &b)]
        .iter()
        .map(|(name, f)| {
            let path = folder.join(name);
            std::fs::write(&path, serde_json::to_string(f).expect("JSON")).expect("a file");
            path.display().to_string()
        })
        .collect();
    let (_, errors) = check::run(&paths);
    let text: String = errors.iter().map(Error::report).collect();
    assert!(text.contains("host `h0` is also declared in file `small`"), "{text}");
    std::fs::remove_dir_all(folder).expect("it is ours");
}

#[test]
fn bad_settings() {
    let path = std::env::temp_dir().join(format!("workswood-settings-{}.json", std::process::id()));
    let good = r#"{"name":"a","data_centre":"d","callers":"127.0.0.1:1","operators":"127.0.0.1:2",
        "peers":"127.0.0.1:3","platform":"127.0.0.1:4","operators_token_file":"x","peers_token_file":"y"}"#;
    for (from, to, says) in [
        ("", "", ""),
        ("127.0.0.1:3", "0.0.0.0:3", "`peers`"),
        ("\"name\"", "\"nome\"", "unknown field `nome`"),
        ("127.0.0.1:1", "localhost", "invalid socket address"),
    ] {
        let text = if from.is_empty() { good.to_string() } else { good.replace(from, to) };
        std::fs::write(&path, text).expect("a file");
        let read = Settings::read(&path.display().to_string());
        match read {
            Ok(_) => assert_eq!(says, "", "`{to}` was accepted"),
            Err(e) => assert!(!says.is_empty() && e.to_string().contains(says), "{e}"),
        }
    }
    std::fs::remove_file(path).expect("it is ours");
}
