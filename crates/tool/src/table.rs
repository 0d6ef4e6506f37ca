//! Tables for people.

use tabled::builder::Builder;
use tabled::settings::{Padding, Style};

/// Columns under headings, two spaces apart, without lines around them.
pub(crate) fn table(headings: &[&str], rows: Vec<Vec<String>>) -> String {
    let mut builder = Builder::default();
    builder.push_record(headings.iter().copied());
    rows.into_iter().for_each(|row| builder.push_record(row));
    let mut table = builder.build();
    table.with(Style::empty()).with(Padding::new(0, 2, 0, 0));
    let lines = table.to_string();
    lines.lines().map(|line| format!("{}\n", line.trim_end())).collect()
}
