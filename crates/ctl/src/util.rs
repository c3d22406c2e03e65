//! Small helpers for input and output.

use std::{
    fs,
    io::{Read, Write, stdin, stdout},
    path::Path,
    time::{SystemTime, UNIX_EPOCH},
};

use serde::Serialize;
use snafu::ResultExt;

use crate::error::{Error, ReadSnafu, UsageSnafu, WriteSnafu};

/// Reads a file, or standard input for `-`.
pub(crate) fn read(path: &Path) -> Result<String, Error> {
    if path != Path::new("-") {
        return fs::read_to_string(path).context(ReadSnafu { path });
    }
    let mut text = String::new();
    stdin()
        .read_to_string(&mut text)
        .context(ReadSnafu { path })?;
    Ok(text)
}

/// Writes a line, and fails quietly when the reader has gone.
pub(crate) fn print(text: impl AsRef<str>) -> Result<(), Error> {
    match writeln!(stdout(), "{}", text.as_ref()) {
        Err(error) if error.kind() == std::io::ErrorKind::BrokenPipe => Ok(()),
        written => written.context(WriteSnafu),
    }
}

/// Writes a document as JSON.
pub(crate) fn print_json(document: &impl Serialize) -> Result<(), Error> {
    let text = serde_json::to_string_pretty(document).map_err(|error| {
        UsageSnafu {
            detail: error.to_string(),
        }
        .build()
    })?;
    print(text)
}

/// Writes rows with aligned columns.
pub(crate) fn print_table(rows: &[Vec<String>]) -> Result<(), Error> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or_default();
    let widths: Vec<usize> = (0..columns)
        .map(|i| {
            let cells = rows.iter().filter_map(|row| row.get(i));
            cells
                .map(|cell| cell.chars().count())
                .max()
                .unwrap_or_default()
        })
        .collect();
    rows.iter().try_for_each(|row| {
        let cells = row.iter().zip(&widths);
        let line: Vec<String> = cells
            .map(|(cell, width)| format!("{cell:width$}"))
            .collect();
        print(line.join("  ").trim_end())
    })
}

/// A fresh edit id: the time, for people, and enough randomness to be the only one.
pub(crate) fn fresh_edit_id() -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("{:x}-{:016x}", since.as_secs(), rand::random::<u64>())
}
