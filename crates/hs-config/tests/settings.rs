//! Validation findings of settings.

use hs_config::parse_settings;

/// Changes to a valid file and their expected findings, as `line|field|part of the message`.
struct SettingsCase {
    name: &'static str,
    replace: &'static [(&'static str, &'static str)],
    findings: &'static [&'static str],
}

const VALID: &str = "{
  // entry VM
  id: 'entry-1',
  data_centre: 'north',
  caller_listen: '10.0.0.1:8080',
  control_listen: '127.0.0.1:8081',
  peer_listen: '10.0.0.1:8082',
  control_token: null,
  store: '10.0.9.1:2379',
  vm_list: '10.0.9.2:80',
  seeds: ['10.0.0.2:8082'],
  limits: { body_bytes: 1024 },
}";

const CASES: &[SettingsCase] = &[
    SettingsCase {
        name: "valid",
        replace: &[],
        findings: &[],
    },
    SettingsCase {
        name: "control listener for everyone without a token",
        replace: &[("127.0.0.1:8081", "0.0.0.0:8081")],
        findings: &["6|control_listen|control_token is required"],
    },
    SettingsCase {
        name: "control listener for everyone with a token",
        replace: &[
            ("127.0.0.1:8081", "0.0.0.0:8081"),
            ("null", "'0123456789abcdef'"),
        ],
        findings: &[],
    },
    SettingsCase {
        name: "control listener on IPv6 loopback",
        replace: &[("127.0.0.1:8081", "[::1]:8081")],
        findings: &[],
    },
    SettingsCase {
        name: "weak token",
        replace: &[("null", "'hunter2 hunter2'")],
        findings: &[
            "8|control_token|shorter than 16",
            "8|control_token|visible ASCII",
        ],
    },
    SettingsCase {
        name: "token of another type",
        replace: &[("null", "2718281828459045")],
        findings: &["8|control_token|found a number"],
    },
    SettingsCase {
        name: "identical listeners, one of them on every address",
        replace: &[
            ("10.0.0.1:8082", "10.0.0.1:8080"),
            ("127.0.0.1:8081", "127.0.0.1:8080"),
            ("10.0.0.1:8080'", "0.0.0.0:8080'"),
        ],
        findings: &[
            "6|control_listen|same address as caller_listen",
            "7|peer_listen|same address as caller_listen",
        ],
    },
    SettingsCase {
        name: "addresses and names",
        replace: &[
            ("10.0.9.1:2379", "store:2379"),
            ("10.0.0.2:8082", "10.0.0.2"),
            ("entry-1", ""),
        ],
        findings: &[
            "3|id|empty",
            "9|store|not an address",
            "11|seeds[0]|not an address",
        ],
    },
    SettingsCase {
        name: "limits",
        replace: &[(
            "body_bytes: 1024",
            "body_bytes: 1023,\nhead_bytes: 65537,\nconnections: 0,\nhead_timeout_ms: 99,\nbody_timeout_ms: 300001,\ndrain_timeout_ms: 300001,\nx: 1",
        )],
        findings: &[
            "12|limits.body_bytes|out of range 1024 to 1048576",
            "13|limits.head_bytes|out of range 8192 to 65536",
            "14|limits.connections|out of range 1 to 65536",
            "15|limits.head_timeout_ms|out of range 100 to 300000",
            "16|limits.body_timeout_ms|out of range 100 to 300000",
            "17|limits.drain_timeout_ms|out of range 0 to 300000",
            "18|limits.x|unknown field",
        ],
    },
    SettingsCase {
        name: "missing",
        replace: &[("store:", "//")],
        findings: &["1|store|missing field"],
    },
];

/// Guards against missing findings, wrong lines or fields, and a token that appears in a message.
#[test]
fn settings_findings() {
    for case in CASES {
        let mut text = VALID.to_owned();
        for (from, to) in case.replace {
            assert!(text.contains(from), "{}: {from}", case.name);
            text = text.replace(from, to);
        }
        let findings = parse_settings(&text).map_or_else(|error| error.findings, |_| Vec::new());
        assert_eq!(
            findings.len(),
            case.findings.len(),
            "{}: {findings:?}",
            case.name
        );
        for (finding, expected) in findings.iter().zip(case.findings) {
            let parts: Vec<&str> = expected.split('|').collect();
            assert_eq!(
                finding.line.map(|line| line.to_string()).as_deref(),
                Some(parts[0]),
                "{}: {finding}",
                case.name
            );
            assert_eq!(finding.field, parts[1], "{}", case.name);
            assert!(
                finding.message.contains(parts[2]),
                "{}: {finding}",
                case.name
            );
            for secret in ["hunter2", "2718281828459045"] {
                assert!(!finding.to_string().contains(secret), "{finding}");
            }
        }
    }
}

/// Guards against a token that is logged with the settings.
#[test]
fn debug_output_hides_the_token() {
    let settings = parse_settings(&VALID.replace("null", "'swordfish-swordfish'")).unwrap();
    assert_eq!(
        settings.control_token.as_deref(),
        Some("swordfish-swordfish")
    );
    assert!(!format!("{settings:?}").contains("swordfish"));
}
