//! The whole matrix, as a table.

use crate::cell::{CellOutcome, run_cell};
use crate::fault::RigFault;
use oleander_edge::EntryStep;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// One row: a fault, or a pair, and the outcome at each step.
pub struct MatrixRow {
    /// The faults.
    pub faults: Vec<RigFault>,
    /// One outcome a step, in the order of [`EntryStep::ALL`].
    pub cells: Vec<Result<CellOutcome, String>>,
}

type CellPlace = (usize, usize);

/// Runs every row at every step, `at_once` cells at a time.
pub fn run_matrix(rows: &[Vec<RigFault>], seed: u64, at_once: usize) -> Vec<MatrixRow> {
    let steps = EntryStep::ALL;
    let places: Vec<CellPlace> =
        (0..rows.len()).flat_map(|row| (0..steps.len()).map(move |step| (row, step))).collect();
    let next = AtomicUsize::new(0);
    let done: Mutex<Vec<(CellPlace, Result<CellOutcome, String>)>> = Mutex::default();
    std::thread::scope(|scope| {
        for _ in 0..at_once {
            scope.spawn(|| {
                while let Some((row, step)) = places.get(next.fetch_add(1, Ordering::SeqCst)) {
                    let cell = run_cell(steps[*step], &rows[*row], seed);
                    let outcome = actix_rt::System::new().block_on(cell);
                    if let Ok(mut done) = done.lock() {
                        done.push(((*row, *step), outcome));
                    }
                }
            });
        }
    });
    let mut outcomes = done.into_inner().unwrap_or_default();
    outcomes.sort_by_key(|(place, _)| *place);
    let mut matrix: Vec<MatrixRow> =
        rows.iter().map(|faults| MatrixRow { faults: faults.clone(), cells: Vec::new() }).collect();
    for ((row, _), outcome) in outcomes {
        matrix[row].cells.push(outcome);
    }
    matrix
}

/// The matrix as a Markdown table.
pub fn matrix_text(rows: &[MatrixRow]) -> String {
    let mut text = String::from("| fault |");
    for step in EntryStep::ALL {
        text.push_str(&format!(" {step:?} |"));
    }
    text.push_str("\n|---|");
    text.push_str(&"---|".repeat(EntryStep::ALL.len()));
    text.push('\n');
    for row in rows {
        let names: Vec<String> = row.faults.iter().map(|fault| format!("{fault:?}")).collect();
        text.push_str(&format!("| {} |", names.join(" + ")));
        for cell in &row.cells {
            let word =
                cell.as_ref().map_or_else(|fault| format!("NOT RUN: {fault}"), CellOutcome::word);
            text.push_str(&format!(" {word} |"));
        }
        text.push('\n');
    }
    text
}
