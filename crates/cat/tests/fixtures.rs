//! Documents under `tests/fixtures` and their expected findings.

use std::{
    fs,
    path::{Path, PathBuf},
};

use cat::Findings;

fn documents(dir: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures");
    let files = fs::read_dir(root.join(dir)).unwrap();
    let paths = files.map(|file| file.unwrap().path());
    let is_document = |path: &PathBuf| path.extension().is_some_and(|ext| ext == "jsonc");
    let mut found: Vec<_> = paths.filter(is_document).collect();
    found.sort();
    found
}

/// Compares the findings of each document in a directory with the `.txt` file of the same name.
///
/// A document without such a file must have no findings.
fn check(dir: &str, count: usize, read: impl Fn(&str, &str) -> Findings) {
    let documents = documents(dir);
    assert_eq!(documents.len(), count, "documents in {dir}");
    for path in documents {
        let name = path.file_name().unwrap().to_str().unwrap();
        let text = fs::read_to_string(&path).unwrap();
        let expected = fs::read_to_string(path.with_extension("txt")).unwrap_or_default();
        assert_eq!(read(name, &text).to_string(), expected.trim_end(), "{name}");
    }
}

fn rejected<T>(result: Result<(T, Findings), Findings>) -> Findings {
    let findings = result.err().expect("the document must be rejected");
    assert!(findings.has_errors());
    findings
}

fn accepted<T>(result: Result<(T, Findings), Findings>) -> Findings {
    match result {
        Ok((_, warnings)) => warnings,
        Err(findings) => panic!("the document must be accepted:\n{findings}"),
    }
}

#[test]
fn invalid_catalogues_give_their_findings() {
    let read = |name: &str, text: &str| rejected(cat::catalogue::read(name, text));
    check("catalogue/invalid", 9, read);
}

#[test]
fn valid_catalogues_give_their_warnings() {
    let read = |name: &str, text: &str| accepted(cat::catalogue::read(name, text));
    check("catalogue/valid", 3, read);
}

#[test]
fn invalid_settings_give_their_findings() {
    let read = |name: &str, text: &str| rejected(cat::settings::read(name, text));
    check("settings/invalid", 4, read);
}

#[test]
fn valid_settings_give_their_warnings() {
    let read = |name: &str, text: &str| accepted(cat::settings::read(name, text));
    check("settings/valid", 2, read);
}
