//! Parsing of operators' HCL files into typed settings, with errors in one line.

use super::errors::HclError;
use serde::de::DeserializeOwned;
use std::collections::BTreeSet;

/// Parses a text in HCL. Blocks of each kind in `named_blocks` must have unique names.
///
/// # Errors
///
/// Returns an error if the text is not valid HCL, two blocks have the same name, or a field is missing, unknown or of
/// the wrong type.
pub fn parse<T: DeserializeOwned>(text: &str, named_blocks: &[&str]) -> Result<T, HclError> {
    let body = hcl::parse(text)?;
    check_block_names_unique(&body, named_blocks)?;
    Ok(hcl::from_body(body)?)
}

/// Checks that blocks of each kind in `named_blocks` have unique names. Without this check, two blocks with the same
/// name would be reported as a value of the wrong type.
fn check_block_names_unique(body: &hcl::Body, named_blocks: &[&str]) -> Result<(), HclError> {
    for kind in named_blocks {
        let mut names = BTreeSet::new();
        for block in body.blocks().filter(|block| block.identifier.as_str() == *kind) {
            let name = block.labels.first().map(|label| label.as_str().to_string()).unwrap_or_default();
            if !names.insert(name.clone()) {
                return Err(HclError::DuplicateBlock { kind: kind.to_string(), name });
            }
        }
    }
    Ok(())
}
