//! BackendState servers that start again under the name that they had.

use std::time::Duration;

use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::backend_record::BackendName;
use cloverbend::gateway::backend_record::BackendOutcome;
use cloverbend::gateway::backend_record::BackendRecord;
use cloverbend::gateway::backend_record::LoadReport;
use cloverbend::gateway::backend_record::StartTime;
use cloverbend::gateway::backend_set::BackendChange;
use cloverbend::gateway::backend_set::BackendSet;
use cloverbend::gateway::incarnation_tracker::IncarnationTracker;
use cloverbend::gateway::list_history::ListUpdate;
use cloverbend::quantity::Timestamp;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

fn life(name: &str, start: u64) -> BackendId {
    BackendId {
        name: BackendName(name.to_owned()),
        start: StartTime(start),
    }
}

fn record(name: &str, start: u64, leaving: bool) -> BackendRecord {
    BackendRecord {
        id: life(name, start),
        service: "pool".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        slots: 4,
        draining: leaving,
        reclaimable: false,
    }
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

/// A set that believes much of the first life of `a`.
fn set_with_beliefs() -> BackendSet {
    let mut set = BackendSet::new();
    let first = life("a", 100);
    set.put(record("a", 100, false));
    set.note_sent(at(1), &first, 5_000, &[7, 8]);
    set.note_peer_load(&first, 3, 4_000);
    let load = LoadReport {
        running: 4,
        waiting: 2,
        slots: 4,
    };
    set.note_load(at(2), &first, load);
    for _ in 0..3 {
        set.note_outcome(at(3), &first, BackendOutcome::Broken);
    }
    set
}

/// What is believed of the server `a` at a time.
fn beliefs(set: &BackendSet, now: Timestamp) -> String {
    let Some(backend) = set.iter().find(|b| b.record.id.name.0 == "a") else {
        return "not listed".to_owned();
    };
    format!(
        "{} leaving {} occupancy {} unread {} failures {:.2} excluded {} part {}",
        backend.record.id,
        backend.record.draining,
        backend.occupancy(now),
        backend.pending_tokens + backend.peer_pending_tokens,
        backend.failure_share,
        backend.is_excluded(now),
        backend.part_used_at(7).is_some(),
    )
}

#[test]
fn nothing_that_was_believed_of_a_life_holds_for_the_next() {
    let mut set = set_with_beliefs();
    insta::assert_snapshot!(beliefs(&set, at(4)), @"a@100 leaving false occupancy 6 unread 9000 failures 0.27 excluded true part true");
    let change = set.put(record("a", 200, false));
    assert_eq!(change, Some(BackendChange::Joined(record("a", 200, false))));
    insta::assert_snapshot!(beliefs(&set, at(4)), @"a@200 leaving false occupancy 0 unread 0 failures 0.00 excluded false part false");
    // What is still under way at the first life changes nothing of the second.
    let first = life("a", 100);
    set.note_prefilled(&first, 5_000);
    set.note_left(&first, Duration::from_millis(10), true);
    set.note_outcome(at(5), &first, BackendOutcome::Broken);
    set.note_peer_load(&first, 9, 9);
    assert_eq!(set.get(&first).map(|_| ()), None);
    insta::assert_snapshot!(beliefs(&set, at(6)), @"a@200 leaving false occupancy 0 unread 0 failures 0.00 excluded false part false");
}

#[test]
fn a_life_that_left_does_not_keep_the_next_from_work() {
    let mut set = BackendSet::new();
    set.put(record("a", 100, true));
    set.put(record("a", 200, false));
    assert!(set.get(&life("a", 200)).unwrap().accepts_requests());
    // That the first one leaves, as another entry tells late, is of the first.
    assert_eq!(set.mark_listed_draining(&life("a", 100)), None);
    assert!(set.get(&life("a", 200)).unwrap().accepts_requests());
}

#[test]
fn an_old_record_never_brings_an_earlier_life_back() {
    let mut set = BackendSet::new();
    set.put(record("a", 200, false));
    assert_eq!(set.put(record("a", 100, true)), None);
    assert_eq!(
        beliefs(&set, at(1)).split(' ').next().unwrap(),
        "a@200",
        "the second life is heard before the first"
    );
    set.note_absent(at(10_000), &life("a", 200).name);
    assert_eq!(set.put(record("a", 100, false)), None);
    assert_eq!(beliefs(&set, at(10_001)), "not listed");
    // The same life may be back: records lapse while the store is away.
    let back = record("a", 200, false);
    assert_eq!(set.put(back.clone()), Some(BackendChange::Joined(back)));
}

#[test]
fn an_old_record_still_shows_that_the_name_is_there() {
    let mut set = BackendSet::new();
    set.put(record("a", 200, false));
    set.note_store_recovered(at(1_000));
    set.note_absent(at(1_100), &life("a", 200).name);
    set.put(record("a", 100, false));
    assert_eq!(set.expire_missing(at(9_000)), []);
    assert!(set.get(&life("a", 200)).is_some());
}

#[test]
fn a_record_that_cannot_be_used_names_no_server_though_the_store_was_away() {
    let mut set = BackendSet::new();
    set.put(record("a", 100, false));
    set.put(record("b", 100, false));
    set.note_store_recovered(at(1_000));
    let gone = set.note_unusable(&life("a", 100).name);
    assert_eq!(gone, Some(BackendChange::Gone(life("a", 100))));
    let left: Vec<String> = set.iter().map(|b| b.record.id.to_string()).collect();
    assert_eq!(left, ["b@100"]);
}

#[test]
fn a_record_that_no_longer_tells_its_start_is_another_writers() {
    let mut set = BackendSet::new();
    let untold = record("a", 0, false);
    assert!(!set.lacks_start(&untold), "nothing is known of the server");
    set.put(untold.clone());
    assert!(!set.lacks_start(&untold), "it never told its start");
    set.put(record("a", 100, false));
    assert!(set.lacks_start(&untold));
    set.note_absent(at(10_000), &life("a", 100).name);
    assert!(set.lacks_start(&untold), "also after it is gone");
}

/// 78 entries hear of the lives of a server late, twice, in any order, and
/// partly as differences of the list: in the end all know the last one.
#[test]
fn all_entries_come_to_know_the_last_life_in_whatever_order_they_hear() {
    for seed in 0..20 {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut hub = BackendSet::new();
        hub.put(record("a", 100, false));
        let mut entries = vec![hub.clone(); 78];
        let mut late: Vec<(usize, BackendRecord)> = Vec::new();
        for (time, start) in [(1_000, 200), (1_600, 300), (2_000, 400)] {
            hub.put(record("a", start, false));
            hub.confirm(at(time));
            for (number, entry) in entries.iter_mut().enumerate() {
                if rng.random_bool(0.5) {
                    // The last life does not leave.
                    let leaves = start < 400 && rng.random();
                    late.push((number, record("a", start, leaves)));
                    continue;
                }
                match hub.list_update(Some(entry.list_digest())) {
                    ListUpdate::Changes(changes) => {
                        entry.apply_changes(at(time + 50), at(time), hub.list_digest(), changes);
                    }
                    ListUpdate::Full(records) => {
                        entry.replace_if_newer(at(time + 50), at(time), records);
                    }
                    ListUpdate::Nothing => {}
                }
            }
        }
        for (number, record) in late.drain(..).rev() {
            entries[number].put(record);
        }
        for entry in &mut entries {
            entry.replace_if_newer(at(3_050), at(3_000), hub.records());
            assert_eq!(entry.list_digest(), hub.list_digest(), "seed {seed}");
            assert_eq!(entry.records(), hub.records(), "seed {seed}");
        }
    }
}

#[test]
fn a_life_is_told_in_the_differences_of_the_list() {
    let mut hub = BackendSet::new();
    hub.put(record("a", 100, false));
    let known = hub.list_digest();
    hub.put(record("a", 200, false));
    assert_ne!(hub.list_digest(), known);
    let ListUpdate::Changes(changes) = hub.list_update(Some(known)) else {
        panic!("the difference is known");
    };
    assert_eq!(changes.records, [record("a", 200, false)]);
    assert_eq!(changes.gone, []);
}

#[test]
fn requests_at_earlier_lives_hear_of_their_end_and_others_do_not() {
    let watch = IncarnationTracker::new();
    let first = watch.enter(&life("a", 100));
    let second = watch.enter(&life("a", 200));
    let other = watch.enter(&life("b", 100));
    assert_eq!(watch.cancel_replaced(&life("a", 200)), 1);
    let ended = [&first, &second, &other].map(|token| token.is_cancelled());
    assert_eq!(ended, [true, false, false]);
    watch.leave(&life("a", 100));
    assert_eq!(watch.cancel_replaced(&life("a", 300)), 1);
    watch.leave(&life("a", 200));
    assert_eq!(watch.cancel_replaced(&life("a", 400)), 0);
}

/// A record that lapses and comes back is of the same life, which has said that it
/// leaves, or that it wants to rest.
#[test]
fn what_a_life_said_in_answers_outlives_its_record() {
    let mut set = BackendSet::new();
    let (resting, leaving) = (life("a", 100), life("b", 100));
    for id in [&resting, &leaving] {
        set.put(record(&id.name.0, 100, false));
    }
    set.note_back_off(at(1_000), &resting, Duration::from_secs(3));
    set.note_reported_draining(&leaving);
    for id in [&resting, &leaving] {
        set.note_absent(at(1_500), &id.name);
        set.put(record(&id.name.0, 100, false));
    }
    let left = set.get(&resting).unwrap().rest_left(at(2_000));
    assert_eq!(left, Some(Duration::from_secs(2)));
    assert!(!set.get(&leaving).unwrap().accepts_requests());
    // A later life has said neither.
    for name in ["a", "b"] {
        set.put(record(name, 200, false));
        let backend = set.get(&life(name, 200)).unwrap();
        assert_eq!(backend.rest_left(at(2_000)), None);
        assert!(backend.accepts_requests());
    }
}
