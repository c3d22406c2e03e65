//! Reading a settings file, with every complaint at once.

use std::{fs, path::Path};

use domain::violation::Violation;
use garde::Validate;
use schemars::{JsonSchema, Schema, schema_for};
use serde::de::DeserializeOwned;
use serde_json::Value;
use snafu::ResultExt;

use crate::{
    common::Address,
    error::{Error, InvalidSnafu, ReadSnafu, SyntaxSnafu},
};

/// What a settings file can be read into.
pub trait Document: DeserializeOwned + JsonSchema + Validate<Context = ()> {}

impl<T: DeserializeOwned + JsonSchema + Validate<Context = ()>> Document for T {}

/// The JSON Schema of a settings file.
pub fn schema<T: Document>() -> Schema {
    schema_for!(T)
}

/// Reads and checks a settings file.
///
/// # Errors
///
/// If it can't be read, is not JSON, or breaks any rule; then every broken rule is named.
pub fn load<T: Document>(path: &Path) -> Result<T, Error> {
    let text = fs::read_to_string(path).context(ReadSnafu { path })?;
    let value: Value = serde_json::from_str(&text).context(SyntaxSnafu { path })?;
    check(value).map_err(|violations| InvalidSnafu { path, violations }.build())
}

/// Checks a document and reads it.
///
/// # Errors
///
/// Every broken rule with its JSON path.
pub fn check<T: Document>(value: Value) -> Result<T, Vec<Violation>> {
    let broken = shape_violations(&schema::<T>(), &value);
    if !broken.is_empty() {
        return Err(broken);
    }
    let document: T = serde_path_to_error::deserialize(value).map_err(|error| {
        let path = format!("$.{}", error.path());
        vec![Violation::new(path, error.into_inner().to_string())]
    })?;
    match document.validate() {
        Ok(()) => Ok(document),
        Err(report) => Err(rule_violations(&report)),
    }
}

/// Reads a secret and strips the line end that editors add.
///
/// # Errors
///
/// If the file can't be read.
pub fn load_secret(path: &Path) -> Result<Vec<u8>, Error> {
    let text = fs::read(path).context(ReadSnafu { path })?;
    Ok(text.trim_ascii_end().to_vec())
}

fn shape_violations(schema: &Schema, value: &Value) -> Vec<Violation> {
    let validator = match jsonschema::options()
        .with_format(Address::FORMAT, Address::is_valid)
        .should_validate_formats(true)
        .build(schema.as_value())
    {
        Ok(validator) => validator,
        Err(error) => return vec![Violation::new("$", error.to_string())],
    };
    validator
        .iter_errors(value)
        .map(|error| {
            Violation::new(
                json_path(&error.instance_path().to_string()),
                error.to_string(),
            )
        })
        .collect()
}

fn rule_violations(report: &garde::Report) -> Vec<Violation> {
    report
        .iter()
        .map(|(path, error)| Violation::new(format!("$.{path}"), error.to_string()))
        .collect()
}

/// Turns a JSON pointer such as `/plans/2/share` into `$.plans[2].share`.
fn json_path(pointer: &str) -> String {
    pointer
        .split('/')
        .skip(1)
        .fold("$".to_owned(), |path, part| match part.parse::<usize>() {
            Ok(index) => format!("{path}[{index}]"),
            Err(_) => format!("{path}.{part}"),
        })
}
