//! Semantic checks of one fleet file; all errors are reported together.

use std::collections::BTreeSet;
use std::time::Duration;

use super::file::{FleetFile, Maintenance, Service};
use super::parse::Issue;
use crate::code::Code;

const MAX_NAME_BYTES: usize = 64;
const MAX_INSTANCES: u32 = 1_000;
const MAX_SLOTS: u32 = 1_024;
const MAX_WINDOW: u32 = MAX_SLOTS * 2;
const MAX_CONNECTIONS: u32 = MAX_SLOTS * 8;
const MAX_DURATION: Duration = Duration::from_secs(24 * 3600);

/// Checks names, ranges, references and budgets of one file; returns all errors.
pub fn check(f: &FleetFile) -> Vec<Issue> {
    let mut issues = Vec::new();
    check_name(&mut issues, "file", &f.file);
    check_names(&mut issues, "hosts", f.hosts.iter().map(|h| &h.name));
    check_names(&mut issues, "pools", f.pools.iter().map(|p| &p.name));
    check_names(&mut issues, "services", f.services.iter().map(|s| &s.name));
    check_names(&mut issues, "maintenance", f.maintenance.iter().map(|m| &m.name));
    check_names(&mut issues, "teams", f.teams.iter().map(|t| &t.name));
    check_names(&mut issues, "jobs", f.jobs.iter().map(|j| &j.name));
    let need: u64 = f.pools.iter().map(|p| u64::from(p.size)).sum();
    if need > f.hosts.len() as u64 {
        let text = format!("the pools need {need} hosts, but the file claims {}", f.hosts.len());
        issues.push(Issue::new("pools", Code::NotEnoughHosts, text));
    }
    for (i, h) in f.hosts.iter().enumerate() {
        check_name(&mut issues, &format!("hosts[{i}].data_centre"), &h.data_centre);
        check_name(&mut issues, &format!("hosts[{i}].rack"), &h.rack);
    }
    for (i, s) in f.services.iter().enumerate() {
        check_service(&mut issues, f, &format!("services[{i}]"), s);
    }
    for (i, m) in f.maintenance.iter().enumerate() {
        check_maintenance(&mut issues, f, &format!("maintenance[{i}]"), m);
    }
    for (i, j) in f.jobs.iter().enumerate() {
        let path = format!("jobs[{i}]");
        check_pool_exists(&mut issues, f, &path, &j.pool);
        if !f.teams.iter().any(|t| t.name == j.team) {
            issues.push(Issue::new(
                format!("{path}.team"),
                Code::UnknownName,
                format!("no team `{}`", j.team),
            ));
        }
    }
    check_unique_routes(&mut issues, f);
    issues
}

fn check_name(issues: &mut Vec<Issue>, path: &str, text: &str) {
    let valid_length = !text.is_empty() && text.len() <= MAX_NAME_BYTES;
    let valid_chars = text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    if !valid_length || !valid_chars {
        let text =
            format!("`{text}` is not a valid name of 1 to {MAX_NAME_BYTES} letters, digits, `-`, `_` or `.`");
        issues.push(Issue::new(path, Code::OutOfRange, text));
    }
}

fn check_names<'a>(issues: &mut Vec<Issue>, list: &str, all: impl Iterator<Item = &'a String>) {
    let mut seen = BTreeSet::new();
    for (i, n) in all.enumerate() {
        let path = format!("{list}[{i}]");
        check_name(issues, &path, n);
        if !seen.insert(n) {
            issues.push(Issue::new(path, Code::DuplicateName, format!("`{n}` is used twice")));
        }
    }
}

fn check_pool_exists(issues: &mut Vec<Issue>, f: &FleetFile, path: &str, pool: &str) {
    if !f.pools.iter().any(|p| p.name == pool) {
        issues.push(Issue::new(
            format!("{path}.pool"),
            Code::UnknownName,
            format!("no pool `{pool}` in this file"),
        ));
    }
}

fn check_range(issues: &mut Vec<Issue>, path: String, value: u32, min: u32, max: u32) {
    if value < min || value > max {
        issues.push(Issue::new(
            path,
            Code::OutOfRange,
            format!("{value} is not in the range {min} to {max}"),
        ));
    }
}

fn check_service(issues: &mut Vec<Issue>, f: &FleetFile, path: &str, s: &Service) {
    check_pool_exists(issues, f, path, &s.pool);
    check_range(issues, format!("{path}.instances"), s.instances, 1, MAX_INSTANCES);
    check_range(issues, format!("{path}.slots"), s.slots, 1, MAX_SLOTS);
    check_range(issues, format!("{path}.window"), s.window(), s.slots, MAX_WINDOW);
    check_range(issues, format!("{path}.connections"), s.connections, s.window(), MAX_CONNECTIONS);
    if s.budget.min_available >= s.instances {
        let text = format!(
            "min_available {} of {} instances leaves no instance for maintenance",
            s.budget.min_available, s.instances
        );
        issues.push(Issue::new(format!("{path}.budget"), Code::BudgetImpossible, text));
    }
    let size = f.pools.iter().find(|p| p.name == s.pool).map_or(0, |p| p.size);
    if size > 0 && s.instances > size {
        let text = format!(
            "{} instances do not fit on a pool of {size} hosts; each needs a host of its own",
            s.instances
        );
        issues.push(Issue::new(format!("{path}.instances"), Code::NotEnoughHosts, text));
    }
    for (i, r) in s.routes.iter().enumerate() {
        if !r.path.starts_with('/') {
            issues.push(Issue::new(
                format!("{path}.routes[{i}].path"),
                Code::OutOfRange,
                "a path must start with `/`".to_string(),
            ));
        }
        if r.deadline.is_zero() || r.deadline > MAX_DURATION {
            issues.push(Issue::new(
                format!("{path}.routes[{i}].deadline"),
                Code::OutOfRange,
                "a deadline must be more than 0 and at most 24h".to_string(),
            ));
        }
    }
}

fn check_maintenance(issues: &mut Vec<Issue>, f: &FleetFile, path: &str, m: &Maintenance) {
    check_pool_exists(issues, f, path, &m.pool);
    if m.duration.is_zero() || m.duration > MAX_DURATION {
        issues.push(Issue::new(
            format!("{path}.duration"),
            Code::OutOfRange,
            "a duration must be more than 0 and at most 24h".to_string(),
        ));
    }
    if m.deadline != 0 && m.deadline <= m.start {
        issues.push(Issue::new(
            format!("{path}.deadline"),
            Code::OutOfRange,
            "the deadline must be after the start",
        ));
    }
    for (i, w) in m.blackout_windows.iter().enumerate() {
        if w.to <= w.from {
            issues.push(Issue::new(
                format!("{path}.keep_clear[{i}]"),
                Code::OutOfRange,
                "`to` must be after `from`".to_string(),
            ));
        }
    }
}

fn check_unique_routes(issues: &mut Vec<Issue>, f: &FleetFile) {
    let mut seen = BTreeSet::new();
    for (i, s) in f.services.iter().enumerate() {
        for (j, r) in s.routes.iter().enumerate() {
            if !seen.insert(&r.path) {
                let path = format!("services[{i}].routes[{j}].path");
                issues.push(Issue::new(
                    path,
                    Code::DuplicateName,
                    format!("path `{}` is used twice", r.path),
                ));
            }
        }
    }
}
