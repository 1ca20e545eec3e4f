//! Who the other entries are and how they do.
//!
//! Pure. Each period a member probes one other, chosen in shuffled rounds; a
//! probe that is not answered goes through a few others before the member is
//! suspected, and a suspect that does not object in time counts as gone. News
//! travels on probes and answers, each item a bounded number of times, so
//! that the cost per member hardly grows with their number. The method is
//! SWIM's (Das, Gupta, Motivala: "SWIM: Scalable Weakly-consistent
//! Infection-style Process Group Membership Protocol", 2002).
//!
//! Being suspected or gone is an opinion for routing. It never licenses
//! anybody to run a request again.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

use crate::id::EntryName;
use crate::id::Incarnation;
use crate::id::VmId;
use crate::member_record::GossipBody;
use crate::member_record::GossipMessage;
use crate::member_record::MemberHealth;
use crate::member_record::MemberNews;
use crate::member_record::MemberRecord;
use crate::quantity::Timestamp;

/// Timing and sizes of the membership protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GossipTiming {
    /// The time between probes.
    pub period: Duration,
    /// How long a direct probe, and then an indirect one, may take.
    pub probe_timeout: Duration,
    /// How long a suspect may object before it counts as gone.
    pub suspicion: Duration,
    /// How long a member that is gone is remembered.
    pub memory: Duration,
    /// How many others are asked to probe indirectly, and how many hear
    /// urgent news at once.
    pub fanout: usize,
    /// The most items of news on one message.
    pub max_news: usize,
}

impl Default for GossipTiming {
    fn default() -> Self {
        Self {
            period: Duration::from_millis(300),
            probe_timeout: Duration::from_millis(250),
            suspicion: Duration::from_millis(1_200),
            memory: Duration::from_secs(600),
            fanout: 3,
            max_news: 12,
        }
    }
}

/// What the membership wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum GossipAction {
    /// Send to a peer address.
    Send(SocketAddr, GossipMessage),
    /// A member's record changed.
    Changed(MemberRecord),
    /// A VM of a backend server is leaving; emitted once.
    VmLeaving(VmId),
}

#[derive(Clone, Debug)]
struct OpenProbe {
    number: u64,
    target: EntryName,
    indirect: bool,
    timeout: Timestamp,
}

#[derive(Clone, Debug)]
struct RelayedProbe {
    own_number: u64,
    asked_number: u64,
    reply_to: SocketAddr,
    timeout: Timestamp,
}

#[derive(Clone, Debug)]
struct QueuedNews {
    news: MemberNews,
    left: u32,
}

/// The records of all entries, as one of them sees them.
#[derive(Clone, Debug)]
pub struct MemberTable {
    own: MemberRecord,
    timing: GossipTiming,
    seeds: Vec<SocketAddr>,
    members: BTreeMap<EntryName, MemberRecord>,
    changed_at: BTreeMap<EntryName, Timestamp>,
    mirrors: BTreeMap<Incarnation, Incarnation>,
    leaving_vms: BTreeMap<VmId, Timestamp>,
    queue: Vec<QueuedNews>,
    round: Vec<EntryName>,
    probe: Option<OpenProbe>,
    relays: Vec<RelayedProbe>,
    next_probe: Timestamp,
    next_sync: Timestamp,
    number: u64,
    generator: StdRng,
}

/// How often an item of news is sent, times the binary logarithm of the
/// number of members.
const NEWS_REPEATS: u32 = 2;
/// The time between exchanges of all records, in periods.
const SYNC_PERIODS: u32 = 100;
/// The most relayed probes kept open.
const MAX_RELAYS: usize = 64;
/// The most VMs remembered as leaving.
const MAX_LEAVING_VMS: usize = 4_096;

impl MemberTable {
    /// Returns a table that knows only this entry and the peer addresses to
    /// join through.
    pub fn new(own: MemberRecord, seeds: Vec<SocketAddr>, timing: GossipTiming, seed: u64) -> Self {
        Self {
            own,
            timing,
            seeds,
            members: BTreeMap::new(),
            changed_at: BTreeMap::new(),
            mirrors: BTreeMap::new(),
            leaving_vms: BTreeMap::new(),
            queue: Vec::new(),
            round: Vec::new(),
            probe: None,
            relays: Vec::new(),
            next_probe: Timestamp(0),
            next_sync: Timestamp(0),
            number: 0,
            generator: StdRng::seed_from_u64(seed),
        }
    }

    /// Returns this entry's own record.
    pub fn own(&self) -> &MemberRecord {
        &self.own
    }

    /// Returns the records of the other entries, those gone included.
    pub fn others(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values()
    }

