//! A YAML mapping whose fields are read one by one, so that every fault is
//! reported at once.

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use serde::de::DeserializeOwned;
use serde_saphyr::Spanned;

use crate::error;
use crate::settings::{fault, file};

/// The value of a field with its place in the file.
type Field = Spanned<serde_json::Value>;

/// A settings file whose fields are taken one after the other. It keeps the fields
/// that are not yet taken and the faults found so far.
#[derive(Debug)]
pub struct Document {
    path: PathBuf,
    fields: BTreeMap<String, Field>,
    faults: Vec<fault::Fault>,
}

impl Document {
    /// Reads a file as a mapping of fields.
    ///
    /// # Errors
    /// [`error::Error::File`] when the file cannot be read,
    /// [`error::Error::Settings`] when it is not a YAML mapping.
    pub fn read(path: &Path) -> Result<Self, error::Error> {
        let text = file::read(path)?;
        let fields = serde_saphyr::from_str(&text)
            .map_err(|failure| error::Error::Settings(format!("{}: {failure}", path.display())))?;
        Ok(Self {
            path: path.into(),
            fields,
            faults: Vec::new(),
        })
    }

    /// Path of the settings file.
    #[must_use]
    pub fn path(&self) -> &Path {
        &self.path
    }

    /// Takes a field that must be present. `expected` says what is allowed.
    pub fn required<T: DeserializeOwned>(&mut self, field: &str, expected: &str) -> Option<T> {
        if self.fields.contains_key(field) {
            return self.optional(field, expected);
        }
        self.add_fault_at(None, field, format!("is missing; it takes {expected}"));
        None
    }

    /// Takes a field that may be absent. `expected` says what is allowed. `None` with
    /// a fault if the value is not valid.
    pub fn optional<T: DeserializeOwned>(&mut self, field: &str, expected: &str) -> Option<T> {
        let Spanned {
            value, referenced, ..
        } = self.fields.remove(field)?;
        let text = value.to_string();
        match serde_json::from_value(value) {
            Ok(value) => Some(value),
            Err(failure) => {
                let detail = format!("{text} is not {expected} ({failure})");
                self.add_fault_at(Some(referenced.line()), field, detail);
                None
            }
        }
    }

    /// Takes a number that may be absent and must lie in a range, bounds included.
    pub fn number(&mut self, field: &str, unit: &str, minimum: u64, maximum: u64) -> Option<u64> {
        let line = self.fields.get(field).map(|value| value.referenced.line());
        let expected = format!("a number of {unit} from {minimum} to {maximum}");
        let value = self.optional(field, &expected)?;
        if (minimum..=maximum).contains(&value) {
            return Some(value);
        }
        self.add_fault_at(line, field, format!("{value} is not {expected}"));
        None
    }

    /// Adds a fault that a check outside this type found. It has no line number.
    pub fn add_fault(&mut self, field: &str, detail: String) {
        self.add_fault_at(None, field, detail);
    }

    fn add_fault_at(&mut self, line: Option<u64>, field: &str, detail: String) {
        self.faults.push(fault::Fault {
            file: self.path.clone(),
            line,
            field: field.into(),
            detail,
        });
    }

    /// Ends the reading. Adds a fault for each field that was not taken, which is an
    /// unknown one, and returns the value if there is no fault.
    ///
    /// # Errors
    /// [`error::Error::Settings`] with every fault, one a line.
    pub fn finish<T>(mut self, value: Option<T>) -> Result<T, error::Error> {
        let unknown = std::mem::take(&mut self.fields);
        for (field, value) in unknown {
            let line = value.referenced.line();
            self.add_fault_at(Some(line), &field, "no such field".into());
        }
        self.faults.sort_by_key(|fault| fault.line);
        let lines: Vec<_> = self.faults.iter().map(ToString::to_string).collect();
        match value {
            Some(value) if lines.is_empty() => Ok(value),
            _ => Err(error::Error::Settings(lines.join("\n"))),
        }
    }
}
