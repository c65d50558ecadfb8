//! Reads a VM class.

use super::names::{Kind, Names};
use super::price;
use super::reader::Reader;
use crate::Class;

/// Maximum number of requests that a VM serves concurrently.
const MAX_CAPACITY: u64 = 100_000;

pub fn read(reader: &mut Reader<'_>, names: &mut Names) -> Option<Class> {
    let name = reader.located_name("name");
    if let Some(name) = &name {
        names.declare(Kind::Class, name);
    }
    let capacity = reader.number("capacity", 1..=MAX_CAPACITY);
    let prices = reader.tables("price", |table| price::read(table, names));
    Some(Class {
        name: name?.value,
        capacity: capacity? as u32,
        prices,
    })
}
