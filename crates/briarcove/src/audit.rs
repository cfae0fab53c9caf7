//! The `audit` command: lists the accepted changes of the catalogue, oldest first, with the values
//! before and after each change.

use base::Revision;
use cat::Change;
use serde_json::json;

use crate::{
    apply::print_items,
    args::Audit,
    exit::Exit,
    store::{Failure, Store},
    utc,
};

/// Prints the changes in the audit trail, then the change of the current head.
pub async fn run(args: Audit) -> Exit {
    match audit(&args).await {
        Ok(exit) => exit,
        Err(e) => e.report(),
    }
}

async fn audit(args: &Audit) -> Result<Exit, Failure> {
    let store = Store::new(args.platform)?;
    let Some(current) = store.head().await? else {
        eprintln!("briarcove: no change has been accepted yet");
        return Ok(Exit::Ok);
    };
    let (first, last) = (args.from.unwrap_or(Revision(1)), current.head.revision);
    let mut exit = Exit::Ok;
    for revision in (first.0..last.0).map(Revision) {
        match store.trail(revision).await {
            Ok(Some(change)) => print_change(&change, args.json),
            Ok(None) => {
                print_gap(revision, "missing from the audit trail", args.json);
                exit = Exit::Findings;
            }
            Err(e @ Failure::Invalid { .. }) => {
                print_gap(revision, &e.to_string(), args.json);
                exit = Exit::Findings;
            }
            Err(e) => return Err(e),
        }
    }
    if first <= last {
        print_change(&current.head.change, args.json);
    }
    Ok(exit)
}

fn print_change(change: &Change, as_json: bool) {
    if as_json {
        println!("{}", json!(change));
        return;
    }
    let digest = &change.to;
    println!(
        "revision {} at {}, document {digest}",
        change.revision,
        utc::format(change.at)
    );
    print_items(change);
}

/// Reports that the record of a revision is missing or invalid.
fn print_gap(revision: Revision, problem: &str, as_json: bool) {
    if as_json {
        println!("{}", json!({ "revision": revision, "problem": problem }));
    } else {
        println!("revision {revision}: {problem}");
    }
}
