//! Texts in back quotes on the pages.

use std::fmt;

/// A text in back quotes on a page.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Citation {
    pub page: String,
    pub line: usize,
    pub text: String,
}

impl fmt::Display for Citation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: `{}`", self.page, self.line, self.text)
    }
}

/// Returns all texts in back quotes. A citation may span lines.
pub fn quoted(page: &str, text: &str) -> Vec<Citation> {
    let mut citations = Vec::new();
    let mut line = 1;
    for (index, part) in text.split('`').enumerate() {
        if index % 2 == 1 && !part.is_empty() {
            citations.push(Citation { page: page.into(), line, text: part.into() });
        }
        line += part.matches('\n').count();
    }
    citations
}
