//! Log lines for the reducer's notes.

use node::effect::Note;
use slog::{Logger, info, warn};

/// Writes a note to the log.
pub(super) fn note(log: &Logger, note: &Note) {
    match note {
        Note::CatalogueInForce(revision) => {
            info!(log, "catalogue in force"; "revision" => revision.0)
        }
        Note::BadObject {
            kind,
            name,
            problem,
        } => {
            warn!(log, "ignoring an invalid platform object";
                "kind" => kind.as_str(), "name" => &**name, "problem" => &**problem);
        }
        Note::UpstreamLeaving(upstream) => {
            info!(log, "upstream is leaving"; "upstream" => upstream.as_str());
        }
        Note::Quarantined(fingerprint) => {
            warn!(log, "request quarantined"; "fingerprint" => format!("{fingerprint:016x}"));
        }
        Note::Peer { name, state } => {
            info!(log, "peer state changed"; "peer" => name.as_str(), "state" => *state);
        }
        Note::BadMessage(problem) => {
            warn!(log, "ignoring an invalid peer message"; "problem" => &**problem);
        }
    }
}
