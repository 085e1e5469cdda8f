//! Measured values of an experiment.

use std::collections::BTreeMap;

use serde::Serialize;

use super::measure;

/// One measure of the system and of the baseline.
pub struct Row {
    /// The measure and its bound.
    pub criterion: measure::Criterion,
    /// Value of the system.
    pub measured: f64,
    /// Value of the baseline.
    pub baseline: f64,
}

/// The result of an experiment.
pub struct Outcome {
    /// Number in the table of bounds.
    pub experiment: u32,
    /// Seed of the run.
    pub seed: u64,
    /// The measures.
    pub rows: Vec<Row>,
}

/// The JSON object on the last line.
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

    /// A table for readers.
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

    /// The JSON object on one line; infinite values appear as null.
    ///
    /// # Panics
    /// Never: the object has no unencodable values.
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
