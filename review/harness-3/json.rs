//! Just enough JSON: members of objects and entries of arrays, as slices of the text.

fn skip_space(text: &[u8], mut at: usize) -> usize {
    while at < text.len() && text[at].is_ascii_whitespace() {
        at += 1;
    }
    at
}

/// Returns the end of the value that starts at `at`.
fn value_end(text: &[u8], at: usize) -> usize {
    let mut depth = 0;
    let mut at = at;
    let mut in_string = false;
    while at < text.len() {
        let byte = text[at];
        if in_string {
            match byte {
                b'\\' => at += 1,
                b'"' => {
                    in_string = false;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                _ => {}
            }
        } else {
            match byte {
                b'"' => in_string = true,
                b'{' | b'[' => depth += 1,
                b'}' | b']' => {
                    if depth == 0 {
                        return at;
                    }
                    depth -= 1;
                    if depth == 0 {
                        return at + 1;
                    }
                }
                b',' if depth == 0 => return at,
                _ => {}
            }
        }
        at += 1;
    }
    at
}

/// Returns the value of a member of an object.
pub fn member<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let bytes = text.as_bytes();
    let mut at = skip_space(bytes, 0);
    if bytes.get(at) != Some(&b'{') {
        return None;
    }
    at += 1;
    loop {
        at = skip_space(bytes, at);
        if bytes.get(at) != Some(&b'"') {
            return None;
        }
        let key_end = value_end(bytes, at);
        let key = &text[at + 1..key_end - 1];
        at = skip_space(bytes, key_end);
        at = skip_space(bytes, at + 1);
        let end = value_end(bytes, at);
        if key == name {
            return Some(text[at..end].trim());
        }
        at = skip_space(bytes, end) + 1;
        if at >= bytes.len() {
            return None;
        }
    }
}

/// Returns the entries of an array.
pub fn entries(text: &str) -> Vec<&str> {
    let bytes = text.as_bytes();
    let mut found = Vec::new();
    let mut at = skip_space(bytes, 0) + 1;
    loop {
        at = skip_space(bytes, at);
        if at >= bytes.len() || bytes[at] == b']' {
            return found;
        }
        let end = value_end(bytes, at);
        found.push(text[at..end].trim());
        at = skip_space(bytes, end) + 1;
    }
}

/// Returns the text of a string without escapes, which is all that is used here.
pub fn string(text: &str) -> String {
    text.trim_matches('"').replace("\\n", "\n")
}

pub fn member_string(text: &str, name: &str) -> String {
    member(text, name).map(string).unwrap_or_default()
}

pub fn member_number(text: &str, name: &str) -> Option<u64> {
    member(text, name)?.parse().ok()
}

pub fn base64(data: &[u8]) -> String {
    const LETTERS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut out = String::new();
    for chunk in data.chunks(3) {
        let bits = chunk.iter().fold(0u32, |bits, byte| bits << 8 | u32::from(*byte))
            << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let letter = LETTERS[(bits >> (18 - 6 * index)) as usize & 63] as char;
            out.push(if index <= chunk.len() { letter } else { '=' });
        }
    }
    out
}
