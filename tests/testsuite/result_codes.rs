//! Numbered codes and their page.

use std::collections::BTreeSet;

use workswood::ops::explain;
use workswood_core::code::Code;

#[test]
fn page_in_step() {
    let page = include_str!("../../docs/ERRORS.md");
    assert_eq!(page, explain::errors_page(), "run: cargo run -- explain --all > docs/ERRORS.md");
}

#[test]
fn unique_numbers() {
    let numbers: BTreeSet<u16> = Code::ALL.iter().map(|c| c.number()).collect();
    assert_eq!(numbers.len(), Code::ALL.len());
    for c in Code::ALL {
        let text = explain::run(&c.number().to_string()).expect("every code is explained");
        assert!(text.contains(c.text()) && text.contains(c.advice()));
    }
    assert!(explain::run("9999").is_err());
}
