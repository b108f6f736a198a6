//! Reads TOML strictly and collects every finding with its place.

mod table;

use std::fmt;

use crate::wire::Finding;

pub use table::Table;

/// All findings of one text. It is never empty when it is returned as an error.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings(pub Vec<Finding>);

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (n, finding) in self.0.iter().enumerate() {
            let newline = if n == 0 { "" } else { "\n" };
            let Finding {
                line,
                column,
                field,
                message,
            } = finding;
            write!(f, "{newline}{line}:{column}: {field}: {message}")?;
        }
        Ok(())
    }
}

impl std::error::Error for Findings {}

/// Parses `text` and lets `read` take its fields.
///
/// # Errors
/// All findings: of the syntax, or of the fields that `read` took, or of unknown fields.
pub fn read<T>(text: &str, read: impl FnOnce(&Table<'_>) -> T) -> Result<T, Findings> {
    let source = table::Source::new(text);
    let (root, errors) = toml::de::DeTable::parse_recoverable(text);
    for error in &errors {
        let at = error.span().map_or(0, |span| span.start);
        source.report(at, "", error.message());
    }
    if !errors.is_empty() {
        return Err(source.into_findings());
    }
    let table = Table::root(&source, root.get_ref());
    let value = read(&table);
    drop(table);
    let findings = source.into_findings();
    if findings.0.is_empty() {
        Ok(value)
    } else {
        Err(findings)
    }
}
