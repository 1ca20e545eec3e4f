//! When a stream counts as stalled.

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

/// Returns the milliseconds from `start` until the stream counts as stalled.
fn stalled_after(detector: StallDetector, start: Instant) -> Option<u128> {
    let at = detector.stalled_at()?;
    Some(at.duration_since(start).as_millis())
}

#[test]
fn a_stream_is_stalled_after_twice_its_longest_usual_pause() {
    let start = Instant::now();
    let after = |millis| start + Duration::from_millis(millis);
    let mut detector = StallDetector::new(start, &route(true));
    // The first event may take twice the target latency.
    assert_eq!(stalled_after(detector, start), Some(1_200));
    detector.note_bytes(after(100));
    assert_eq!(stalled_after(detector, start), Some(600));
    // The longest pause was 400 ms, so twice that is allowed from then on.
    detector.note_bytes(after(500));
    detector.note_bytes(after(520));
    assert_eq!(stalled_after(detector, start), Some(520 + 800));
    // After the stream resumes at another backend server, the detection starts over.
    detector.note_resumed(after(2_000));
    assert_eq!(stalled_after(detector, start), Some(2_000 + 1_200));
    // If it turns out that the stream cannot resume elsewhere, it does not count as
    // stalled until bytes arrive again.
    detector.disarm();
    assert_eq!(stalled_after(detector, start), None);
    detector.note_bytes(after(2_500));
    assert_eq!(stalled_after(detector, start), Some(2_500 + 800));
}

#[test]
fn a_stream_that_may_not_resume_is_never_stalled() {
    let detector = StallDetector::new(Instant::now(), &route(false));
    assert_eq!(detector.stalled_at(), None);
}
