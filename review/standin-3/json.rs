//! A small JSON reader, enough for the bodies that an instance sends to the store.

/// Returns the text of the value of `key` in the object `text`, if it is there.
pub fn field<'a>(text: &'a str, key: &str) -> Option<&'a str> {
    let inner = text.trim().strip_prefix('{')?.strip_suffix('}')?;
    for member in split(inner) {
        let member = member.trim();
        let end = member[1..].find('"')? + 1;
        let value = member[end + 1..].trim_start().strip_prefix(':')?;
        if &member[1..end] == key {
            return Some(value.trim());
        }
    }
    None
}

/// Returns the text in a JSON string without escapes.
pub fn unquote(text: &str) -> &str {
    text.trim().trim_matches('"')
}

/// Splits the inside of an array or object at its top-level commas.
fn split(inner: &str) -> Vec<&str> {
    let (mut parts, mut start, mut depth) = (Vec::new(), 0, 0);
    let (mut quoted, mut escaped) = (false, false);
    for (at, byte) in inner.bytes().enumerate() {
        match byte {
            _ if escaped => escaped = false,
            b'\\' if quoted => escaped = true,
            b'"' => quoted = !quoted,
            _ if quoted => {}
            b'{' | b'[' => depth += 1,
            b'}' | b']' => depth -= 1,
            b',' if depth == 0 => {
                parts.push(&inner[start..at]);
                start = at + 1;
            }
            _ => {}
        }
    }
    if !inner[start..].trim().is_empty() {
        parts.push(&inner[start..]);
    }
    parts
}
