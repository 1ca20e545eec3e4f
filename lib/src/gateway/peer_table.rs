//! Which other entries there are, and which of them collect news.
//!
//! Pure. Every entry tells its news to a few hubs only, and hubs answer with a
//! digest of what all entries told them, so that the number of messages grows
//! with the number of entries and not with its square. Hubs are the strongest
//! entries that answer, in an order by hash; no entry has to know that it is
//! one. An entry that hears no hub knows that it is alone.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::account_limits::ShareView;
use crate::gateway::backend_record::BackendId;
use crate::gateway::document_transfer::DocumentSource;
use crate::gateway::hub_capacity::HubCapacity;
use crate::gateway::peer_gossip::BackendUse;
use crate::gateway::peer_gossip::FreshnessEcho;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::peer_gossip::HubView;
use crate::gateway::peer_gossip::ServiceDemand;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::RevisionNumber;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The number of hubs. One answers, two stand by with the same knowledge.
pub const HUB_COUNT: usize = 3;
/// An entry from which nothing came for so long is not heard: news come four
/// times a second.
const HEARD_WITHIN: Duration = Duration::from_millis(1_200);
/// The same for hubs that stand by, which answer once a second.
const HUB_HEARD_WITHIN: Duration = Duration::from_millis(2_200);
/// A hub that answers nothing for so long is passed over.
const SUSPECT_AFTER: Duration = Duration::from_millis(2_000);
/// How long an entry that was sent the list of backend servers has to say that
/// it has it. Its answer comes with its next news, a quarter of a second later.
const LIST_PAUSE: Duration = Duration::from_millis(600);
/// How long an entry may know something else of what servers said before it is
/// told all of it: by then it has answered to the changes.
const NOTICES_PATIENCE: Duration = Duration::from_millis(1_500);
/// An entry from which nothing came for so long is forgotten. Until then its
/// part of every limit is left to it, in case it is only cut off.
const FORGET_AFTER: Duration = Duration::from_secs(60);
/// Every how many rounds an entry is sent what is not urgent for it: digests
/// of hubs that stand by, and news to hubs that do not answer.
const SLOW_ROUNDS: u32 = 4;

/// What is known of another entry.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Where it listens.
    pub address: SocketAddr,
    /// How much it can carry as a hub.
    pub strength: HubCapacity,
    /// Its newest life, once it was heard.
    pub incarnation: Option<Incarnation>,
    /// When it was last heard, or first listed.
    pub heard_at: Timestamp,
    /// Its revision of the configuration.
    pub revision: RevisionNumber,
    /// The digest of its list of backend servers.
    pub backends_hash: u64,
    answers_pulls: bool,
    /// Whether it takes differences of the list of backend servers.
    pub takes_changes: bool,
    was_heard: bool,
    their_time: u64,
    leaving: bool,
    fence: Option<FenceToken>,
    uses: Vec<BackendUse>,
    work: Vec<ServiceDemand>,
    told_at: Option<Timestamp>,
    wants_digest: bool,
    view: Option<(Timestamp, HubView)>,
    unanswered_since: Option<Timestamp>,
    /// Whether a digest was left out since the link was busy.
    owes_digest: bool,
    /// The digest of the list of backend servers that was sent last, and when.
    list_sent: Option<(u64, Timestamp)>,
    /// The digest of what it knows of what servers said.
    notices_hash: u64,
    /// Since when that differs from the own one.
    notices_differ_since: Option<Timestamp>,
    /// When it was told all of that last.
    notices_sent_at: Option<Timestamp>,
}

impl PeerState {
    fn listed(now: Timestamp, address: SocketAddr, strength: HubCapacity) -> Self {
        Self {
            address,
            strength,
            incarnation: None,
            heard_at: now,
            revision: RevisionNumber(0),
            backends_hash: 0,
            answers_pulls: false,
            takes_changes: false,
            was_heard: false,
            their_time: 0,
            leaving: false,
            fence: None,
            uses: Vec::new(),
            work: Vec::new(),
            told_at: None,
            wants_digest: false,
            view: None,
            unanswered_since: None,
            owes_digest: false,
            list_sent: None,
            notices_hash: 0,
            notices_differ_since: None,
            notices_sent_at: None,
        }
    }

    /// Returns whether it told its news here a moment ago.
    pub fn tells(&self, now: Timestamp) -> bool {
        self.told_at.is_some_and(|at| now.since(at) < HEARD_WITHIN)
    }

    fn life_of(&self, incarnation: Incarnation) -> HeardLife {
        if self.incarnation == Some(incarnation) {
            return HeardLife::Known;
        }
        HeardLife::New {
            replaced: self.incarnation,
        }
    }

