//! Strict TOML parsing that collects all findings with line and column.

mod schema;
mod table;

use std::fmt;
use std::path::Path;

use crate::wire::Finding;

pub use schema::{Field, FieldKind, json_schema};
pub use table::Table;

/// All findings of one TOML text; never empty when returned as an error.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Findings(pub Vec<Finding>);

impl Findings {
    /// Formats the findings, one per line, each with the name of the file.
    #[must_use]
    pub fn in_file(&self, file: &Path) -> String {
        let file = file.display();
        let lines = self.0.iter().map(|finding| format!("{file}:{finding}"));
        lines.collect::<Vec<_>>().join("\n")
    }
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: ", self.line, self.column)?;
        if !self.field.is_empty() {
            write!(f, "{}: ", self.field)?;
        }
        f.write_str(&self.message)
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let lines: Vec<String> = self.0.iter().map(ToString::to_string).collect();
        f.write_str(&lines.join("\n"))
    }
}

impl std::error::Error for Findings {}

/// Parses `text` and reads its fields with `read`.
///
/// # Errors
/// Returns all syntax errors or, if there are none, all invalid and unknown fields.
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

/// Lists the fields that `read` reads, by calling it on an empty table.
pub fn fields<T>(read: impl FnOnce(&Table<'_>) -> T) -> Vec<Field> {
    let source = table::Source::recording();
    let empty = toml::de::DeTable::new();
    let table = Table::root(&source, &empty);
    read(&table);
    drop(table);
    source.into_fields()
}
