//! JSON that another writer may leave in a list.

use quickcheck::{Arbitrary, Gen};

/// Values that no field accepts, or only with a limit.
const ODD_VALUES: [&str; 22] = [
    "null",
    "true",
    "-1",
    "0",
    "1.5",
    "1e400",
    "-1e400",
    "4294967295",
    "4294967296",
    "18446744073709551615",
    "18446744073709551616",
    "\"\"",
    "\"a b&c#d%e/f\"",
    "\"line\\nbreak\"",
    "\"\\u0000\"",
    "\"\\ud800\"",
    "\"127.0.0.1:0\"",
    "\"127.0.0.1:65536\"",
    "\"127.0.0.1:-1\"",
    "\":80\"",
    "[]",
    "{}",
];

/// Returns lists or objects that contain each other `depth` times.
pub fn nested(open: &str, close: &str, depth: usize) -> String {
    format!("{}1{}", open.repeat(depth), close.repeat(depth))
}

/// Returns a random odd value.
pub fn odd_value(source: &mut Gen) -> String {
    let depth = [1, 127, 128, 10_000][usize::arbitrary(source) % 4];
    match u8::arbitrary(source) % 12 {
        0 => nested("[", "]", depth),
        1 => nested("{\"a\":", "}", depth),
        _ => ODD_VALUES[usize::arbitrary(source) % ODD_VALUES.len()].to_owned(),
    }
}

/// Returns an object with these fields, of which some are replaced by odd values, left out or
/// repeated.
pub fn odd_object(source: &mut Gen, fields: &[(&str, &str)]) -> String {
    let mut parts = Vec::new();
    for (name, value) in fields {
        match u8::arbitrary(source) % 8 {
            0 => {}
            1 => parts.push(format!("\"{name}\":{value},\"{name}\":{value}")),
            2 | 3 => parts.push(format!("\"{name}\":{}", odd_value(source))),
            _ => parts.push(format!("\"{name}\":{value}")),
        }
    }
    format!("{{{}}}", parts.join(","))
}
