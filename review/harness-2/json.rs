//! Reading of JSON texts without decoding them.

/// Returns the end of the JSON value that starts at `at`.
fn value_end(text: &[u8], at: usize) -> usize {
    let mut depth = 0usize;
    let mut index = at;
    while index < text.len() {
        match text[index] {
            b'"' => {
                index += 1;
                while index < text.len() && text[index] != b'"' {
                    index += if text[index] == b'\\' { 2 } else { 1 };
                }
            }
            b'{' | b'[' => depth += 1,
            b'}' | b']' if depth == 0 => return index,
            b'}' | b']' => {
                depth -= 1;
                if depth == 0 {
                    return index + 1;
                }
            }
            b',' if depth == 0 => return index,
            _ => {}
        }
        index += 1;
    }
    index
}

/// Returns the raw value of a field of an object.
pub fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut index = text.find('{')? + 1;
    loop {
        while index < bytes.len() && matches!(bytes[index], b' ' | b',' | b'\n' | b'\r' | b'\t') {
            index += 1;
        }
        if index >= bytes.len() || bytes[index] != b'"' {
            return None;
        }
        let key_end = index + 1 + text[index + 1..].find('"')?;
        let key = &text[index + 1..key_end];
        let mut start = key_end + 1;
        while matches!(bytes.get(start), Some(b':' | b' ')) {
            start += 1;
        }
        let end = value_end(bytes, start);
        if key == name {
            return Some(text[start..end].trim());
        }
        index = end;
    }
}

/// Returns a field that is a string without escapes.
pub fn string(text: &str, name: &str) -> Option<String> {
    Some(field(text, name)?.trim_matches('"').to_owned())
}

/// Returns the raw entries of a field that is a list.
pub fn list<'a>(text: &'a str, name: &str) -> Vec<&'a str> {
    let Some(raw) = field(text, name) else { return Vec::new() };
    let inner = raw.trim_start_matches('[');
    let bytes = inner.as_bytes();
    let mut entries = Vec::new();
    let mut index = 0;
    while index < bytes.len() && bytes[index] != b']' {
        if matches!(bytes[index], b' ' | b',') {
            index += 1;
            continue;
        }
        let end = value_end(bytes, index);
        entries.push(inner[index..end].trim());
        index = end;
    }
    entries
}