    /// Returns all records, this entry's first.
    pub fn all(&self) -> impl Iterator<Item = &MemberRecord> {
        std::iter::once(&self.own).chain(self.members.values())
    }

    /// Finds the member that runs as `incarnation`, unless it is gone.
    pub fn find(&self, incarnation: Incarnation) -> Option<&MemberRecord> {
        self.all()
            .find(|record| record.incarnation == incarnation && record.health != MemberHealth::Gone)
    }

    /// Returns the last known mirror of an incarnation, also of one that is
    /// gone.
    pub fn mirror_of(&self, incarnation: Incarnation) -> Option<Incarnation> {
        self.mirrors.get(&incarnation).copied()
    }

    /// Returns whether an incarnation is gone, or was replaced by a newer one
    /// of the same entry. One that was never known is not.
    pub fn is_gone(&self, incarnation: Incarnation) -> bool {
        let is_known = self.mirrors.contains_key(&incarnation)
            || self
                .members
                .values()
                .any(|record| record.incarnation == incarnation);
        is_known && self.find(incarnation).is_none()
    }

    /// Returns whether a VM is known to be leaving.
    pub fn is_vm_leaving(&self, vm: &VmId) -> bool {
        self.leaving_vms.contains_key(vm)
    }

    /// Changes this entry's own record and spreads it at once.
    pub fn update_own(&mut self, change: impl FnOnce(&mut MemberRecord)) -> Vec<GossipAction> {
        let before = self.own.clone();
        change(&mut self.own);
        if self.own == before {
            return Vec::new();
        }
        self.own.version = before.version + 1;
        let record = self.own.clone();
        self.enqueue(MemberNews::Member(record));
        self.send_urgent()
    }

    /// Spreads that a VM of a backend server is leaving.
    pub fn announce_vm_leaving(&mut self, now: Timestamp, vm: VmId) -> Vec<GossipAction> {
        if !self.note_vm_leaving(now, vm.clone()) {
            return Vec::new();
        }
        self.enqueue(MemberNews::VmLeaving(vm.clone()));
        let mut actions = vec![GossipAction::VmLeaving(vm)];
        actions.extend(self.send_urgent());
        actions
    }

    fn note_vm_leaving(&mut self, now: Timestamp, vm: VmId) -> bool {
        if self.leaving_vms.contains_key(&vm) || self.leaving_vms.len() >= MAX_LEAVING_VMS {
            return false;
        }
        self.leaving_vms.insert(vm, now);
        true
    }

    fn enqueue(&mut self, news: MemberNews) {
        let replaced = |queued: &QueuedNews| match (&queued.news, &news) {
            (MemberNews::Member(old), MemberNews::Member(new)) => old.name == new.name,
            (old, new) => old == new,
        };
        self.queue.retain(|queued| !replaced(queued));
        let members = self.members.len() as u32 + 2;
        let left = NEWS_REPEATS * (members.ilog2() + 1);
        self.queue.push(QueuedNews { news, left });
    }

    /// Takes the news for one message; the least often sent goes first.
    fn take_news(&mut self) -> Vec<MemberNews> {
        self.queue
            .sort_by_key(|queued| std::cmp::Reverse(queued.left));
        let mut news = Vec::new();
        for queued in self.queue.iter_mut().take(self.timing.max_news) {
            news.push(queued.news.clone());
            queued.left -= 1;
        }
        self.queue.retain(|queued| queued.left > 0);
        news
    }

    fn message(&mut self, body: GossipBody) -> GossipMessage {
        GossipMessage {
            body,
            reply_to: self.own.peer_address,
            news: self.take_news(),
        }
    }

    fn random_peers(&mut self, count: usize, except: Option<&EntryName>) -> Vec<SocketAddr> {
        let mut addresses: Vec<SocketAddr> = self
            .members
            .values()
            .filter(|record| record.health != MemberHealth::Gone)
            .filter(|record| Some(&record.name) != except)
            .map(|record| record.peer_address)
            .collect();
        addresses.shuffle(&mut self.generator);
        addresses.truncate(count);
        addresses
    }

    fn send_urgent(&mut self) -> Vec<GossipAction> {
        let peers = self.random_peers(self.timing.fanout, None);
        peers
            .into_iter()
            .map(|peer| GossipAction::Send(peer, self.message(GossipBody::News)))
            .collect()
    }

    /// Does what is due at `now`. Call it a few times per period.
    pub fn tick(&mut self, now: Timestamp) -> Vec<GossipAction> {
        let mut actions = self.check_probe(now);
        actions.extend(self.check_suspects(now));
        self.forget_old(now);
        if now >= self.next_probe && self.probe.is_none() {
            self.next_probe = now.after(self.timing.period);
            actions.extend(self.start_probe(now));
        }
        if now >= self.next_sync {
            actions.extend(self.start_sync(now));
        }
        actions
    }

