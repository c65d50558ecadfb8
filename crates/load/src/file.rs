//! File helpers whose errors name the path of the file.

use std::fs;
use std::path::Path;

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::Error;

/// Reads a file as UTF-8 text.
pub fn read(path: &Path) -> Result<String, Error> {
    fs::read_to_string(path).map_err(|cause| Error::File {
        path: path.display().to_string(),
        cause,
    })
}

/// Reads and deserializes a TOML file. Errors include line and column.
pub fn read_toml<T>(path: &Path) -> Result<T, Error>
where
    T: DeserializeOwned,
{
    toml::from_str(&read(path)?).map_err(|cause| Error::Format {
        path: path.display().to_string(),
        message: cause.to_string(),
    })
}

/// Writes bytes to a file, replacing its contents.
pub fn write(path: &Path, bytes: &[u8]) -> Result<(), Error> {
    fs::write(path, bytes).map_err(|cause| Error::File {
        path: path.display().to_string(),
        cause,
    })
}

/// Writes a value as pretty-printed JSON.
pub fn write_json<T>(path: &Path, value: &T) -> Result<(), Error>
where
    T: Serialize,
{
    let text = serde_json::to_vec_pretty(value).map_err(|cause| format_error(path, &cause))?;
    write(path, &text)
}

/// Writes records as JSON Lines, one object per line.
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

/// Writes records as CSV with a header row.
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