    fn is_suspect(&self, now: Timestamp) -> bool {
        let silent = |since| now.since(since) >= SUSPECT_AFTER;
        self.leaving || self.unanswered_since.is_some_and(silent)
    }

    fn fresh_view(&self, now: Timestamp) -> Option<&HubView> {
        let (at, view) = self.view.as_ref()?;
        (now.since(*at) < HUB_HEARD_WITHIN).then_some(view)
    }
}

/// Whom an entry gives permits for servers with a limit, and which part of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum PermitShare {
    /// It does not know how many entries there are.
    Nobody,
    /// It hears no other, and gives itself its own part.
    Own {
        /// One part of all.
        fraction: f64,
    },
    /// It gives to the entries that it answers each round.
    Subscribers {
        /// Their part of all.
        fraction: f64,
    },
}

/// What an entry is told of what servers said.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReportOffer {
    /// Nothing: it knows the same.
    Nothing,
    /// What changed a moment ago.
    Recent,
    /// All of it: the entry is new, or changes did not help.
    All,
}

/// What a message tells of its sender's life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeardLife {
    /// It is the one that was heard before.
    Known,
    /// It is new, or the entry started anew after the one that it replaces.
    New {
        /// The life that was heard last.
        replaced: Option<Incarnation>,
    },
}

/// A message that is due to another entry.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DueMessage {
    /// The receiver.
    pub name: EntryName,
    /// Where it listens.
    pub address: SocketAddr,
    /// Whether it is to answer with a digest each round.
    pub wants_summary: bool,
    /// Whether the sender's own news go to it as to a hub.
    pub reports_state: bool,
    /// Whether it gets a digest.
    pub has_summary: bool,
    /// Whether its link hangs and is to be opened anew.
    pub reopen: bool,
}

/// The other entries.
#[derive(Clone, Debug)]
pub struct PeerTable {
    own: EntryName,
    own_strength: HubCapacity,
    peers: BTreeMap<EntryName, PeerState>,
    is_listed: bool,
}

/// Hubs come in this order: the strongest first, then by hash.
type OrderKey<'a> = (Reverse<HubCapacity>, u64, &'a EntryName);

fn order_key(name: &EntryName, strength: HubCapacity) -> OrderKey<'_> {
    let hash = XxHash64::oneshot(0, name.as_str().as_bytes());
    (Reverse(strength), hash, name)
}

impl PeerTable {
    /// Returns a book of an entry that knows no other.
    pub fn new(own: EntryName, own_strength: HubCapacity) -> Self {
        Self {
            own,
            own_strength,
            peers: BTreeMap::new(),
            is_listed: false,
        }
    }

    /// Notes an entry that the store or a hub lists. One that was heard lately
    /// has told itself where it listens.
    pub fn note_listed(
        &mut self,
        now: Timestamp,
        name: EntryName,
        address: SocketAddr,
        strength: HubCapacity,
    ) {
        if name == self.own {
            return;
        }
        let listed = || PeerState::listed(now, address, strength);
        let peer = self.peers.entry(name).or_insert_with(listed);
        let heard_lately = peer.was_heard && now.since(peer.heard_at) < HEARD_WITHIN;
        if !heard_lately {
            peer.address = address;
            peer.strength = strength;
        }
    }

    /// Notes that the store's list of entries was read.
    pub fn note_list_read(&mut self) {
        self.is_listed = true;
    }

    /// Returns whether the store's list of entries was read.
    pub fn is_list_read(&self) -> bool {
        self.is_listed
    }

    /// Notes a message. One that is older than the last one of the same life
    /// changes nothing.
    pub fn apply_gossip(&mut self, now: Timestamp, news: &GatewayGossip) -> HeardLife {
        if news.name == self.own {
            return HeardLife::Known;
        }
        self.note_listed(now, news.name.clone(), news.address, news.hub_capacity);
        let Some(peer) = self.peers.get_mut(&news.name) else {
            return HeardLife::Known;
        };
        let life = peer.life_of(news.incarnation);
        if life == HeardLife::Known && news.sent_at <= peer.their_time {
            return HeardLife::Known;
        }
        if let HeardLife::New { .. } = life {
            *peer = PeerState::listed(now, news.address, news.hub_capacity);
            peer.incarnation = Some(news.incarnation);
        }
        peer.heard_at = now;
        peer.was_heard = true;
        peer.unanswered_since = None;
        peer.their_time = news.sent_at;
        peer.revision = news.revision;
        peer.answers_pulls = news.answers_pulls;
        peer.takes_changes = news.accepts_changes;
        peer.backends_hash = news.backends_hash;
        peer.notices_hash = news.reports_hash;
        peer.leaving = news.draining;
        peer.fence = news.fence;
        if news.reports_state {
            peer.told_at = Some(now);
            peer.wants_digest = news.wants_summary;
            peer.uses.clone_from(&news.backend_loads);
            peer.work.clone_from(&news.service_demand);
        }
        if let Some(view) = &news.view {
            peer.view = Some((now, view.clone()));
        }
        life
    }

