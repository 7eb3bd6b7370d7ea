use expect_test::expect;
use lentilcart::cli::explain_request;

/// Lines of two processes, out of order: one with text before its JSON, and one that is not JSON.
const LOGS: &str = r#"
  1.2 e2 {"unix_ms":30,"level":"info","process":"e2","target":"t","message":"request not served","request":"a1","reason":"cut","sent":1}
{"unix_ms":10,"level":"info","process":"e1","target":"t","message":"routes in force","number":7}
{"unix_ms":12,"level":"info","process":"e2","target":"t","message":"routes in force","number":7}
{"unix_ms":15,"level":"warn","process":"e2","target":"t","message":"store lost","reason":"status 503"}
{"unix_ms":20,"level":"info","process":"e2","target":"t","message":"routes in force","number":8}
{"unix_ms":29,"level":"info","process":"e2","target":"t","message":"answer lost","request":"a1","server":"i-3"}
{"unix_ms":29,"level":"info","process":"e2","target":"t","message":"answer lost","request":"b2","server":"i-4"}
not a line of JSON
"#;

#[test]
fn explain_request_prints_latest_state_messages_before_request_lines() {
    expect![[r"
          before: 15 e2: store lost reason=status 503
          before: 20 e2: routes in force number=8
        29 e2: answer lost server=i-3
        30 e2: request not served reason=cut sent=1
    "]]
    .assert_eq(&explain_request("a1", LOGS));
}

#[test]
fn explain_request_unknown_id_is_empty() {
    assert_eq!(explain_request("zz", LOGS), "");
}

/// Guards against a state message that is left out since its text names another kind.
#[test]
fn explain_request_keeps_state_messages_that_name_others() {
    let logs = r#"
{"unix_ms":1,"process":"e1","message":"store lost","reason":"the machine is leaving"}
{"unix_ms":2,"process":"e1","message":"leaving"}
{"unix_ms":3,"process":"e1","message":"answer lost","request":"a1"}
"#;
    let report = explain_request("a1", logs);
    let kept = "  before: 1 e1: store lost reason=the machine is leaving\n";
    assert!(report.starts_with(kept), "{report}");
    assert_eq!(report.lines().count(), 3, "{report}");
}
