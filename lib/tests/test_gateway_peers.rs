//! Hubs, digests and the frames between gateway entries.

use std::time::Duration;

use cloverbend::gateway::account_limits::AdmittedUnits;
use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::backend_record::BackendName;
use cloverbend::gateway::backend_record::BackendRecord;
use cloverbend::gateway::backend_record::StartTime;
use cloverbend::gateway::call_digest::CallDigest;
use cloverbend::gateway::crash_ledger::CrashReport;
use cloverbend::gateway::crash_verdict::CrashRecord;
use cloverbend::gateway::crash_verdict::IncarnationDigest;
use cloverbend::gateway::event_splitter::EventSplitter;
use cloverbend::gateway::gossip_frame::GatewayGossipFrame;
use cloverbend::gateway::hub_capacity::HubCapacity;
use cloverbend::gateway::list_history::ListChanges;
use cloverbend::gateway::peer_gossip::BackendUse;
use cloverbend::gateway::peer_gossip::FreshnessEcho;
use cloverbend::gateway::peer_gossip::GatewayGossip;
use cloverbend::gateway::peer_gossip::HubSummary;
use cloverbend::gateway::peer_gossip::HubView;
use cloverbend::gateway::peer_gossip::ServiceDemand;
use cloverbend::gateway::peer_gossip::WindowCount;
use cloverbend::gateway::peer_table::DueMessage;
use cloverbend::gateway::peer_table::HUB_COUNT;
use cloverbend::gateway::peer_table::HeardLife;
use cloverbend::gateway::peer_table::PeerTable;
use cloverbend::gateway::report_table::RelayedReport;
use cloverbend::gateway::send_permits::LimitedSends;
use cloverbend::gateway::send_permits::PermitGrant;
use cloverbend::id::EntryName;
use cloverbend::id::FenceToken;
use cloverbend::id::Incarnation;
use cloverbend::id::LogOffset;
use cloverbend::id::RevisionNumber;
use cloverbend::quantity::RequestRate;
use cloverbend::quantity::Timestamp;
use proptest::prelude::*;
use prost::Message;

const ROUND_MS: u64 = 250;
const STRENGTH: HubCapacity = HubCapacity(100);

fn name(number: usize) -> EntryName {
    format!("entry-{number}").parse().unwrap()
}

fn news(number: usize, sent_at: u64) -> GatewayGossip {
    GatewayGossip {
        sent_at,
        revision: RevisionNumber(1),
        ..GatewayGossip::new(
            Incarnation(number as u64 + 1),
            name(number),
            format!("127.0.0.1:{}", 1_000 + number).parse().unwrap(),
            STRENGTH,
        )
    }
}

/// Entries that run rounds and hand their messages over at once.
struct PeerWorld {
    books: Vec<PeerTable>,
    dead: Vec<usize>,
    sent: usize,
    round: u32,
}

impl PeerWorld {
    fn new(count: usize) -> Self {
        let mut books: Vec<PeerTable> = (0..count)
            .map(|n| PeerTable::new(name(n), STRENGTH))
            .collect();
        for book in &mut books {
            for number in 0..count {
                book.note_listed(
                    Timestamp(0),
                    name(number),
                    news(number, 0).address,
                    STRENGTH,
                );
            }
        }
        Self {
            books,
            dead: Vec::new(),
            sent: 0,
            round: 0,
        }
    }

    fn now(&self) -> Timestamp {
        Timestamp::from_millis(u64::from(self.round) * ROUND_MS)
    }

    fn run(&mut self, rounds: u32) {
        for _ in 0..rounds {
            self.round += 1;
            let now = self.now();
            for sender in 0..self.books.len() {
                if self.dead.contains(&sender) {
                    continue;
                }
                for message in self.books[sender].take_due_messages(now, self.round) {
                    self.sent += 1;
                    self.deliver(
                        sender,
                        &message.name,
                        message.reports_state,
                        message.has_summary,
                        now,
                    );
                }
            }
        }
    }

