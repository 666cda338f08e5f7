//! `check`: checks fleet files and settings offline.

use std::collections::BTreeMap;

use snafu::ResultExt;
use workswood_core::code::Code;
use workswood_core::fleet::{FleetFile, Issue, check, parse};

use crate::util::errors::{Error, ReadFileSnafu, Result};
use crate::util::job_settings::JobSettings;

/// Reads and checks one file.
pub fn read(path: &str) -> Result<FleetFile> {
    let text = std::fs::read_to_string(path).context(ReadFileSnafu { path })?;
    read_text(path, &text)
}

/// Parses and checks the text of a file; `path` is named in errors.
pub fn read_text(path: &str, text: &str) -> Result<FleetFile> {
    let invalid = |issues| Error::InvalidFile { path: path.to_string(), issues };
    let file = parse(text).map_err(invalid)?;
    let issues = check(&file);
    if issues.is_empty() { Ok(file) } else { Err(invalid(issues)) }
}

/// Checks each file, and all files against each other. Returns the valid files and all errors.
pub fn run(paths: &[String]) -> (Vec<FleetFile>, Vec<Error>) {
    let mut files = Vec::new();
    let mut errors = Vec::new();
    for path in paths {
        match read(path) {
            Ok(f) => files.push(f),
            Err(e) => errors.push(e),
        }
    }
    errors.extend(find_conflicts(&files));
    (files, errors)
}

/// Checks settings files of `workswood jobs`. Returns the valid settings and all errors.
pub fn job_settings(paths: &[String]) -> (Vec<JobSettings>, Vec<Error>) {
    let mut valid = Vec::new();
    let mut errors = Vec::new();
    for path in paths {
        match JobSettings::read(path) {
            Ok(s) => valid.push(s),
            Err(e) => errors.push(e),
        }
    }
    (valid, errors)
}

/// Finds hosts, pools and services that several files declare.
fn find_conflicts(files: &[FleetFile]) -> Vec<Error> {
    let mut declared_in: BTreeMap<String, &str> = BTreeMap::new();
    let mut errors = Vec::new();
    for f in files {
        let hosts = f.hosts.iter().map(|h| format!("host `{}`", h.name));
        let pools = f.pools.iter().map(|p| format!("pool `{}`", p.name));
        let services = f.services.iter().map(|s| format!("service `{}`", s.name));
        for name in hosts.chain(pools).chain(services) {
            let Some(other) = declared_in.insert(name.clone(), &f.file) else { continue };
            let text = format!("{name} is also declared in file `{other}`");
            let issues = vec![Issue::new("file", Code::ClaimedElsewhere, text)];
            errors.push(Error::InvalidFile { path: f.file.clone(), issues });
        }
    }
    errors
}
