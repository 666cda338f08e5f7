//! Errors of meaning in one fleet file, all of them at once.

use std::collections::BTreeSet;
use std::time::Duration;

use super::file::{FleetFile, Maintenance, Service};
use super::parse::Issue;
use crate::code::Code;

const MAX_NAME: usize = 64;
const MAX_INSTANCES: u32 = 1_000;
const MAX_SLOTS: u32 = 1_024;
const MAX_DEADLINE: Duration = Duration::from_secs(24 * 3600);

/// Checks names, ranges, references and budgets of one file.
pub fn check(f: &FleetFile) -> Vec<Issue> {
    let mut issues = Vec::new();
    name(&mut issues, "file", &f.file);
    names(&mut issues, "hosts", f.hosts.iter().map(|h| &h.name));
    names(&mut issues, "pools", f.pools.iter().map(|p| &p.name));
    names(&mut issues, "services", f.services.iter().map(|s| &s.name));
    names(&mut issues, "maintenance", f.maintenance.iter().map(|m| &m.name));
    names(&mut issues, "teams", f.teams.iter().map(|t| &t.name));
    names(&mut issues, "jobs", f.jobs.iter().map(|j| &j.name));
    let need: u64 = f.pools.iter().map(|p| u64::from(p.size)).sum();
    if need > f.hosts.len() as u64 {
        let text = format!("pools need {need} hosts and the file claims {}", f.hosts.len());
        issues.push(Issue::new("pools", Code::NotEnoughHosts, text));
    }
    for (i, h) in f.hosts.iter().enumerate() {
        name(&mut issues, &format!("hosts[{i}].data_centre"), &h.data_centre);
        name(&mut issues, &format!("hosts[{i}].rack"), &h.rack);
    }
    for (i, s) in f.services.iter().enumerate() {
        service(&mut issues, f, &format!("services[{i}]"), s);
    }
    for (i, m) in f.maintenance.iter().enumerate() {
        maintenance(&mut issues, f, &format!("maintenance[{i}]"), m);
    }
    for (i, j) in f.jobs.iter().enumerate() {
        let at = format!("jobs[{i}]");
        pool_exists(&mut issues, f, &at, &j.pool);
        if !f.teams.iter().any(|t| t.name == j.team) {
            issues.push(Issue::new(format!("{at}.team"), Code::UnknownName, format!("no team `{}`", j.team)));
        }
    }
    routes_unique(&mut issues, f);
    issues
}

fn name(issues: &mut Vec<Issue>, at: &str, text: &str) {
    let fits = !text.is_empty() && text.len() <= MAX_NAME;
    let plain = text.chars().all(|c| c.is_ascii_alphanumeric() || "-_.".contains(c));
    if !fits || !plain {
        let text = format!("`{text}` is not a name of 1 to {MAX_NAME} letters, digits, `-`, `_` or `.`");
        issues.push(Issue::new(at, Code::OutOfRange, text));
    }
}

fn names<'a>(issues: &mut Vec<Issue>, list: &str, all: impl Iterator<Item = &'a String>) {
    let mut seen = BTreeSet::new();
    for (i, n) in all.enumerate() {
        let at = format!("{list}[{i}]");
        name(issues, &at, n);
        if !seen.insert(n) {
            issues.push(Issue::new(at, Code::DuplicateName, format!("`{n}` stands twice")));
        }
    }
}

fn pool_exists(issues: &mut Vec<Issue>, f: &FleetFile, at: &str, pool: &str) {
    if !f.pools.iter().any(|p| p.name == pool) {
        issues.push(Issue::new(
            format!("{at}.pool"),
            Code::UnknownName,
            format!("no pool `{pool}` in this file"),
        ));
    }
}

fn range(issues: &mut Vec<Issue>, at: String, value: u32, least: u32, most: u32) {
    if value < least || value > most {
        issues.push(Issue::new(at, Code::OutOfRange, format!("{value} is not in {least} to {most}")));
    }
}

fn service(issues: &mut Vec<Issue>, f: &FleetFile, at: &str, s: &Service) {
    pool_exists(issues, f, at, &s.pool);
    range(issues, format!("{at}.instances"), s.instances, 1, MAX_INSTANCES);
    range(issues, format!("{at}.slots"), s.slots, 1, MAX_SLOTS);
    range(issues, format!("{at}.window"), s.window(), s.slots, MAX_SLOTS * 2);
    range(issues, format!("{at}.connections"), s.connections, s.window(), MAX_SLOTS * 8);
    if s.budget.min_available >= s.instances {
        let text = format!(
            "min_available {} of {} instances leaves none for maintenance",
            s.budget.min_available, s.instances
        );
        issues.push(Issue::new(format!("{at}.budget"), Code::BudgetImpossible, text));
    }
    let size = f.pools.iter().find(|p| p.name == s.pool).map_or(0, |p| p.size);
    if size > 0 && s.instances > size {
        let text =
            format!("{} instances on a pool of {size} hosts; each needs a host of its own", s.instances);
        issues.push(Issue::new(format!("{at}.instances"), Code::NotEnoughHosts, text));
    }
    for (i, r) in s.routes.iter().enumerate() {
        if !r.path.starts_with('/') {
            issues.push(Issue::new(
                format!("{at}.routes[{i}].path"),
                Code::OutOfRange,
                "a path starts with `/`".to_string(),
            ));
        }
        if r.deadline.is_zero() || r.deadline > MAX_DEADLINE {
            issues.push(Issue::new(
                format!("{at}.routes[{i}].deadline"),
                Code::OutOfRange,
                "a deadline is more than 0 and at most 24h".to_string(),
            ));
        }
    }
}

fn maintenance(issues: &mut Vec<Issue>, f: &FleetFile, at: &str, m: &Maintenance) {
    pool_exists(issues, f, at, &m.pool);
    if m.duration.is_zero() || m.duration > MAX_DEADLINE {
        issues.push(Issue::new(
            format!("{at}.duration"),
            Code::OutOfRange,
            "a duration is more than 0 and at most 24h".to_string(),
        ));
    }
    if m.deadline != 0 && m.deadline <= m.start {
        issues.push(Issue::new(
            format!("{at}.deadline"),
            Code::OutOfRange,
            "the deadline is not after the start",
        ));
    }
    for (i, w) in m.blackout_windows.iter().enumerate() {
        if w.to <= w.from {
            issues.push(Issue::new(
                format!("{at}.keep_clear[{i}]"),
                Code::OutOfRange,
                "`to` is not after `from`".to_string(),
            ));
        }
    }
}

fn routes_unique(issues: &mut Vec<Issue>, f: &FleetFile) {
    let mut seen = BTreeSet::new();
    for (i, s) in f.services.iter().enumerate() {
        for (j, r) in s.routes.iter().enumerate() {
            if !seen.insert(&r.path) {
                let at = format!("services[{i}].routes[{j}].path");
                issues.push(Issue::new(at, Code::DuplicateName, format!("path `{}` stands twice", r.path)));
            }
        }
    }
}
