//! The `demo` command, run as a process.

use std::process::Command;
use std::time::{Duration, Instant};

/// Guards against a demonstration that fails, takes too long, or prints a table without one of the
/// classes.
#[test]
fn demo_succeeds_in_time() {
    let begin = Instant::now();
    let output = Command::new(env!("CARGO_BIN_EXE_hornbeamshunt"))
        .arg("demo")
        .output()
        .expect("run");
    let text = String::from_utf8_lossy(&output.stdout);
    assert!(output.status.success(), "{output:?}");
    assert!(begin.elapsed() < Duration::from_secs(20), "{text}");
    for (class, count) in [("check", 600), ("order", 100), ("batch", 80), ("gang", 1)] {
        let row = text.lines().find(|line| line.starts_with(class));
        let cells: Vec<&str> = row.expect(class).split_whitespace().collect();
        let count = count.to_string();
        assert_eq!(cells[1..6], [&count, &count, "0", "0", "0"], "{text}");
    }
    assert!(text.contains("every answer is its caller's own"), "{text}");
}
