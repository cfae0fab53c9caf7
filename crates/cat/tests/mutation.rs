//! No input makes the readers panic, and an accepted catalogue is stored and read back unchanged.

use cat::{Catalogue, Findings};
use quickcheck::{Arbitrary, Gen, quickcheck};

use crate::samples::texts;

/// Insertions that are likely to reach different code of the readers.
const INSERTIONS: [&str; 16] = [
    "",
    "{",
    "}",
    "[",
    "\"",
    ",",
    ":",
    "//",
    "/*",
    "\\u",
    "0",
    "-1e9",
    "null",
    "99999999999ms",
    "\u{e2}",
    "\r\n",
];

/// A replacement of a part of a text.
#[derive(Clone, Debug)]
struct Edit {
    at: usize,
    remove: usize,
    insert: &'static str,
}

impl Arbitrary for Edit {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            at: usize::arbitrary(g),
            remove: usize::arbitrary(g) % 12,
            insert: g.choose(&INSERTIONS).copied().unwrap_or_default(),
        }
    }
}

/// Applies the edits one after another.
fn apply(text: &str, edits: &[Edit]) -> String {
    let mut chars: Vec<char> = text.chars().collect();
    for edit in edits {
        let start = edit.at % (chars.len() + 1);
        let end = (start + edit.remove).min(chars.len());
        chars.splice(start..end, edit.insert.chars());
    }
    chars.into_iter().collect()
}

/// Returns whether the position of each finding is inside the text or at the end of a line.
fn positions_are_inside(findings: &Findings, text: &str) -> bool {
    let lines = text.split('\n').count();
    findings.iter().all(|finding| {
        let line = finding.position.line as usize;
        let chars = text
            .split('\n')
            .nth(line - 1)
            .map(|line| line.chars().count());
        line <= lines && chars.is_some_and(|chars| finding.position.column as usize <= chars + 1)
    })
}

/// Returns whether an accepted catalogue is read back unchanged and a rejected one has errors with
/// valid positions.
fn check_catalogue(text: &str) -> bool {
    match cat::catalogue::read("catalogue.jsonc", text) {
        Ok((catalogue, warnings)) => {
            let stored = Catalogue::from_json(&catalogue.to_json());
            !warnings.has_errors() && stored == Ok(catalogue)
        }
        Err(findings) => findings.has_errors() && positions_are_inside(&findings, text),
    }
}

/// Returns whether accepted settings have no errors and rejected ones have errors with valid
/// positions.
fn check_settings(text: &str) -> bool {
    match cat::settings::read("settings.jsonc", text) {
        Ok((_, warnings)) => !warnings.has_errors(),
        Err(findings) => findings.has_errors() && positions_are_inside(&findings, text),
    }
}

#[test]
fn deep_nesting_is_a_finding() {
    for open in ["[", "{\"a\":"] {
        let text = open.repeat(100_000);
        let findings = cat::catalogue::read("deep.jsonc", &text).unwrap_err();
        assert!(findings.to_string().contains("nesting depth"), "{findings}");
        assert!(check_settings(&text));
    }
}

quickcheck! {
    fn mutated_samples_never_panic(edits: Vec<Edit>) -> bool {
        texts().iter().all(|[catalogue, settings]| {
            check_catalogue(&apply(catalogue, &edits)) && check_settings(&apply(settings, &edits))
        })
    }

    fn mutated_fixtures_never_panic(edits: Vec<Edit>) -> bool {
        let catalogue = include_str!("fixtures/catalogue/invalid/five_faults.jsonc");
        let settings = include_str!("fixtures/settings/invalid/many_faults.jsonc");
        check_catalogue(&apply(catalogue, &edits)) && check_settings(&apply(settings, &edits))
    }

    fn arbitrary_text_never_panics(text: String) -> bool {
        check_catalogue(&text) && check_settings(&text)
    }

    fn arbitrary_bytes_never_panic(bytes: Vec<u8>) -> bool {
        Catalogue::from_json(&bytes).is_err()
            && cat::Head::from_json(&bytes).is_err()
            && cat::Index::from_json(&bytes).is_err()
    }
}
