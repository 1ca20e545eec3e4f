//! When a stream counts as silent.

use std::time::Duration;

use cloverbend::gateway::site_config::RepeatRule;
use cloverbend::gateway::site_config::RouteRule;
use cloverbend::gateway::stall_detector::StallDetector;
use tokio::time::Instant;

fn route(resumable: bool) -> RouteRule {
    RouteRule {
        name: "route".to_owned(),
        host: "a.example".to_owned(),
        prefix: "/".to_owned(),
        targets: Vec::new(),
        repeat: RepeatRule::AtMostOnce,
        streaming: true,
        resumable,
        timeout: Duration::from_secs(10),
        target_latency: Duration::from_millis(600),
        target_pause: Duration::from_millis(250),
        max_attempts: 2,
        priority: 0,
        public: false,
    }
}

/// Returns the milliseconds after `start` at which the stream is silent.
fn silent_after(watch: StallDetector, start: Instant) -> Option<u128> {
    let at = watch.stalled_at()?;
    Some(at.duration_since(start).as_millis())
}

#[test]
fn a_stream_is_silent_after_twice_its_longest_usual_pause() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let mut watch = StallDetector::new(start, &route(true));
    // The first event may take twice the target latency.
    assert_eq!(silent_after(watch, start), Some(1_200));
    watch.note_bytes(after(100));
    assert_eq!(silent_after(watch, start), Some(600));
    // A pause of 400 ms was seen: twice that is allowed from then on.
    watch.note_bytes(after(500));
    watch.note_bytes(after(520));
    assert_eq!(silent_after(watch, start), Some(520 + 800));
    // Elsewhere it begins again.
    watch.note_resumed(after(2_000));
    assert_eq!(silent_after(watch, start), Some(2_000 + 1_200));
    // Where it cannot go on elsewhere, it is left until bytes come.
    watch.disarm();
    assert_eq!(silent_after(watch, start), None);
    watch.note_bytes(after(2_500));
    assert_eq!(silent_after(watch, start), Some(2_500 + 800));
}

#[test]
fn a_stream_that_may_not_resume_is_not_watched() {
    let watch = StallDetector::new(Instant::now(), &route(false));
    assert_eq!(watch.stalled_at(), None);
}
