//! The `check` command, and reading documents for the other commands.

use std::{fs, io, path::Path};

use cat::{Catalogue, Findings, Settings};
use jsonc_parser::{JsonValue, ParseOptions, parse_to_value};
use snafu::{ResultExt, Snafu};

use crate::{
    args::{Check, Document},
    exit::Exit,
};

/// Top-level keys by which a catalogue is recognized.
const CATALOGUE_KEYS: [&str; 2] = ["services", "entries"];

/// Top-level keys by which the settings file of the users' platform is recognized.
const PLATFORM_KEYS: [&str; 2] = ["node", "internalPorts"];

/// Why a file yields no document.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The file can't be read.
    #[snafu(display("{file}: {source}"))]
    File {
        /// Name of the file.
        file: Box<str>,
        /// Cause given by the system.
        source: io::Error,
    },
    /// The settings that the platform wrote have findings.
    #[snafu(display("{file}: {source}"))]
    Platform {
        /// Name of the file.
        file: Box<str>,
        /// Everything that was found, with its places in the file.
        source: platform::settings::Findings,
    },
    /// The document has findings of severity *error*.
    #[snafu(display("{findings}"))]
    Found {
        /// Everything that was found.
        findings: Findings,
    },
}

impl Error {
    /// Prints what is wrong: findings to the output, since they are the result of a check.
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
            Self::Found { findings } => {
                print_findings(findings);
                Exit::Findings
            }
        }
    }
}

/// Prints one finding a line.
pub fn print_findings(findings: &Findings) {
    for finding in findings.iter() {
        println!("{finding}");
    }
}

/// Reports the findings of all files; warnings alone do not fail the check.
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

/// Tells the kind of a document by its top-level keys; its reader reports what can't be parsed.
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

/// Reads a catalogue; the findings of a valid one are warnings.
///
/// # Errors
///
/// Fails when the file can't be read or has findings of severity *error*.
pub fn load_catalogue(file: &Path) -> Result<(Catalogue, Findings), Error> {
    parse_catalogue(file, &read_text(file)?)
}

/// Reads settings; the findings of valid ones are warnings.
///
/// # Errors
///
/// Fails when the file can't be read or has findings of severity *error*.
pub fn load_settings(file: &Path) -> Result<(Settings, Findings), Error> {
    parse_settings(file, &read_text(file)?)
}

fn parse_catalogue(file: &Path, text: &str) -> Result<(Catalogue, Findings), Error> {
    let name = file.display().to_string();
    cat::catalogue::read(&name, text).map_err(|findings| Error::Found { findings })
}

fn parse_settings(file: &Path, text: &str) -> Result<(Settings, Findings), Error> {
    let name = file.display().to_string();
    cat::settings::read(&name, text).map_err(|findings| Error::Found { findings })
}

fn read_text(file: &Path) -> Result<String, Error> {
    fs::read_to_string(file).context(FileSnafu {
        file: file.display().to_string(),
    })
}