    fn deliver(
        &mut self,
        sender: usize,
        to: &EntryName,
        tells: bool,
        digest: bool,
        now: Timestamp,
    ) {
        let receiver = (0..self.books.len())
            .find(|number| name(*number) == *to)
            .unwrap();
        if self.dead.contains(&receiver) {
            return;
        }
        let mut message = news(sender, now.0);
        message.reports_state = tells;
        message.wants_summary = tells;
        let share = self.books[sender].direct_entry_counts(now);
        message.view = digest.then(|| HubView {
            entries: share.entries,
            reachable: share.reachable,
            fence: None,
            backend_loads: Vec::new(),
        });
        self.books[receiver].apply_gossip(now, &message);
    }

    fn heard(&self) -> Vec<usize> {
        let now = self.now();
        let living = (0..self.books.len()).filter(|number| !self.dead.contains(number));
        living
            .map(|number| self.books[number].entry_counts(now).reachable)
            .collect()
    }

    fn first_hubs(&self) -> Vec<usize> {
        let ranks = self.books.iter().map(|book| book.hub_rank(self.now()));
        let mut ranked: Vec<(usize, usize)> = ranks.zip(0..).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, number)| number).collect()
    }
}

#[test]
fn every_entry_knows_through_a_hub_how_many_there_are() {
    let mut world = PeerWorld::new(20);
    world.run(8);
    assert_eq!(world.heard(), vec![20; 20]);
}

#[test]
fn messages_grow_with_the_entries_and_not_with_their_square() {
    let mut small = PeerWorld::new(20);
    small.run(40);
    let mut large = PeerWorld::new(80);
    large.run(40);
    assert!(
        large.sent <= small.sent * 5,
        "{} and {}",
        small.sent,
        large.sent
    );
}

#[test]
fn answers_of_each_round_are_spread_over_the_hubs() {
    let mut answers = std::collections::BTreeMap::new();
    for number in 0..60 {
        let mut book = PeerTable::new(name(number), STRENGTH);
        for other in 0..60 {
            let address = news(other, 0).address;
            book.note_listed(Timestamp(0), name(other), address, STRENGTH);
        }
        let due = book.take_due_messages(Timestamp(1), 1);
        let primary = due.into_iter().find(|message| message.wants_summary);
        *answers.entry(primary.unwrap().name).or_insert(0) += 1;
    }
    assert!(answers.values().all(|count| *count <= 30), "{answers:?}");
}

#[test]
fn weak_vms_are_hubs_only_if_there_are_no_others() {
    let mut book = PeerTable::new(name(0), HubCapacity(10));
    for number in 1..10 {
        let strength = HubCapacity(if number < 3 { 200 } else { 10 });
        book.note_listed(
            Timestamp(0),
            name(number),
            news(number, 0).address,
            strength,
        );
    }
    let hubs: Vec<EntryName> = book
        .take_due_messages(Timestamp(1), 1)
        .into_iter()
        .map(|due| due.name)
        .collect();
    assert_eq!(hubs.len(), HUB_COUNT);
    assert!(
        hubs.contains(&name(1)) && hubs.contains(&name(2)),
        "{hubs:?}"
    );
    assert!(book.hub_rank(Timestamp(1)) >= 2);
    assert_eq!(HubCapacity::of(10.0, 0.5), HubCapacity(10));
    assert_eq!(HubCapacity::of(200.0, 0.12), HubCapacity(48));
}

#[test]
fn hubs_that_die_are_replaced() {
    let mut world = PeerWorld::new(12);
    world.run(8);
    world.dead = world.first_hubs()[..HUB_COUNT].to_vec();
    world.run(40);
    assert_eq!(world.heard(), vec![12 - HUB_COUNT; 12 - HUB_COUNT]);
    let living = world.first_hubs();
    let first = living
        .iter()
        .find(|number| !world.dead.contains(number))
        .unwrap();
    assert_eq!(world.books[*first].hub_rank(world.now()), 0);
}

#[test]
fn an_entry_alone_knows_it() {
    let mut world = PeerWorld::new(5);
    world.run(8);
    world.dead = vec![0, 1, 2, 3];
    world.run(20);
    assert_eq!(world.heard(), vec![1]);
}

