//! The `status` command: the state of instances side by side.

use std::{collections::BTreeMap, fmt::Write, net::SocketAddr, time::Duration};

use futures_util::future::join_all;
use plat::http;
use serde_json::Value;

use crate::{args::Status, exit::Exit};

/// Longest wait for an instance.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Largest status that is read, in bytes.
const MAX_STATUS_BYTES: usize = 1 << 20;
/// Shown where an instance has no such value.
const ABSENT: &str = "-";
/// Spaces between two columns.
const GAP: usize = 2;

/// The values of one instance by their dotted names.
type Fields = BTreeMap<String, String>;

/// Prints the state of the instances; those that can't be reached are named.
pub async fn run(args: Status) -> Exit {
    let addresses: Vec<SocketAddr> = args
        .instance
        .iter()
        .chain(&args.further)
        .map(|a| a.0)
        .collect();
    if addresses.is_empty() {
        eprintln!("briarcove: name an instance with --instance ADDR");
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
    print!("{}", table(&columns));
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

/// Gives each scalar its path as a dotted name; arrays of scalars stay one value.
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

/// Lays out one line a value and one column an instance.
fn table(columns: &[(String, Fields)]) -> String {
    if columns.is_empty() {
        return String::new();
    }
    let mut heads = vec!["instance"];
    heads.extend(columns.iter().map(|(address, _)| address.as_str()));
    let mut rows = vec![heads];
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
    lay_out(&rows)
}

fn lay_out(rows: &[Vec<&str>]) -> String {
    let mut text = String::new();
    let count = rows.first().map_or(0, Vec::len);
    let width = |column: usize| rows.iter().map(|r| r[column].chars().count()).max();
    let widths: Vec<usize> = (0..count).map(|c| width(c).unwrap_or(0) + GAP).collect();
    for row in rows {
        let mut line = String::new();
        for (cell, width) in row.iter().zip(&widths) {
            let _ = write!(line, "{cell:<width$}");
        }
        let _ = writeln!(text, "{}", line.trim_end());
    }
    text
}