    /// Returns what to answer to a peer about the age of the configuration
    /// and of the list of backend servers.
    pub fn echo(
        &self,
        name: &EntryName,
        config_at: Option<Timestamp>,
        backends_at: Option<Timestamp>,
    ) -> Option<FreshnessEcho> {
        let peer = self.peers.get(name)?;
        let age = |at: Timestamp| peer.heard_at.0 as i64 - at.0 as i64;
        Some(FreshnessEcho {
            incarnation: peer.incarnation?,
            sent_at: peer.their_time,
            config_age: config_at.map(age),
            backends_age: backends_at.map(age),
            fence: peer.fence,
        })
    }

    /// Returns an entry's state.
    pub fn get(&self, name: &EntryName) -> Option<&PeerState> {
        self.peers.get(name)
    }

    /// Returns the entries that were heard lately with a higher revision than
    /// `own`, and answer who asks for it: those that may have ended meanwhile
    /// last, the newest revisions first, and among equals others for each entry
    /// that asks, so that none has to answer all.
    pub fn ahead(&self, now: Timestamp, own: RevisionNumber) -> Vec<DocumentSource> {
        let is_ahead = |peer: &PeerState| {
            let heard = now.since(peer.heard_at) < HUB_HEARD_WITHIN;
            peer.revision > own && peer.answers_pulls && heard
        };
        let ahead = self.peers.iter().filter(|(_, peer)| is_ahead(peer));
        let mut ranked: Vec<_> = ahead
            .map(|(name, peer)| {
                let silent = now.since(peer.heard_at) >= HEARD_WITHIN;
                let rank = (silent, Reverse(peer.revision), self.own.pair_hash(name));
                (rank, peer.address)
            })
            .collect();
        ranked.sort_unstable();
        ranked
            .into_iter()
            .map(|((_, Reverse(revision), _), address)| DocumentSource { address, revision })
            .collect()
    }

    /// Returns the messages that are due in a round, and notes that they are
    /// sent.
    pub fn take_due_messages(&mut self, now: Timestamp, round: u32) -> Vec<DueMessage> {
        let slow = round.is_multiple_of(SLOW_ROUNDS);
        let hubs = self.hubs(now);
        let primary = self.primary(&hubs);
        let first = self.first_names(HUB_COUNT);
        let mut due = Vec::new();
        for (name, peer) in &mut self.peers {
            let is_hub = hubs.contains(name);
            // Hubs that do not answer are asked again now and then, so that
            // all entries agree on the same ones once they are back.
            let probe = slow && first.contains(name) && !is_hub;
            let tells = is_hub || probe;
            let digest = peer.tells(now) && (peer.wants_digest || peer.owes_digest || slow);
            if !tells && !digest {
                continue;
            }
            let reopen = peer.is_suspect(now) && slow;
            peer.owes_digest &= !digest;
            if tells {
                peer.unanswered_since.get_or_insert(now);
            }
            due.push(DueMessage {
                name: name.clone(),
                address: peer.address,
                wants_summary: primary.as_ref() == Some(name),
                reports_state: tells,
                has_summary: digest,
                reopen,
            });
        }
        due
    }

    /// Notes that a message was not sent since its link is busy: its digest is
    /// due in the next round, and its receiver was asked nothing.
    pub fn note_skipped(&mut self, now: Timestamp, message: &DueMessage) {
        let Some(peer) = self.peers.get_mut(&message.name) else {
            return;
        };
        peer.owes_digest |= message.has_summary;
        peer.unanswered_since.take_if(|since| *since == now);
    }

    /// Returns whether an entry is to be sent the list of backend servers with
    /// that digest now. It is not sent again before the entry can have answered.
    pub fn offers_list(&mut self, now: Timestamp, name: &EntryName, hash: u64) -> bool {
        let Some(peer) = self.peers.get_mut(name) else {
            return false;
        };
        let sent_lately = peer
            .list_sent
            .is_some_and(|(sent, at)| sent == hash && now.since(at) < LIST_PAUSE);
        if !sent_lately {
            peer.list_sent = Some((hash, now));
        }
        !sent_lately
    }