    fn start_probe(&mut self, now: Timestamp) -> Vec<GossipAction> {
        let Some(target) = self.next_target() else {
            return Vec::new();
        };
        let address = self.members[&target].peer_address;
        self.number += 1;
        let number = self.number;
        self.probe = Some(OpenProbe {
            number,
            target,
            indirect: false,
            timeout: now.after(self.timing.probe_timeout),
        });
        let message = self.message(GossipBody::Probe { number });
        vec![GossipAction::Send(address, message)]
    }

    fn next_target(&mut self) -> Option<EntryName> {
        loop {
            if self.round.is_empty() {
                self.round = self
                    .members
                    .values()
                    .filter(|record| record.health != MemberHealth::Gone)
                    .map(|record| record.name.clone())
                    .collect();
                self.round.shuffle(&mut self.generator);
            }
            let name = self.round.pop()?;
            let probed = self
                .members
                .get(&name)
                .is_some_and(|record| record.health != MemberHealth::Gone);
            if probed {
                return Some(name);
            }
        }
    }

    fn check_probe(&mut self, now: Timestamp) -> Vec<GossipAction> {
        let Some(probe) = self.probe.take_if(|probe| now >= probe.timeout) else {
            return Vec::new();
        };
        if probe.indirect {
            return self.suspect(now, &probe.target);
        }
        let Some(target) = self.members.get(&probe.target).map(|r| r.peer_address) else {
            return Vec::new();
        };
        let number = probe.number;
        let helpers = self.random_peers(self.timing.fanout, Some(&probe.target));
        let body = GossipBody::IndirectProbe { number, target };
        let actions = helpers
            .into_iter()
            .map(|helper| GossipAction::Send(helper, self.message(body.clone())))
            .collect();
        self.probe = Some(OpenProbe {
            indirect: true,
            timeout: now.after(self.timing.probe_timeout),
            ..probe
        });
        actions
    }

    fn suspect(&mut self, now: Timestamp, name: &EntryName) -> Vec<GossipAction> {
        let Some(record) = self.members.get(name) else {
            return Vec::new();
        };
        if record.health != MemberHealth::Alive {
            return Vec::new();
        }
        let mut record = record.clone();
        record.health = MemberHealth::Suspect;
        self.merge(now, record)
    }

    fn check_suspects(&mut self, now: Timestamp) -> Vec<GossipAction> {
        let suspicion = self.timing.suspicion;
        let overdue: Vec<MemberRecord> = self
            .members
            .values()
            .filter(|record| record.health == MemberHealth::Suspect)
            .filter(|record| {
                let since = self.changed_at.get(&record.name).copied();
                now.since(since.unwrap_or_default()) >= suspicion
            })
            .cloned()
            .collect();
        let mut actions = Vec::new();
        for mut record in overdue {
            record.health = MemberHealth::Gone;
            actions.extend(self.merge(now, record));
        }
        actions
    }

    fn forget_old(&mut self, now: Timestamp) {
        let memory = self.timing.memory;
        let changed_at = &self.changed_at;
        self.members.retain(|name, record| {
            let since = changed_at.get(name).copied().unwrap_or_default();
            record.health != MemberHealth::Gone || now.since(since) < memory
        });
        self.leaving_vms
            .retain(|_, noted| now.since(*noted) < memory);
        self.relays.retain(|relay| now < relay.timeout);
    }

    fn start_sync(&mut self, now: Timestamp) -> Vec<GossipAction> {
        let alone = self.random_peers(1, None).is_empty();
        let periods = if alone { 2 } else { SYNC_PERIODS };
        self.next_sync = now.after(self.timing.period * periods);
        // Seeds are asked too, so that parts that lost each other meet again.
        let own = self.own.peer_address;
        let mut targets = self.random_peers(1, None);
        let seeds: Vec<SocketAddr> = self.seeds.iter().copied().filter(|s| *s != own).collect();
        if alone {
            targets = seeds;
        } else if !seeds.is_empty() {
            let index = self.generator.random_range(0..seeds.len());
            targets.push(seeds[index]);
        }
        let record = self.own.clone();
        targets
            .into_iter()
            .map(|target| {
                let mut message = self.message(GossipBody::SyncRequest);
                message.news.push(MemberNews::Member(record.clone()));
                GossipAction::Send(target, message)
            })
            .collect()
    }

