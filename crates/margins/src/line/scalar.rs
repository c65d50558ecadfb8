//! A value of a JSON object.

use std::borrow::Cow;
use std::fmt;

use serde::de::{Deserialize, Deserializer, IgnoredAny, MapAccess, SeqAccess, Visitor};

/// A value of a JSON object. Fields of one name have different types in different events.
#[derive(Clone, Debug, Default, PartialEq)]
pub enum Scalar<'a> {
    /// The field is missing, null or no scalar.
    #[default]
    Missing,
    /// A truth value.
    Bool(bool),
    /// A number.
    Number(f64),
    /// A text.
    Text(Cow<'a, str>),
}

impl Scalar<'_> {
    /// The text, if it is one.
    pub fn text(&self) -> Option<&str> {
        match self {
            Self::Text(text) => Some(text),
            Self::Missing | Self::Bool(_) | Self::Number(_) => None,
        }
    }

    /// The number. Nodes write fractions as texts.
    pub fn number(&self) -> Option<f64> {
        match self {
            Self::Number(number) => Some(*number),
            Self::Text(text) => text.parse().ok().filter(|it: &f64| it.is_finite()),
            Self::Missing | Self::Bool(_) => None,
        }
    }

    /// The number, if it is zero or more. Nodes write -1 for what they do not know.
    pub fn known(&self) -> Option<f64> {
        self.number().filter(|it| *it >= 0.0)
    }
}

impl<'de, 'a> Deserialize<'de> for Scalar<'a>
where
    'de: 'a,
{
    fn deserialize<D>(deserializer: D) -> Result<Self, D::Error>
    where
        D: Deserializer<'de>,
    {
        deserializer.deserialize_any(ScalarVisitor)
    }
}

struct ScalarVisitor;

impl<'de> Visitor<'de> for ScalarVisitor {
    type Value = Scalar<'de>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a JSON value")
    }

    fn visit_bool<E>(self, value: bool) -> Result<Self::Value, E> {
        Ok(Scalar::Bool(value))
    }

    fn visit_i64<E>(self, value: i64) -> Result<Self::Value, E> {
        Ok(Scalar::Number(value as f64))
    }

    fn visit_u64<E>(self, value: u64) -> Result<Self::Value, E> {
        Ok(Scalar::Number(value as f64))
    }

    fn visit_f64<E>(self, value: f64) -> Result<Self::Value, E> {
        Ok(Scalar::Number(value))
    }

    fn visit_borrowed_str<E>(self, value: &'de str) -> Result<Self::Value, E> {
        Ok(Scalar::Text(Cow::Borrowed(value)))
    }

    fn visit_str<E>(self, value: &str) -> Result<Self::Value, E> {
        Ok(Scalar::Text(Cow::Owned(value.to_owned())))
    }

    fn visit_unit<E>(self) -> Result<Self::Value, E> {
        Ok(Scalar::Missing)
    }

    fn visit_seq<A>(self, mut items: A) -> Result<Self::Value, A::Error>
    where
        A: SeqAccess<'de>,
    {
        while items.next_element::<IgnoredAny>()?.is_some() {}
        Ok(Scalar::Missing)
    }

    fn visit_map<A>(self, mut entries: A) -> Result<Self::Value, A::Error>
    where
        A: MapAccess<'de>,
    {
        while entries.next_entry::<IgnoredAny, IgnoredAny>()?.is_some() {}
        Ok(Scalar::Missing)
    }
}
