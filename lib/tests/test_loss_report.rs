//! Where requests were lost or late, from log lines.

use cloverbend::loss_report::read_losses;

const TEXT: &str = r#"{"msg":"request sent","ts":"1","request":"a","route":"chat","unread_tokens":26000,"target_ms":500}
{"msg":"request answered","ts":"2","request":"a","events":9,"first_event_ms":683}
{"msg":"request sent","ts":"1","request":"b","route":"chat","unread_tokens":400,"target_ms":500}
{"msg":"request answered","ts":"2","request":"b","events":9,"first_event_ms":80}
{"msg":"send failed","ts":"1","request":"c","route":"chat","outcome":"given_up"}
{"msg":"request sent","ts":"2","request":"c","route":"chat","unread_tokens":30000,"target_ms":500}
{"msg":"request answered","ts":"3","request":"c","events":9,"first_event_ms":700}
{"msg":"request refused","ts":"1","request":"d","reason":"over_limit"}
{"msg":"request sent","ts":"1","request":"e","route":"plain","unread_tokens":0,"target_ms":300}
{"msg":"request answered","ts":"2","request":"e","status":500}
{"msg":"request sent","ts":"1","request":"f","route":"chat","unread_tokens":400,"target_ms":500}
{"msg":"caller left","ts":"2","request":"f","events":3}
{"msg":"request sent","ts":"1","request":"g","route":"chat","unread_tokens":400,"target_ms":500}
{"msg":"replicas planned","ts":"2"}
{"msg":"cut
{"msg":"request refused","ts":"1","request":"h","reason":"over_limit"}
"#;

#[test]
fn losses_are_grouped_by_route_size_and_cause() {
    let (report, log) = read_losses(TEXT);
    insta::assert_debug_snapshot!((report, log.bad));
}

#[test]
fn nothing_was_lost_where_nothing_was_logged() {
    let (report, log) = read_losses("");
    assert_eq!((report.ended, report.lost, log.bad.len()), (0, 0, 0));
}
