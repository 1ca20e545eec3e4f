//! Policy programs: decisions, limits, determinism.

use cloverbend::policy::PolicyError;
use cloverbend::policy::PolicyProgram;
use cloverbend::policy::PolicyQuery;
use cloverbend::quantity::TokenCount;
use rstest::rstest;

fn query() -> PolicyQuery {
    PolicyQuery {
        account: "depots".parse().unwrap(),
        service: "reports".parse().unwrap(),
        zones: vec!["dakar-a".parse().unwrap(), "dakar-b".parse().unwrap()],
        input_tokens: TokenCount(500),
    }
}

#[test]
fn a_program_decides_priority_zones_and_price() {
    let program = PolicyProgram::compile(
        r#"let near = zones.filter(|z| z == "dakar-a");
           #{ priority: if input_tokens > 100 { 7 } else { 2 }, zones: near, max_price: 2 }"#,
    );
    let decision = program.unwrap().evaluate(&query()).unwrap();
    insta::assert_debug_snapshot!(decision, @r#"
    PolicyDecision {
        allow: true,
        priority: Priority(
            7,
        ),
        zones: Some(
            {
                ZoneName(
                    "dakar-a",
                ),
            },
        ),
        max_price: Some(
            HourlyPrice(
                2.0,
            ),
        ),
        reason: "",
    }
    "#);
}

#[rstest]
#[case(
    "loop {}",
    "evaluation failed: Too many operations (line 1, position 6)"
)]
#[case(
    "fn f(x) { f(x + 1) } f(0)",
    "evaluation failed: Stack overflow (line 1, position 22)"
)]
#[case("42", "the program's value is a i64, not a map")]
#[case("#{ priority: 10 }", "the key \"priority\" has a wrong type or range")]
#[case(
    "#{ max_price: -1.0 }",
    "the key \"max_price\" has a wrong type or range"
)]
#[case("#{ colour: 1 }", "the program's value has an unknown key \"colour\"")]
#[case(
    "throw \"no\"",
    "evaluation failed: Runtime error: no (line 1, position 1)"
)]
fn a_wrong_program_is_refused_with_its_place(#[case] text: &str, #[case] message: &str) {
    let program = PolicyProgram::compile(text).unwrap();
    let error = program.evaluate(&query()).unwrap_err();
    let text = error.to_string();
    assert!(text.starts_with(message), "{text}");
}

#[rstest]
#[case("timestamp()")]
#[case("sleep(0)")]
#[case("eval(\"1\")")]
#[case("import \"std\" as s; s")]
fn a_program_cannot_reach_outside(#[case] text: &str) {
    let outcome = PolicyProgram::compile(text).and_then(|program| program.evaluate(&query()));
    assert!(matches!(
        outcome,
        Err(PolicyError::Syntax(_) | PolicyError::Run(_))
    ));
}
