//! The operators' tool.

use oleandertack::ctl::command::CommandLine;
use oleandertack::ctl::run_command;
use std::process::ExitCode;

fn main() -> ExitCode {
    let outcome = CommandLine::parse(std::env::args_os().skip(1).collect())
        .and_then(|line| actix_rt::System::new().block_on(async move { run_command(&line).await }));
    match outcome {
        Ok(text) => {
            print!("{text}");
            ExitCode::SUCCESS
        }
        Err(fault) => {
            eprintln!("{fault}");
            ExitCode::from(fault.exit_code())
        }
    }
}
