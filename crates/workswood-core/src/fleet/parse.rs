//! Parsing of a fleet file; each error is reported with its path.

use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::Value;

use super::file::FleetFile;
use crate::code::Code;

/// One error in a fleet file, with its path.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Issue {
    /// Path in the file, for example `services[2].budget.min_available`; in the path of
    /// an unknown field, elements of nested lists have the form `services[2].routes.0`.
    /// Line and column if the file is not valid JSON.
    pub path: String,
    /// Result code.
    pub code: Code,
    /// What is wrong.
    pub message: String,
}

impl Issue {
    /// Creates an issue.
    pub fn new(path: impl Into<String>, code: Code, message: impl Into<String>) -> Issue {
        Issue { path: path.into(), code, message: message.into() }
    }
}

impl std::fmt::Display for Issue {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        write!(f, "error {}: {}: {}", self.code.number(), self.path, self.message)
    }
}

/// Fields of a fleet file that are lists.
const LIST_FIELDS: [&str; 6] = ["hosts", "pools", "services", "maintenance", "teams", "jobs"];
/// Least Jaro-Winkler similarity of a known field that is suggested for an unknown one.
const MIN_SUGGESTION_SIMILARITY: f64 = 0.6;

/// Parses the text of a fleet file. All errors of syntax, fields and types are
/// returned together; [`super::check()`] does the semantic checks.
pub fn parse(text: &str) -> Result<FleetFile, Vec<Issue>> {
    let mut value: Value = match serde_json::from_str(text) {
        Ok(v) => v,
        Err(e) => {
            let position = format!("line {} column {}", e.line(), e.column());
            return Err(vec![Issue::new(position, Code::FileNotJson, e.to_string())]);
        }
    };
    let mut issues = Vec::new();
    // Each list element is parsed separately, so that one error does not hide others.
    let mut lists = FleetFile::default();
    if let Some(map) = value.as_object_mut() {
        for list in LIST_FIELDS {
            let Some(items) = map.get_mut(list).and_then(Value::as_array_mut) else {
                continue;
            };
            let items = std::mem::take(items);
            match list {
                "hosts" => lists.hosts = parse_items(list, items, &mut issues),
                "pools" => lists.pools = parse_items(list, items, &mut issues),
                "services" => lists.services = parse_items(list, items, &mut issues),
                "maintenance" => lists.maintenance = parse_items(list, items, &mut issues),
                "teams" => lists.teams = parse_items(list, items, &mut issues),
                _ => lists.jobs = parse_items(list, items, &mut issues),
            }
        }
    }
    let file: Option<FleetFile> = parse_value("", value, &mut issues);
    match file {
        Some(f) if issues.is_empty() => Ok(FleetFile {
            hosts: lists.hosts,
            pools: lists.pools,
            services: lists.services,
            maintenance: lists.maintenance,
            teams: lists.teams,
            jobs: lists.jobs,
            ..f
        }),
        _ => Err(issues),
    }
}

/// Parses the elements of a list; elements with errors are left out.
fn parse_items<T: DeserializeOwned + Serialize>(
    list: &str,
    items: Vec<Value>,
    issues: &mut Vec<Issue>,
) -> Vec<T> {
    items
        .into_iter()
        .enumerate()
        .filter_map(|(i, v)| parse_value(&format!("{list}[{i}]"), v, issues))
        .collect()
}

/// Parses a value at a path; adds its errors and its unknown fields to `issues`.
fn parse_value<T: DeserializeOwned + Serialize>(
    path: &str,
    value: Value,
    issues: &mut Vec<Issue>,
) -> Option<T> {
    let mut unknown_paths = Vec::new();
    let mut track = serde_path_to_error::Track::new();
    let de = serde_path_to_error::Deserializer::new(value, &mut track);
    let parsed: Result<T, _> = serde_ignored::deserialize(de, |p| unknown_paths.push(p.to_string()));
    match parsed {
        Ok(t) => {
            let known = serde_json::to_value(&t).unwrap_or_default();
            issues.extend(unknown_paths.iter().map(|u| unknown_field_issue(path, u, &known)));
            Some(t)
        }
        Err(e) => {
            let path = join_path(path, &track.path().to_string());
            issues.push(Issue::new(path, Code::BadValue, e.to_string()));
            None
        }
    }
}

/// The issue of an unknown field, which suggests the most similar known one.
fn unknown_field_issue(parent_path: &str, field_path: &str, known: &Value) -> Issue {
    let (parent, name) = field_path.rsplit_once('.').unwrap_or(("", field_path));
    // `serde_ignored` writes `?` for an `Option` or a newtype.
    let pointer: String =
        parent.split('.').filter(|p| !p.is_empty() && *p != "?").map(|p| format!("/{p}")).collect();
    let names = known.pointer(&pointer).and_then(Value::as_object);
    let most_similar = names
        .into_iter()
        .flat_map(|m| m.keys())
        .map(|k| (strsim::jaro_winkler(k, name), k))
        .filter(|(score, _)| *score >= MIN_SUGGESTION_SIMILARITY)
        .max_by(|a, b| a.0.total_cmp(&b.0));
    let hint = match most_similar {
        Some((_, k)) => format!("unknown field `{name}`; did you mean `{k}`?"),
        None => format!("unknown field `{name}`"),
    };
    Issue::new(join_path(parent_path, field_path), Code::UnknownField, hint)
}

/// Joins two paths; either may be empty.
fn join_path(parent: &str, path: &str) -> String {
    match (parent, path) {
        ("", p) => p.to_string(),
        (a, "" | ".") => a.to_string(),
        (a, p) => format!("{a}.{p}"),
    }
}
