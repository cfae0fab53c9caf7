//! Suggestions for misspelt names.

/// Maximum length of a name that gets a suggestion, in characters.
const MAX_COMPARED_CHARS: usize = 96;

/// Returns the known name with the smallest edit distance from `name`.
///
/// The distance may be at most a third of the length of `name`, rounded up.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let name: Vec<char> = name.chars().take(MAX_COMPARED_CHARS + 1).collect();
    if name.len() > MAX_COMPARED_CHARS {
        return None;
    }
    let max_edits = name.len().div_ceil(3);
    known
        .filter(|candidate| candidate.chars().count().abs_diff(name.len()) <= max_edits)
        .map(|candidate| (edit_distance(&name, candidate), candidate))
        .filter(|&(distance, _)| distance <= max_edits)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Returns the hint that suggests the nearest known name.
pub(crate) fn did_you_mean<'a>(
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Option<Box<str>> {
    nearest(name, known).map(|found| format!("did you mean {found:?}?").into())
}

/// Returns the Levenshtein distance of two names: the number of insertions, deletions and
/// replacements.
fn edit_distance(a: &[char], b: &str) -> usize {
    let mut row: Vec<usize> = (0..=a.len()).collect();
    for (i, cb) in b.chars().enumerate() {
        let mut diagonal = i;
        row[0] = i + 1;
        for (j, ca) in a.iter().enumerate() {
            let replaced = diagonal + usize::from(*ca != cb);
            diagonal = row[j + 1];
            row[j + 1] = replaced.min(row[j] + 1).min(diagonal + 1);
        }
    }
    row[a.len()]
}