#[test]
fn news_of_an_earlier_moment_change_nothing() {
    let mut book = PeerTable::new(name(0), STRENGTH);
    let mut newer = news(1, 500);
    newer.reports_state = true;
    newer.fence = Some(FenceToken(7));
    let life = book.apply_gossip(Timestamp(1_000), &newer);
    assert_eq!(life, HeardLife::New { replaced: None });
    let mut older = news(1, 400);
    older.reports_state = true;
    assert_eq!(
        book.apply_gossip(Timestamp(1_100), &older),
        HeardLife::Known
    );
    assert_eq!(book.highest_fence(Timestamp(1_200)), Some(FenceToken(7)));
}

/// The list is read as a log, in which an entry that started again stands twice.
#[test]
fn an_entry_that_was_not_heard_is_where_it_was_listed_last() {
    let mut book = PeerTable::new(name(0), STRENGTH);
    let [first, last] = [news(1, 0).address, news(2, 0).address];
    book.note_listed(Timestamp(1_000), name(1), first, STRENGTH);
    book.note_listed(Timestamp(1_000), name(1), last, STRENGTH);
    assert_eq!(book.get(&name(1)).unwrap().address, last);
    book.apply_gossip(Timestamp(2_000), &news(1, 500));
    book.note_listed(Timestamp(2_100), name(1), last, STRENGTH);
    assert_eq!(book.get(&name(1)).unwrap().address, first);
}

#[test]
fn the_age_of_knowledge_is_counted_from_the_message_that_is_answered() {
    let mut book = PeerTable::new(name(0), STRENGTH);
    let mut heard = news(1, 500);
    heard.fence = Some(FenceToken(7));
    book.apply_gossip(Timestamp(9_000), &heard);
    let echo = book.echo(&name(1), Some(Timestamp(7_000)), Some(Timestamp(9_500)));
    let expected = FreshnessEcho {
        incarnation: Incarnation(2),
        sent_at: 500,
        config_age: Some(2_000),
        backends_age: Some(-500),
        fence: Some(FenceToken(7)),
    };
    assert_eq!(echo, Some(expected));
}

#[test]
fn a_life_that_replaces_another_names_it() {
    let mut book = PeerTable::new(name(0), STRENGTH);
    let mut heard = news(1, 500);
    book.apply_gossip(Timestamp(1_000), &heard);
    let before = heard.incarnation;
    heard.incarnation = Incarnation(77);
    let life = book.apply_gossip(Timestamp(2_000), &heard);
    let replaced = Some(before);
    assert_eq!(life, HeardLife::New { replaced });
}

/// Returns a hub's book with one entry that tells it its news, and what is due
/// to that entry in a round.
fn due_of(book: &mut PeerTable, at: u64, round: u32) -> Option<DueMessage> {
    let due = book.take_due_messages(Timestamp::from_millis(at), round);
    due.into_iter().find(|message| message.name == name(1))
}

#[test]
fn a_digest_that_a_busy_link_left_out_is_due_in_the_next_round() {
    let mut book = PeerTable::new(name(0), STRENGTH);
    let mut told = news(1, 500);
    told.reports_state = true;
    book.apply_gossip(Timestamp::from_millis(1_000), &told);
    // The fourth round has a digest, the ones after it have none.
    let skipped = due_of(&mut book, 1_000, 4).unwrap();
    assert!(skipped.has_summary);
    book.note_skipped(Timestamp::from_millis(1_000), &skipped);
    let digests =
        [5, 6].map(|round| due_of(&mut book, 1_000, round).is_some_and(|due| due.has_summary));
    assert_eq!(digests, [true, false]);
}

#[test]
fn a_hub_that_was_asked_nothing_does_not_become_suspect() {
    let mut book = PeerTable::new(name(0), STRENGTH);
    book.apply_gossip(Timestamp::from_millis(1_000), &news(1, 500));
    for round in 5..25 {
        let at = 1_000 + u64::from(round) * 250;
        let due = due_of(&mut book, at, round).unwrap();
        assert!(due.reports_state && !due.reopen);
        book.note_skipped(Timestamp::from_millis(at), &due);
    }
}

#[test]
fn a_list_is_not_offered_again_before_its_receiver_can_have_answered() {
    let mut book = PeerTable::new(name(0), STRENGTH);
    book.apply_gossip(Timestamp::from_millis(1_000), &news(1, 500));
    let mut offers = |at, hash| book.offers_list(Timestamp::from_millis(at), &name(1), hash);
    let offered = [(1_000, 7), (1_250, 7), (1_300, 8), (1_700, 8), (1_900, 8)];
    let offered = offered.map(|(at, hash)| offers(at, hash));
    assert_eq!(offered, [true, false, true, false, true]);
}

