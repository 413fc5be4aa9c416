//! Checks of the decision whether a call is allowed.

use std::sync::Arc;
use std::time::Duration;

use hs_cell::{QueueSpec, TeamSpec};
use hs_control::{
    Access, AccessOptions, AccessRules, ClusterConfig, CurrentRules, QueueRoute, TeamConfig,
};
use hs_wire::Resources;

fn route(prefix: &str, public: bool) -> QueueRoute {
    QueueRoute {
        host: "h".to_owned(),
        prefix: prefix.to_owned(),
        public,
        queue: QueueSpec {
            name: prefix.into(),
            service: "service".into(),
            priority: 0,
            max_attempts: 1,
            stretch: 1.0,
            target: Duration::ZERO,
            advice: None,
        },
    }
}

fn team(name: &str, keys: &[&str]) -> TeamConfig {
    TeamConfig {
        keys: keys.iter().map(|key| (*key).into()).collect(),
        spec: TeamSpec {
            name: name.into(),
            weight: 1.0,
            cap: Resources::ZERO,
        },
    }
}

fn rules(teams: Vec<TeamConfig>, always_needs_keys: bool) -> Option<Arc<AccessRules>> {
    let config = ClusterConfig {
        version: 1,
        routes: vec![route("/q/", false), route("/q/open/", true)],
        teams,
        ..ClusterConfig::default()
    };
    Some(Arc::new(AccessRules::new(
        Arc::new(config),
        always_needs_keys,
    )))
}

/// Guards against a call that is served without a known key, attributed to the wrong team, or refused with the wrong
/// status, and against deployments without teams that are asked for keys.
#[test]
fn calls_are_decided_by_configuration_confirmation_path_and_key() {
    struct Case {
        name: &'static str,
        rules: Option<Arc<AccessRules>>,
        is_confirmed: bool,
        may_refuse: bool,
        path: &'static str,
        key: Option<&'static str>,
        /// Name of the decision, and of the team if there is one.
        expected: (&'static str, &'static str),
    }
    let teams = || vec![team("a", &["k1", "k2", ""]), team("b", &["k2", "k3"])];
    let with_teams = rules(teams(), false);
    let case = |name, path, key, expected| Case {
        name,
        rules: with_teams.clone(),
        is_confirmed: true,
        may_refuse: true,
        path,
        key,
        expected,
    };
    let unconfirmed = |name, path, key, expected| Case {
        is_confirmed: false,
        ..case(name, path, key, expected)
    };
    let outdated = |name, path, key, expected| Case {
        may_refuse: false,
        ..case(name, path, key, expected)
    };
    let no_teams = |name, always, key, expected| Case {
        rules: rules(Vec::new(), always),
        ..case(name, "/q/1", key, expected)
    };
    let cases = [
        Case {
            rules: None,
            ..case("no configuration", "/q/1", Some("k1"), ("none", ""))
        },
        case("key", "/q/1", Some("k1"), ("team", "a")),
        case("key of two teams", "/q/1", Some("k2"), ("team", "a")),
        case("key of the second", "/q/1", Some("k3"), ("team", "b")),
        case("no key", "/q/1", None, ("unknown key", "")),
        case("empty key", "/q/1", Some(""), ("unknown key", "")),
        case("part of a key", "/q/1", Some("k"), ("unknown key", "")),
        case("longer key", "/q/1", Some("k1 "), ("unknown key", "")),
        case("other case", "/q/1", Some("K1"), ("unknown key", "")),
        case("public", "/q/open/1", None, ("public", "")),
        case("no queue", "/x", None, ("no queue", "")),
        unconfirmed("late key", "/q/1", Some("k1"), ("unconfirmed", "")),
        unconfirmed("late other key", "/q/1", Some("x"), ("unconfirmed", "")),
        unconfirmed("late public", "/q/open/1", None, ("public", "")),
        unconfirmed("late, no queue", "/x", None, ("no queue", "")),
        outdated("old key", "/q/1", Some("k1"), ("team", "a")),
        outdated("old public", "/q/open/1", None, ("public", "")),
        outdated("old, no queue", "/x", None, ("unconfirmed refusal", "")),
        outdated("old, no key", "/q/1", None, ("unconfirmed refusal", "")),
        outdated(
            "old other key",
            "/q/1",
            Some("x"),
            ("unconfirmed refusal", ""),
        ),
        no_teams("no teams", false, None, ("public", "")),
        no_teams("no teams, key", false, Some("k1"), ("public", "")),
        no_teams("no teams yet", true, Some("k1"), ("unknown key", "")),
    ];
    for case in cases {
        let current = CurrentRules {
            rules: case.rules,
            is_confirmed: case.is_confirmed,
            may_refuse: case.may_refuse,
        };
        let decision = match current.access("h", case.path, case.key) {
            Access::Team(_, team) => ("team", &**team),
            Access::Public(_) => ("public", ""),
            Access::UnknownKey => ("unknown key", ""),
            Access::NoQueue => ("no queue", ""),
            Access::NoConfiguration => ("none", ""),
            Access::Unconfirmed => ("unconfirmed", ""),
            Access::UnconfirmedRefusal => ("unconfirmed refusal", ""),
        };
        assert_eq!(decision, case.expected, "{}", case.name);
    }
}

/// Guards against keys in log lines and panics.
#[test]
fn keys_are_not_formatted() {
    let team = team("a", &["secret"]);
    let rules = rules(vec![team.clone()], false).expect("rules");
    let text = format!("{team:?} {rules:?} {:?}", rules.config());
    assert!(!text.contains("secret"), "{text}");
}

/// Guards against a bound that does not refuse withdrawn keys in time, or refuses calls before 0.6 of it.
#[test]
fn the_bound_of_the_confirmation_is_below_the_time_of_revocation() {
    for (revoke_ms, longest_ms) in [(5000, 5000), (0, 5000), (20_000, 20_000)] {
        let max_age = AccessOptions::key_age_for(Duration::from_millis(revoke_ms));
        let longest = Duration::from_millis(longest_ms);
        assert!((longest.mul_f64(0.6)..longest).contains(&max_age));
    }
}

/// Guards against refusals by a configuration that may be older than the bound allows, and against a bound without any
/// margin.
#[test]
fn the_bound_of_refusals_is_below_the_time_in_which_a_configuration_applies() {
    for (apply_ms, longest_ms) in [(3000, 3000), (0, 2000), (8000, 8000)] {
        let max_age = AccessOptions::refusal_age_for(Duration::from_millis(apply_ms));
        let longest = Duration::from_millis(longest_ms);
        assert!((Duration::from_millis(1)..longest.mul_f64(0.8)).contains(&max_age));
    }
}
