//! One line of a log: a JSON object, with or without the prefix that a bench adds.

mod fields;
mod scalar;

pub use fields::Fields;
pub use scalar::Scalar;

use crate::Time;

/// Which time a line carries.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Form {
    /// The node's own line: Unix time by the clock of its VM.
    Plain,
    /// Simulated seconds and the node's name before the node's own line.
    Prefixed,
}

/// Why a line is not used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fault {
    /// It begins like a line of a node and is no complete JSON object.
    Cut,
    /// It is no line of a node.
    Foreign,
    /// It carries another time than the first line of the logs: the two can't be compared.
    OtherForm,
    /// It lacks a field that its event always has.
    Incomplete,
}

impl Fault {
    /// All faults, in the order of reports.
    pub const ALL: [Self; 4] = [Self::Cut, Self::Foreign, Self::OtherForm, Self::Incomplete];

    /// Label in reports.
    pub const fn label(self) -> &'static str {
        match self {
            Self::Cut => "cut",
            Self::Foreign => "foreign",
            Self::OtherForm => "other form of time",
            Self::Incomplete => "incomplete",
        }
    }
}

/// A line of a node.
#[derive(Debug)]
pub struct Line<'a> {
    /// Which time it carries.
    pub form: Form,
    /// The time.
    pub time: Time,
    /// Name of the node, if the line has a prefix.
    pub node: Option<&'a str>,
    /// The fields of its JSON object.
    pub fields: Fields<'a>,
}

/// What a bench writes before a node's line.
#[derive(Clone, Copy, Debug)]
struct Prefix<'a> {
    time: Time,
    node: &'a str,
}

impl<'a> Line<'a> {
    /// Parses a line without its line break.
    pub fn parse(bytes: &'a [u8]) -> Result<Self, Fault> {
        let (prefix, json) = split(bytes).ok_or(Fault::Foreign)?;
        let fields: Fields<'_> = serde_json::from_slice(json).map_err(|_error| Fault::Cut)?;
        let (Some(time), Some(_event)) = (fields.time.number(), fields.event.text()) else {
            return Err(Fault::Foreign);
        };
        Ok(Self {
            form: if prefix.is_some() {
                Form::Prefixed
            } else {
                Form::Plain
            },
            time: prefix.map_or(Time(time as i64), |it| it.time),
            node: prefix.map(|it| it.node),
            fields,
        })
    }
}

/// The time of a line, without parsing all of it; `None` if it is no line of a node.
pub fn peek_time(bytes: &[u8]) -> Option<Time> {
    const TIME_KEY: &[u8] = b"{\"time\":";
    let (prefix, json) = split(bytes)?;
    if let Some(prefix) = prefix {
        return Some(prefix.time);
    }
    let digits = json.strip_prefix(TIME_KEY)?;
    let end = digits.iter().position(|byte| !byte.is_ascii_digit())?;
    let text = str::from_utf8(&digits[..end]).ok()?;
    text.parse().ok().map(Time)
}

/// Splits a line into its prefix, if it has one, and its JSON object.
fn split(bytes: &[u8]) -> Option<(Option<Prefix<'_>>, &[u8])> {
    let bytes = bytes.trim_ascii();
    let start = bytes.iter().position(|byte| *byte == b'{')?;
    let (before, json) = bytes.split_at(start);
    if before.is_empty() {
        return Some((None, json));
    }
    let before = str::from_utf8(before).ok()?;
    let mut words = before.split_ascii_whitespace();
    let (seconds, node) = (words.next()?, words.next()?);
    if words.next().is_some() || !before.ends_with(' ') {
        return None;
    }
    let seconds: f64 = seconds.parse().ok().filter(|it: &f64| it.is_finite())?;
    let time = Time((seconds * 1_000.0).round() as i64);
    Some((Some(Prefix { time, node }), json))
}
