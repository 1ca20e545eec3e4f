//! What is believed of backend servers, and which one a request goes to.

use std::time::Duration;

use cloverbend::gateway::backend_choice::ChoiceQuery;
use cloverbend::gateway::backend_choice::choose_backend;
use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::backend_record::BackendOutcome;
use cloverbend::gateway::backend_record::BackendRecord;
use cloverbend::gateway::backend_record::LoadReport;
use cloverbend::gateway::backend_set::BackendChange;
use cloverbend::gateway::backend_set::BackendSet;
use cloverbend::gateway::call_head::PromptBlock;
use cloverbend::gateway::list_history::ListChanges;
use cloverbend::gateway::list_history::ListUpdate;
use cloverbend::gateway::retry_budget::RetryBudget;
use cloverbend::gateway::retry_budget::RetryBudgetRule;
use cloverbend::gateway::server_limits::ServerLimits;
use cloverbend::id::ServiceName;
use cloverbend::id::ZoneName;
use cloverbend::quantity::Timestamp;
use cloverbend::quantity::TokenCount;

fn record(id: &str, leaving: bool) -> BackendRecord {
    BackendRecord {
        id: BackendId::without_start(id),
        service: "pool".parse().unwrap(),
        address: "127.0.0.1:1".parse().unwrap(),
        zone: "zone-a".parse().unwrap(),
        slots: 4,
        draining: leaving,
        reclaimable: false,
    }
}

fn id(text: &str) -> BackendId {
    BackendId::without_start(text)
}

fn set_of(ids: &[&str]) -> BackendSet {
    let mut set = BackendSet::new();
    for one in ids {
        set.put(record(one, false));
    }
    set
}

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[test]
fn a_missing_record_means_gone_only_when_the_store_was_there() {
    let mut set = set_of(&["a", "b"]);
    let gone = set.note_absent(at(10_000), &id("a").name);
    assert_eq!(gone, Some(BackendChange::Gone(id("a"))));
    set.note_store_recovered(at(20_000));
    let missing = set.note_absent(at(20_500), &id("b").name);
    assert_eq!(missing, Some(BackendChange::Missing(id("b"))));
    assert_eq!(set.expire_missing(at(21_000)), []);
    set.put(record("b", false));
    assert_eq!(set.expire_missing(at(23_000)), []);
    set.note_absent(at(22_000), &id("b").name);
    let gone = set.expire_missing(at(23_000));
    assert_eq!(gone, [BackendChange::Gone(id("b"))]);
}

#[test]
fn a_list_that_others_kept_fresh_needs_no_grace() {
    let mut set = set_of(&["a"]);
    set.confirm(at(19_500));
    set.note_store_recovered(at(20_000));
    let gone = set.note_absent(at(20_100), &id("a").name);
    assert_eq!(gone, Some(BackendChange::Gone(id("a"))));
}

#[test]
fn a_list_with_missing_servers_proves_nothing() {
    let mut set = set_of(&["a", "b"]);
    set.note_store_recovered(at(1_000));
    set.note_absent(at(1_100), &id("a").name);
    set.confirm(at(1_200));
    assert_eq!(set.confirmed_at(), None);
    set.put(record("a", false));
    set.confirm(at(1_300));
    assert_eq!(set.confirmed_at(), Some(at(1_300)));
}

#[test]
fn an_older_list_of_another_entry_is_not_taken_over() {
    let mut set = set_of(&["a"]);
    set.put(record("a", true));
    set.confirm(at(10_000));
    // Read by the other entry just before, and heard of just after.
    let changes = set.replace_if_newer(at(10_050), at(9_950), vec![record("a", false)]);
    assert_eq!(changes, []);
    assert!(!set.get(&id("a")).unwrap().accepts_requests());
    let changes = set.replace_if_newer(at(10_150), at(10_100), vec![record("b", false)]);
    let joined = BackendChange::Joined(record("b", false));
    assert_eq!(changes, [joined, BackendChange::Gone(id("a"))]);
}

