//! Tables of text, for people to read.

/// Formats rows as aligned columns; the first row is the header.
pub fn columns(rows: &[Vec<String>]) -> String {
    let count = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |c: usize| rows.iter().filter_map(|r| r.get(c)).map(String::len).max().unwrap_or(0);
    let widths: Vec<usize> = (0..count).map(width).collect();
    let line = |r: &Vec<String>| {
        let cells = r.iter().zip(&widths).map(|(cell, w)| format!("{cell:<w$}"));
        cells.collect::<Vec<_>>().join("  ").trim_end().to_string() + "\n"
    };
    rows.iter().map(line).collect()
}
