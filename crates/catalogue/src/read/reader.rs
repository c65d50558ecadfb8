//! Reads the fields of one TOML table and reports invalid ones.

use std::ops::RangeInclusive;

use base::Name;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::validate;
use crate::{Findings, Severity};

/// A value with its position in the text.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Byte offset from the start of the text.
    pub offset: usize,
}

/// Reads the fields of one table, and records which fields are known.
#[derive(Debug)]
pub struct Reader<'a> {
    text: &'a str,
    table: &'a DeTable<'a>,
    offset: usize,
    findings: &'a mut Findings,
    known_fields: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// Creates a reader of `table`, which starts at the byte `offset` of `text`.
    pub const fn new(
        text: &'a str,
        table: &'a DeTable<'a>,
        offset: usize,
        findings: &'a mut Findings,
    ) -> Self {
        Self {
            text,
            table,
            offset,
            findings,
            known_fields: Vec::new(),
        }
    }

    /// Returns the byte offset of the table.
    pub const fn offset(&self) -> usize {
        self.offset
    }

    /// Reports an error at a byte offset.
    pub fn error(&mut self, offset: usize, message: &str) {
        self.findings.add(Severity::Error, self.text, offset, message);
    }

    /// Reports a warning at a byte offset.
    pub fn warn(&mut self, offset: usize, message: &str) {
        self.findings.add(Severity::Warning, self.text, offset, message);
    }

    /// Whether the table has the field.
    pub fn has(&self, field: &str) -> bool {
        self.table.contains_key(field)
    }

    /// Reads a required name.
    pub fn name(&mut self, field: &'static str) -> Option<Name> {
        self.located_name(field).map(|located| located.value)
    }

    /// Reads a required name with its position.
    pub fn located_name(&mut self, field: &'static str) -> Option<Located<Name>> {
        let value = self.required(field)?;
        self.read_name(field, value)
    }

    /// Reads a required list of names with their positions.
    pub fn located_names(&mut self, field: &'static str) -> Vec<Located<Name>> {
        let Some(value) = self.required(field) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.invalid_value::<()>(field, value, "a list of names");
            return Vec::new();
        };
        if items.is_empty() {
            self.error(
                value.span().start,
                &format!("'{field}' is empty; name at least one"),
            );
        }
        items
            .iter()
            .filter_map(|item| self.read_name(field, item))
            .collect()
    }

    /// Reads a required, non-empty text.
    pub fn text(&mut self, field: &'static str) -> Option<Located<String>> {
        let value = self.required(field)?;
        match value.get_ref().as_str().filter(|text| !text.is_empty()) {
            Some(text) => Some(Located {
                value: text.to_owned(),
                offset: value.span().start,
            }),
            None => self.invalid_value(field, value, "a text that is not empty"),
        }
    }

    /// Reads a required text that must be one of `choices`.
    pub fn choice<T>(&mut self, field: &'static str, choices: &[(&str, T)]) -> Option<T>
    where
        T: Copy,
    {
        let value = self.required(field)?;
        let found = value.get_ref().as_str();
        let chosen = choices.iter().find(|(text, _choice)| found == Some(text));
        if let Some((_text, choice)) = chosen {
            return Some(*choice);
        }
        let allowed: Vec<String> = choices
            .iter()
            .map(|(text, _choice)| format!("'{text}'"))
            .collect();
        self.invalid_value(field, value, &allowed.join(" or "))
    }

    /// Reads a required integer within a range.
    pub fn number(&mut self, field: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.required(field)?;
        self.read_number(field, value, range)
    }

    /// Reads an optional integer within a range, or returns the default.
    pub fn number_or(
        &mut self,
        field: &'static str,
        default: u64,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        match self.optional(field) {
            Some(value) => self.read_number(field, value, range),
            None => Some(default),
        }
    }

    /// Reads an optional, non-negative price.
    pub fn price(&mut self, field: &'static str) -> Option<f64> {
        let value = self.optional(field)?;
        let number = match value.get_ref() {
            DeValue::Float(float) => float.as_str().parse::<f64>().ok(),
            DeValue::Integer(integer) => integer.as_str().parse::<f64>().ok(),
            _other => None,
        };
        match number.filter(|price| *price >= 0.0 && price.is_finite()) {
            Some(price) => Some(price),
            None => self.invalid_value(field, value, "a price that is not negative"),
        }
    }

    /// Reads a required boolean.
    pub fn boolean(&mut self, field: &'static str) -> Option<bool> {
        let value = self.required(field)?;
        match value.get_ref().as_bool() {
            Some(boolean) => Some(boolean),
            None => self.invalid_value(field, value, "true or false"),
        }
    }

    /// Reads an optional boolean, which defaults to `false`.
    pub fn boolean_or_false(&mut self, field: &'static str) -> Option<bool> {
        if self.has(field) {
            self.boolean(field)
        } else {
            Some(false)
        }
    }

    /// Reads a required table.
    pub fn table<T, R>(&mut self, field: &'static str, read: R) -> Option<T>
    where
        R: FnOnce(&mut Reader<'_>) -> Option<T>,
    {
        let value = self.required(field)?;
        let Some(table) = value.get_ref().as_table() else {
            return self.invalid_value(field, value, "a table");
        };
        let mut reader = Reader::new(self.text, table, value.span().start, self.findings);
        let value = read(&mut reader);
        reader.finish();
        value
    }

    /// Reads an optional array of `[[field]]` tables. Tables with errors are left out.
    pub fn tables<T, R>(&mut self, field: &'static str, mut read: R) -> Vec<T>
    where
        R: FnMut(&mut Reader<'_>) -> Option<T>,
    {
        let Some(value) = self.optional(field) else {
            return Vec::new();
        };
        let Some(items) = value.get_ref().as_array() else {
            self.invalid_value::<()>(field, value, &format!("tables, each headed [[{field}]]"));
            return Vec::new();
        };
        let mut values = Vec::new();
        for item in items {
            let Some(table) = item.get_ref().as_table() else {
                self.invalid_value::<()>(field, item, "a table");
                continue;
            };
            let mut reader = Reader::new(self.text, table, item.span().start, self.findings);
            values.extend(read(&mut reader));
            reader.finish();
        }
        values
    }

    /// Reports the fields of the table that were not read.
    pub fn finish(self) {
        for (key, _value) in self.table {
            let field = key.get_ref().as_ref();
            if !self.known_fields.contains(&field) {
                let known_fields = self.known_fields.join(", ");
                let message = format!("unknown field '{field}'; known here are {known_fields}");
                self.findings
                    .add(Severity::Error, self.text, key.span().start, &message);
            }
        }
    }

    fn optional(&mut self, field: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        self.known_fields.push(field);
        self.table.get(field)
    }

    fn required(&mut self, field: &'static str) -> Option<&'a Spanned<DeValue<'a>>> {
        let value = self.optional(field);
        if value.is_none() {
            self.error(self.offset, &format!("field '{field}' is missing; add it"));
        }
        value
    }

    fn read_name(&mut self, field: &str, value: &Spanned<DeValue<'_>>) -> Option<Located<Name>> {
        match value.get_ref().as_str().filter(|text| validate::is_name(text)) {
            Some(text) => Some(Located {
                value: Name::new(text),
                offset: value.span().start,
            }),
            None => self.invalid_value(field, value, "a name of 1 to 63 letters, digits, '-', '.' or '_'"),
        }
    }

    fn read_number(
        &mut self,
        field: &str,
        value: &Spanned<DeValue<'_>>,
        range: RangeInclusive<u64>,
    ) -> Option<u64> {
        let integer = value.get_ref().as_integer();
        let number = integer.and_then(|integer| u64::from_str_radix(integer.as_str(), integer.radix()).ok());
        match number.filter(|number| range.contains(number)) {
            Some(number) => Some(number),
            None => self.invalid_value(
                field,
                value,
                &format!("a whole number from {} to {}", range.start(), range.end()),
            ),
        }
    }

    fn invalid_value<T>(&mut self, field: &str, value: &Spanned<DeValue<'_>>, allowed: &str) -> Option<T> {
        let found = self.text.get(value.span()).unwrap_or_default();
        let found: String = found
            .lines()
            .next()
            .unwrap_or_default()
            .chars()
            .take(40)
            .collect();
        self.error(
            value.span().start,
            &format!("'{field}' is {found}; it must be {allowed}"),
        );
        None
    }
}
