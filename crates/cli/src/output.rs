//! Output as tables, JSON or YAML.

use serde::Serialize;
use tabled::builder::Builder;
use tabled::settings::Style;

use crate::arguments;

/// Rows below column titles, as plain text.
#[derive(Debug, Default)]
pub struct Table {
    rows: Vec<Vec<String>>,
}

impl Table {
    /// Makes a table with these column titles.
    #[must_use]
    pub fn new<const N: usize>(titles: [&str; N]) -> Self {
        let titles = titles.iter().map(|title| (*title).to_owned()).collect();
        Self { rows: vec![titles] }
    }

    /// Adds a row, with one cell for each title.
    pub fn push_row<const N: usize>(&mut self, cells: [String; N]) {
        self.rows.push(cells.into());
    }

    /// The table as text.
    #[must_use]
    pub fn render(self) -> String {
        let mut builder = Builder::default();
        for row in self.rows {
            builder.push_record(row);
        }
        builder.build().with(Style::blank()).to_string()
    }
}

/// Prints a value in the given format; `table` renders it for
/// [`arguments::Format::Table`].
pub fn print<T: Serialize>(format: arguments::Format, value: &T, table: impl FnOnce() -> String) {
    match format {
        arguments::Format::Table => println!("{}", table()),
        arguments::Format::Json => println!("{}", json(value)),
        arguments::Format::Yaml => println!("{}", yaml(value)),
    }
}

fn json<T: Serialize>(value: &T) -> String {
    serde_json::to_string_pretty(value).unwrap_or_else(|failure| failure.to_string())
}

fn yaml<T: Serialize>(value: &T) -> String {
    serde_saphyr::to_string(value).unwrap_or_else(|failure| failure.to_string())
}
