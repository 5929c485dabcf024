//! Every fault at every step of a request.

use std::fmt::Write;

use heathpitch_proof::{Cell, Fault, Step, cells, run_cell};

#[test]
fn every_cell_satisfies_every_property() {
    let all = cells();
    let failed: Vec<String> =
        all.iter().filter_map(|c| run_cell(*c).err().map(|e| e.to_string())).collect();
    println!("{} cells, {} failed", all.len(), failed.len());
    assert_eq!(failed, Vec::<String>::new());
    let (steps, faults) = (Step::ALL.len(), Fault::ALL.len());
    let (started_steps, started_faults) = (steps - 2, faults - 2);
    let possible_per_mode =
        2 * faults * (faults + 1) + started_steps * started_faults * (started_faults + 1);
    assert_eq!(all.len(), 2 * possible_per_mode);
}

/// Outcome, executions and tokens of each single fault, as visible to clients.
#[test]
fn outcomes_of_single_faults() {
    let mut table = String::new();
    for at_most_once in [false, true] {
        let heading = if at_most_once { "may not be repeated" } else { "may be repeated" };
        writeln!(table, "{heading}").unwrap();
        for first in Fault::ALL.iter().copied() {
            write!(table, "  {:<13}", format!("{first:?}")).unwrap();
            for step in Step::ALL.iter().copied() {
                let cell = Cell { step, first, second: None, at_most_once };
                let text = match cell.is_possible() {
                    true => {
                        let v = run_cell(cell).unwrap();
                        format!("{}/{}/{}", v.outcome, v.executions, v.tokens)
                    }
                    false => "-".to_owned(),
                };
                write!(table, " {text:>11}").unwrap();
            }
            table.push('\n');
        }
    }
    insta::assert_snapshot!(table);
}
