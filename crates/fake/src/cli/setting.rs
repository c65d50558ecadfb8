//! Settings from flags, with environment variables as the fallback.

use std::env;
use std::str::FromStr;

use crate::Error;

/// Prefix of every environment variable.
const PREFIX: &str = "BILBERRYLATCH_FAKE";

/// Returns a setting that is parsed, such as a number or an address.
pub fn parsed<T>(flag: &str, value: Option<T>) -> Result<Option<T>, Error>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    if value.is_some() {
        return Ok(value);
    }
    let Some(text) = text(flag, None) else {
        return Ok(None);
    };
    let parsed = text.parse::<T>().map_err(|cause| Error::Setting {
        name: variable(flag),
        problem: format!("{text:?}: {cause}"),
    });
    parsed.map(Some)
}

/// Returns a text setting.
pub fn text(flag: &str, value: Option<String>) -> Option<String> {
    value.or_else(|| env::var(variable(flag)).ok())
}

/// Returns a setting that is a comma-separated list of names.
pub fn names(flag: &str, value: Option<String>) -> Vec<String> {
    let text = text(flag, value).unwrap_or_default();
    let names = text.split(',').map(str::trim).filter(|name| !name.is_empty());
    names.map(str::to_owned).collect()
}

/// Returns a boolean setting; any value of the variable except `0` and the empty string enables it.
pub fn enabled(flag: &str, value: bool) -> bool {
    value || text(flag, None).is_some_and(|text| !text.is_empty() && text != "0")
}

fn variable(flag: &str) -> String {
    let name = flag.trim_start_matches('-').replace('-', "_").to_uppercase();
    format!("{PREFIX}_{name}")
}
