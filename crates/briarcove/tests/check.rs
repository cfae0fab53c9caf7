//! The command line itself and the `check` command.

use crate::{bench, command::briarcove};

const FIXTURES: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../cat/tests/fixtures");

/// Returns the file of one of the catalogues that `cat` is tested with.
pub(crate) fn fixture(name: &str) -> String {
    format!("{FIXTURES}/catalogue/{name}.jsonc")
}

#[test]
fn five_faults_give_five_findings_with_their_places() {
    for kind in ["catalogue", "settings"] {
        let file = format!("{FIXTURES}/{kind}/invalid/five_faults.jsonc");
        let run = briarcove(&["check", &file]).expect(1);
        let lines: Vec<&str> = run.out.lines().collect();
        let errors = lines.iter().filter(|line| line.contains(": error: "));
        let expected = std::fs::read_to_string(file.replace(".jsonc", ".txt")).unwrap();
        assert_eq!(lines.len(), expected.lines().count(), "{run:#?}");
        assert!(errors.count() >= 5, "{run:#?}");
        for (line, expected) in lines.iter().zip(expected.lines()) {
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
        .says("missing key \"services\"")
        .says("warning: no entry names the service");
    briarcove(&["check", "--as", "settings", &warned])
        .expect(1)
        .says("missing key \"instance\"");
}

#[test]
fn a_wrong_command_line_is_told_apart_from_findings() {
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
    briarcove(&["--version"]).expect(0).says("briarcove 0.1.0");
    briarcove(&["--help"]).expect(0).says("outcome unknown");
    briarcove(&["apply", "--help"]).expect(0).says("--expect");
}