#[test]
fn only_entries_that_were_heard_lately_with_a_newer_revision_are_asked_for_it() {
    let mut book = PeerTable::new(name(0), STRENGTH);
    let heard = |book: &mut PeerTable, number: usize, at: u64, revision: u64| {
        let mut heard = news(number, 500);
        heard.revision = RevisionNumber(revision);
        book.apply_gossip(Timestamp::from_millis(at), &heard);
    };
    heard(&mut book, 1, 9_000, 4);
    heard(&mut book, 2, 9_000, 5);
    heard(&mut book, 3, 9_000, 3);
    heard(&mut book, 4, 1_000, 6);
    let mut earlier = news(6, 500);
    earlier.revision = RevisionNumber(7);
    earlier.answers_pulls = false;
    book.apply_gossip(Timestamp::from_millis(9_000), &earlier);
    book.note_listed(
        Timestamp::from_millis(9_000),
        name(5),
        "127.0.0.1:9".parse().unwrap(),
        STRENGTH,
    );
    let ahead = book.ahead(Timestamp::from_millis(10_000), RevisionNumber(3));
    let revisions: Vec<u64> = ahead.iter().map(|source| source.revision.0).collect();
    assert_eq!(revisions, [5, 4]);
}

#[test]
fn entries_that_are_behind_do_not_all_ask_the_same_one() {
    let mut first = std::collections::BTreeMap::new();
    for asking in 10..310 {
        let mut book = PeerTable::new(name(asking), STRENGTH);
        for hub in 0..3 {
            book.apply_gossip(Timestamp(9_000), &news(hub, 500));
        }
        let ahead = book.ahead(Timestamp(9_000), RevisionNumber(0));
        *first.entry(ahead[0].address).or_insert(0) += 1;
    }
    assert_eq!(first.len(), 3);
    assert!(first.values().all(|asked| *asked >= 60), "{first:?}");
}

fn life(name: &str) -> BackendId {
    BackendId {
        name: BackendName(name.to_owned()),
        start: StartTime(1_700_000_000_000),
    }
}

fn full_news() -> GatewayGossip {
    let mut full = news(3, 77);
    full.draining = true;
    full.echo = Some(FreshnessEcho {
        incarnation: Incarnation(9),
        sent_at: 5,
        config_age: None,
        backends_age: Some(-6),
        fence: Some(FenceToken(4)),
    });
    full.fence = Some(FenceToken(0));
    full.duties_end = LogOffset(12);
    full.reports_state = true;
    full.wants_summary = true;
    full.backends_hash = 8;
    let units = AdmittedUnits {
        account: "depots".parse().unwrap(),
        units: 10,
    };
    full.admitted = vec![units.clone()];
    full.counts = vec![WindowCount {
        window: 3,
        account: "depots".parse().unwrap(),
        count: 4,
    }];
    let load = BackendUse {
        backend: "b".to_owned(),
        in_flight: 2,
        unread: 300,
        start: 12,
    };
    full.backend_loads = vec![load.clone()];
    full.service_demand = vec![ServiceDemand {
        service: "pool".to_owned(),
        tokens_per_s: 11,
        busy_milli: 12,
        requests_milli: 13,
    }];
    full.reports = vec![RelayedReport {
        id: life("b"),
        limit: Some(RequestRate(1.5)),
        draining: true,
        age: Duration::from_millis(14),
    }];
    full.reports_hash = 15;
    full.sends = vec![LimitedSends {
        id: life("b"),
        sent: 16,
    }];
    full.crashes = vec![CrashReport {
        digest: CallDigest(5),
        record: CrashRecord {
            crashes: [(IncarnationDigest(6), Duration::from_millis(7))].into(),
            survivors: 1,
        },
        idle: Duration::from_millis(8),
    }];
    full.view = Some(HubView {
        entries: 5,
        reachable: 4,
        fence: Some(FenceToken(3)),
        backend_loads: vec![load],
    });
    full.summary = Some(HubSummary {
        admitted: vec![units],
        hubs: vec![(name(4), "127.0.0.1:9".parse().unwrap(), HubCapacity(7))],
        backends: Some(vec![BackendRecord {
            id: life("b"),
            service: "pool".parse().unwrap(),
            address: "127.0.0.1:8".parse().unwrap(),
            zone: "zone-a".parse().unwrap(),
            slots: 4,
            draining: true,
            reclaimable: true,
        }]),
        changes: Some(ListChanges {
            records: Vec::new(),
            gone: vec![BackendName("d".to_owned())],
        }),
        draining: vec![life("c")],
        reports: vec![RelayedReport {
            id: life("c"),
            limit: None,
            draining: false,
            age: Duration::ZERO,
        }],
        permits: vec![PermitGrant {
            id: life("b"),
            count: 2,
        }],
    });
    full
}

