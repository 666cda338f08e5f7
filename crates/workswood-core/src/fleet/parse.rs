//! Reading a fleet file, with every error and its path.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::file::FleetFile;
use crate::code::Code;

/// One thing that is wrong with a file, and where.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Issue {
    /// Path in the file, for example `services[2].budget.min_available`.
    pub path: String,
    /// Numbered code.
    pub code: Code,
    /// What is wrong.
    pub message: String,
}

impl Issue {
    /// Makes one.
    pub fn new(path: impl Into<String>, code: Code, message: impl Into<String>) -> Issue {
        Issue { path: path.into(), code, message: message.into() }
    }
}

impl std::fmt::Display for Issue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "error {}: {}: {}", self.code.number(), self.path, self.message)
    }
}

const LISTS: [&str; 6] = ["hosts", "pools", "services", "maintenance", "teams", "jobs"];
const NEAR: f64 = 0.6;

/// Reads the text of a file. All errors of form are returned together; errors
/// of meaning are found by [`super::check()`].
pub fn parse(text: &str) -> Result<FleetFile, Vec<Issue>> {
    let mut value: Value = match serde_json::from_str(text) {
        Ok(v) => v,
        Err(e) => {
            let at = format!("line {} column {}", e.line(), e.column());
            return Err(vec![Issue::new(at, Code::FileNotJson, e.to_string())]);
        }
    };
    let mut issues = Vec::new();
    // Each element is read on its own, so that one error does not hide others.
    let mut parts = FleetFile::default();
    if let Some(map) = value.as_object_mut() {
        for list in LISTS {
            let Some(items) = map.get_mut(list).and_then(Value::as_array_mut) else {
                continue;
            };
            let items = std::mem::take(items);
            match list {
                "hosts" => parts.hosts = read_all(list, items, &mut issues),
                "pools" => parts.pools = read_all(list, items, &mut issues),
                "services" => parts.services = read_all(list, items, &mut issues),
                "maintenance" => parts.maintenance = read_all(list, items, &mut issues),
                "teams" => parts.teams = read_all(list, items, &mut issues),
                _ => parts.jobs = read_all(list, items, &mut issues),
            }
        }
    }
    let whole: Option<FleetFile> = read("", value, &mut issues);
    match whole {
        Some(f) if issues.is_empty() => Ok(FleetFile {
            hosts: parts.hosts,
            pools: parts.pools,
            services: parts.services,
            maintenance: parts.maintenance,
            teams: parts.teams,
            jobs: parts.jobs,
            ..f
        }),
        _ => Err(issues),
    }
}

fn read_all<T: DeserializeOwned + Serialize>(
    list: &str,
    items: Vec<Value>,
    issues: &mut Vec<Issue>,
) -> Vec<T> {
    items.into_iter().enumerate().filter_map(|(i, v)| read(&format!("{list}[{i}]"), v, issues)).collect()
}

fn read<T: DeserializeOwned + Serialize>(at: &str, value: Value, issues: &mut Vec<Issue>) -> Option<T> {
    let mut unknown = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let de = serde_path_to_error::Deserializer::new(value, &mut track);
    let read: Result<T, _> = serde_ignored::deserialize(de, |path| unknown.push(path.to_string()));
    match read {
        Ok(t) => {
            let known = serde_json::to_value(&t).unwrap_or_default();
            issues.extend(unknown.iter().map(|u| unknown_field(at, u, &known)));
            Some(t)
        }
        Err(e) => {
            let path = join(at, &track.path().to_string());
            issues.push(Issue::new(path, Code::BadValue, e.to_string()));
            None
        }
    }
}

fn unknown_field(at: &str, path: &str, known: &Value) -> Issue {
    let (parent, name) = path.rsplit_once('.').unwrap_or(("", path));
    let pointer: String =
        parent.split('.').filter(|p| !p.is_empty() && *p != "?").map(|p| format!("/{p}")).collect();
    let names = known.pointer(&pointer).and_then(Value::as_object);
    let near = names
        .into_iter()
        .flat_map(|m| m.keys())
        .map(|k| (strsim::jaro_winkler(k, name), k))
        .filter(|(score, _)| *score >= NEAR)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    let hint = match near {
        Some((_, k)) => format!("unknown field `{name}`; did you mean `{k}`?"),
        None => format!("unknown field `{name}`"),
    };
    Issue::new(join(at, path), Code::UnknownField, hint)
}

fn join(at: &str, path: &str) -> String {
    match (at, path) {
        ("", p) => p.to_string(),
        (a, "" | ".") => a.to_string(),
        (a, p) => format!("{a}.{p}"),
    }
}
