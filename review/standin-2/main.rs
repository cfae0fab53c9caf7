//! Cases of the review that need the real clock. `standin CASE RECORD` exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case could not run.

mod cases;
mod http;
mod rig;
mod store;

fn main() {
    let mut args = std::env::args().skip(1);
    let (case, path) = (
        args.next().unwrap_or_default(),
        args.next().unwrap_or_default(),
    );
    let trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
    let Ok(record) = rig::Record::create(&path) else {
        eprintln!("the record can't be written: {path}");
        std::process::exit(2);
    };
    record.line(&format!(
        "case     {case}, {} the disruption",
        if trouble { "with" } else { "without" }
    ));
    let outcome = match case.as_str() {
        "bytes" => cases::bytes::run(&record, trouble),
        "twice" => cases::twice::run(&record, trouble),
        "hammer" => cases::hammer::run(&record, trouble),
        "crash" => cases::crash::run(&record, trouble),
        "upload" => cases::upload::run(&record, trouble),
        _ => Err(format!("there is no case {case:?}")),
    };
    let (text, code) = match outcome {
        Ok(None) => ("held".to_owned(), 0),
        Ok(Some(broken)) => (format!("broken: {broken}"), 1),
        Err(why) => (format!("could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    std::process::exit(code);
}
