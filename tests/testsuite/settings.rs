//! Settings and the command line reject invalid input with a message that names the fault.

use {crate::support::run_tool, briarquay::Settings, std::io::Write, tempfile::NamedTempFile};

#[test]
fn invalid_settings_are_rejected_by_name() {
    let cases = [
        ("colour: red", "unknown field `colour`"),
        (
            "caller_address: somewhere",
            "caller_address: invalid socket address",
        ),
        (
            "peer_address: 0.0.0.0:7401",
            "peer_address: 0.0.0.0:7401 binds every interface",
        ),
        (
            "announced_address: 10.0.0.7:0",
            "announced_address: 10.0.0.7:0 can't be reached",
        ),
        (
            "lease_ms: 5",
            "lease_ms: 5 is not allowed; use 300 to 60000",
        ),
        ("threads: 0", "threads: 0 is not allowed; use 1 to 1024"),
        ("id: \"\"", "id: empty"),
        ("body_limit: 0", "0 is not allowed"),
    ];
    for (text, expected) in cases {
        let error = Settings::parse(text).expect_err(text);
        assert!(format!("{error:#}").contains(expected), "{text}: {error:#}");
    }
}

#[test]
fn omitted_settings_have_their_defaults() {
    let settings = Settings::parse("id: entry-9").expect("the settings are valid");
    assert_eq!(&*settings.id, "entry-9");
    assert_eq!(settings.lease_ms, Settings::default().lease_ms);
}

#[test]
fn check_prints_the_problem_and_exits_with_code_3() {
    // Arrange
    let mut file = NamedTempFile::new().expect("a file");
    let invalid = include_str!("../../examples/laundry.yaml").replacen("slots: 2", "slots: 0", 1);
    file.write_all(invalid.as_bytes())
        .expect("the file is written");
    let path = file.path().display().to_string();

    // Act
    let (code, text) = run_tool(&["check", &path]);

    // Assert
    assert_eq!(code, 3, "{text}");
    assert!(
        text.contains("services.counter-desk.slots: 0 is not allowed"),
        "{text}"
    );
}

#[test]
fn a_command_names_the_address_of_an_unreachable_daemon() {
    let (code, text) = run_tool(&["status", "--daemon", "127.0.0.1:1"]);
    assert_eq!(code, 1);
    assert!(text.contains("127.0.0.1:1"), "{text}");
}

#[test]
fn evict_requires_confirmation_that_the_host_is_off() {
    let (code, text) = run_tool(&["evict", "entry-1"]);
    assert_eq!(code, 1);
    assert!(text.contains("--host-is-off"), "{text}");
}

#[test]
fn explain_prints_the_lines_of_one_request_ordered_by_time() {
    let mut log = NamedTempFile::new().expect("a file");
    let lines = [
        r#"{"msg":"serve: answered","ts":"2026-01-01T00:00:02Z","daemon":"a","request":"id-1","status":502,"reason":null}"#,
        r#"3.2 a {"msg":"hedged_request: send failed","ts":"2026-01-01T00:00:01Z","daemon":"a","request":"id-1","cause":"crashed"}"#,
        r#"{"msg":"serve: answered","ts":"2026-01-01T00:00:01Z","daemon":"a","request":"id-10"}"#,
        "no JSON that names id-1",
    ];
    for line in lines {
        writeln!(log, "{line}").expect("the line is written");
    }
    let path = log.path().to_str().expect("a path");

    let (code, text) = run_tool(&["explain", "id-1", "--log", path]);

    let expected = "2026-01-01T00:00:01Z a hedged_request: send failed cause=crashed\n\
                    2026-01-01T00:00:02Z a serve: answered status=502\n";
    assert_eq!((code, text.as_str()), (0, expected));
    let (code, text) = run_tool(&["explain", "id-2", "--log", path]);
    assert_eq!((code, text.as_str()), (1, "no line names request id-2\n"));
}
