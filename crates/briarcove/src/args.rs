//! Command-line arguments.

use std::{
    net::{AddrParseError, Ipv4Addr, SocketAddr},
    path::PathBuf,
    str::FromStr,
};

use base::Revision;
use gumdrop::Options;
use snafu::Snafu;
use tier::mechanism::Disabled;

/// Query tier over many shards.
#[derive(Debug, Options)]
pub struct Args {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Asks for the version.
    #[options(no_short, help = "print the version")]
    pub version: bool,
    /// The subcommand.
    #[options(command)]
    pub command: Option<Command>,
}

/// The subcommands.
#[derive(Debug, Options)]
pub enum Command {
    /// Runs an entry instance.
    #[options(help = "run an entry instance")]
    Serve(Serve),
    /// Runs an entry instance on the users' platform.
    #[options(help = "run an entry instance on the platform that started the process")]
    Edge(Edge),
    /// Reports the findings of settings and catalogues.
    #[options(help = "report all findings of settings and catalogues")]
    Check(Check),
    /// Puts a catalogue in force.
    #[options(help = "put a catalogue in force")]
    Apply(Apply),
    /// Shows the state of instances.
    #[options(help = "show the state of instances")]
    Status(Status),
    /// Lists the accepted changes of the catalogue.
    #[options(help = "list the accepted changes of the catalogue")]
    Audit(Audit),
}

/// Runs an entry instance until it is drained.
#[derive(Debug, Options)]
pub struct Serve {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings of the instance.
    #[options(required, meta = "FILE", help = "settings of the instance")]
    pub settings: PathBuf,
}

/// Runs an entry instance on the users' platform until it receives SIGTERM.
#[derive(Debug, Options)]
pub struct Edge {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Settings file that the platform writes.
    #[options(
        meta = "FILE",
        help = "settings of the platform; otherwise BRIARCOVE_CONFIG names them"
    )]
    pub settings: Option<PathBuf>,
    /// Mechanisms to switch off.
    #[options(
        no_short,
        meta = "NAMES",
        help = "switch these mechanisms off, separated by commas (docs/OPERATIONS.md)"
    )]
    pub disable: Disabled,
}

/// Reports all findings of settings and catalogues with their places.
#[derive(Debug, Options)]
pub struct Check {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Kind of the files; detected from their top-level keys if not given.
    #[options(
        no_short,
        long = "as",
        meta = "KIND",
        help = "settings or catalogue; otherwise detected from the keys"
    )]
    pub r#as: Option<Document>,
    /// Files to check.
    #[options(free, required, help = "files to check")]
    pub files: Vec<PathBuf>,
}

/// Puts a catalogue in force unless another change came first.
#[derive(Debug, Options)]
pub struct Apply {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address of the platform.
    #[options(required, meta = "ADDR", help = "address of the platform")]
    pub platform: Address,
    /// Revision that has to be in force.
    #[options(meta = "REVISION", help = "refuse unless this revision is in force")]
    pub expect: Option<Revision>,
    /// Shows the change without applying it.
    #[options(short = "n", help = "show the change without making it")]
    pub dry_run: bool,
    /// The catalogue.
    #[options(free, required, help = "catalogue to put in force")]
    pub catalogue: PathBuf,
}

/// Shows the state of instances side by side.
#[derive(Debug, Options)]
pub struct Status {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address of an instance's operator endpoints.
    #[options(
        meta = "ADDR",
        help = "operator address of an instance; may be repeated"
    )]
    pub instance: Vec<Address>,
    /// Addresses of further instances.
    #[options(free, help = "further operator addresses")]
    pub further: Vec<Address>,
}

/// Lists the accepted changes of the catalogue, oldest first.
#[derive(Debug, Options)]
pub struct Audit {
    /// Asks for help.
    #[options(help = "print this help")]
    pub help: bool,
    /// Address of the platform.
    #[options(required, meta = "ADDR", help = "address of the platform")]
    pub platform: Address,
    /// First revision to list.
    #[options(meta = "REVISION", help = "first revision to list")]
    pub from: Option<Revision>,
    /// Prints one JSON object on each line.
    #[options(help = "print one JSON object a line")]
    pub json: bool,
}

/// An IP address with a port.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Address(pub SocketAddr);

impl Default for Address {
    /// Returns a placeholder, which the parser always replaces.
    fn default() -> Self {
        Self(SocketAddr::from((Ipv4Addr::LOCALHOST, 0)))
    }
}

impl FromStr for Address {
    type Err = AddrParseError;

    fn from_str(text: &str) -> Result<Self, AddrParseError> {
        text.parse().map(Self)
    }
}

/// Kinds of document that `check` reads.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Document {
    /// Settings of an instance.
    Settings,
    /// A catalogue.
    Catalogue,
    /// A settings file that the users' platform writes for a process.
    Platform,
}

/// Error for an unknown kind of document.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
#[snafu(display("expected settings, catalogue or platform"))]
pub struct DocumentError;

impl FromStr for Document {
    type Err = DocumentError;

    fn from_str(text: &str) -> Result<Self, DocumentError> {
        match text {
            "settings" => Ok(Self::Settings),
            "catalogue" => Ok(Self::Catalogue),
            "platform" => Ok(Self::Platform),
            _ => Err(DocumentError),
        }
    }
}

/// Returns the help text for the given command, or for the whole program without one.
pub fn usage(args: &Args) -> String {
    use std::fmt::Write;

    let mut text = String::new();
    let (name, options) = match &args.command {
        Some(command) => {
            let name = command.command_name().unwrap_or_default();
            (format!(" {name}"), command.self_usage())
        }
        None => (" COMMAND".to_owned(), args.self_usage()),
    };
    let _ = writeln!(text, "Usage: briarcove{name} [OPTIONS]\n\n{options}");
    if args.command.is_none() {
        let commands = Args::command_list().unwrap_or_default();
        let _ = writeln!(text, "\nCommands:\n{commands}\n\nExit codes:");
        for (exit, meaning) in crate::exit::Exit::ALL {
            let _ = writeln!(text, "  {}  {meaning}", exit.code());
        }
    }
    text
}
