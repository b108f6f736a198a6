//! A TOML table that reports unread fields as unknown.

use std::cell::RefCell;
use std::collections::BTreeSet;
use std::ops::RangeInclusive;

use toml::de::{DeTable, DeValue};

use super::Findings;
use super::schema::{Field, FieldKind};
use crate::wire::Finding;

/// The TOML text being read and the findings so far.
#[derive(Debug)]
pub(super) struct Source<'t> {
    text: &'t str,
    findings: RefCell<Vec<Finding>>,
    /// The fields read so far, if fields are recorded for a schema.
    fields: Option<RefCell<Vec<Field>>>,
    empty: DeTable<'t>,
}

impl<'t> Source<'t> {
    pub(super) fn new(text: &'t str) -> Self {
        Self {
            text,
            findings: RefCell::default(),
            fields: None,
            empty: DeTable::new(),
        }
    }

    /// Creates a source without text that records the fields that are read.
    pub(super) fn recording() -> Self {
        Self {
            fields: Some(RefCell::default()),
            ..Self::new("")
        }
    }

    pub(super) fn into_fields(self) -> Vec<Field> {
        self.fields.map(RefCell::into_inner).unwrap_or_default()
    }

    /// Records a finding at the byte offset `at`.
    pub(super) fn report(&self, at: usize, field: &str, message: &str) {
        let before = &self.text[..at.min(self.text.len())];
        let line = before.matches('\n').count() + 1;
        let start = before.rfind('\n').map_or(0, |newline| newline + 1);
        let column = before[start..].chars().count() + 1;
        self.findings.borrow_mut().push(Finding {
            line: u32::try_from(line).unwrap_or(u32::MAX),
            column: u32::try_from(column).unwrap_or(u32::MAX),
            field: field.to_owned(),
            message: message.to_owned(),
        });
    }

    pub(super) fn into_findings(self) -> Findings {
        let mut findings = self.findings.into_inner();
        findings.sort_by_key(|finding| (finding.line, finding.column));
        Findings(findings)
    }
}

/// A TOML table. Dropping the table reports every field that was not read as unknown.
#[derive(Debug)]
pub struct Table<'t> {
    source: &'t Source<'t>,
    path: String,
    /// Byte offset of the table in the text.
    start: usize,
    items: &'t DeTable<'t>,
    read_keys: RefCell<BTreeSet<String>>,
}

impl<'t> Table<'t> {
    pub(super) fn root(source: &'t Source<'t>, items: &'t DeTable<'t>) -> Self {
        Self::new(source, String::new(), 0, items)
    }

    fn new(source: &'t Source<'t>, path: String, start: usize, items: &'t DeTable<'t>) -> Self {
        Self {
            source,
            path,
            start,
            items,
            read_keys: RefCell::default(),
        }
    }

    /// The full name of a field, such as `pools[0].zones`.
    fn field_path(&self, key: &str) -> String {
        if self.path.is_empty() {
            key.to_owned()
        } else {
            format!("{}.{key}", self.path)
        }
    }

    /// Reports a finding at the field `key`, or at the table when the field is missing.
    pub fn report(&self, key: &str, message: &str) {
        let at = self
            .items
            .get(key)
            .map_or(self.start, |value| value.span().start);
        self.source.report(at, &self.field_path(key), message);
    }

    /// Records that the field `key` is read, if fields are recorded for a schema.
    fn record_field(&self, key: &str, kind: FieldKind, required: bool) {
        if let Some(fields) = &self.source.fields {
            fields.borrow_mut().push(Field {
                path: self.field_path(key),
                kind,
                required,
            });
        }
    }

