//! Checks that the generated tables in the documentation match the code.

use oleandertack::gauge::page::{CapacityData, capacity_tables};
use oleandertack::kind::ResultCode;
use oleandertack::kind::code::code_table;
use std::collections::BTreeSet;
use std::path::PathBuf;

fn read_page(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|fault| panic!("{}: {fault}", path.display()))
}

#[test]
fn the_result_code_page_matches_the_code_table() {
    assert!(
        read_page("RESULT-CODES.md").contains(&code_table()),
        "regenerate it with `oleander-ctl codes`"
    );
}

#[test]
fn the_event_page_matches_the_event_table() {
    let table = oleandertack::front::events::event_table();

    assert!(read_page("EVENTS.md").contains(&table), "regenerate it with `oleander-ctl events`");
}

#[test]
fn result_code_numbers_are_unique() {
    let numbers: BTreeSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();

    assert_eq!(numbers.len(), ResultCode::ALL.len());
}

#[test]
fn the_capacity_page_matches_the_committed_data() {
    let data: CapacityData =
        serde_json::from_str(&read_page("capacity.json")).expect("the committed data");

    let tables = capacity_tables(&data);

    assert!(
        read_page("CAPACITY.md").contains(&tables),
        "regenerate them with `oleander-bench page`"
    );
}
