//! `workswood explain`: describes a result code, prints the table of all codes, or, in
//! [`job_history`], shows the history of a job from the logs.

pub mod job_history;

use workswood_core::code::Code;

use crate::util::errors::{Error, Result};

/// Describes the result code with the number in `text`.
///
/// Returns an error if there is no such code.
pub fn run(text: &str) -> Result<String> {
    let code = Code::ALL.iter().find(|c| c.number().to_string() == text);
    let Some(c) = code else {
        return Err(Error::UnknownCode { text: text.to_string() });
    };
    Ok(format!("{} {c:?}: {}\nwhat to do: {}\n", c.number(), c.text(), c.advice()))
}

/// Returns the content of `docs/ERRORS.md`: a table of all result codes.
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
