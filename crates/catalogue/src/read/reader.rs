//! Reads the fields of one table, and reports what is wrong with each.

use std::ops::RangeInclusive;

use base::Name;
use toml::Spanned;
use toml::de::{DeTable, DeValue};

use super::validate;
use crate::{Findings, Severity};

/// A value with its place, in bytes from the start of the text.
#[derive(Clone, Debug)]
pub struct Located<T> {
    /// The value.
    pub value: T,
    /// Its place.
    pub offset: usize,
}

/// The fields of one table.
#[derive(Debug)]
pub struct Reader<'a> {
    text: &'a str,
    table: &'a DeTable<'a>,
    offset: usize,
    findings: &'a mut Findings,
    known_fields: Vec<&'static str>,
}

impl<'a> Reader<'a> {
    /// A reader over `table`, which starts at `offset` of `text`.
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

    /// Place of the table.
    pub const fn offset(&self) -> usize {
        self.offset
    }

    /// Reports an error at a place.
    pub fn error(&mut self, offset: usize, message: &str) {
        self.findings.add(Severity::Error, self.text, offset, message);
    }

    /// Reports a warning at a place.
    pub fn warn(&mut self, offset: usize, message: &str) {
        self.findings.add(Severity::Warning, self.text, offset, message);
    }

    /// Whether the table has the field.
    pub fn has(&self, field: &str) -> bool {
        self.table.contains_key(field)
    }

    /// A name.
    pub fn name(&mut self, field: &'static str) -> Option<Name> {
        self.located_name(field).map(|located| located.value)
    }

    /// A name with its place.
    pub fn located_name(&mut self, field: &'static str) -> Option<Located<Name>> {
        let value = self.required(field)?;
        self.read_name(field, value)
    }

    /// A list of names with their places.
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

    /// A text that is not empty.
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

    /// One of a few words.
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

    /// A whole number within a range.
    pub fn number(&mut self, field: &'static str, range: RangeInclusive<u64>) -> Option<u64> {
        let value = self.required(field)?;
        self.read_number(field, value, range)
    }

    /// A whole number within a range, or a default.
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

    /// A price that is not negative, if it is given.
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

    /// `true` or `false`.
    pub fn boolean(&mut self, field: &'static str) -> Option<bool> {
        let value = self.required(field)?;
        match value.get_ref().as_bool() {
            Some(boolean) => Some(boolean),
            None => self.invalid_value(field, value, "true or false"),
        }
    }

    /// `true` or `false`, `false` if it is not given.
    pub fn boolean_or_false(&mut self, field: &'static str) -> Option<bool> {
        if self.has(field) {
            self.boolean(field)
        } else {
            Some(false)
        }
    }

    /// A table.
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

    /// Tables, one `[[field]]` each; those with errors are left out.
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

    /// Reports the fields that nothing has asked for.
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
