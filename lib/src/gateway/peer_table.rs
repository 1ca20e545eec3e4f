//! The table of the other entries, and the choice of the hubs among them.
//!
//! Pure. Every entry sends its state to a few hubs only. Hubs reply with a
//! summary of all entries, so the number of messages grows linearly with the
//! number of entries. The hubs are the responsive entries with the highest hub
//! capacity, and a hash of the name breaks ties. An entry does not need to know
//! that it is a hub. An entry that receives nothing from any hub concludes that
//! it is alone.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::account_demand::CrowdedDemand;
use crate::gateway::account_limits::ShareView;
use crate::gateway::document_transfer::DocumentSource;
use crate::gateway::hub_capacity::HubCapacity;
use crate::gateway::peer_gossip::BackendLoad;
use crate::gateway::peer_gossip::FreshnessEcho;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::peer_gossip::HubView;
use crate::gateway::peer_gossip::ServiceDemand;
use crate::gateway::relay_helpers::RelayHelper;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::RevisionNumber;
use crate::quantity::Timestamp;

mod hub_order;
pub mod reported_state;

/// The number of hubs. An entry has one primary hub, which replies in every
/// round; the others are standbys with the same state.
pub const HUB_COUNT: usize = 3;
/// An entry is unreachable after this time without gossip, which is sent every
/// 250 ms.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_200);
/// The same for standby hubs, which reply once a second.
const STANDBY_HUB_TIMEOUT: Duration = Duration::from_millis(2_200);
/// A hub that has not replied for this time is replaced by the next entry.
const SUSPECT_AFTER: Duration = Duration::from_millis(2_000);
/// How long after its start an entry waits for the first message of another one before it
/// relies on the store alone. Hubs reply within two rounds of gossip, once the list of
/// entries was read; it covers the replacement of a hub that is gone.
const FIRST_MESSAGE_WAIT: Duration = Duration::from_millis(3_000);
/// How long to wait before the same list of backend servers is sent to an entry
/// again. The entry acknowledges it with its next gossip, 250 ms later.
const LIST_RESEND_DELAY: Duration = Duration::from_millis(600);
/// How long the server reports of another entry may differ from those of this
/// entry before all of them are sent. By then the other entry has acknowledged the
/// recent changes.
const REPORTS_RESEND_DELAY: Duration = Duration::from_millis(1_500);
/// An entry is removed after this time without gossip. Until then it keeps its
/// share of every limit, since it may only be partitioned.
const PEER_EXPIRY: Duration = Duration::from_secs(60);
/// One round in this many is a slow one, in which standby hubs send their
/// summaries and entries probe hubs that do not reply.
const SLOW_ROUND_INTERVAL: u32 = 4;

/// What this entry knows about another entry.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// The address at which it accepts connections of other entries.
    pub address: SocketAddr,
    /// How much gossip it can handle as a hub.
    pub hub_capacity: HubCapacity,
    /// Its latest known incarnation; none before its first message.
    pub incarnation: Option<Incarnation>,
    /// When its last message arrived, or when it was first listed.
    pub last_seen_at: Timestamp,
    /// The revision of its configuration.
    pub revision: RevisionNumber,
    /// The digest of its list of backend servers.
    pub backends_digest: u64,
    answers_pulls: bool,
    /// Whether it accepts incremental changes of the list of backend servers.
    pub accepts_changes: bool,
    /// Whether it accepts packed updates of that list.
    pub accepts_packed_lists: bool,
    /// Whether this entry has received gossip from it.
    has_gossiped: bool,
    /// When it sent its last message, by its own clock, in microseconds.
    peer_sent_at: u64,
    draining: bool,
    /// Whether it keeps which versions began the streams of other entries.
    keeps_streams: bool,
    /// Whether it relays requests of entries that are cut off from backend servers.
    relays: bool,
    /// Whether it asks for entries that relay its requests.
    pub wants_helpers: bool,
    fencing_token: Option<FenceToken>,
    backend_loads: Vec<BackendLoad>,
    service_demand: Vec<ServiceDemand>,
    crowded_demand: Vec<CrowdedDemand>,
    /// When it last sent its state here, as to a hub.
    reported_at: Option<Timestamp>,
    wants_summary: bool,
    view: Option<(Timestamp, HubView)>,
    /// When the oldest message without a reply was sent to it as to a hub.
    unanswered_since: Option<Timestamp>,
    /// Whether a summary was skipped because the link was busy.
    owes_summary: bool,
    /// The digest of the list of backend servers last sent to it, and when.
    sent_list: Option<(u64, Timestamp)>,
    /// The digest of the server reports that it has.
    reports_digest: u64,
    /// Since when that digest differs from the one of this entry.
    reports_differ_since: Option<Timestamp>,
    /// When all server reports were last sent to it.
    reports_sent_at: Option<Timestamp>,
}

