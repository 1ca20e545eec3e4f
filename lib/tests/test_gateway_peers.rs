//! Hubs, their summaries, gossip frames between gateway entries, and the splitting
//! of event streams.

use std::time::Duration;

use cloverbend::gateway::hub_capacity::HubCapacity;
use cloverbend::gateway::peer_gossip::FreshnessEcho;
use cloverbend::gateway::peer_gossip::GatewayGossip;
use cloverbend::gateway::peer_gossip::HubView;
use cloverbend::gateway::peer_table::DueMessage;
use cloverbend::gateway::peer_table::HUB_COUNT;
use cloverbend::gateway::peer_table::PeerTable;
use cloverbend::gateway::peer_table::SenderIncarnation;
use cloverbend::gateway::relay_helpers::RelayHelper;
use cloverbend::id::EntryName;
use cloverbend::id::FenceToken;
use cloverbend::id::Incarnation;
use cloverbend::id::RevisionNumber;
use cloverbend::quantity::Timestamp;
use cloverbend_testutils::gossip_sample::HUB_CAPACITY;
use cloverbend_testutils::gossip_sample::entry_gossip;
use cloverbend_testutils::gossip_sample::entry_name;

const ROUND_MS: u64 = 250;
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
            .map(|n| PeerTable::new(entry_name(n), HUB_CAPACITY))
            .collect();
        for table in &mut tables {
            for number in 0..count {
                table.note_listed(
                    Timestamp(0),
                    entry_name(number),
                    entry_gossip(number, 0).address,
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
            .find(|number| entry_name(*number) == *to)
            .unwrap();
        if self.stopped.contains(&receiver) {
            return;
        }
        let mut message = entry_gossip(sender, now.0);
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
        let mut table = PeerTable::new(entry_name(number), HUB_CAPACITY);
        for other in 0..60 {
            let address = entry_gossip(other, 0).address;
            table.note_listed(Timestamp(0), entry_name(other), address, HUB_CAPACITY);
        }
        let due = table.take_due_messages(Timestamp(1), 1);
        let primary = due.into_iter().find(|message| message.wants_summary);
        *replies.entry(primary.unwrap().name).or_insert(0) += 1;
    }
    assert!(replies.values().all(|count| *count <= 30), "{replies:?}");
}

#[test]
fn vms_with_low_capacity_are_hubs_only_if_there_are_no_others() {
    let mut table = PeerTable::new(entry_name(0), HubCapacity(10));
    for number in 1..10 {
        let hub_capacity = HubCapacity(if number < 3 { 200 } else { 10 });
        table.note_listed(
            Timestamp(0),
            entry_name(number),
            entry_gossip(number, 0).address,
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
        hubs.contains(&entry_name(1)) && hubs.contains(&entry_name(2)),
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
    let mut table = PeerTable::new(entry_name(0), HUB_CAPACITY);
    let mut newer = entry_gossip(1, 500);
    newer.reports_state = true;
    newer.fencing_token = Some(FenceToken(7));
    let sender = table.apply_gossip(Timestamp(1_000), &newer);
    assert_eq!(sender, SenderIncarnation::New { replaced: None });
    let mut older = entry_gossip(1, 400);
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
    let mut table = PeerTable::new(entry_name(0), HUB_CAPACITY);
    let [first, last] = [entry_gossip(1, 0).address, entry_gossip(2, 0).address];
    table.note_listed(Timestamp(1_000), entry_name(1), first, HUB_CAPACITY);
    table.note_listed(Timestamp(1_000), entry_name(1), last, HUB_CAPACITY);
    assert_eq!(table.get(&entry_name(1)).unwrap().address, last);
    table.apply_gossip(Timestamp(2_000), &entry_gossip(1, 500));
    table.note_listed(Timestamp(2_100), entry_name(1), last, HUB_CAPACITY);
    assert_eq!(table.get(&entry_name(1)).unwrap().address, first);
}

#[test]
fn ages_in_an_echo_are_counted_from_the_echoed_message() {
    let mut table = PeerTable::new(entry_name(0), HUB_CAPACITY);
    let mut received = entry_gossip(1, 500);
    received.fencing_token = Some(FenceToken(7));
    table.apply_gossip(Timestamp(9_000), &received);
    let echo = table.echo(
        &entry_name(1),
        Some(Timestamp(7_000)),
        Some(Timestamp(9_500)),
    );
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
    let mut table = PeerTable::new(entry_name(0), HUB_CAPACITY);
    let mut received = entry_gossip(1, 500);
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
    due.into_iter()
        .find(|message| message.name == entry_name(1))
}

#[test]
fn a_summary_skipped_on_a_busy_link_is_due_in_the_next_round() {
    let mut table = PeerTable::new(entry_name(0), HUB_CAPACITY);
    let mut received = entry_gossip(1, 500);
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
    let mut table = PeerTable::new(entry_name(0), HUB_CAPACITY);
    table.apply_gossip(Timestamp::from_millis(1_000), &entry_gossip(1, 500));
    for round in 5..25 {
        let at = 1_000 + u64::from(round) * 250;
        let due = due_message(&mut table, at, round).unwrap();
        assert!(due.reports_state && !due.reopen);
        table.note_skipped(Timestamp::from_millis(at), &due);
    }
}

#[test]
fn a_list_is_not_sent_again_before_it_can_be_acknowledged() {
    let mut table = PeerTable::new(entry_name(0), HUB_CAPACITY);
    table.apply_gossip(Timestamp::from_millis(1_000), &entry_gossip(1, 500));
    let mut is_due =
        |at, digest| table.should_send_list(Timestamp::from_millis(at), &entry_name(1), digest);
    let sent = [(1_000, 7), (1_250, 7), (1_300, 8), (1_700, 8), (1_900, 8)];
    let sent = sent.map(|(at, digest)| is_due(at, digest));
    assert_eq!(sent, [true, false, true, false, true]);
}

#[test]
fn only_reachable_entries_with_a_newer_revision_are_sources() {
    let mut table = PeerTable::new(entry_name(0), HUB_CAPACITY);
    let receive = |table: &mut PeerTable, number: usize, at: u64, revision: u64| {
        let mut received = entry_gossip(number, 500);
        received.revision = RevisionNumber(revision);
        table.apply_gossip(Timestamp::from_millis(at), &received);
    };
    receive(&mut table, 1, 9_000, 4);
    receive(&mut table, 2, 9_000, 5);
    receive(&mut table, 3, 9_000, 3);
    receive(&mut table, 4, 1_000, 6);
    let mut earlier_version = entry_gossip(6, 500);
    earlier_version.revision = RevisionNumber(7);
    earlier_version.answers_pulls = false;
    table.apply_gossip(Timestamp::from_millis(9_000), &earlier_version);
    table.note_listed(
        Timestamp::from_millis(9_000),
        entry_name(5),
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
        let mut table = PeerTable::new(entry_name(number), HUB_CAPACITY);
        for hub in 0..3 {
            table.apply_gossip(Timestamp(9_000), &entry_gossip(hub, 500));
        }
        let sources = table.newer_sources(Timestamp(9_000), RevisionNumber(0));
        *first.entry(sources[0].address).or_insert(0) += 1;
    }
    assert_eq!(first.len(), 3);
    assert!(first.values().all(|count| *count >= 60), "{first:?}");
}

#[test]
fn hubs_name_only_entries_that_can_relay() {
    let mut table = PeerTable::new(entry_name(0), HUB_CAPACITY);
    let state = |number, change: fn(&mut GatewayGossip)| {
        let mut gossip = entry_gossip(number, 1);
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
        address: entry_gossip(1, 1).address,
        incarnation: entry_gossip(1, 1).incarnation,
    };
    assert_eq!(table.relay_helpers(now), [able]);
    assert_eq!(table.relay_helpers(Timestamp::from_millis(1_300)), []);
}

/// The store may have dropped what another entry knows.
#[test]
fn an_entry_that_starts_waits_for_a_message_unless_it_is_alone() {
    let [start, later] = [0, 3_000].map(Duration::from_millis);
    let mut alone = PeerTable::new(entry_name(0), HUB_CAPACITY);
    assert!(alone.awaits_first_message(start));
    assert!(!alone.awaits_first_message(later));
    alone.note_list_read();
    assert!(!alone.awaits_first_message(start));

    let now = Timestamp(0);
    let mut table = PeerCluster::new(3).tables.remove(0);
    table.note_list_read();
    assert!(table.awaits_first_message(start));
    let gossip = GatewayGossip {
        revision: RevisionNumber(5),
        ..entry_gossip(1, 1)
    };
    table.apply_gossip(now, &gossip);
    assert!(!table.awaits_first_message(start));
    assert_eq!(table.highest_revision(now), RevisionNumber(5));
    assert_eq!(
        table.highest_revision(Timestamp::from_millis(3_000)),
        RevisionNumber(0)
    );
}
