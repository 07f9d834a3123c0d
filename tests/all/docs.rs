//! Pages that must agree with the code.

use oleandertack::gauge::page::{CapacityData, capacity_tables};
use oleandertack::kind::ResultCode;
use oleandertack::kind::code::code_table;
use std::collections::BTreeSet;
use std::path::PathBuf;

fn page(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("docs").join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|fault| panic!("{}: {fault}", path.display()))
}

#[test]
fn the_page_of_result_codes_is_the_codes_table() {
    assert!(page("RESULT-CODES.md").contains(&code_table()), "make it with `oleander-ctl codes`");
}

#[test]
fn the_page_of_events_is_the_events_table() {
    let table = oleandertack::front::events::event_table();

    assert!(page("EVENTS.md").contains(&table), "make it with `oleander-ctl events`");
}

#[test]
fn result_code_numbers_are_unique() {
    let numbers: BTreeSet<u16> = ResultCode::ALL.iter().map(|code| code.number()).collect();

    assert_eq!(numbers.len(), ResultCode::ALL.len());
}

#[test]
fn the_capacity_page_shows_what_the_committed_data_give() {
    let data: CapacityData =
        serde_json::from_str(&page("capacity.json")).expect("the committed data");

    let tables = capacity_tables(&data);

    assert!(page("CAPACITY.md").contains(&tables), "make them with `oleander-bench page`");
}
