//! A JSON Schema of a TOML file, derived from the fields that the parser reads.

use std::ops::RangeInclusive;

use serde_json::{Map, Value, json};

/// The type and range of a field's value.
#[derive(Clone, Debug, PartialEq)]
pub enum FieldKind {
    /// A string.
    Text,
    /// An array of strings.
    Texts,
    /// An integer.
    Number {
        /// The smallest value.
        low: u64,
        /// The largest value.
        high: u64,
        /// The value of a missing field, if the field is optional.
        default: Option<u64>,
    },
    /// A boolean.
    Flag {
        /// The value of a missing field.
        default: bool,
    },
    /// One of a fixed set of strings.
    Choice {
        /// The allowed strings.
        words: Vec<String>,
    },
    /// A table.
    Table,
    /// An array of tables.
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

/// A field that the parser reads.
#[derive(Clone, Debug, PartialEq)]
pub struct Field {
    /// The field's full name, such as `pools[].zones`.
    pub path: String,
    /// The type and range of the field's value.
    pub kind: FieldKind,
    /// Whether the field is required.
    pub required: bool,
}

/// Builds a JSON Schema of all fields.
#[must_use]
pub fn json_schema(title: &str, fields: &[Field]) -> Value {
    let mut schema = object_schema(fields, "");
    schema.insert("title".to_owned(), json!(title));
    let dialect = "https://json-schema.org/draft/2020-12/schema";
    schema.insert("$schema".to_owned(), json!(dialect));
    Value::Object(schema)
}

/// Builds the schema of the table whose fields' names start with `prefix`.
fn object_schema(fields: &[Field], prefix: &str) -> Map<String, Value> {
    let mut properties = Map::new();
    let mut required = Vec::new();
    for field in fields {
        let Some(name) = field.path.strip_prefix(prefix) else {
            continue;
        };
        if name.contains('.') {
            continue;
        }
        properties.insert(name.to_owned(), field_schema(fields, field));
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

/// Builds the schema of one field's value.
fn field_schema(fields: &[Field], field: &Field) -> Value {
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
        FieldKind::Table => Value::Object(object_schema(fields, &format!("{}.", field.path))),
        FieldKind::Tables => {
            let items = object_schema(fields, &format!("{}[].", field.path));
            json!({"type": "array", "items": items})
        }
    }
}