#[test]
fn a_server_that_leaves_takes_no_work_again_whatever_comes_later() {
    let mut set = set_of(&["a", "b"]);
    let leaving = BackendChange::Draining(id("a"));
    assert_eq!(set.put(record("a", true)), Some(leaving));
    assert_eq!(set.put(record("a", false)), None);
    assert_eq!(
        set.replace(at(10_000), vec![record("a", false), record("b", false)]),
        []
    );
    assert!(!set.get(&id("a")).unwrap().accepts_requests());
    // So say other entries also while their own list has gaps.
    let leaving = BackendChange::Draining(id("b"));
    assert_eq!(set.mark_listed_draining(&id("b")), Some(leaving));
    assert_eq!(set.mark_listed_draining(&id("b")), None);
    assert_eq!(set.mark_listed_draining(&id("unknown")), None);
    assert!(!set.get(&id("b")).unwrap().accepts_requests());
}

/// Returns the differences that `set` offers to an entry with that digest.
fn changes_for(set: &BackendSet, digest: u64) -> ListChanges {
    match set.list_update(Some(digest)) {
        ListUpdate::Changes(changes) => changes,
        other => panic!("no differences but {other:?}"),
    }
}

#[test]
fn an_entry_that_is_behind_is_told_the_difference() {
    let mut hub = set_of(&["a", "b", "c"]);
    let mut leaf = hub.clone();
    hub.put(record("d", false));
    hub.mark_listed_draining(&id("a"));
    hub.note_absent(at(10_000), &id("b").name);
    let changes = changes_for(&hub, leaf.list_digest());
    assert_eq!(changes.records, [record("a", true), record("d", false)]);
    assert_eq!(changes.gone, [id("b").name]);
    leaf.apply_changes(at(10_050), at(10_000), hub.list_digest(), changes);
    assert_eq!(leaf.records(), hub.records());
    assert_eq!(leaf.list_digest(), hub.list_digest());
}

#[test]
fn differences_that_overlap_are_taken_over_once() {
    let mut hub = set_of(&["a"]);
    let mut leaf = hub.clone();
    let known = leaf.list_digest();
    hub.put(record("b", false));
    let first = (changes_for(&hub, known), hub.list_digest());
    hub.put(record("c", false));
    // The leaf's word that it has the first had not come yet.
    let second = (changes_for(&hub, known), hub.list_digest());
    for (changes, target) in [first, second] {
        leaf.apply_changes(at(10_050), at(10_000), target, changes);
    }
    assert_eq!(leaf.records(), hub.records());
}

#[test]
fn a_difference_to_another_list_changes_nothing() {
    let mut hub = set_of(&["a"]);
    let known = hub.list_digest();
    hub.put(record("b", false));
    let changes = changes_for(&hub, known);
    let mut other = set_of(&["x"]);
    assert_eq!(
        other.apply_changes(at(10_050), at(10_000), hub.list_digest(), changes),
        []
    );
    assert_eq!(other.records(), [record("x", false)]);
}

#[test]
fn a_difference_from_before_the_own_proof_changes_nothing() {
    let mut hub = set_of(&["a"]);
    let mut leaf = hub.clone();
    let known = hub.list_digest();
    hub.put(record("b", false));
    let changes = changes_for(&hub, known);
    leaf.confirm(at(10_000));
    assert_eq!(
        leaf.apply_changes(at(10_050), at(9_950), hub.list_digest(), changes),
        []
    );
}

#[test]
fn whoever_has_lost_track_is_told_the_whole_list() {
    let hub = set_of(&["a", "b"]);
    let whole = ListUpdate::Full(hub.records());
    assert_eq!(hub.list_update(Some(77)), whole);
    assert_eq!(hub.list_update(None), whole);
}

#[test]
fn equal_lists_have_equal_digests() {
    let mut one = set_of(&["a", "b"]);
    let other = set_of(&["b", "a"]);
    assert_eq!(one.list_digest(), other.list_digest());
    one.put(record("a", true));
    assert_ne!(one.list_digest(), other.list_digest());
}

fn part(number: u64, tokens: u64) -> PromptBlock {
    PromptBlock {
        id: number,
        tokens: TokenCount(tokens),
    }
}

struct Chooser {
    service: ServiceName,
    zone: ZoneName,
    limits: ServerLimits,
}

impl Chooser {
    fn new() -> Self {
        Self {
            service: "pool".parse().unwrap(),
            zone: "zone-a".parse().unwrap(),
            limits: ServerLimits::new("entry-1".parse().unwrap()),
        }
    }

