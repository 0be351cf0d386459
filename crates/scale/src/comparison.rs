//! Common interface of the reports on several runs.

use comfy_table::Table;
use serde::Serialize;

/// Report that compares several runs.
pub trait Comparison: Serialize {
    /// Returns the runs as a table.
    fn table(&self) -> Table;
    /// Returns whether no rule was broken in any run.
    fn rules_hold(&self) -> bool;
}
