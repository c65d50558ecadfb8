//! Reading a route.

use super::cursor::Cursor;
use super::rule;
use crate::Route;

pub fn read(cursor: &mut Cursor<'_>) -> Option<Route> {
    let method = cursor.text("method");
    if let Some(method) = method.as_ref().filter(|method| !rule::is_method(&method.value)) {
        cursor.error(
            method.offset,
            "'method' must be an HTTP method in capitals, for example \"POST\"",
        );
    }
    let path = cursor.text("path");
    if let Some(path) = path.as_ref().filter(|path| !path.value.starts_with('/')) {
        cursor.error(path.offset, "'path' must start with a slash");
    }
    let idempotent = cursor.flag("idempotent");
    let stream = cursor.flag_or_false("stream");
    if idempotent == Some(false) && stream == Some(true) {
        let message =
            "a stream is resumed by running the request again: set 'idempotent' to true or 'stream' to false";
        cursor.error(cursor.offset(), message);
    }
    Some(Route {
        method: method?.value,
        path: path?.value,
        idempotent: idempotent?,
        stream: stream?,
    })
}
