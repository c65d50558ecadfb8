//! Reads a route.

use super::reader::Reader;
use super::validate;
use crate::Route;

pub fn read(reader: &mut Reader<'_>) -> Option<Route> {
    let method = reader.text("method");
    if let Some(method) = method
        .as_ref()
        .filter(|method| !validate::is_method(&method.value))
    {
        reader.error(
            method.offset,
            "'method' must be an HTTP method in capitals, for example \"POST\"",
        );
    }
    let path = reader.text("path");
    if let Some(path) = path.as_ref().filter(|path| !path.value.starts_with('/')) {
        reader.error(path.offset, "'path' must start with a slash");
    }
    let idempotent = reader.boolean("idempotent");
    let stream = reader.boolean_or_false("stream");
    if idempotent == Some(false) && stream == Some(true) {
        let message =
            "a stream is resumed by running the request again: set 'idempotent' to true or 'stream' to false";
        reader.error(reader.offset(), message);
    }
    Some(Route {
        method: method?.value,
        path: path?.value,
        idempotent: idempotent?,
        stream: stream?,
    })
}
