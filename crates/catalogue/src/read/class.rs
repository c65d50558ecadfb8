//! Reading a VM class.

use super::cursor::Cursor;
use super::names::{Kind, Names};
use super::price;
use crate::Class;

/// Most requests that one VM serves at once.
const CAPACITY_MAX: u64 = 100_000;

pub fn read(cursor: &mut Cursor<'_>, names: &mut Names) -> Option<Class> {
    let name = cursor.placed_name("name");
    if let Some(name) = &name {
        names.declare(Kind::Class, name);
    }
    let capacity = cursor.number("capacity", 1..=CAPACITY_MAX);
    let prices = cursor.tables("price", |table| price::read(table, names));
    Some(Class {
        name: name?.value,
        capacity: capacity? as u32,
        prices,
    })
}
