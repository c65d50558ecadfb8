//! Reading and writing files with errors that name them.

use std::fs;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// The text of a file.
pub fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|cause| Error::File {
        path: path.display().to_string(),
        cause,
    })
}

/// A TOML file as settings; findings name line and column.
pub fn read_toml<T>(path: &Path) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    toml::from_str(&read(path)?).map_err(|cause| Error::Format {
        path: path.display().to_string(),
        message: cause.to_string(),
    })
}

/// Writes bytes.
pub fn write(path: &Path, bytes: &[u8]) -> Result<(), Error> {
    fs::write(path, bytes).map_err(|cause| Error::File {
        path: path.display().to_string(),
        cause,
    })
}

/// Writes a value as indented JSON.
pub fn write_json<T>(path: &Path, value: &T) -> Result<(), Error>
where
    T: Serialize,
{
    let text = serde_json::to_vec_pretty(value).map_err(|cause| format_error(path, &cause))?;
    write(path, &text)
}

/// Writes records as JSON lines.
pub fn write_json_lines<T>(path: &Path, records: &[T]) -> Result<(), Error>
where
    T: Serialize,
{
    let mut text = Vec::new();
    for record in records {
        serde_json::to_writer(&mut text, record).map_err(|cause| format_error(path, &cause))?;
        text.push(b'\n');
    }
    write(path, &text)
}

/// Writes records as CSV with a header.
pub fn write_csv<T>(path: &Path, records: &[T]) -> Result<(), Error>
where
    T: Serialize,
{
    let mut writer = csv::Writer::from_writer(Vec::new());
    for record in records {
        writer
            .serialize(record)
            .map_err(|cause| format_error(path, &cause))?;
    }
    let bytes = writer.into_inner().map_err(|cause| format_error(path, &cause))?;
    write(path, &bytes)
}

fn format_error<E>(path: &Path, cause: &E) -> Error
where
    E: std::fmt::Display,
{
    Error::Format {
        path: path.display().to_string(),
        message: cause.to_string(),
    }
}
