//! Checks that the pages agree with the code.

use std::{fs, path::Path};

use chicoryreach::error::{ErrorKind, RetryAdvice};
use standins::proofs;
use strum::IntoEnumIterator;

#[test]
fn error_page_has_a_row_for_every_kind() {
    let page = fs::read_to_string("docs/ERRORS.md").expect("the page can be read");
    for kind in ErrorKind::iter() {
        let answer = kind.response();
        let not_run = if answer.not_run { "yes" } else { "no" };
        let retry = match answer.retry {
            RetryAdvice::Never => "never",
            RetryAdvice::Elsewhere => "elsewhere",
            RetryAdvice::Later => "later",
        };
        let row = format!("| `{kind}` | {} | {not_run} | {retry} |", answer.status);
        assert!(page.contains(&row), "docs/ERRORS.md lacks the row {row}");
    }
    let rows = page.lines().filter(|line| line.starts_with("| `")).count();
    assert_eq!(
        rows,
        ErrorKind::iter().count(),
        "docs/ERRORS.md has rows of no kind"
    );
}

#[test]
fn proofs_page_has_every_scenario() {
    let page = fs::read_to_string("docs/PROOFS.md").expect("the page can be read");
    let table =
        proofs::scenario_table(Path::new("tests/scenarios")).expect("the stories can be read");
    let command = "cargo run -p standins -- proofs";
    assert!(
        page.contains(&table),
        "docs/PROOFS.md does not hold what this prints: {command}"
    );
}

#[test]
fn readme_links_every_page() {
    let front = fs::read_to_string("README.md").expect("the page can be read");
    for entry in fs::read_dir("docs").expect("the folder can be read") {
        let name = entry.expect("the entry can be read").file_name();
        let name = name.to_string_lossy();
        let is_page = name.ends_with(".md");
        assert!(
            !is_page || front.contains(&format!("docs/{name}")),
            "README.md does not link {name}"
        );
    }
}