    /// An empty table in place of a missing one, if fields are recorded for a schema.
    fn placeholder(&self, path: String) -> Option<Table<'t>> {
        let source = self.source;
        let placeholder = Self::new(source, path, 0, &source.empty);
        source.fields.is_some().then_some(placeholder)
    }

    /// The value of the field `key`, which counts as read from now on.
    fn get(&self, key: &str) -> Option<&'t DeValue<'t>> {
        self.read_keys.borrow_mut().insert(key.to_owned());
        self.items.get(key).map(toml::Spanned::get_ref)
    }

    fn report_wrong_type(&self, key: &str, expected: &str, value: &DeValue<'_>) {
        let found = value.type_str();
        self.report(key, &format!("expected {expected}, found {found}"));
    }

    fn report_missing(&self, key: &str, expected: &str) {
        self.report(key, &format!("missing: expected {expected}"));
    }

    /// Reads an optional string.
    #[must_use]
    pub fn text_opt(&self, key: &str) -> Option<String> {
        self.record_field(key, FieldKind::Text, false);
        self.text_value(key)
    }

    fn text_value(&self, key: &str) -> Option<String> {
        let value = self.get(key)?;
        let text = value.as_str();
        if text.is_none() {
            self.report_wrong_type(key, "a text", value);
        }
        text.map(str::to_owned)
    }

    /// Reads a required, non-empty string; returns an empty one after a finding.
    #[must_use]
    pub fn text(&self, key: &str) -> String {
        self.record_field(key, FieldKind::Text, true);
        if self.get(key).is_none() {
            self.report_missing(key, "a text");
        }
        let text = self.text_value(key).unwrap_or_default();
        if text.is_empty()
            && self
                .items
                .get(key)
                .is_some_and(|value| value.get_ref().is_str())
        {
            self.report(key, "must not be empty");
        }
        text
    }

    /// Reads an optional integer within `range`.
    #[must_use]
    pub fn number_opt(&self, key: &str, range: &RangeInclusive<u64>) -> Option<u64> {
        self.record_field(key, FieldKind::number(range, None), false);
        self.number_value(key, range)
    }

    fn number_value(&self, key: &str, range: &RangeInclusive<u64>) -> Option<u64> {
        let value = self.get(key)?;
        let Some(integer) = value.as_integer() else {
            self.report_wrong_type(key, "a whole number", value);
            return None;
        };
        let number = u64::from_str_radix(integer.as_str(), integer.radix()).ok();
        let in_range = number.filter(|number| range.contains(number));
        if in_range.is_none() {
            let (low, high) = (range.start(), range.end());
            let found = integer.as_str();
            self.report(key, &format!("expected {low} to {high}, found {found}"));
        }
        in_range
    }

    /// Reads a required integer; returns the range's start after a finding.
    #[must_use]
    pub fn number(&self, key: &str, range: &RangeInclusive<u64>) -> u64 {
        self.record_field(key, FieldKind::number(range, None), true);
        if self.get(key).is_none() {
            let (low, high) = (range.start(), range.end());
            self.report_missing(key, &format!("a whole number, {low} to {high}"));
        }
        self.number_value(key, range).unwrap_or(*range.start())
    }

    /// Reads an integer within `range`, or the default.
    #[must_use]
    pub fn number_or(&self, key: &str, default: u64, range: &RangeInclusive<u64>) -> u64 {
        self.record_field(key, FieldKind::number(range, Some(default)), false);
        self.number_value(key, range).unwrap_or(default)
    }

    /// Reads a boolean, or the default.
    #[must_use]
    pub fn flag_or(&self, key: &str, default: bool) -> bool {
        self.record_field(key, FieldKind::Flag { default }, false);
        let Some(value) = self.get(key) else {
            return default;
        };
        let flag = value.as_bool();
        if flag.is_none() {
            self.report_wrong_type(key, "true or false", value);
        }
        flag.unwrap_or(default)
    }

    /// Reads one of a fixed set of strings, or the default.
    #[must_use]
    pub fn choice_or<T: Copy>(&self, key: &str, default: T, choices: &[(&str, T)]) -> T {
        let words = choices.iter().map(|(name, _)| (*name).to_owned()).collect();
        self.record_field(key, FieldKind::Choice { words }, false);
        let Some(word) = self.text_value(key) else {
            return default;
        };
        let found = choices.iter().find(|(name, _)| *name == word);
        if found.is_none() {
            let names: Vec<&str> = choices.iter().map(|(name, _)| *name).collect();
            let names = names.join(", ");
            self.report(key, &format!("expected one of {names}; found {word}"));
        }
        found.map_or(default, |(_, value)| *value)
    }

    /// Reads an array of strings; a missing field gives an empty one.
    #[must_use]
    pub fn texts(&self, key: &str) -> Vec<String> {
        self.record_field(key, FieldKind::Texts, false);
        let Some(value) = self.get(key) else {
            return Vec::new();
        };
        let Some(array) = value.as_array() else {
            self.report_wrong_type(key, "a list of texts", value);
            return Vec::new();
        };
        let mut texts = Vec::new();
        for item in array {
            match item.get_ref().as_str() {
                Some(text) => texts.push(text.to_owned()),
                None => self.report_wrong_type(key, "a list of texts", item.get_ref()),
            }
        }
        texts
    }

    /// Reads an optional table.
    #[must_use]
    pub fn table_opt(&self, key: &str) -> Option<Table<'t>> {
        self.record_field(key, FieldKind::Table, false);
        self.table_value(key)
    }

    fn table_value(&self, key: &str) -> Option<Table<'t>> {
        let Some(value) = self.get(key) else {
            return self.placeholder(self.field_path(key));
        };
        let start = self
            .items
            .get(key)
            .map_or(0, |spanned| spanned.span().start);
        let Some(items) = value.as_table() else {
            self.report_wrong_type(key, "a table", value);
            return None;
        };
        Some(Self::new(self.source, self.field_path(key), start, items))
    }

    /// Reads a required table; returns `None` after a finding.
    #[must_use]
    pub fn table(&self, key: &str) -> Option<Table<'t>> {
        self.record_field(key, FieldKind::Table, true);
        if self.get(key).is_none() {
            self.report_missing(key, "a table");
        }
        self.table_value(key)
    }

    /// Reads an array of tables; a missing field gives an empty one.
    #[must_use]
    pub fn tables(&self, key: &str) -> Vec<Table<'t>> {
        self.record_field(key, FieldKind::Tables, false);
        let Some(value) = self.get(key) else {
            let placeholder = self.placeholder(format!("{}[]", self.field_path(key)));
            return placeholder.into_iter().collect();
        };
        let Some(array) = value.as_array() else {
            self.report_wrong_type(key, "a list of tables", value);
            return Vec::new();
        };
        let mut tables = Vec::new();
        for (n, item) in array.iter().enumerate() {
            let path = format!("{}[{n}]", self.field_path(key));
            match item.get_ref().as_table() {
                Some(items) => {
                    tables.push(Self::new(self.source, path, item.span().start, items));
                }
                None => self.report_wrong_type(key, "a list of tables", item.get_ref()),
            }
        }
        tables
    }
}

impl Drop for Table<'_> {
    fn drop(&mut self) {
        let read_keys = self.read_keys.borrow();
        for (key, _) in self.items {
            let name: &str = key.get_ref();
            if !read_keys.contains(name) {
                let at = key.span().start;
                self.source
                    .report(at, &self.field_path(name), "unknown field");
            }
        }
    }
}
