//! The pages say what the code does.

use std::{fs, path::Path};

use chicoryreach::error::{ErrorKind, RetryAdvice};
use standins::proofs;
use strum::IntoEnumIterator;

#[test]
fn every_error_kind_stands_on_its_page() {
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
fn every_story_stands_on_the_page_of_proofs() {
    let page = fs::read_to_string("docs/PROOFS.md").expect("the page can be read");
    let table =
        proofs::scenario_table(Path::new("tests/scenarios")).expect("the stories can be read");
    let wanted = "cargo run -p standins -- proofs";
    assert!(
        page.contains(&table),
        "docs/PROOFS.md does not hold what this prints: {wanted}"
    );
}

#[test]
fn every_page_is_linked_from_the_front() {
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
