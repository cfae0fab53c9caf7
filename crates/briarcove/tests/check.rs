//! The command line and the `check` command.

use crate::{bench, command::briarcove};

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../cat/tests/fixtures");

/// Returns the path of a catalogue from the test fixtures of `cat`.
pub(crate) fn fixture(name: &str) -> String {
    format!("{FIXTURES}/catalogue/{name}.jsonc")
}

#[test]
fn every_fault_is_reported_with_its_location() {
    for (file, faults) in [
        ("catalogue/invalid/five_faults", 5),
        ("settings/invalid/many_faults", 6),
    ] {
        let file = format!("{FIXTURES}/{file}.jsonc");
        let run = briarcove(&["check", &file]).expect(1);
        let expected = std::fs::read_to_string(file.replace(".jsonc", ".txt")).unwrap();
        assert_eq!(run.out.matches(": error: ").count(), faults, "{run:#?}");
        assert_eq!(
            run.out.lines().count(),
            expected.lines().count(),
            "{run:#?}"
        );
        for (line, expected) in run.out.lines().zip(expected.lines()) {
            assert!(line.ends_with(expected), "{line}");
            assert!(line.starts_with(&file), "{line}");
        }
    }
}

#[test]
fn every_file_is_checked_and_warnings_pass() {
    let warned = fixture("valid/warnings");
    let run = briarcove(&["check", &warned]).expect(0);
    assert_eq!(run.out.matches(": warning: ").count(), 3, "{run:#?}");
    let faulty = bench::file("{ \"entries\": {} }");
    briarcove(&["check", &warned, faulty.to_str().unwrap()])
        .expect(1)
        .prints("missing key \"services\"")
        .prints("warning: no entry names the service");
    briarcove(&["check", "--as", "settings", &warned])
        .expect(1)
        .prints("missing key \"instance\"");
}

#[test]
fn an_invalid_command_line_and_findings_have_different_exit_codes() {
    for words in [
        &[][..],
        &["check"],
        &["check", "/nonexistent.jsonc"],
        &["apply", "x.jsonc"],
        &["audit", "--platform", "nowhere"],
        &["status"],
        &["bake"],
    ] {
        let run = briarcove(words).expect(2);
        assert!(!run.err.is_empty(), "{words:?}");
    }
    briarcove(&["--version"])
        .expect(0)
        .prints("briarcove 0.1.0");
    briarcove(&["--help"]).expect(0).prints("outcome unknown");
    briarcove(&["apply", "--help"]).expect(0).prints("--expect");
}
