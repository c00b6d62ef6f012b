//! Catalogue of events.

use std::collections::BTreeSet;
use std::fmt::Write;

use dogwoodtray_runtime::catalogue::ALL;

const PAGE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../docs/events.md");

/// Guards against events that operators cannot look up, and pages that describe events which no
/// longer exist. `UPDATE_EXPECT=1` writes the page anew.
#[test]
fn page_lists_every_event() {
    let mut page = String::from(
        "# Log events\n\nEach event has a number that never changes its meaning. Log lines start \
         with it, and the timeline shows it in the field `code`. Source: the catalogue in \
         `dogwoodtray_runtime`.\n\n| code | level | text |\n|---|---|---|\n",
    );
    for code in ALL {
        let level = format!("{:?}", code.level).to_lowercase();
        writeln!(page, "| {code} | {level} | {} |", code.text).expect("writes to a string");
    }
    if std::env::var_os("UPDATE_EXPECT").is_some() {
        std::fs::write(PAGE, &page).expect("the page can be written");
    }
    assert_eq!(std::fs::read_to_string(PAGE).unwrap_or_default(), page);
}

/// Guards against two events under one number.
#[test]
fn numbers_are_unique_and_in_order() {
    let numbers: Vec<u16> = ALL.iter().map(|code| code.number).collect();
    let unique: BTreeSet<u16> = numbers.iter().copied().collect();
    assert_eq!(numbers, unique.into_iter().collect::<Vec<u16>>());
}
