//! The checks of bundles and settings: they report all findings at once and never panic.

use peridotspread::state::bundle;
use peridotspread::state::settings;
use proptest::prelude::*;

use crate::support::bundles;

const BAD_BUNDLE: &str = r#"version = 0
colour = "red"
tiers = [{ name = "paying" }, { name = "paying" }, { name = "a b" }]
unknown = { action = "tier", tier = "gold" }

[[organisations]]
name = "kozi"
tier = "silver"
credentials = ["abc"]

[[services]]
name = "fees"
floor = 3
deadline_ms = "soon"
ejection = { avoid = 9, eject = 2.5, lease_ms = 1 }
retry = { budget_pct = 101, tries = 0 }

[[services.targets]]
name = "a"
address = "10.0.0.1"
domain = "lahore-1"
slots = 0

[[services.targets]]
name = "a"
address = "10.0.0.1:0"
slots = 5
connections = 4

[[services]]
name = "fees"
floor = 0
targets = []

[[routes]]
prefix = "fees/"
service = "fee"
idempotent = ["put"]

[[routes]]
host = "Example.com:80"
prefix = "/"
service = "fees"

[[routes]]
host = "Example.com:80"
prefix = "/"
service = "fees"
"#;

#[test]
fn all_findings_of_a_bundle_are_reported_with_their_lines() {
    let found = bundle::parse("b.toml", BAD_BUNDLE).unwrap_err();
    let seen: Vec<_> = found
        .list
        .iter()
        .map(|f| {
            (
                f.line,
                f.message.split('`').next().unwrap_or_default().trim(),
            )
        })
        .collect();
    let expected = [
        (1, "0 is not between 1 and 9223372036854775807"),
        (2, "unknown key"),
        (3, ""),
        (3, "duplicate tier name"),
        (4, "undefined tier"),
        (8, "undefined tier"),
        (
            9,
            "a credential is the SHA-256 digest of a token, as 64 hexadecimal digits in lower case",
        ),
        (13, "the floor of 3 exceeds the service's 2 targets"),
        (14, "expected a whole number, found string"),
        (15, "1 is not between 5000 and 3600000"),
        (15, ""),
        (16, "0 is not between 1 and 10"),
        (16, "101 is not between 0 and 100"),
        (20, "expected an address as IP and port, found"),
        (22, "0 is not between 1 and 100000"),
        (24, ""),
        (25, "duplicate target name"),
        (26, "no target can be reached at 10.0.0.1:0"),
        (28, "4 connections are fewer than the target's 5 slots"),
        (31, "duplicate service name"),
        (33, "a service needs at least one target"),
        (36, ""),
        (37, "undefined service"),
        (38, ""),
        (41, ""),
        (46, ""),
        (47, "another route has the prefix"),
    ];
    assert_eq!(seen, expected, "{found}");
}

#[test]
fn all_syntax_errors_are_reported() {
    let found = bundle::parse("b.toml", "version = \ntiers = [\n[[services]\n").unwrap_err();
    let lines: Vec<_> = found.list.iter().map(|f| f.line).collect();
    assert!(lines.contains(&1) && lines.contains(&3), "{found}");
}

#[test]
fn the_checks_accept_every_field_of_bundles_and_settings() {
    let bundle = bundles::fees(3).build();
    let text = toml::to_string(&bundle).unwrap();
    assert_eq!(bundle::parse("b.toml", &text).unwrap(), bundle, "{text}");
    let advertised = SETTINGS.replace(
        "peer = \"10.0.0.1:7000\"",
        "peer = \"0.0.0.0:7000\"\nadvertise = \"10.0.0.1:7000\"",
    );
    let parsed = settings::parse("s.toml", &advertised).unwrap();
    assert_eq!(
        parsed.advertised_address(),
        "10.0.0.1:7000".parse().unwrap()
    );
    let text = toml::to_string(&parsed).unwrap();
    assert_eq!(settings::parse("s.toml", &text).unwrap(), parsed, "{text}");
}

const SETTINGS: &str = r#"name = "entry-1"
domain = "lahore-1"
listen = "0.0.0.0:80"
peer = "10.0.0.1:7000"
admin = "127.0.0.1:7001"

[platform]
address = "10.0.0.9:80"

[keys]
authority = "a.pem"
certificate = "c.pem"
key = "k.pem"
operators = ["o.pem"]
admin_token = "2cf24dba5fb0a30e26e83b2ac5b9e29e1b161e5c1fa7425e73043362938b9824"

[limits]

[seeds]
entry-2 = "10.0.0.2:7000"
"#;

#[test]
fn all_findings_of_settings_are_reported() {
    let text = SETTINGS
        .replace("entry-1", "entry 1")
        .replace("10.0.0.1:7000", "0.0.0.0:7000")
        .replace("[limits]", "[limits]\nhead_bytes = 1\nheads = 2")
        .replace("[platform]", "log = 3\n[platform]")
        .replace(
            "operators = [\"o.pem\"]",
            "operators = []\npublic_key = \"p.pem\"",
        )
        .replace("10.0.0.2:7000", "ten");
    let found = settings::parse("s.toml", &text).unwrap_err();
    let lines: Vec<_> = found.list.iter().map(|f| f.line).collect();
    assert_eq!(lines, [1, 4, 7, 11, 15, 20, 21, 24], "{found}");
}

/// Generates copies of `text` in which one part is replaced by a random string.
fn mutated(text: &'static str) -> impl Strategy<Value = String> {
    let len = text.len();
    (0..len, 0..40_usize, "[\\[\\]{}=\"'#.,\na-z0-9_ -]{0,8}").prop_map(move |(at, cut, new)| {
        let end = (at + cut).min(len);
        format!("{}{new}{}", &text[..at], &text[end..])
    })
}

proptest! {
    #![proptest_config(bundles::proptest_config(400))]

    #[test]
    fn the_checks_do_not_panic_on_arbitrary_text(text in "\\PC{0,200}") {
        let _ = bundle::parse("b.toml", &text);
        let _ = settings::parse("s.toml", &text);
    }

    #[test]
    fn the_checks_do_not_panic_on_mutated_text(a in mutated(BAD_BUNDLE), b in mutated(SETTINGS)) {
        let _ = bundle::parse("b.toml", &a);
        if let Ok(settings) = settings::parse("s.toml", &b) {
            prop_assert!(!settings.keys.operators.is_empty());
        }
    }
}