#[test]
fn news_pass_the_wire_unchanged() {
    let bytes = GatewayGossipFrame::from(full_news()).encode_to_vec();
    let frame = GatewayGossipFrame::decode(bytes.as_slice()).unwrap();
    assert_eq!(GatewayGossip::try_from(frame), Ok(full_news()));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn damaged_news_are_refused_or_read(at in 0_usize..200, byte in any::<u8>()) {
        let mut bytes = GatewayGossipFrame::from(full_news()).encode_to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(frame) = GatewayGossipFrame::decode(bytes.as_slice()) {
            let _ = GatewayGossip::try_from(frame);
        }
    }

    #[test]
    fn events_are_cut_at_their_ends_wherever_the_bytes_are(cuts in prop::collection::vec(1_usize..9, 1..40)) {
        let text: String = (1..=12).map(|n| format!("id: {n}\r\ndata: w{n}\r\n\r\n")).collect();
        let mut splitter = EventSplitter::new();
        let mut passed = Vec::new();
        let mut last = None;
        let mut rest = text.as_bytes();
        let mut events = 0;
        for cut in cuts.iter().cycle() {
            if rest.is_empty() { break; }
            let (head, tail) = rest.split_at((*cut).min(rest.len()));
            let batch = splitter.push(head);
            // Whatever was let through ends with a whole event.
            prop_assert!(batch.bytes.is_empty() || batch.bytes.ends_with(b"\r\n\r\n"));
            passed.extend_from_slice(&batch.bytes);
            last = batch.last_id.or(last);
            events += batch.count;
            rest = tail;
        }
        prop_assert_eq!(passed, text.as_bytes());
        prop_assert_eq!(last, Some(12));
        prop_assert_eq!(events, 12);
    }
    /// However an event is cut, and wherever its beginning was let through, its
    /// end is found, and the position that it names.
    #[test]
    fn events_let_through_in_part_keep_their_ends_and_positions(
        cuts in prop::collection::vec((1_usize..60, any::<bool>()), 1..40),
        end in prop::sample::select(vec!["\n", "\r\n"]),
    ) {
        let long = "v".repeat(40);
        let events = (1..=12).map(|n| format!("data: {long}{end}id: {n}{end}data: w{n}{long}{end}{end}"));
        let text: String = events.clone().collect();
        let ends: Vec<usize> = events.scan(0, |at, event| { *at += event.len(); Some(*at) }).collect();
        let mut splitter = EventSplitter::new();
        let mut passed = Vec::new();
        let mut last = None;
        let mut rest = text.as_bytes();
        for (cut, let_through) in cuts.iter().cycle() {
            if rest.is_empty() { break; }
            let (head, tail) = rest.split_at((*cut).min(rest.len()));
            let batch = splitter.push(head);
            passed.extend_from_slice(&batch.bytes);
            last = batch.last_id.or(last);
            if *let_through {
                passed.extend_from_slice(&splitter.flush_partial());
            }
            let whole = ends.iter().filter(|end| **end <= passed.len()).count();
            prop_assert_eq!(last.unwrap_or(0), whole as u64);
            let inside = passed.len() > whole.checked_sub(1).map_or(0, |index| ends[index]);
            prop_assert_eq!(splitter.is_inside_event(), inside);
            rest = tail;
        }
        prop_assert_eq!(passed, text.as_bytes());
        prop_assert_eq!(splitter.pending_len(), 0);
    }
}
