//! Outcome of an experiment: measured values and their bounds.

use std::collections::BTreeMap;

use serde::Serialize;

use super::measure;

/// Values of one measure for the system and for the baseline.
pub struct Row {
    /// Criterion with the measure and its bound.
    pub criterion: measure::Criterion,
    /// Value of the system.
    pub measured: f64,
    /// Value of the baseline.
    pub baseline: f64,
}

/// Outcome of an experiment.
pub struct Outcome {
    /// Number of the experiment in the table of bounds.
    pub experiment: u32,
    /// Seed of the run.
    pub seed: u64,
    /// Values of all measures, in the order of the plan.
    pub rows: Vec<Row>,
}

/// JSON object with the outcome, which the command prints as its last line.
#[derive(Serialize)]
struct Line<'a> {
    experiment: u32,
    seed: u64,
    measured: BTreeMap<&'a str, f64>,
    baseline: BTreeMap<&'a str, f64>,
    bound: BTreeMap<&'a str, String>,
    holds: bool,
}

impl Outcome {
    /// Whether every bound holds.
    #[must_use]
    pub fn holds(&self) -> bool {
        let holds = |row: &Row| row.criterion.bound.holds(row.measured);
        self.rows.iter().all(holds)
    }

    /// Table with a row for each measure.
    #[must_use]
    pub fn table(&self) -> String {
        let mut builder = tabled::builder::Builder::new();
        builder.push_record(["measure", "system", "baseline", "bound", "holds"]);
        for row in &self.rows {
            let holds = row.criterion.bound.holds(row.measured);
            builder.push_record([
                row.criterion.name.clone(),
                format!("{:.4}", row.measured),
                format!("{:.4}", row.baseline),
                row.criterion.bound.to_string(),
                if holds { "yes" } else { "no" }.to_owned(),
            ]);
        }
        builder.build().to_string()
    }

    /// JSON object on one line; values that are infinite or NaN are written as null.
    ///
    /// # Panics
    /// Never: all values of the object can be encoded.
    #[must_use]
    pub fn json(&self) -> String {
        let name = |row: &'_ Row| row.criterion.name.clone();
        let names: Vec<String> = self.rows.iter().map(name).collect();
        let by_name = || names.iter().map(String::as_str).zip(&self.rows);
        let line = Line {
            experiment: self.experiment,
            seed: self.seed,
            measured: by_name().map(|(name, row)| (name, row.measured)).collect(),
            baseline: by_name().map(|(name, row)| (name, row.baseline)).collect(),
            bound: by_name()
                .map(|(name, row)| (name, row.criterion.bound.to_string()))
                .collect(),
            holds: self.holds(),
        };
        serde_json::to_string(&line).expect("numbers and text can be encoded")
    }
}
