use expect_test::{Expect, expect};
use lentilcart::{GatewaySettings, MemorySettings};
use lentilcart_util::{BitRateText, Micros};

/// Settings that are valid, with only the required fields.
const VALID: &str = r#"
name = "e1"
data-center = "bilbao"
[listen]
callers = "10.1.0.1:80"
ready = "10.1.0.1:81"
peer = "10.1.0.1:82"
ops = "10.1.0.1:83"
connections = 1000
[store]
address = "10.2.0.1:8541"
[retries]
ratio = 0.2
burst = 58
[stop]
grace = "6s"
"#;

/// Parses the valid settings with `from` replaced by `to`, and compares the error, or the text
/// `valid` if there is none, with `expected`.
fn check(from: &str, to: &str, expected: &Expect) {
    let parsed = GatewaySettings::parse(&VALID.replace(from, to));
    expected.assert_eq(&parsed.map_or_else(|e| e.to_string(), |_| "valid".to_owned()));
}

#[test]
fn parse_required_fields_only() {
    check("", "", &expect!["valid"]);
}

#[test]
fn parse_unknown_field() {
    check(
        "[stop]",
        "[stop]\nhaste = 1",
        &expect![[r"
        TOML parse error at line 16, column 1
           |
        16 | haste = 1
           | ^^^^^
        unknown field `haste`, expected `grace` or `notice`
    "]],
    );
}

#[test]
fn parse_time_without_unit() {
    check(
        "\"6s\"",
        "\"6\"",
        &expect![[r#"
        TOML parse error at line 16, column 9
           |
        16 | grace = "6"
           |         ^^^
        time unit needed, for example 6sec or 6ms
    "#]],
    );
}

#[test]
fn parse_missing_field() {
    check(
        "ratio = 0.2\n",
        "",
        &expect![[r"
        TOML parse error at line 12, column 1
           |
        12 | [retries]
           | ^^^^^^^^^
        missing field `ratio`
    "]],
    );
}

#[test]
fn parse_reports_every_broken_rule() {
    let to = "[servers]\npolicy = \"best\"\n[stop]\nnotice = \"9s\"";
    check(
        "[stop]",
        to,
        &expect![[r#"
        stop.notice = "9s": expected less than stop.grace ("6s")
        servers.policy = "best": expected one of late-near, late, late-wait, late-digests, late-shares, late-paced, random, round-robin, least, two-choices, probe-pool"#]],
    );
}

/// Guards against an unknown rule of load shedding that is taken for the default one.
#[test]
fn parse_rejects_unknown_shedding() {
    check(
        "[stop]",
        "[servers]\nshedding = \"best\"\n[stop]",
        &expect![[r#"
        servers.shedding = "best": expected one of wait-share, priority, deadline, value, codel, levels, priority-value, adaptive, adaptive-objective"#]],
    );
}

/// Guards against confirmations of watches without a pause between them.
#[test]
fn parse_rejects_confirmation_without_interval() {
    check(
        "[store]",
        "[store]\nconfirm = \"0ms\"",
        &expect![[r#"store.confirm = "0ms": expected a time above 0"#]],
    );
}

/// Guards against a bound that no entry can keep, so that all of them reject requests.
#[test]
fn parse_rejects_apply_bound_too_short() {
    check(
        "[store]",
        "[store]\napply = \"100ms\"",
        &expect![[r#"store.apply = "100ms": expected at least "500ms""#]],
    );
}

/// Guards against a process that is given more memory for bodies than it may use.
#[test]
fn parse_body_memory_above_limit() {
    check(
        "[stop]",
        "[memory]\nlimit = \"650MB\"\nbodies = \"600MB\"\n[stop]",
        &expect![[
            r#"memory.bodies = "600MB": expected at most 0.8 of the memory of the process ("650MB")"#
        ]],
    );
}

/// Guards against a memory that holds hardly any body.
#[test]
fn parse_body_memory_too_small() {
    check(
        "[stop]",
        "[memory]\nlimit = \"650MB\"\nbodies = \"64KiB\"\n[stop]",
        &expect![[r#"memory.bodies = "64KiB": expected at least "1MiB""#]],
    );
}

/// Guards against a size whose unit is guessed.
#[test]
fn parse_size_without_unit() {
    check(
        "[stop]",
        "[memory]\nbodies = \"64\"\n[stop]",
        &expect![[r#"
            TOML parse error at line 16, column 10
               |
            16 | bodies = "64"
               |          ^^^^
            "64": expected a whole number with a unit, such as "256MiB" or "650MB"
        "#]],
    );
}

#[test]
fn parse_body_memory() {
    check(
        "[stop]",
        "[memory]\nlimit = \"650MB\"\nbodies = \"256MiB\"\n[stop]",
        &expect!["valid"],
    );
}

#[test]
fn parse_link_invalid() {
    check(
        "[stop]",
        "[limits]\nlink = \"10\"\n[stop]",
        &expect![[r#"
        TOML parse error at line 16, column 8
           |
        16 | link = "10"
           |        ^^^^
        "10": expected a number above 0 with a unit, such as "100Mbit/s"
    "#]],
    );
    check(
        "[stop]",
        "[limits]\nlink = \"0Mbit/s\"\n[stop]",
        &expect![[r#"
            TOML parse error at line 16, column 8
               |
            16 | link = "0Mbit/s"
               |        ^^^^^^^^^
            "0Mbit/s": expected a number above 0 with a unit, such as "100Mbit/s"
        "#]],
    );
}

#[test]
fn bit_rate_text_keeps_its_unit() {
    for text in ["10.5Mbit/s", "2.5Gbit/s", "200Mbit/s", "64kbit/s", "9bit/s"] {
        assert_eq!(BitRateText::format(BitRateText::parse(text).unwrap()), text);
    }
}

/// Guards against a default that takes all of the memory of a small process, or too much of a large one.
#[test]
fn get_body_bytes_by_limit() {
    let get = |limit| {
        let memory = MemorySettings {
            limit: Some(limit),
            bodies: None,
        };
        memory.get_body_bytes()
    };
    assert_eq!(get(100_000_000), 40_000_000);
    assert_eq!(get(650_000_000), 260_000_000);
    assert_eq!(get(32_000_000_000), 256 << 20);
}

/// A setting that is renamed or removed must not break the template that is deployed.
#[test]
fn parse_deployed_template_is_valid() {
    // The template becomes TOML when the platform has filled in its placeholders.
    let template = include_str!("../../deploy/settings.toml");
    let filled = [
        ("[{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}]", "[\"10.1.0.2:83\"]"),
        ("{{nodeName}}", "e1"),
        ("{{zone}}", "bilbao"),
        ("{{ip}}:{{internalPorts.0}}", "10.1.0.1:82"),
        ("{{listen.http}}", "10.1.0.1:80"),
        ("{{listen.readiness}}", "10.1.0.1:81"),
        ("{{listen.admin}}", "10.1.0.1:83"),
        ("{{platform.address}}", "10.2.0.1:8541"),
        ("{{bounds.retryRatio}}", "0.2"),
        ("{{bounds.retryBurst}}", "58"),
        ("{{bounds.graceS}}", "6"),
        ("{{bounds.configApplyMs}}", "2500"),
        ("{{bounds.warmupOverage}}", "1.5"),
        ("{{bounds.warmupSlack}}", "8"),
        ("{{bounds.quotaWindowS}}", "5"),
        ("{{bounds.quotaOverage}}", "0.1"),
        ("{{bounds.quotaSlack}}", "20"),
        ("{{limits.cpuShare}}", "0.07"),
        ("{{limits.linkMbps}}", "10.5"),
        ("{{limits.memoryMb}}", "112"),
    ];
    // The section of a field is left out where the platform does not name it.
    let fields = [
        "bounds.configApplyMs",
        "bounds.warmupOverage",
        "bounds.quotaWindowS",
        "limits.cpuShare",
        "limits.linkMbps",
        "limits.memoryMb",
    ];
    for has_fields in [true, false] {
        let mut text = template.to_owned();
        for field in fields {
            let (begin, end) = (format!("{{{{#{field}}}}}"), format!("{{{{/{field}}}}}"));
            let (before, rest) = text.split_once(&begin).unwrap();
            let (section, after) = rest.split_once(&end).unwrap();
            let section = if has_fields { section } else { "" };
            text = format!("{before}{section}{after}");
        }
        let text = filled
            .iter()
            .fold(text, |text, (from, to)| text.replace(from, to));
        assert!(!text.contains("{{"), "{text}");
        let settings = GatewaySettings::parse(&text).unwrap();
        let bound = settings.store.apply_bound;
        let expected = if has_fields { 2500 } else { 2000 };
        assert_eq!(bound, Micros::from_millis(expected));
        assert_eq!(settings.limits.cpu_share, has_fields.then_some(0.07));
        assert_eq!(settings.limits.link, has_fields.then_some(10_500_000));
        assert_eq!(settings.memory.limit, has_fields.then_some(112_000_000));
    }
}
