//! The cases of the third review: each starts the project's program against stand-ins of its own.

mod backend;
mod case_11;
mod client;
mod config;
mod edge;
mod http;
mod json;
mod record;
mod store;

use std::{env, path::PathBuf, process::exit};

fn main() {
    let mut args = env::args().skip(1);
    let case = args.next().unwrap_or_default();
    let folder = PathBuf::from(args.next().expect("a folder for settings and logs"));
    let record = PathBuf::from(args.next().expect("the path of the record"));
    let record = record::Record::create(&record);
    let trouble = env::var("TROUBLE").map_or(true, |it| it != "0");
    let result = match case.as_str() {
        "11" => case_11::run(&folder, &record, trouble),
        _ => Err(format!("no case {case:?}")),
    };
    let code = match &result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(why) => {
            eprintln!("{why}");
            2
        }
    };
    record.write(&format!("result: {code} {result:?}"));
    exit(code);
}