impl PeerState {
    fn listed(now: Timestamp, address: SocketAddr, hub_capacity: HubCapacity) -> Self {
        Self {
            address,
            hub_capacity,
            incarnation: None,
            last_seen_at: now,
            revision: RevisionNumber(0),
            backends_digest: 0,
            answers_pulls: false,
            accepts_changes: false,
            accepts_packed_lists: false,
            has_gossiped: false,
            peer_sent_at: 0,
            draining: false,
            keeps_streams: false,
            relays: false,
            wants_helpers: false,
            fencing_token: None,
            backend_loads: Vec::new(),
            service_demand: Vec::new(),
            crowded_demand: Vec::new(),
            reported_at: None,
            wants_summary: false,
            view: None,
            unanswered_since: None,
            owes_summary: false,
            sent_list: None,
            reports_digest: 0,
            reports_differ_since: None,
            reports_sent_at: None,
        }
    }

    /// Returns whether it sent a message recently.
    fn is_reachable(&self, now: Timestamp) -> bool {
        now.since(self.last_seen_at) < STANDBY_HUB_TIMEOUT
    }

    /// Returns whether it sent its state here recently.
    pub fn is_reporting(&self, now: Timestamp) -> bool {
        self.reported_at
            .is_some_and(|at| now.since(at) < PEER_TIMEOUT)
    }

    fn compare_incarnation(&self, incarnation: Incarnation) -> SenderIncarnation {
        if self.incarnation == Some(incarnation) {
            return SenderIncarnation::Known;
        }
        SenderIncarnation::New {
            replaced: self.incarnation,
        }
    }

    fn is_suspect(&self, now: Timestamp) -> bool {
        let is_overdue = |since| now.since(since) >= SUSPECT_AFTER;
        self.draining || self.unanswered_since.is_some_and(is_overdue)
    }

    fn recent_view(&self, now: Timestamp) -> Option<&HubView> {
        let (at, view) = self.view.as_ref()?;
        (now.since(*at) < STANDBY_HUB_TIMEOUT).then_some(view)
    }
}

/// The entries to which this one grants permits for servers with a limit, and
/// their share of the limit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitShare {
    /// No entry, because the number of entries is unknown.
    Nobody,
    /// Only this entry, because no other one is reachable.
    Own {
        /// The share of one entry.
        fraction: f64,
    },
    /// The entries that get a summary from this one in every round.
    Subscribers {
        /// The share of all of them together.
        fraction: f64,
    },
}

/// Which server reports to send to another entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOffer {
    /// None: it has the same ones.
    Nothing,
    /// Those that changed recently.
    Recent,
    /// All: the entry is new, or the changes did not bring it up to date.
    All,
}

/// Whether a message comes from a known incarnation of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SenderIncarnation {
    /// The incarnation is the latest known one.
    Known,
    /// The sender is new or has restarted.
    New {
        /// The latest known incarnation before the restart, if any.
        replaced: Option<Incarnation>,
    },
}

/// A gossip message to be sent to another entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueMessage {
    /// The receiver.
    pub name: EntryName,
    /// The address of the receiver.
    pub address: SocketAddr,
    /// Whether the receiver should reply with a summary in every round.
    pub wants_summary: bool,
    /// Whether the message carries the sender's state, as to a hub.
    pub reports_state: bool,
    /// Whether the message carries a summary.
    pub has_summary: bool,
    /// Whether the connection hangs and must be reopened first.
    pub reopen: bool,
}

/// The table of the other entries.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own_name: EntryName,
    own_capacity: HubCapacity,
    peers: BTreeMap<EntryName, PeerState>,
    is_list_read: bool,
}

impl PeerTable {
    /// Returns an empty table.
    pub fn new(own_name: EntryName, own_capacity: HubCapacity) -> Self {
        Self {
            own_name,
            own_capacity,
            peers: BTreeMap::new(),
            is_list_read: false,
        }
    }

