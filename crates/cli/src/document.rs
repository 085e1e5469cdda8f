//! Configuration files that operators apply.

use std::collections::BTreeMap;
use std::fs;
use std::path::Path;

use masticarch_model::{configuration, key};

use crate::error;

/// A parsed configuration file.
#[derive(Clone, Debug, PartialEq)]
pub struct Document {
    configuration: configuration::Configuration,
    /// Whether the file has the field `keys`.
    has_keys: bool,
}

impl Document {
    /// Reads a configuration file. Unknown fields and wrong types are refused
    /// with line and column.
    ///
    /// # Errors
    /// [`error::Error::File`] or [`error::Error::Document`].
    pub fn read(path: &Path) -> Result<Self, error::Error> {
        let text =
            fs::read_to_string(path).map_err(|source| error::Error::File(path.into(), source))?;
        let invalid =
            |failure: serde_saphyr::Error| error::Error::Document(path.into(), failure.to_string());
        let fields: BTreeMap<String, serde_json::Value> =
            serde_saphyr::from_str(&text).map_err(invalid)?;
        Ok(Self {
            configuration: serde_saphyr::from_str(&text).map_err(invalid)?,
            has_keys: fields.contains_key("keys"),
        })
    }

    /// The configuration after the file is applied. A file without the field
    /// `keys` keeps the current keys, because keys are issued one by one.
    #[must_use]
    pub fn into_configuration(self, current_keys: &[key::Key]) -> configuration::Configuration {
        let mut configuration = self.configuration;
        if !self.has_keys {
            configuration.keys = current_keys.to_vec();
        }
        configuration
    }
}
