//! Log records of what the reducer notes.

use node::effect::Note;
use slog::{Logger, info, warn};

/// Writes one note to the log.
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
            warn!(log, "platform object ignored";
                "kind" => kind.as_str(), "name" => &**name, "problem" => &**problem);
        }
        Note::UpstreamLeaving(upstream) => {
            info!(log, "upstream is leaving"; "upstream" => upstream.as_str());
        }
        Note::Quarantined(fingerprint) => {
            warn!(log, "request quarantined"; "fingerprint" => format!("{fingerprint:016x}"));
        }
        Note::Peer { name, state } => {
            info!(log, "peer changed"; "peer" => name.as_str(), "state" => *state);
        }
        Note::BadMessage(problem) => {
            warn!(log, "peer message ignored"; "problem" => &**problem);
        }
    }
}
