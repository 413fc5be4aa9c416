//! Checks of how text of other programs is written to log lines.

use hs_event::LogText;

/// Guards against a registry ID or a key that ends its log line and begins a false one, or hides it in a long text.
#[test]
fn text_of_others_stays_within_its_field() {
    let long = "a".repeat(1000);
    let cut = format!("\"{}...\"", "a".repeat(160));
    let cases = [
        ("w-17", "w-17"),
        ("servers/w:1", "servers/w:1"),
        ("", r#""""#),
        ("a b", r#""a b""#),
        ("a=b", r#""a=b""#),
        (r#"a"b"#, r#""a\"b""#),
        ("a\nE8001 cell taken over", r#""a\nE8001 cell taken over""#),
        ("a\u{1b}[2J", r#""a\u{1b}[2J""#),
        (&long, &cut),
    ];
    for (text, expected) in cases {
        assert_eq!(LogText(text).to_string(), expected, "{text:?}");
    }
}
