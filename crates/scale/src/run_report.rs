//! Common interface of the reports of all commands.

use comfy_table::Table;
use serde::Serialize;

/// Report on one run or several.
pub trait RunReport: Serialize {
    /// Returns the figures as a table for a terminal.
    fn table(&self) -> Table;
    /// Returns whether no rule was broken in any run.
    fn rules_hold(&self) -> bool;
}