    fn choose(&self, set: &BackendSet, now: Timestamp, parts: &[PromptBlock]) -> Option<String> {
        self.choose_untried(set, now, parts, &[])
    }

    fn choose_untried(
        &self,
        set: &BackendSet,
        now: Timestamp,
        parts: &[PromptBlock],
        tried: &[BackendId],
    ) -> Option<String> {
        let query = ChoiceQuery {
            service: &self.service,
            zone: &self.zone,
            prompt_blocks: parts,
            tried,
            limits: &self.limits,
        };
        choose_backend(set, now, &query).map(|choice| choice.id.name.0)
    }
}

#[test]
fn a_leaving_or_tried_server_is_never_chosen() {
    let mut set = set_of(&["a", "b"]);
    set.put(record("a", true));
    let chooser = Chooser::new();
    assert_eq!(chooser.choose(&set, at(0), &[]).as_deref(), Some("b"));
    let none = chooser.choose_untried(&set, at(0), &[], &[id("b")]);
    assert_eq!(none, None);
}

#[test]
fn requests_with_a_shared_part_stay_together_until_it_is_crowded() {
    let mut set = set_of(&["a", "b", "c", "d"]);
    let chooser = Chooser::new();
    let parts = [part(1, 500), part(77, 4_000), part(1_000, 200)];
    let home = chooser.choose(&set, at(0), &parts).unwrap();
    // Entries that never talked agree.
    let elsewhere = set_of(&["d", "c", "b", "a"]);
    assert_eq!(chooser.choose(&elsewhere, at(0), &parts).unwrap(), home);
    let load = LoadReport {
        running: 4,
        waiting: 20,
        slots: 4,
    };
    set.note_load(at(10), &id(&home), load);
    assert_ne!(chooser.choose(&set, at(20), &parts).unwrap(), home);
    // The report grows old, and the part is still kept there.
    assert_eq!(chooser.choose(&set, at(5_000), &parts).unwrap(), home);
}

/// Prompts of 50,000 tokens among short ones: while one is read, the streams
/// that run beside it pause.
#[test]
fn a_long_prompt_avoids_running_streams_and_short_ones_stay_at_home() {
    let query = Chooser::new();
    let mut set = set_of(&["a", "b", "c"]);
    // The home of the session, found by where its prompt goes first.
    let short = [part(1, 3_000), part(2, 500)];
    let home = query.choose(&set, at(1_000), &short).unwrap();
    for _ in 0..3 {
        set.note_sent(at(1_000), &id(&home), 0, &[1]);
    }
    assert_eq!(query.choose(&set, at(1_100), &short), Some(home.clone()));
    let long = [part(1, 3_000), part(3, 50_000)];
    let elsewhere = query.choose(&set, at(1_100), &long).unwrap();
    assert_ne!(elsewhere, home);
    // Where streams run everywhere alike, it goes home as well.
    for other in ["a", "b", "c"].iter().filter(|other| **other != home) {
        for _ in 0..3 {
            set.note_sent(at(1_200), &id(other), 0, &[]);
        }
    }
    assert_eq!(query.choose(&set, at(1_300), &long), Some(home));
}

