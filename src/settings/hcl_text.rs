//! Operators' files in HCL: read into typed settings, with errors in one line.

use serde::de::DeserializeOwned;
use std::collections::BTreeSet;

/// Reads a text; blocks of these kinds must differ in their names.
pub fn parse<T: DeserializeOwned>(text: &str, named_blocks: &[&str]) -> Result<T, String> {
    let one_line = |e: hcl::Error| e.to_string().split_whitespace().collect::<Vec<_>>().join(" ");
    check_names(&hcl::parse(text).map_err(one_line)?, named_blocks)?;
    hcl::from_str(text).map_err(one_line)
}

/// Two blocks of one name would otherwise be told as a wrong type.
fn check_names(body: &hcl::Body, named_blocks: &[&str]) -> Result<(), String> {
    for kind in named_blocks {
        let mut names = BTreeSet::new();
        for block in body.blocks().filter(|block| block.identifier.as_str() == *kind) {
            let name = block.labels.first().map(|label| label.as_str().to_string()).unwrap_or_default();
            if !names.insert(name.clone()) {
                return Err(format!("{kind}.{name}: there are two of this name"));
            }
        }
    }
    Ok(())
}
