//! Files in which another writer left odd values.

use std::thread;
use std::time::{Duration, Instant};

use hs_config::{ConfigError, parse_manifest, parse_settings};

/// Stack of the thread that parses, a quarter of that of a worker thread of the runtime.
const STACK_BYTES: usize = 512 << 10;

/// Maximum time for one file.
const TIME_LIMIT: Duration = Duration::from_secs(5);

/// Files with a place for one value. No place accepts any of the odd values.
const MANIFESTS: [&str; 6] = [
    "?",
    "{ revision: ?, customers: [], workloads: [] }",
    "{ other: ?, customers: [], workloads: [] }",
    "{ customers: [{ name: 'a' }, ?], workloads: [] }",
    "{ customers: [{ name: 'a', weight: ? }], workloads: [] }",
    "{ customers: [], workloads: [{ name: 'w', class: 'check', resources: { slots: ? } }] }",
];

fn settings_with_address(address: &str) -> String {
    format!(
        "{{ id: 'a', data_centre: 'd', caller_listen: '127.0.0.1:1', control_listen: '127.0.0.1:2', \
         peer_listen: '127.0.0.1:3', store: '127.0.0.1:4', vm_list: {address} }}"
    )
}

fn odd_values() -> Vec<String> {
    let nested =
        |open: &str, close: &str, depth| format!("{}1{}", open.repeat(depth), close.repeat(depth));
    let mut values: Vec<String> = [
        "1e400",
        "-1",
        "1.5",
        "18446744073709551616",
        "NaN",
        "Infinity",
    ]
    .map(str::to_owned)
    .to_vec();
    for depth in [17, 128, 10_000, 100_000] {
        values.push(nested("[", "]", depth));
        values.push(nested("{a:", "}", depth));
        values.push("[".repeat(depth));
    }
    values
}

/// Parses a text on a thread with a small stack, which recursion without a limit would overflow.
fn parse_small<T: Send + 'static>(
    text: String,
    parse: fn(&str) -> Result<T, ConfigError>,
) -> Result<T, ConfigError> {
    let shown: String = text.chars().take(200).collect();
    let begin = Instant::now();
    let thread = thread::Builder::new().stack_size(STACK_BYTES);
    let parser = thread.spawn(move || parse(&text)).expect("a thread");
    let result = parser.join().expect("no panic");
    assert!(
        begin.elapsed() < TIME_LIMIT,
        "{:?}: {shown}",
        begin.elapsed()
    );
    result
}

/// Guards against an odd value that ends the process that reads a manifest, or of which only a part
/// is rejected.
#[test]
fn a_manifest_with_an_odd_value_is_rejected_as_a_whole() {
    for manifest in MANIFESTS {
        for value in odd_values() {
            let result = parse_small(manifest.replace('?', &value), parse_manifest);
            let error = result.expect_err(&format!("{manifest} with {value:.40}"));
            assert!(!error.findings.is_empty(), "{manifest} with {value:.40}");
        }
    }
}

/// Guards against an address that can't be opened and is noticed only when it is used.
#[test]
fn odd_addresses_are_rejected() {
    let addresses = [
        "'127.0.0.1:65536'",
        "'127.0.0.1:-1'",
        "'127.0.0.1'",
        "':80'",
        "''",
        "'127.0.0.1:80\\n'",
        "'127.0.0.1 :80'",
        "80",
    ];
    for address in addresses {
        let result = parse_small(settings_with_address(address), parse_settings);
        assert!(result.is_err(), "{address}");
    }
    assert!(parse_settings(&settings_with_address("'127.0.0.1:5'")).is_ok());
}
