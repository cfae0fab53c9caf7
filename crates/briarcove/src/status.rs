//! The `status` command: shows the status of instances side by side.

use std::{collections::BTreeMap, fmt::Write, net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use plat::http;
use serde_json::Value;

use crate::{args::Status, exit::Exit};

/// Time limit for the reply of an instance.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum size of a status, in bytes.
const MAX_STATUS_BYTES: usize = 1 << 20;
/// Placeholder for a value that an instance does not report.
const ABSENT: &str = "-";
/// Number of spaces between two columns.
const COLUMN_GAP: usize = 2;

/// The values of one instance by dotted path.
type Fields = BTreeMap<String, String>;

/// Prints a table with the status of the instances, and an error for each unreachable one.
pub async fn run(args: Status) -> Exit {
    let addresses: Vec<SocketAddr> = args
        .instance
        .iter()
        .chain(&args.further)
        .map(|a| a.0)
        .collect();
    if addresses.is_empty() {
        eprintln!("briarcove: no instance given; use --instance ADDR");
        return Exit::Usage;
    }
    let replies = join_all(addresses.iter().map(|&address| fetch(address))).await;
    let mut exit = Exit::Ok;
    let mut columns = Vec::new();
    for (address, reply) in addresses.iter().zip(replies) {
        match reply {
            Ok(fields) => columns.push((address.to_string(), fields)),
            Err(problem) => {
                eprintln!("briarcove: {address}: {problem}");
                exit = Exit::Unreachable;
            }
        }
    }
    print!("{}", render_table(&columns));
    exit
}

async fn fetch(address: SocketAddr) -> Result<Fields, String> {
    let body = http::get(address, "/v1/status", MAX_STATUS_BYTES, TIMEOUT)
        .await
        .map_err(|e| e.to_string())?;
    let value: Value = serde_json::from_slice(&body).map_err(|e| e.to_string())?;
    let mut fields = Fields::new();
    flatten("", &value, &mut fields);
    Ok(fields)
}

/// Flattens a JSON value into fields named by their dotted path; an array stays one value.
fn flatten(path: &str, value: &Value, fields: &mut Fields) {
    match value {
        Value::Object(members) => {
            for (key, member) in members {
                let path = match path {
                    "" => key.clone(),
                    _ => format!("{path}.{key}"),
                };
                flatten(&path, member, fields);
            }
        }
        Value::String(text) => {
            fields.insert(path.to_owned(), text.clone());
        }
        other => {
            fields.insert(path.to_owned(), other.to_string());
        }
    }
}

/// Renders a table with one row for each value and one column for each instance.
fn render_table(columns: &[(String, Fields)]) -> String {
    if columns.is_empty() {
        return String::new();
    }
    let mut header = vec!["instance"];
    header.extend(columns.iter().map(|(address, _)| address.as_str()));
    let mut rows = vec![header];
    let mut names: Vec<&str> = columns
        .iter()
        .flat_map(|(_, fields)| fields.keys().map(String::as_str))
        .collect();
    names.sort_unstable();
    names.dedup();
    for name in names {
        let mut row = vec![name];
        row.extend(
            columns
                .iter()
                .map(|(_, f)| f.get(name).map_or(ABSENT, String::as_str)),
        );
        rows.push(row);
    }
    align_columns(&rows)
}

fn align_columns(rows: &[Vec<&str>]) -> String {
    let mut text = String::new();
    let count = rows.first().map_or(0, Vec::len);
    let width = |column: usize| rows.iter().map(|r| r[column].chars().count()).max();
    let widths: Vec<usize> = (0..count)
        .map(|c| width(c).unwrap_or(0) + COLUMN_GAP)
        .collect();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(line, "{cell:<width$}");
        }
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}