    /// Adds or updates an entry that the store or a hub lists. Recent gossip of
    /// the entry itself takes precedence over the listed address and capacity.
    pub fn note_listed(
        &mut self,
        now: Timestamp,
        name: EntryName,
        address: SocketAddr,
        hub_capacity: HubCapacity,
    ) {
        if name == self.own_name {
            return;
        }
        let listed = || PeerState::listed(now, address, hub_capacity);
        let peer = self.peers.entry(name).or_insert_with(listed);
        let is_recent = peer.has_gossiped && now.since(peer.last_seen_at) < PEER_TIMEOUT;
        if !is_recent {
            peer.address = address;
            peer.hub_capacity = hub_capacity;
        }
    }

    /// Records that the list of entries in the store was read.
    pub fn note_list_read(&mut self) {
        self.is_list_read = true;
    }

    /// Returns whether the list of entries in the store was read.
    pub fn is_list_read(&self) -> bool {
        self.is_list_read
    }

    /// Applies a gossip message. A message that is older than the last one of the
    /// same incarnation changes nothing.
    pub fn apply_gossip(&mut self, now: Timestamp, gossip: &GatewayGossip) -> SenderIncarnation {
        if gossip.name == self.own_name {
            return SenderIncarnation::Known;
        }
        self.note_listed(
            now,
            gossip.name.clone(),
            gossip.address,
            gossip.hub_capacity,
        );
        let Some(peer) = self.peers.get_mut(&gossip.name) else {
            return SenderIncarnation::Known;
        };
        let sender = peer.compare_incarnation(gossip.incarnation);
        if sender == SenderIncarnation::Known && gossip.sent_at <= peer.peer_sent_at {
            return SenderIncarnation::Known;
        }
        if let SenderIncarnation::New { .. } = sender {
            *peer = PeerState::listed(now, gossip.address, gossip.hub_capacity);
            peer.incarnation = Some(gossip.incarnation);
        }
        peer.last_seen_at = now;
        peer.has_gossiped = true;
        peer.unanswered_since = None;
        peer.peer_sent_at = gossip.sent_at;
        peer.revision = gossip.revision;
        peer.answers_pulls = gossip.answers_pulls;
        peer.accepts_changes = gossip.accepts_changes;
        peer.accepts_packed_lists = gossip.accepts_packed_lists;
        peer.backends_digest = gossip.backends_digest;
        peer.reports_digest = gossip.reports_digest;
        peer.draining = gossip.draining;
        peer.keeps_streams = gossip.keeps_streams;
        peer.fencing_token = gossip.fencing_token;
        if gossip.reports_state {
            peer.reported_at = Some(now);
            peer.wants_summary = gossip.wants_summary;
            peer.relays = gossip.relays;
            peer.wants_helpers = gossip.wants_helpers;
            peer.backend_loads.clone_from(&gossip.backend_loads);
            peer.backend_loads
                .iter_mut()
                .for_each(BackendLoad::limit_pace);
            peer.service_demand.clone_from(&gossip.service_demand);
            peer.crowded_demand.clone_from(&gossip.crowded_demand);
        }
        if let Some(view) = &gossip.view {
            peer.view = Some((now, view.clone()));
        }
        sender
    }

    /// Returns the echo that reports to a peer the age of the configuration and
    /// of the list of backend servers.
    pub fn echo(
        &self,
        name: &EntryName,
        config_confirmed_at: Option<Timestamp>,
        backends_confirmed_at: Option<Timestamp>,
    ) -> Option<FreshnessEcho> {
        let peer = self.peers.get(name)?;
        let age = |at: Timestamp| peer.last_seen_at.0 as i64 - at.0 as i64;
        Some(FreshnessEcho {
            incarnation: peer.incarnation?,
            sent_at: peer.peer_sent_at,
            config_age: config_confirmed_at.map(age),
            backends_age: backends_confirmed_at.map(age),
            fence: peer.fencing_token,
        })
    }

    /// Returns the state of an entry.
    pub fn get(&self, name: &EntryName) -> Option<&PeerState> {
        self.peers.get(name)
    }

