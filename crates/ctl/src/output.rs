//! Output as tables and text for people, or as JSON for scripts.

use comfy_table::Table;
use comfy_table::presets::NOTHING;
use serde::Serialize;

/// Format of a command's output.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Output {
    /// Tables and text.
    Human,
    /// One JSON document.
    Json,
}

impl Output {
    /// Prints a table with a header, or `value` as JSON.
    pub fn print_table<T>(self, header: &[&str], rows: Vec<Vec<String>>, value: &T)
    where
        T: Serialize,
    {
        match self {
            Self::Human => {
                let mut table = Table::new();
                table
                    .load_style(NOTHING)
                    .set_header(header.to_vec())
                    .add_rows(rows);
                println!("{table}");
            }
            Self::Json => print_json(value),
        }
    }

    /// Prints a text, or `value` as JSON.
    pub fn print_text<T>(self, text: &str, value: &T)
    where
        T: Serialize,
    {
        match self {
            Self::Human => println!("{text}"),
            Self::Json => print_json(value),
        }
    }
}

fn print_json<T>(value: &T)
where
    T: Serialize,
{
    println!("{}", serde_json::to_string_pretty(value).unwrap_or_default());
}
