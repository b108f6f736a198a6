//! The fields of a TOML text as a JSON Schema, made from the code that reads them.

use std::ops::RangeInclusive;

use serde_json::{Map, Value, json};

/// What a field may hold.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldKind {
    /// A text.
    Text,
    /// A list of texts.
    Texts,
    /// A whole number.
    Number {
        /// The smallest one.
        low: u64,
        /// The largest one.
        high: u64,
        /// The one that stands for a missing field.
        default: Option<u64>,
    },
    /// True or false.
    Flag {
        /// What stands for a missing field.
        default: bool,
    },
    /// One of some words.
    Choice {
        /// The words.
        words: Vec<String>,
    },
    /// A table.
    Table,
    /// A list of tables.
    Tables,
}

impl FieldKind {
    pub(super) fn number(range: &RangeInclusive<u64>, default: Option<u64>) -> Self {
        Self::Number {
            low: *range.start(),
            high: *range.end(),
            default,
        }
    }
}

/// One field that is read.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// Its full name, such as `pools[].zones`.
    pub path: String,
    /// What it may hold.
    pub kind: FieldKind,
    /// Whether it must be there.
    pub required: bool,
}

/// A JSON Schema of all fields.
#[must_use]
pub fn json_schema(title: &str, fields: &[Field]) -> Value {
    let mut schema = object(fields, "");
    schema.insert("title".to_owned(), json!(title));
    let dialect = "https://json-schema.org/draft/2020-12/schema";
    schema.insert("$schema".to_owned(), json!(dialect));
    Value::Object(schema)
}

/// The schema of the table whose fields' names start with `prefix`.
fn object(fields: &[Field], prefix: &str) -> Map<String, Value> {
    let mut properties = Map::new();
    let mut required = Vec::new();
    for field in fields {
        let Some(name) = field.path.strip_prefix(prefix) else {
            continue;
        };
        if name.contains('.') {
            continue;
        }
        properties.insert(name.to_owned(), property(fields, field));
        if field.required {
            required.push(json!(name));
        }
    }
    let mut schema = Map::new();
    schema.insert("type".to_owned(), json!("object"));
    schema.insert("additionalProperties".to_owned(), json!(false));
    schema.insert("required".to_owned(), Value::Array(required));
    schema.insert("properties".to_owned(), Value::Object(properties));
    schema
}

fn property(fields: &[Field], field: &Field) -> Value {
    match &field.kind {
        FieldKind::Text => json!({"type": "string"}),
        FieldKind::Texts => json!({"type": "array", "items": {"type": "string"}}),
        FieldKind::Number { low, high, default } => {
            let mut schema = json!({"type": "integer", "minimum": low, "maximum": high});
            if let Some(default) = default {
                schema["default"] = json!(default);
            }
            schema
        }
        FieldKind::Flag { default } => json!({"type": "boolean", "default": default}),
        FieldKind::Choice { words } => json!({"enum": words}),
        FieldKind::Table => Value::Object(object(fields, &format!("{}.", field.path))),
        FieldKind::Tables => {
            let items = object(fields, &format!("{}[].", field.path));
            json!({"type": "array", "items": items})
        }
    }
}
