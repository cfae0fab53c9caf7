//! Scenarios of the review: `standin NAME FOLDER`, started in the repository's root.
//!
//! The store, the backends and the clients are threads of this program; the instances are separate
//! processes of the program that the deploy file builds.

mod backend;
mod client;
mod foreign;
mod freeze;
mod http;
mod instance;
mod json;
mod record;
mod store;

use std::{panic, path::PathBuf};

fn main() {
    let args: Vec<String> = std::env::args().collect();
    let folder = PathBuf::from(args.get(2).map_or(".", String::as_str));
    let has_trouble = std::env::var("TROUBLE").as_deref() != Ok("0");
    let name = args.get(1).cloned().unwrap_or_default();
    let code = panic::catch_unwind(|| match name.as_str() {
        "foreign" => foreign::run(&folder, has_trouble),
        "freeze" => freeze::run(&folder, has_trouble),
        _ => 2,
    });
    instance::end_all();
    std::process::exit(code.unwrap_or(2));
}
