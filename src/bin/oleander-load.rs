//! Load, with a history that is checked. Exits with 1 if a promise broke.

use oleandertack::load::{LoadSettings, run_load};
use oleandertack::start::read_or_exit;
use std::process::ExitCode;

fn main() -> ExitCode {
    let read = read_or_exit::<LoadSettings>("oleander-load", &["json", "history"]);
    let (settings, arguments) = match read {
        Ok(read) => read,
        Err(code) => return code,
    };
    let (report, records) =
        actix_rt::System::new().block_on(async move { run_load(&settings).await });
    print!("{}", report.text());
    if let Some(path) = arguments.option("json") {
        let text = serde_json::to_string_pretty(&report).unwrap_or_default();
        if let Err(fault) = std::fs::write(path, text) {
            eprintln!("{path}: {fault}");
        }
    }
    if let Some(path) = arguments.option("history") {
        let lines: Vec<String> =
            records.iter().filter_map(|call| serde_json::to_string(call).ok()).collect();
        if let Err(fault) = std::fs::write(path, lines.join("\n")) {
            eprintln!("{path}: {fault}");
        }
    }
    if report.held() { ExitCode::SUCCESS } else { ExitCode::FAILURE }
}