/// Hundreds of entries have the same news, a quarter of a second old, by which
/// one of forty servers looks a little emptier.
#[test]
fn entries_with_the_same_news_do_not_all_choose_the_same_server() {
    let query = Chooser::new();
    let names: Vec<String> = (0..40).map(|number| format!("s-{number:02}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut set = set_of(&names);
    for name in &names[1..] {
        set.note_peer_load(&id(name), 1, 200);
    }
    let mut chosen: std::collections::BTreeMap<String, usize> = Default::default();
    for request in 0..300 {
        let server = query
            .choose(&set, at(1_000), &[part(request, 700)])
            .unwrap();
        *chosen.entry(server).or_default() += 1;
    }
    let most = chosen.values().max().copied().unwrap_or(0);
    assert!(
        chosen.len() == 40 && most < 40,
        "{most} of 300 to one of {}",
        chosen.len()
    );
}

#[test]
fn sessions_that_share_only_their_beginning_are_spread() {
    let set = set_of(&["a", "b", "c", "d"]);
    let chooser = Chooser::new();
    let mut sessions = std::collections::BTreeMap::new();
    for session in 100..140 {
        let parts = [
            part(1, 500),
            part(session, 4_000),
            part(session + 1_000, 200),
        ];
        let home = chooser.choose(&set, at(0), &parts).unwrap();
        *sessions.entry(home).or_insert(0) += 1;
    }
    assert_eq!(sessions.len(), 4, "{sessions:?}");
    assert!(sessions.values().all(|count| *count <= 20), "{sessions:?}");
}

#[test]
fn a_server_that_breaks_repeatedly_is_passed_over_but_not_for_ever() {
    let mut set = set_of(&["a", "b"]);
    let chooser = Chooser::new();
    let first = chooser.choose(&set, at(0), &[]).unwrap();
    assert_eq!(
        set.note_outcome(at(0), &id(&first), BackendOutcome::Broken),
        None
    );
    let pause = set.note_outcome(at(1), &id(&first), BackendOutcome::Broken);
    assert_eq!(pause, Some(Duration::from_millis(500)));
    assert_ne!(chooser.choose(&set, at(2), &[]).unwrap(), first);
    // With all others gone it is used all the same.
    let others: Vec<BackendId> = set.iter().map(|b| b.record.id.clone()).collect();
    for other in others.iter().filter(|other| other.name.0 != first) {
        set.note_absent(at(3), &other.name);
    }
    assert_eq!(chooser.choose(&set, at(4), &[]).unwrap(), first);
}

/// Answers that are failures leave nobody out: all servers of a service may
/// fail. They make others the better choice.
#[test]
fn a_server_that_fails_often_is_chosen_less_until_it_serves_again() {
    let mut set = set_of(&["a", "b"]);
    let chooser = Chooser::new();
    let first = id(&chooser.choose(&set, at(0), &[]).unwrap());
    for millis in 0..5 {
        set.note_outcome(at(millis), &first, BackendOutcome::Failed);
    }
    assert!(!set.get(&first).unwrap().is_excluded(at(5)));
    assert_ne!(id(&chooser.choose(&set, at(5), &[]).unwrap()), first);
    for millis in 5..60 {
        set.note_outcome(at(millis), &first, BackendOutcome::Served);
    }
    // A short queue at the other one outweighs what is left of the failures.
    let load = LoadReport {
        running: 4,
        waiting: 1,
        slots: 4,
    };
    for other in ["a", "b"].map(id) {
        if other != first {
            set.note_load(at(60), &other, load);
        }
    }
    assert_eq!(id(&chooser.choose(&set, at(60), &[]).unwrap()), first);
}

/// Left out means left out, whatever the share of failures: a server with a
/// good past that breaks twice gets nothing while it is.
#[test]
fn a_server_with_a_good_past_is_left_out_after_two_breaks() {
    let mut set = set_of(&["a", "b"]);
    let chooser = Chooser::new();
    let first = id(&chooser.choose(&set, at(0), &[]).unwrap());
    let load = |running| LoadReport {
        running,
        waiting: 60,
        slots: 4,
    };
    for millis in 0..2 {
        set.note_outcome(at(millis), &first, BackendOutcome::Broken);
    }
    // The other one is so full that only leaving out can outweigh it.
    for other in ["a", "b"].map(id) {
        if other != first {
            set.note_load(at(2), &other, load(4));
        }
    }
    assert!(set.get(&first).unwrap().is_excluded(at(2)));
    assert_ne!(id(&chooser.choose(&set, at(2), &[]).unwrap()), first);
    assert!(!set.get(&first).unwrap().is_excluded(at(600)));
}

#[test]
fn sends_beyond_the_first_stay_below_the_bound_over_all_entries() {
    let rule = RetryBudgetRule {
        ratio: 0.2,
        reserve: 50.0,
        window: Duration::from_secs(10),
    };
    let service: ServiceName = "pool".parse().unwrap();
    let mut entries = vec![RetryBudget::new(); 8];
    let mut taken = 0;
    for millis in (0..10_000).step_by(100) {
        for entry in &mut entries {
            entry.note_request(at(millis), &service, &rule);
            while entry.take(at(millis), &service, &rule, 8) {
                taken += 1;
            }
        }
    }
    // 800 requests within the window allow 160 and the reserve of 50.
    assert!((100..=210).contains(&taken), "{taken}");
}