    /// Handles a message of another entry.
    pub fn receive(&mut self, now: Timestamp, message: GossipMessage) -> Vec<GossipAction> {
        let mut actions = Vec::new();
        for news in message.news {
            actions.extend(self.hear(now, news));
        }
        let reply_to = message.reply_to;
        match message.body {
            GossipBody::Probe { number } => {
                let answer = self.message(GossipBody::ProbeAnswer { number });
                actions.push(GossipAction::Send(reply_to, answer));
            }
            GossipBody::ProbeAnswer { number } => {
                self.probe.take_if(|probe| probe.number == number);
                actions.extend(self.relay_answer(number));
            }
            GossipBody::IndirectProbe { number, target } => {
                actions.extend(self.relay_probe(now, number, target, reply_to));
            }
            GossipBody::SyncRequest => {
                let mut answer = self.message(GossipBody::News);
                answer.news = self.all_news();
                actions.push(GossipAction::Send(reply_to, answer));
            }
            GossipBody::News => {}
        }
        actions
    }

    fn all_news(&self) -> Vec<MemberNews> {
        let members = self.all().cloned().map(MemberNews::Member);
        let vms = self.leaving_vms.keys().cloned().map(MemberNews::VmLeaving);
        members.chain(vms).collect()
    }

    fn relay_probe(
        &mut self,
        now: Timestamp,
        asked_number: u64,
        target: SocketAddr,
        reply_to: SocketAddr,
    ) -> Vec<GossipAction> {
        if self.relays.len() >= MAX_RELAYS {
            return Vec::new();
        }
        self.number += 1;
        self.relays.push(RelayedProbe {
            own_number: self.number,
            asked_number,
            reply_to,
            timeout: now.after(self.timing.probe_timeout),
        });
        let number = self.number;
        let message = self.message(GossipBody::Probe { number });
        vec![GossipAction::Send(target, message)]
    }

    fn relay_answer(&mut self, number: u64) -> Option<GossipAction> {
        let index = self
            .relays
            .iter()
            .position(|relay| relay.own_number == number)?;
        let relay = self.relays.swap_remove(index);
        let body = GossipBody::ProbeAnswer {
            number: relay.asked_number,
        };
        let message = self.message(body);
        Some(GossipAction::Send(relay.reply_to, message))
    }

    fn hear(&mut self, now: Timestamp, news: MemberNews) -> Vec<GossipAction> {
        match news {
            MemberNews::Member(record) if record.name == self.own.name => self.hear_of_self(record),
            MemberNews::Member(record) => self.merge(now, record),
            MemberNews::VmLeaving(vm) => self.announce_vm_leaving(now, vm),
        }
    }

    /// Objects to being suspected.
    fn hear_of_self(&mut self, record: MemberRecord) -> Vec<GossipAction> {
        let disputed = record.incarnation == self.own.incarnation
            && record.health != MemberHealth::Alive
            && record.version >= self.own.version;
        if !disputed {
            return Vec::new();
        }
        self.own.version = record.version + 1;
        let own = self.own.clone();
        self.enqueue(MemberNews::Member(own));
        self.send_urgent()
    }

    fn merge(&mut self, now: Timestamp, record: MemberRecord) -> Vec<GossipAction> {
        let known = self.members.get(&record.name);
        if known.is_some_and(|known| known.rank() >= record.rank()) {
            return Vec::new();
        }
        let urgent = known.is_none_or(|known| {
            known.state != record.state
                || known.health != record.health
                || known.revision != record.revision
        });
        if let Some(mirror) = record.mirror {
            self.mirrors.insert(record.incarnation, mirror);
        }
        self.changed_at.insert(record.name.clone(), now);
        self.members.insert(record.name.clone(), record.clone());
        self.enqueue(MemberNews::Member(record.clone()));
        let mut actions = vec![GossipAction::Changed(record)];
        if urgent {
            actions.extend(self.send_urgent());
        }
        actions
    }

    /// Chooses a mirror for this entry: one that takes requests, in another
    /// availability zone if there is one, so that a zone lost without notice
    /// loses no copies. The choice is stable and spreads over the entries.
    pub fn choose_mirror(&self) -> Option<Incarnation> {
        let candidates: Vec<&MemberRecord> = self
            .members
            .values()
            .filter(|record| record.takes_requests())
            .collect();
        let elsewhere: Vec<&MemberRecord> = candidates
            .iter()
            .copied()
            .filter(|record| record.zone != self.own.zone)
            .collect();
        let pool = if elsewhere.is_empty() {
            candidates
        } else {
            elsewhere
        };
        // The next one in order of name keeps each entry the mirror of few.
        let next = pool.iter().find(|record| record.name > self.own.name);
        next.or(pool.first()).map(|record| record.incarnation)
    }
}