    /// Returns the reachable entries that have a revision above `own_revision`
    /// and answer pulls, in the order in which to ask them. Entries whose gossip
    /// is overdue come last, since they may have stopped. Otherwise the highest
    /// revision comes first. Each entry breaks ties differently, which spreads the
    /// pulls over the sources.
    pub fn newer_sources(
        &self,
        now: Timestamp,
        own_revision: RevisionNumber,
    ) -> Vec<DocumentSource> {
        let is_newer = |peer: &PeerState| {
            peer.revision > own_revision && peer.answers_pulls && peer.is_reachable(now)
        };
        let newer = self.peers.iter().filter(|(_, peer)| is_newer(peer));
        let mut ranked: Vec<_> = newer
            .map(|(name, peer)| {
                let is_late = now.since(peer.last_seen_at) >= PEER_TIMEOUT;
                let rank = (
                    is_late,
                    Reverse(peer.revision),
                    self.own_name.pair_hash(name),
                );
                (rank, peer.address)
            })
            .collect();
        ranked.sort_unstable();
        ranked
            .into_iter()
            .map(|((_, Reverse(revision), _), address)| DocumentSource { address, revision })
            .collect()
    }

    /// Returns the messages to be sent in a round, and records them as sent.
    pub fn take_due_messages(&mut self, now: Timestamp, round: u32) -> Vec<DueMessage> {
        let is_slow = round.is_multiple_of(SLOW_ROUND_INTERVAL);
        let hubs = self.hubs(now);
        let primary = self.primary(&hubs);
        let first = self.first_hubs(HUB_COUNT);
        let mut due = Vec::new();
        for (name, peer) in &mut self.peers {
            let is_hub = hubs.contains(name);
            // Hubs that do not reply are probed in slow rounds, so that all
            // entries agree on the same hubs again after a recovery.
            let is_probe = is_slow && first.contains(name) && !is_hub;
            let reports_state = is_hub || is_probe;
            let has_summary =
                peer.is_reporting(now) && (peer.wants_summary || peer.owes_summary || is_slow);
            if !reports_state && !has_summary {
                continue;
            }
            let reopen = peer.is_suspect(now) && is_slow;
            peer.owes_summary &= !has_summary;
            if reports_state {
                peer.unanswered_since.get_or_insert(now);
            }
            due.push(DueMessage {
                name: name.clone(),
                address: peer.address,
                wants_summary: primary.as_ref() == Some(name),
                reports_state,
                has_summary,
                reopen,
            });
        }
        due
    }

    /// Records that a message was not sent because its link is busy. Its summary
    /// is due in the next round, and no reply to it is expected.
    pub fn note_skipped(&mut self, now: Timestamp, message: &DueMessage) {
        let Some(peer) = self.peers.get_mut(&message.name) else {
            return;
        };
        peer.owes_summary |= message.has_summary;
        peer.unanswered_since.take_if(|since| *since == now);
    }

    /// Returns whether to send an entry the list of backend servers with this
    /// digest now. The same list is not sent again before the entry can have
    /// acknowledged it.
    pub fn should_send_list(&mut self, now: Timestamp, name: &EntryName, digest: u64) -> bool {
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        let was_sent_recently = peer
            .sent_list
            .is_some_and(|(sent, at)| sent == digest && now.since(at) < LIST_RESEND_DELAY);
        if !was_sent_recently {
            peer.sent_list = Some((digest, now));
        }
        !was_sent_recently
    }

    /// Returns which server reports to send to an entry. `digest` is the digest
    /// of the reports of this entry.
    pub fn offer_reports(&mut self, now: Timestamp, name: &EntryName, digest: u64) -> ReportOffer {
        let Some(peer) = self.peers.get_mut(name) else {
            return ReportOffer::Nothing;
        };
        if peer.reports_digest == digest {
            peer.reports_differ_since = None;
            return ReportOffer::Nothing;
        }
        let since = *peer.reports_differ_since.get_or_insert(now);
        let is_due = peer
            .reports_sent_at
            .is_none_or(|sent_at| now.since(since.max(sent_at)) >= REPORTS_RESEND_DELAY);
        if !is_due {
            return ReportOffer::Recent;
        }
        peer.reports_sent_at = Some(now);
        ReportOffer::All
    }

    /// Iterates over the entries that get a summary from this one in every round,
    /// with the demand of their callers.
    pub fn subscribers(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&EntryName, &[ServiceDemand])> {
        let subscribers = self.peers.iter();
        let subscribers =
            subscribers.filter(move |(_, peer)| peer.wants_summary && peer.is_reporting(now));
        subscribers.map(|(name, peer)| (name, peer.service_demand.as_slice()))
    }

