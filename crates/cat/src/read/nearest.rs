//! Suggestions for misspelt names.

/// Longest name that is compared, in characters.
const MAX_COMPARED_CHARS: usize = 96;

/// Returns the known name with the fewest edits from `name`, if it is similar at all.
pub(crate) fn nearest<'a>(name: &str, known: impl Iterator<Item = &'a str>) -> Option<&'a str> {
    let name: Vec<char> = name.chars().take(MAX_COMPARED_CHARS + 1).collect();
    if name.len() > MAX_COMPARED_CHARS {
        return None;
    }
    let most_edits = name.len().div_ceil(3);
    known
        .filter(|candidate| candidate.chars().count().abs_diff(name.len()) <= most_edits)
        .map(|candidate| (edits(&name, candidate), candidate))
        .filter(|&(edits, _)| edits <= most_edits)
        .min()
        .map(|(_, candidate)| candidate)
}

/// Makes the hint that suggests the nearest known name.
pub(crate) fn did_you_mean<'a>(
    name: &str,
    known: impl Iterator<Item = &'a str>,
) -> Option<Box<str>> {
    nearest(name, known).map(|found| format!("did you mean {found:?}?").into())
}

/// Counts the insertions, deletions and replacements between two names (Levenshtein distance).
fn edits(a: &[char], b: &str) -> usize {
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