    /// Returns what an entry is to be told of what servers said, where the own
    /// knowledge has that digest.
    pub fn offer_reports(&mut self, now: Timestamp, name: &EntryName, digest: u64) -> ReportOffer {
        let Some(peer) = self.peers.get_mut(name) else {
            return ReportOffer::Nothing;
        };
        if peer.notices_hash == digest {
            peer.notices_differ_since = None;
            return ReportOffer::Nothing;
        }
        let since = *peer.notices_differ_since.get_or_insert(now);
        let is_due = peer
            .notices_sent_at
            .is_none_or(|sent_at| now.since(since.max(sent_at)) >= NOTICES_PATIENCE);
        if !is_due {
            return ReportOffer::Recent;
        }
        peer.notices_sent_at = Some(now);
        ReportOffer::All
    }

    /// Iterates over the entries that this one answers each round, with the work
    /// that callers bring them.
    pub fn subscribers(
        &self,
        now: Timestamp,
    ) -> impl Iterator<Item = (&EntryName, &[ServiceDemand])> {
        let asking = self.peers.iter();
        let asking = asking.filter(move |(_, peer)| peer.wants_digest && peer.tells(now));
        asking.map(|(name, peer)| (name, peer.work.as_slice()))
    }

    /// Returns whom this entry gives permits, and its part of each limit. Before
    /// it knows how many others there are, any part may be too much.
    pub fn permit_share(&self, now: Timestamp) -> PermitShare {
        let view = self.entry_counts(now);
        let told = self
            .peers
            .values()
            .any(|peer| peer.fresh_view(now).is_some());
        if !self.is_listed && !told {
            return PermitShare::Nobody;
        }
        let entries = view.entries.max(1) as f64;
        if view.reachable <= 1 {
            return PermitShare::Own {
                fraction: 1.0 / entries,
            };
        }
        let answered = self.subscribers(now).count() as f64;
        PermitShare::Subscribers {
            fraction: answered / entries,
        }
    }

    /// Returns the hub that answers this entry each round. Entries choose
    /// different ones, so that no hub's link carries all answers.
    fn primary(&self, hubs: &[EntryName]) -> Option<EntryName> {
        let number = XxHash64::oneshot(1, self.own.as_str().as_bytes());
        let index = number.checked_rem(hubs.len() as u64)?;
        hubs.get(index as usize).cloned()
    }

    fn first_names(&self, count: usize) -> Vec<EntryName> {
        first_of(self.peers.iter(), count)
    }

    /// Returns the hubs that this entry tells its news, in order.
    fn hubs(&self, now: Timestamp) -> Vec<EntryName> {
        let usable = self.peers.iter().filter(|(_, peer)| !peer.is_suspect(now));
        first_of(usable, HUB_COUNT)
    }

    /// Returns the names of the hubs, in order.
    pub fn hub_names(&self, now: Timestamp) -> Vec<EntryName> {
        self.hubs(now)
    }

    /// Returns the hubs with their addresses, to be passed on.
    pub fn hub_addresses(&self, now: Timestamp) -> Vec<(EntryName, SocketAddr, HubCapacity)> {
        let hubs = self.hubs(now);
        let known = |name: EntryName| {
            let peer = self.peers.get(&name)?;
            peer.was_heard
                .then_some((name, peer.address, peer.strength))
        };
        hubs.into_iter().filter_map(known).collect()
    }

    /// Returns how many entries that may be hubs come before this one.
    pub fn hub_rank(&self, now: Timestamp) -> usize {
        let own = order_key(&self.own, self.own_strength);
        let earlier = |name, peer: &PeerState| order_key(name, peer.strength) < own;
        let before = self.peers.iter().filter(|(name, peer)| earlier(name, peer));
        before.filter(|(_, peer)| !peer.is_suspect(now)).count()
    }

    /// Forgets entries that are silent for long; returns their lives.
    pub fn forget_silent(&mut self, now: Timestamp) -> Vec<Incarnation> {
        // Most entries never talk to this one, so only those that did or that
        // were asked can fall silent.
        let silent = |peer: &PeerState| {
            let asked = peer.was_heard || peer.unanswered_since.is_some();
            asked && now.since(peer.heard_at) > FORGET_AFTER
        };
        let gone: Vec<Incarnation> = self
            .peers
            .values()
            .filter(|peer| silent(peer))
            .filter_map(|peer| peer.incarnation)
            .collect();
        self.peers.retain(|_, peer| !silent(peer));
        gone
    }

