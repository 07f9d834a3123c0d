//! Tests that errors in settings files name the file, line and field.

use oleandertack::conf::reader::parse_settings;
use oleandertack::conf::{EntrySettings, FleetSettings, Result};
use std::path::Path;

const KEY: &str = "aaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaaa";

fn entry_text(extra: &str) -> String {
    format!(
        "{{\n// an entry\n\"instance\": \"entry-0\", \"domain\": \"kopli\",\n\
         \"listen\": \"127.0.0.1:1\", \"admin\": \"127.0.0.1:2\", \"peer\": \"127.0.0.1:3\",\n\
         \"platform\": \"http://127.0.0.1:4\", \"list\": \"http://127.0.0.1:4/list\",\n\
         \"root_keys\": [\"{KEY}\"]{extra}\n}}"
    )
}

fn entry(extra: &str) -> Result<EntrySettings> {
    parse_settings(Path::new("entry.json"), &entry_text(extra))
}

#[test]
fn comments_are_accepted_and_defaults_apply() {
    let settings = entry("").expect("no faults");

    assert_eq!(settings.times.probe_ms, 1000);
}

#[test]
fn an_unknown_field_is_an_error_that_names_the_line() {
    let fault = entry(",\n\"probe\": 5").expect_err("unknown").to_string();

    assert!(fault.starts_with("4001 entry.json:7:"), "{fault}");
    assert!(fault.contains("probe"), "{fault}");
}

#[test]
fn an_invalid_value_is_an_error_that_names_line_and_field() {
    let fault = entry(",\n\"bounds\": {\n\"held_bytes\": 10 }").expect_err("too small").to_string();

    assert!(fault.starts_with("4001 entry.json:8: field `held_bytes`"), "{fault}");
}

#[test]
fn a_fleet_lease_must_last_three_call_timeouts() {
    let text = format!(
        "{{ \"instance\": \"f\", \"domain\": \"kopli\", \"admin\": \"127.0.0.1:2\",\n\
         \"platform\": \"http://127.0.0.1:4\", \"list\": \"http://127.0.0.1:4/list\",\n\
         \"cloud\": \"http://127.0.0.1:4\", \"root_keys\": [\"{KEY}\"],\n\
         \"lease_ms\": 1000, \"call_ms\": 500 }}"
    );

    let fault = parse_settings::<FleetSettings>(Path::new("fleet.json"), &text);

    let fault = fault.expect_err("too short").to_string();
    assert!(fault.starts_with("4001 fleet.json:4: field `lease_ms`"), "{fault}");
}
