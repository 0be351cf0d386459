//! Reading of settings files.

use super::checks::{check_operator, check_settings};
use super::errors::{ContentError, SettingsError};
use super::hcl_text;
use super::{OperatorSettings, Settings};
use std::ops::Range;
use std::path::Path;

/// Reads and checks the platform's settings file, in TOML.
///
/// # Errors
///
/// Returns an error if the file cannot be read, is not valid TOML, or has an invalid field.
pub fn load_settings(path: &Path) -> Result<Settings, SettingsError> {
    load(path, |text| {
        let settings: Settings = toml::from_str(text).map_err(|source| ContentError::Toml {
            text_line: source.span().map(|span| line_at(text, span)),
            source,
        })?;
        check_settings(&settings)?;
        Ok(settings)
    })
}

/// Reads and checks the operators' settings file, in HCL.
///
/// # Errors
///
/// Returns an error if the file cannot be read, is not valid HCL, or has an invalid field.
pub fn load_operator(path: &Path) -> Result<OperatorSettings, SettingsError> {
    load(path, |text| {
        let operator: OperatorSettings = hcl_text::parse(text, &[])?;
        check_operator(&operator)?;
        Ok(operator)
    })
}

/// Reads a file, and parses and checks its text by `parse`.
pub(crate) fn load<T>(path: &Path, parse: impl FnOnce(&str) -> Result<T, ContentError>) -> Result<T, SettingsError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| SettingsError::Unreadable { file: path.to_path_buf(), source })?;
    parse(&text).map_err(|source| SettingsError::Invalid { file: path.to_path_buf(), source: Box::new(source) })
}

/// Returns the number, from 1, and the text of the line in which a span begins.
fn line_at(text: &str, span: Range<usize>) -> (usize, String) {
    let line = text[..span.start.min(text.len())].matches('\n').count();
    (line + 1, text.lines().nth(line).unwrap_or("").trim().to_string())
}
