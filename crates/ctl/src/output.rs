//! Output of commands as aligned tables or as JSON.

use serde::Serialize;

/// Prints `value` as one line of JSON if `json` is set, and otherwise `rows` as a table.
pub fn print<T: Serialize>(json: bool, value: &T, header: &[&str], rows: Vec<Vec<String>>) {
    if json {
        print_json(value);
    } else {
        print!("{}", table_text(header, &rows));
    }
}

/// Prints `value` as one line of JSON.
pub fn print_json<T: Serialize>(value: &T) {
    println!("{}", serde_json::to_string(value).unwrap_or_default());
}

/// Formats rows in left-aligned columns, each as wide as its widest cell.
///
/// ```
/// use baobabctl::output::table_text;
/// let text = table_text(&["name", "weight"], &[vec!["a".into(), "10".into()]]);
/// assert_eq!(text, "name  weight\na     10\n");
/// ```
pub fn table_text(header: &[&str], rows: &[Vec<String>]) -> String {
    let mut widths: Vec<usize> = header.iter().map(|cell| cell.chars().count()).collect();
    for row in rows {
        for (width, cell) in widths.iter_mut().zip(row) {
            *width = (*width).max(cell.chars().count());
        }
    }
    let header: Vec<String> = header.iter().map(|cell| (*cell).to_owned()).collect();
    let mut text = String::new();
    for row in std::iter::once(&header).chain(rows) {
        let cells: Vec<String> =
            row.iter().zip(&widths).map(|(cell, width)| format!("{cell:<width$}")).collect();
        text.push_str(cells.join("  ").trim_end());
        text.push('\n');
    }
    text
}
