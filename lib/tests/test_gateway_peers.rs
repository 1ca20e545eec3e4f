//! Hubs, their summaries, gossip frames between gateway entries, and the splitting
//! of event streams.

use std::time::Duration;

use cloverbend::gateway::account_limits::AdmittedUnits;
use cloverbend::gateway::backend_record::BackendId;
use cloverbend::gateway::backend_record::BackendName;
use cloverbend::gateway::backend_record::BackendRecord;
use cloverbend::gateway::backend_record::StartTime;
use cloverbend::gateway::call_digest::CallDigest;
use cloverbend::gateway::call_feature::CallFeature;
use cloverbend::gateway::call_feature::FeatureTag;
use cloverbend::gateway::crash_ledger::CrashReport;
use cloverbend::gateway::crash_verdict::CrashRecord;
use cloverbend::gateway::crash_verdict::IncarnationDigest;
use cloverbend::gateway::crash_verdict::SurvivorTag;
use cloverbend::gateway::event_splitter::EventSplitter;
use cloverbend::gateway::gossip_frame::GatewayGossipFrame;
use cloverbend::gateway::hub_capacity::HubCapacity;
use cloverbend::gateway::list_frames::PackedList;
use cloverbend::gateway::list_history::ListChanges;
use cloverbend::gateway::list_history::ListUpdate;
use cloverbend::gateway::peer_gossip::BackendLoad;
use cloverbend::gateway::peer_gossip::FreshnessEcho;
use cloverbend::gateway::peer_gossip::GatewayGossip;
use cloverbend::gateway::peer_gossip::HubSummary;
use cloverbend::gateway::peer_gossip::HubView;
use cloverbend::gateway::peer_gossip::ServiceDemand;
use cloverbend::gateway::peer_gossip::WindowCount;
use cloverbend::gateway::peer_table::DueMessage;
use cloverbend::gateway::peer_table::HUB_COUNT;
use cloverbend::gateway::peer_table::PeerTable;
use cloverbend::gateway::peer_table::SenderIncarnation;
use cloverbend::gateway::relay_helpers::RelayHelper;
use cloverbend::gateway::report_table::RelayedReport;
use cloverbend::gateway::return_promises::PromiseKey;
use cloverbend::gateway::return_promises::PromiseList;
use cloverbend::gateway::return_promises::PromiseNews;
use cloverbend::gateway::return_promises::PromiseState;
use cloverbend::gateway::rollout_evidence::AnswerKind;
use cloverbend::gateway::rollout_evidence::RolloutEvidence;
use cloverbend::gateway::rollout_evidence::RouteClass;
use cloverbend::gateway::rollout_evidence::VersionSide;
use cloverbend::gateway::rollout_state::RolloutOrder;
use cloverbend::gateway::rollout_state::RolloutPhase;
use cloverbend::gateway::rollout_table::EvidenceReport;
use cloverbend::gateway::rollout_table::RolloutNews;
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
const HUB_CAPACITY: HubCapacity = HubCapacity(100);

fn name(number: usize) -> EntryName {
    format!("entry-{number}").parse().unwrap()
}

fn gossip(number: usize, sent_at: u64) -> GatewayGossip {
    GatewayGossip {
        sent_at,
        revision: RevisionNumber(1),
        ..GatewayGossip::new(
            Incarnation(number as u64 + 1),
            name(number),
            format!("127.0.0.1:{}", 1_000 + number).parse().unwrap(),
            HUB_CAPACITY,
        )
    }
}

/// Entries that run gossip rounds and deliver their messages immediately.
struct PeerCluster {
    tables: Vec<PeerTable>,
    stopped: Vec<usize>,
    sent: usize,
    round: u32,
}

