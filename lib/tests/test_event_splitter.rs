//! Tests that events are found however a stream is cut.

use cloverbend::gateway::event_splitter::EventSplitter;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn events_are_split_at_their_ends_however_the_bytes_are_cut(cuts in prop::collection::vec(1_usize..9, 1..40)) {
        let text: String = (1..=12).map(|n| format!("id: {n}\r\ndata: w{n}\r\n\r\n")).collect();
        let mut splitter = EventSplitter::new();
        let mut forwarded = Vec::new();
        let mut last = None;
        let mut remaining = text.as_bytes();
        let mut events = 0;
        for cut in cuts.iter().cycle() {
            if remaining.is_empty() { break; }
            let (head, tail) = remaining.split_at((*cut).min(remaining.len()));
            let batch = splitter.push(head);
            // Forwarded bytes always end with a complete event.
            prop_assert!(batch.bytes.is_empty() || batch.bytes.ends_with(b"\r\n\r\n"));
            forwarded.extend_from_slice(&batch.bytes);
            last = batch.last_id.or(last);
            events += batch.count;
            remaining = tail;
        }
        prop_assert_eq!(forwarded, text.as_bytes());
        prop_assert_eq!(last, Some(12));
        prop_assert_eq!(events, 12);
    }
    /// The end and the position of an event are found however it is cut and
    /// wherever its beginning was flushed.
    #[test]
    fn partially_flushed_events_keep_their_ends_and_positions(
        cuts in prop::collection::vec((1_usize..60, any::<bool>()), 1..40),
        end in prop::sample::select(vec!["\n", "\r\n"]),
    ) {
        let long = "v".repeat(40);
        let events = (1..=12).map(|n| format!("data: {long}{end}id: {n}{end}data: w{n}{long}{end}{end}"));
        let text: String = events.clone().collect();
        let ends: Vec<usize> = events.scan(0, |at, event| { *at += event.len(); Some(*at) }).collect();
        let mut splitter = EventSplitter::new();
        let mut forwarded = Vec::new();
        let mut last = None;
        let mut remaining = text.as_bytes();
        for (cut, flushes) in cuts.iter().cycle() {
            if remaining.is_empty() { break; }
            let (head, tail) = remaining.split_at((*cut).min(remaining.len()));
            let batch = splitter.push(head);
            forwarded.extend_from_slice(&batch.bytes);
            last = batch.last_id.or(last);
            if *flushes {
                forwarded.extend_from_slice(&splitter.flush_partial());
            }
            let complete = ends.iter().filter(|end| **end <= forwarded.len()).count();
            prop_assert_eq!(last.unwrap_or(0), complete as u64);
            let inside = forwarded.len() > complete.checked_sub(1).map_or(0, |index| ends[index]);
            prop_assert_eq!(splitter.is_inside_event(), inside);
            remaining = tail;
        }
        prop_assert_eq!(forwarded, text.as_bytes());
        prop_assert_eq!(splitter.pending_len(), 0);
    }
}