    /// Returns the entries to which this one grants permits, and their share of
    /// each limit. While the number of entries is unknown, any share may be too
    /// much.
    pub fn permit_share(&self, now: Timestamp) -> PermitShare {
        if !self.knows_entries(now) {
            return PermitShare::Nobody;
        }
        let counts = self.entry_counts(now);
        let entries = counts.entries.max(1) as f64;
        if counts.reachable <= 1 {
            return PermitShare::Own {
                fraction: 1.0 / entries,
            };
        }
        let subscribers = self.subscribers(now).count() as f64;
        PermitShare::Subscribers {
            fraction: subscribers / entries,
        }
    }

    /// Removes entries from which no gossip came for `PEER_EXPIRY`; returns their
    /// incarnations.
    pub fn remove_unreachable(&mut self, now: Timestamp) -> Vec<Incarnation> {
        // Most entries never send gossip to this one. Only those that have sent
        // some, or that owe a reply, can expire.
        let is_expired = |peer: &PeerState| {
            let is_contact = peer.has_gossiped || peer.unanswered_since.is_some();
            is_contact && now.since(peer.last_seen_at) > PEER_EXPIRY
        };
        let expired: Vec<Incarnation> = self
            .peers
            .values()
            .filter(|peer| is_expired(peer))
            .filter_map(|peer| peer.incarnation)
            .collect();
        self.peers.retain(|_, peer| !is_expired(peer));
        expired
    }

    /// Returns how many entries share limits, and how many of them are reachable.
    /// The count of this entry or of a hub is used, whichever reaches the most.
    pub fn entry_counts(&self, now: Timestamp) -> ShareView {
        let direct = self.direct_entry_counts(now);
        let views = self.peers.values().filter_map(|peer| peer.recent_view(now));
        let relayed = views.map(|view| ShareView {
            entries: view.entries.max(direct.entries),
            reachable: view.reachable,
        });
        relayed
            .chain([direct])
            .max_by_key(|counts| counts.reachable)
            .unwrap_or(direct)
    }

    /// Returns whether the number of entries that share limits is known, from the list in
    /// the store or from a hub.
    pub fn knows_entries(&self, now: Timestamp) -> bool {
        let has_view = |peer: &PeerState| peer.recent_view(now).is_some();
        self.is_list_read || self.peers.values().any(has_view)
    }

    /// Returns whether other entries may know more than the store can tell: this one has
    /// just started and has received no message, and others are listed, or may be.
    pub fn awaits_first_message(&self, uptime: Duration) -> bool {
        let has_message = self.peers.values().any(|peer| peer.has_gossiped);
        let is_alone = self.is_list_read && self.peers.is_empty();
        uptime < FIRST_MESSAGE_WAIT && !has_message && !is_alone
    }

    /// Returns the highest revision that a reachable entry has; 0 if there is none.
    pub fn highest_revision(&self, now: Timestamp) -> RevisionNumber {
        let reachable = self.peers.values().filter(|peer| peer.is_reachable(now));
        let revisions = reachable.map(|peer| peer.revision);
        revisions.max().unwrap_or(RevisionNumber(0))
    }

    /// Returns how many entries share limits, and how many of them send their
    /// state here. Only these counts may be sent to other entries: if hubs relayed
    /// the counts of each other, entries that are gone would still be counted.
    pub fn direct_entry_counts(&self, now: Timestamp) -> ShareView {
        ShareView {
            entries: self.peers.len() + 1,
            reachable: self
                .peers
                .values()
                .filter(|peer| peer.is_reporting(now))
                .count()
                + 1,
        }
    }

    /// Returns the entries that send their state here and relay requests. Those that need
    /// helpers themselves are named only if there are no others: they may reach some servers.
    pub fn relay_helpers(&self, now: Timestamp) -> Vec<RelayHelper> {
        let reporting = self.peers.values().filter(|peer| peer.is_reporting(now));
        let relaying = reporting.filter(|peer| peer.relays && !peer.draining);
        let (in_need, able): (Vec<&PeerState>, Vec<&PeerState>) =
            relaying.partition(|peer| peer.wants_helpers);
        let chosen = if able.is_empty() { in_need } else { able };
        let helper = |peer: &PeerState| {
            Some(RelayHelper {
                address: peer.address,
                incarnation: peer.incarnation?,
            })
        };
        chosen.into_iter().filter_map(helper).collect()
    }
}
