//! Tests of the event catalogue.

use std::collections::BTreeSet;
use std::fmt::Write;

use dogwoodtray_runtime::catalogue::ALL;

const PAGE_PATH: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/events.md");

/// Guards against events that are missing from `docs/events.md`, and against a page that lists
/// events that no longer exist. Run with `UPDATE_EXPECT=1` to regenerate the page.
#[test]
fn page_lists_all_events() {
    let mut page = String::from(
        "# Log events\n\nEach event has a number that never changes its meaning. Log lines start \
         with it, and the timeline shows it in the field `code`. Source: the catalogue in \
         `dogwoodtray_runtime`.\n\n| code | level | text |\n|---|---|---|\n",
    );
    for code in ALL {
        let level = format!("{:?}", code.level).to_lowercase();
        writeln!(page, "| {code} | {level} | {} |", code.text)
            .expect("writing to a string does not fail");
    }
    if std::env::var_os("UPDATE_EXPECT").is_some() {
        std::fs::write(PAGE_PATH, &page).expect("docs/events.md is writable");
    }
    assert_eq!(std::fs::read_to_string(PAGE_PATH).unwrap_or_default(), page);
}

/// Guards against two events with the same number.
#[test]
fn numbers_are_unique_and_in_order() {
    let numbers: Vec<u16> = ALL.iter().map(|code| code.number).collect();
    let unique: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(numbers, unique.into_iter().collect::<Vec<u16>>());
}
