//! The `check` command, and loading of documents for the other commands.

use std::{fs, io, path::Path};

use cat::{Catalogue, Findings, Settings};
use jsonc_parser::{JsonValue, ParseOptions, parse_to_value};
use snafu::{ResultExt, Snafu};

use crate::{
    args::{Check, Document},
    exit::Exit,
};

/// Top-level keys that identify a catalogue.
const CATALOGUE_KEYS: [&str; 2] = ["services", "entries"];

/// Top-level keys that identify a settings file of the users' platform.
const PLATFORM_KEYS: [&str; 2] = ["node", "internalPorts"];

/// Why a document could not be loaded.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file cannot be read.
    #[snafu(display("{file}: {source}"))]
    File {
        /// Name of the file.
        file: Box<str>,
        /// Error of the operating system.
        source: io::Error,
    },
    /// A settings file of the platform has findings.
    #[snafu(display("{file}: {source}"))]
    Platform {
        /// Name of the file.
        file: Box<str>,
        /// The findings, with their locations in the file.
        source: platform::settings::Findings,
    },
    /// The document has findings of severity *error*.
    #[snafu(display("{findings}"))]
    InvalidDocument {
        /// The findings.
        findings: Findings,
    },
}

impl Error {
    /// Prints the error. Findings go to standard output, as they are the result of a check.
    pub fn report(&self) -> Exit {
        match self {
            Self::File { .. } => {
                eprintln!("briarcove: {self}");
                Exit::Usage
            }
            Self::Platform { file, source } => {
                for finding in source.iter() {
                    println!("{file}:{finding}");
                }
                Exit::Findings
            }
            Self::InvalidDocument { findings } => {
                print_findings(findings);
                Exit::Findings
            }
        }
    }
}

/// Prints findings, one on each line.
pub fn print_findings(findings: &Findings) {
    for finding in findings.iter() {
        println!("{finding}");
    }
}

/// Reports the findings in all files; warnings alone do not fail the check.
pub fn run(args: &Check) -> Exit {
    let mut worst = Exit::Ok;
    for file in &args.files {
        let exit = match check_file(file, args.r#as) {
            Ok(warnings) => {
                print_findings(&warnings);
                Exit::Ok
            }
            Err(e) => e.report(),
        };
        worst = if exit.code() > worst.code() {
            exit
        } else {
            worst
        };
    }
    worst
}

fn check_file(file: &Path, kind: Option<Document>) -> Result<Findings, Error> {
    let text = read_text(file)?;
    match kind.unwrap_or_else(|| recognize(&text)) {
        Document::Settings => parse_settings(file, &text).map(|(_, warnings)| warnings),
        Document::Catalogue => parse_catalogue(file, &text).map(|(_, warnings)| warnings),
        Document::Platform => {
            let parsed = platform::Settings::parse(&text);
            parsed.map(|_| Findings::default()).context(PlatformSnafu {
                file: file.display().to_string(),
            })
        }
    }
}

/// Detects the kind of a document from its top-level keys.
///
/// A text that cannot be parsed counts as settings, whose parser reports the syntax error.
fn recognize(text: &str) -> Document {
    let parsed = parse_to_value(text, &ParseOptions::default());
    let Ok(Some(JsonValue::Object(root))) = parsed else {
        return Document::Settings;
    };
    let has_any = |keys: &[&str]| keys.iter().any(|key| root.get(key).is_some());
    if has_any(&CATALOGUE_KEYS) {
        Document::Catalogue
    } else if has_any(&PLATFORM_KEYS) {
        Document::Platform
    } else {
        Document::Settings
    }
}

/// Loads a catalogue and its findings, which are all warnings.
///
/// # Errors
///
/// Fails when the file cannot be read or has findings of severity *error*.
pub fn load_catalogue(file: &Path) -> Result<(Catalogue, Findings), Error> {
    parse_catalogue(file, &read_text(file)?)
}

/// Loads settings and their findings, which are all warnings.
///
/// # Errors
///
/// Fails when the file cannot be read or has findings of severity *error*.
pub fn load_settings(file: &Path) -> Result<(Settings, Findings), Error> {
    parse_settings(file, &read_text(file)?)
}

fn parse_catalogue(file: &Path, text: &str) -> Result<(Catalogue, Findings), Error> {
    let name = file.display().to_string();
    cat::catalogue::read(&name, text).map_err(|findings| Error::InvalidDocument { findings })
}

fn parse_settings(file: &Path, text: &str) -> Result<(Settings, Findings), Error> {
    let name = file.display().to_string();
    cat::settings::read(&name, text).map_err(|findings| Error::InvalidDocument { findings })
}

fn read_text(file: &Path) -> Result<String, Error> {
    fs::read_to_string(file).context(FileSnafu {
        file: file.display().to_string(),
    })
}