impl PeerCluster {
    fn new(count: usize) -> Self {
        let mut tables: Vec<PeerTable> = (0..count)
            .map(|n| PeerTable::new(name(n), HUB_CAPACITY))
            .collect();
        for table in &mut tables {
            for number in 0..count {
                table.note_listed(
                    Timestamp(0),
                    name(number),
                    gossip(number, 0).address,
                    HUB_CAPACITY,
                );
            }
        }
        Self {
            tables,
            stopped: Vec::new(),
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
            for sender in 0..self.tables.len() {
                if self.stopped.contains(&sender) {
                    continue;
                }
                for message in self.tables[sender].take_due_messages(now, self.round) {
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
        reports_state: bool,
        has_summary: bool,
        now: Timestamp,
    ) {
        let receiver = (0..self.tables.len())
            .find(|number| name(*number) == *to)
            .unwrap();
        if self.stopped.contains(&receiver) {
            return;
        }
        let mut message = gossip(sender, now.0);
        message.reports_state = reports_state;
        message.wants_summary = reports_state;
        let counts = self.tables[sender].direct_entry_counts(now);
        message.view = has_summary.then(|| HubView {
            entries: counts.entries,
            reachable: counts.reachable,
            fencing_token: None,
            backend_loads: Vec::new(),
        });
        self.tables[receiver].apply_gossip(now, &message);
    }

    fn reachable(&self) -> Vec<usize> {
        let now = self.now();
        let running = (0..self.tables.len()).filter(|number| !self.stopped.contains(number));
        running
            .map(|number| self.tables[number].entry_counts(now).reachable)
            .collect()
    }

    fn first_hubs(&self) -> Vec<usize> {
        let ranks = self.tables.iter().map(|table| table.hub_rank(self.now()));
        let mut ranked: Vec<(usize, usize)> = ranks.zip(0..).collect();
        ranked.sort_unstable();
        ranked.into_iter().map(|(_, number)| number).collect()
    }
}

#[test]
fn hubs_report_the_number_of_entries_to_every_entry() {
    let mut cluster = PeerCluster::new(20);
    cluster.run(8);
    assert_eq!(cluster.reachable(), vec![20; 20]);
}

#[test]
fn the_number_of_messages_grows_linearly_with_the_entries() {
    let mut small = PeerCluster::new(20);
    small.run(40);
    let mut large = PeerCluster::new(80);
    large.run(40);
    assert!(
        large.sent <= small.sent * 5,
        "{} and {}",
        small.sent,
        large.sent
    );
}

#[test]
fn replies_of_each_round_are_spread_over_the_hubs() {
    let mut replies = std::collections::BTreeMap::new();
    for number in 0..60 {
        let mut table = PeerTable::new(name(number), HUB_CAPACITY);
        for other in 0..60 {
            let address = gossip(other, 0).address;
            table.note_listed(Timestamp(0), name(other), address, HUB_CAPACITY);
        }
        let due = table.take_due_messages(Timestamp(1), 1);
        let primary = due.into_iter().find(|message| message.wants_summary);
        *replies.entry(primary.unwrap().name).or_insert(0) += 1;
    }
    assert!(replies.values().all(|count| *count <= 30), "{replies:?}");
}

#[test]
fn vms_with_low_capacity_are_hubs_only_if_there_are_no_others() {
    let mut table = PeerTable::new(name(0), HubCapacity(10));
    for number in 1..10 {
        let hub_capacity = HubCapacity(if number < 3 { 200 } else { 10 });
        table.note_listed(
            Timestamp(0),
            name(number),
            gossip(number, 0).address,
            hub_capacity,
        );
    }
    let hubs: Vec<EntryName> = table
        .take_due_messages(Timestamp(1), 1)
        .into_iter()
        .map(|due| due.name)
        .collect();
    assert_eq!(hubs.len(), HUB_COUNT);
    assert!(
        hubs.contains(&name(1)) && hubs.contains(&name(2)),
        "{hubs:?}"
    );
    assert!(table.hub_rank(Timestamp(1)) >= 2);
    assert_eq!(HubCapacity::of(10.0, 0.5), HubCapacity(10));
    assert_eq!(HubCapacity::of(200.0, 0.12), HubCapacity(48));
}

#[test]
fn stopped_hubs_are_replaced() {
    let mut cluster = PeerCluster::new(12);
    cluster.run(8);
    cluster.stopped = cluster.first_hubs()[..HUB_COUNT].to_vec();
    cluster.run(40);
    assert_eq!(cluster.reachable(), vec![12 - HUB_COUNT; 12 - HUB_COUNT]);
    let running = cluster.first_hubs();
    let first = running
        .iter()
        .find(|number| !cluster.stopped.contains(number))
        .unwrap();
    assert_eq!(cluster.tables[*first].hub_rank(cluster.now()), 0);
}

#[test]
fn the_last_running_entry_counts_only_itself() {
    let mut cluster = PeerCluster::new(5);
    cluster.run(8);
    cluster.stopped = vec![0, 1, 2, 3];
    cluster.run(20);
    assert_eq!(cluster.reachable(), vec![1]);
}

#[test]
fn an_older_message_changes_nothing() {
    let mut table = PeerTable::new(name(0), HUB_CAPACITY);
    let mut newer = gossip(1, 500);
    newer.reports_state = true;
    newer.fencing_token = Some(FenceToken(7));
    let sender = table.apply_gossip(Timestamp(1_000), &newer);
    assert_eq!(sender, SenderIncarnation::New { replaced: None });
    let mut older = gossip(1, 400);
    older.reports_state = true;
    assert_eq!(
        table.apply_gossip(Timestamp(1_100), &older),
        SenderIncarnation::Known
    );
    assert_eq!(table.highest_fence(Timestamp(1_200)), Some(FenceToken(7)));
}

/// The list of entries is a log, in which an entry that restarted appears twice.
#[test]
fn an_entry_without_gossip_has_the_address_listed_last() {
    let mut table = PeerTable::new(name(0), HUB_CAPACITY);
    let [first, last] = [gossip(1, 0).address, gossip(2, 0).address];
    table.note_listed(Timestamp(1_000), name(1), first, HUB_CAPACITY);
    table.note_listed(Timestamp(1_000), name(1), last, HUB_CAPACITY);
    assert_eq!(table.get(&name(1)).unwrap().address, last);
    table.apply_gossip(Timestamp(2_000), &gossip(1, 500));
    table.note_listed(Timestamp(2_100), name(1), last, HUB_CAPACITY);
    assert_eq!(table.get(&name(1)).unwrap().address, first);
}

#[test]
fn ages_in_an_echo_are_counted_from_the_echoed_message() {
    let mut table = PeerTable::new(name(0), HUB_CAPACITY);
    let mut received = gossip(1, 500);
    received.fencing_token = Some(FenceToken(7));
    table.apply_gossip(Timestamp(9_000), &received);
    let echo = table.echo(&name(1), Some(Timestamp(7_000)), Some(Timestamp(9_500)));
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
fn a_new_incarnation_names_the_replaced_one() {
    let mut table = PeerTable::new(name(0), HUB_CAPACITY);
    let mut received = gossip(1, 500);
    table.apply_gossip(Timestamp(1_000), &received);
    let before = received.incarnation;
    received.incarnation = Incarnation(77);
    let sender = table.apply_gossip(Timestamp(2_000), &received);
    let replaced = Some(before);
    assert_eq!(sender, SenderIncarnation::New { replaced });
}

/// Returns the message that is due to `entry-1` in a round.
fn due_message(table: &mut PeerTable, at: u64, round: u32) -> Option<DueMessage> {
    let due = table.take_due_messages(Timestamp::from_millis(at), round);
    due.into_iter().find(|message| message.name == name(1))
}

#[test]
fn a_summary_skipped_on_a_busy_link_is_due_in_the_next_round() {
    let mut table = PeerTable::new(name(0), HUB_CAPACITY);
    let mut received = gossip(1, 500);
    received.reports_state = true;
    table.apply_gossip(Timestamp::from_millis(1_000), &received);
    // The fourth round has a summary, the ones after it have none.
    let skipped = due_message(&mut table, 1_000, 4).unwrap();
    assert!(skipped.has_summary);
    table.note_skipped(Timestamp::from_millis(1_000), &skipped);
    let summaries = [5, 6]
        .map(|round| due_message(&mut table, 1_000, round).is_some_and(|due| due.has_summary));
    assert_eq!(summaries, [true, false]);
}

#[test]
fn skipped_messages_do_not_make_a_hub_suspect() {
    let mut table = PeerTable::new(name(0), HUB_CAPACITY);
    table.apply_gossip(Timestamp::from_millis(1_000), &gossip(1, 500));
    for round in 5..25 {
        let at = 1_000 + u64::from(round) * 250;
        let due = due_message(&mut table, at, round).unwrap();
        assert!(due.reports_state && !due.reopen);
        table.note_skipped(Timestamp::from_millis(at), &due);
    }
}

#[test]
fn a_list_is_not_sent_again_before_it_can_be_acknowledged() {
    let mut table = PeerTable::new(name(0), HUB_CAPACITY);
    table.apply_gossip(Timestamp::from_millis(1_000), &gossip(1, 500));
    let mut is_due =
        |at, digest| table.should_send_list(Timestamp::from_millis(at), &name(1), digest);
    let sent = [(1_000, 7), (1_250, 7), (1_300, 8), (1_700, 8), (1_900, 8)];
    let sent = sent.map(|(at, digest)| is_due(at, digest));
    assert_eq!(sent, [true, false, true, false, true]);
}

#[test]
fn only_reachable_entries_with_a_newer_revision_are_sources() {
    let mut table = PeerTable::new(name(0), HUB_CAPACITY);
    let receive = |table: &mut PeerTable, number: usize, at: u64, revision: u64| {
        let mut received = gossip(number, 500);
        received.revision = RevisionNumber(revision);
        table.apply_gossip(Timestamp::from_millis(at), &received);
    };
    receive(&mut table, 1, 9_000, 4);
    receive(&mut table, 2, 9_000, 5);
    receive(&mut table, 3, 9_000, 3);
    receive(&mut table, 4, 1_000, 6);
    let mut earlier_version = gossip(6, 500);
    earlier_version.revision = RevisionNumber(7);
    earlier_version.answers_pulls = false;
    table.apply_gossip(Timestamp::from_millis(9_000), &earlier_version);
    table.note_listed(
        Timestamp::from_millis(9_000),
        name(5),
        "127.0.0.1:9".parse().unwrap(),
        HUB_CAPACITY,
    );
    let sources = table.newer_sources(Timestamp::from_millis(10_000), RevisionNumber(3));
    let revisions: Vec<u64> = sources.iter().map(|source| source.revision.0).collect();
    assert_eq!(revisions, [5, 4]);
}

#[test]
fn entries_with_an_old_revision_ask_different_sources() {
    let mut first = std::collections::BTreeMap::new();
    for number in 10..310 {
        let mut table = PeerTable::new(name(number), HUB_CAPACITY);
        for hub in 0..3 {
            table.apply_gossip(Timestamp(9_000), &gossip(hub, 500));
        }
        let sources = table.newer_sources(Timestamp(9_000), RevisionNumber(0));
        *first.entry(sources[0].address).or_insert(0) += 1;
    }
    assert_eq!(first.len(), 3);
    assert!(first.values().all(|count| *count >= 60), "{first:?}");
}

fn backend_id(name: &str) -> BackendId {
    BackendId {
        name: BackendName(name.to_owned()),
        start: StartTime(1_700_000_000_000),
    }
}

fn full_gossip() -> GatewayGossip {
    let mut full = gossip(3, 77);
    full.draining = true;
    full.echo = Some(FreshnessEcho {
        incarnation: Incarnation(9),
        sent_at: 5,
        config_age: None,
        backends_age: Some(-6),
        fence: Some(FenceToken(4)),
    });
    full.fencing_token = Some(FenceToken(0));
    full.duty_log_end = LogOffset(12);
    full.reports_state = true;
    full.wants_summary = true;
    full.backends_digest = 8;
    let units = AdmittedUnits {
        account: "depots".parse().unwrap(),
        units: 10,
    };
    full.admitted = vec![units.clone()];
    full.window_counts = vec![WindowCount {
        window: 3,
        account: "depots".parse().unwrap(),
        count: 4,
    }];
    let load = BackendLoad {
        backend: "b".to_owned(),
        in_flight: 2,
        unread: 300,
        start: 12,
        pace_weight: 7,
        pace_log: -9,
    };
    full.backend_loads = vec![load.clone()];
    full.service_demand = vec![ServiceDemand {
        service: "pool".to_owned(),
        tokens_per_s: 11,
        busy_milli: 12,
        requests_milli: 13,
    }];
    full.reports = vec![RelayedReport {
        id: backend_id("b"),
        limit: Some(RequestRate(1.5)),
        draining: true,
        age: Duration::from_millis(14),
        uncertainty: Duration::from_millis(19),
    }];
    full.reports_digest = 15;
    full.sends = vec![LimitedSends {
        id: backend_id("b"),
        sent: 16,
    }];
    let promises = PromiseList {
        service: "pool".parse().unwrap(),
        news: vec![PromiseNews {
            key: PromiseKey(17),
            due_in: Duration::from_millis(18),
            state: PromiseState::Deferred,
        }],
    };
    full.promises = vec![promises.clone()];
    let order = RolloutOrder {
        service: "pool".parse().unwrap(),
        target: "v2".parse().unwrap(),
        duration: Duration::from_secs(60),
    };
    full.rollouts = vec![RolloutNews {
        order,
        number: LogOffset(17),
        fence: FenceToken(4),
        phase: RolloutPhase::Moving,
        age: Duration::from_millis(18),
        news_age: Duration::from_millis(19),
        new_answers: 20,
    }];
    let mut evidence = RolloutEvidence::default();
    let route = RouteClass::of("chat");
    evidence.note(
        VersionSide::New,
        route,
        &backend_id("b"),
        AnswerKind::Failed,
    );
    full.rollout_evidence = vec![EvidenceReport {
        service: "pool".parse().unwrap(),
        number: LogOffset(17),
        evidence,
    }];
    full.crashes = vec![CrashReport {
        feature: CallFeature::Request(CallDigest(5)),
        record: CrashRecord {
            crashes: [(IncarnationDigest(6), Duration::from_millis(7))].into(),
            survivors: [SurvivorTag(1), SurvivorTag(2), SurvivorTag(3)].into(),
            companions: [FeatureTag(9)].into(),
        },
        idle: Duration::from_millis(8),
    }];
    full.wants_helpers = true;
    full.view = Some(HubView {
        entries: 5,
        reachable: 4,
        fencing_token: Some(FenceToken(3)),
        backend_loads: vec![load],
    });
    full.summary = Some(HubSummary {
        admitted: vec![units],
        hubs: vec![(name(4), "127.0.0.1:9".parse().unwrap(), HubCapacity(7))],
        packed_list: PackedList::pack(ListUpdate::Full(Vec::new())),
        backends: Some(vec![BackendRecord {
            id: backend_id("b"),
            service: "pool".parse().unwrap(),
            address: "127.0.0.1:8".parse().unwrap(),
            zone: "zone-a".parse().unwrap(),
            slots: 4,
            draining: true,
            reclaimable: true,
            version: Some("v2".parse().unwrap()),
        }]),
        changes: Some(ListChanges {
            records: Vec::new(),
            gone: vec![BackendName("d".to_owned())],
        }),
        draining: vec![backend_id("c")],
        reports: vec![RelayedReport {
            id: backend_id("c"),
            limit: None,
            draining: false,
            age: Duration::ZERO,
            uncertainty: Duration::ZERO,
        }],
        permits: vec![PermitGrant {
            id: backend_id("b"),
            count: 2,
        }],
        promises: vec![promises],
        helpers: vec![RelayHelper {
            address: "127.0.0.1:7".parse().unwrap(),
            incarnation: Incarnation(6),
        }],
    });
    full
}

#[test]
fn an_entry_of_an_earlier_version_does_not_relay() {
    let earlier = GatewayGossip {
        relays: false,
        ..gossip(3, 1)
    };
    // Without the fields of relaying, the frame is that of an earlier version.
    let bytes = GatewayGossipFrame::from(earlier.clone()).encode_to_vec();
    let with_fields = GatewayGossipFrame::from(gossip(3, 1)).encode_to_vec();
    assert_eq!(with_fields.len(), bytes.len() + 3);
    let frame = GatewayGossipFrame::decode(bytes.as_slice()).unwrap();
    assert_eq!(GatewayGossip::try_from(frame), Ok(earlier));
}

#[test]
fn hubs_name_only_entries_that_can_relay() {
    let mut table = PeerTable::new(name(0), HUB_CAPACITY);
    let state = |number, change: fn(&mut GatewayGossip)| {
        let mut gossip = gossip(number, 1);
        gossip.reports_state = true;
        change(&mut gossip);
        gossip
    };
    let now = Timestamp::from_millis(100);
    for gossip in [
        state(1, |_| {}),
        state(2, |gossip| gossip.draining = true),
        state(3, |gossip| gossip.wants_helpers = true),
        state(4, |gossip| gossip.relays = false),
        state(5, |gossip| gossip.reports_state = false),
    ] {
        table.apply_gossip(now, &gossip);
    }
    let able = RelayHelper {
        address: gossip(1, 1).address,
        incarnation: gossip(1, 1).incarnation,
    };
    assert_eq!(table.relay_helpers(now), [able]);
    assert_eq!(table.relay_helpers(Timestamp::from_millis(1_300)), []);
}

#[test]
fn encoded_gossip_is_decoded_unchanged() {
    let bytes = GatewayGossipFrame::from(full_gossip()).encode_to_vec();
    let frame = GatewayGossipFrame::decode(bytes.as_slice()).unwrap();
    assert_eq!(GatewayGossip::try_from(frame), Ok(full_gossip()));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]
    #[test]
    fn damaged_gossip_is_rejected_or_decoded(at in 0_usize..200, byte in any::<u8>()) {
        let mut bytes = GatewayGossipFrame::from(full_gossip()).encode_to_vec();
        let at = at % bytes.len();
        bytes[at] = byte;
        if let Ok(frame) = GatewayGossipFrame::decode(bytes.as_slice()) {
            let _ = GatewayGossip::try_from(frame);
        }
    }

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