    /// Returns how many entries share limits, and how many are heard, by this
    /// entry itself or by the hub that hears the most.
    pub fn entry_counts(&self, now: Timestamp) -> ShareView {
        let own = self.direct_entry_counts(now);
        let views = self.peers.values().filter_map(|peer| peer.fresh_view(now));
        let told = views.map(|view| ShareView {
            entries: view.entries.max(own.entries),
            reachable: view.reachable,
        });
        told.chain([own])
            .max_by_key(|view| view.reachable)
            .unwrap_or(own)
    }

    /// Returns how many entries share limits, and how many tell their news here.
    /// Only this may be passed on: what hubs say of each other would keep
    /// entries alive that are gone.
    pub fn direct_entry_counts(&self, now: Timestamp) -> ShareView {
        ShareView {
            entries: self.peers.len() + 1,
            reachable: self.peers.values().filter(|peer| peer.tells(now)).count() + 1,
        }
    }

    /// Returns the highest fence that another entry is heard to hold.
    pub fn highest_fence(&self, now: Timestamp) -> Option<FenceToken> {
        let direct = self.peers.values().filter(|peer| peer.tells(now));
        let direct = direct.filter_map(|peer| peer.fence);
        let views = self.peers.values().filter_map(|peer| peer.fresh_view(now));
        direct.chain(views.filter_map(|view| view.fence)).max()
    }

    /// Returns the fence that an entry told last.
    pub fn fence_of(&self, name: &EntryName) -> Option<FenceToken> {
        self.peers.get(name)?.fence
    }

    /// Returns the highest fence that an entry told here itself.
    pub fn told_fence(&self, now: Timestamp) -> Option<FenceToken> {
        let direct = self.peers.values().filter(|peer| peer.tells(now));
        direct.filter_map(|peer| peer.fence).max()
    }

    /// Iterates over the work that callers bring for a service to each of the
    /// entries that tell.
    pub fn service_demand<'a>(
        &'a self,
        now: Timestamp,
        service: &'a ServiceName,
    ) -> impl Iterator<Item = &'a ServiceDemand> {
        let telling = self.peers.values().filter(move |peer| peer.tells(now));
        telling
            .flat_map(|peer| &peer.work)
            .filter(|work| work.service == service.as_str())
    }

    /// Sums the load that other entries put on each backend server: what they
    /// told here, or what the hub that hears the most told.
    pub fn uses(&self, now: Timestamp) -> BTreeMap<BackendId, BackendUse> {
        let told = self.direct_entry_counts(now).reachable;
        let views = self.peers.values().filter_map(|peer| peer.fresh_view(now));
        match views.max_by_key(|view| view.reachable) {
            Some(view) if view.reachable > told => sum_uses(&view.backend_loads),
            _ => self.direct_uses(now),
        }
    }

    /// Sums the load that other entries told here, to be passed on.
    pub fn direct_uses(&self, now: Timestamp) -> BTreeMap<BackendId, BackendUse> {
        let telling = self.peers.values().filter(|peer| peer.tells(now));
        sum_uses(telling.flat_map(|peer| &peer.uses))
    }

    /// Returns the load of one entry as it told, to be left out of its digest.
    pub fn uses_of(&self, name: &EntryName) -> &[BackendUse] {
        self.peers.get(name).map_or(&[], |peer| &peer.uses)
    }
}

fn first_of<'a>(
    peers: impl Iterator<Item = (&'a EntryName, &'a PeerState)>,
    count: usize,
) -> Vec<EntryName> {
    let mut ordered: Vec<OrderKey<'_>> = peers
        .map(|(name, peer)| order_key(name, peer.strength))
        .collect();
    ordered.sort();
    ordered.truncate(count);
    ordered
        .into_iter()
        .map(|(_, _, name)| name.clone())
        .collect()
}

fn sum_uses<'a>(uses: impl IntoIterator<Item = &'a BackendUse>) -> BTreeMap<BackendId, BackendUse> {
    let mut sums = BTreeMap::new();
    add_uses(&mut sums, uses);
    sums
}

/// Adds loads to the sums of backend servers.
pub fn add_uses<'a>(
    sums: &mut BTreeMap<BackendId, BackendUse>,
    uses: impl IntoIterator<Item = &'a BackendUse>,
) {
    for one in uses {
        match sums.get_mut(&one.id()) {
            Some(sum) => {
                sum.in_flight += one.in_flight;
                sum.unread += one.unread;
            }
            None => {
                sums.insert(one.id(), one.clone());
            }
        }
    }
}
