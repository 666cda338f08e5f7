//! `explain`: what a code means, the table of all codes, and in [`job_history`] the way of
//! a job through the logs.

pub mod job_history;

use workswood_core::code::Code;

use crate::util::errors::{Error, Result};

/// Text about one code.
pub fn run(text: &str) -> Result<String> {
    let found = Code::ALL.iter().find(|c| c.number().to_string() == text);
    let Some(c) = found else {
        return Err(Error::NoCode { text: text.to_string() });
    };
    Ok(format!("{} {c:?}: {}\nwhat to do: {}\n", c.number(), c.text(), c.advice()))
}

/// The content of `docs/ERRORS.md`.
pub fn errors_page() -> String {
    let mut page = String::from(
        "# Result codes\n\nMade by `workswood explain --all`; a test compares the two. Answers to callers carry \
         the code in `x-workswood-code` and, in `x-workswood-ran`, whether the request was `run`, `not-run` or \
         `unknown`.\n\n| code | name | what happened | what to do |\n|---|---|---|---|\n",
    );
    for c in Code::ALL {
        page.push_str(&format!("| {} | {c:?} | {} | {} |\n", c.number(), c.text(), c.advice()));
    }
    page
}
