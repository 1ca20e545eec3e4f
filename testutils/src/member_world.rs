//! Members of the membership protocol in virtual time, on a network that
//! delays and loses messages. Counts messages and bytes.

use std::collections::BTreeMap;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use cloverbend::id::Incarnation;
use cloverbend::id::RevisionNumber;
use cloverbend::member_record::GossipMessage;
use cloverbend::member_record::MemberHealth;
use cloverbend::member_record::MemberRecord;
use cloverbend::member_record::MemberState;
use cloverbend::membership::GossipAction;
use cloverbend::membership::GossipTiming;
use cloverbend::membership::MemberTable;
use cloverbend::quantity::Timestamp;
use cloverbend::wire::PeerMessage;
use rand::Rng;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// The time between ticks of a member.
const TICK: Duration = Duration::from_millis(50);
/// The delay of a message.
const DELAY: Duration = Duration::from_millis(2);
/// Bytes that a frame adds to its content: its length, and TCP and IP headers.
const FRAME_OVERHEAD: u64 = 4 + 40;

/// All members and the network between them.
#[derive(Debug)]
pub struct MemberWorld {
    tables: Vec<MemberTable>,
    dead: Vec<bool>,
    cut: Vec<bool>,
    queue: BTreeMap<(Timestamp, u64), (usize, usize, GossipMessage)>,
    now: Timestamp,
    number: u64,
    loss: f64,
    generator: StdRng,
    sent: Vec<(u64, u64)>,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 1_000 + index as u16))
}

fn record(index: usize) -> MemberRecord {
    MemberRecord {
        name: format!("entry-{index:03}").parse().expect("a valid name"),
        incarnation: Incarnation(index as u64 + 1),
        version: 1,
        health: MemberHealth::Alive,
        state: MemberState::Serving,
        zone: format!("zone-{}", index % 9).parse().expect("a valid name"),
        http_address: address(index),
        peer_address: address(index),
        weight: 100,
        revision: RevisionNumber(1),
        mirror: None,
    }
}

impl MemberWorld {
    /// Returns members that know a few seeds each.
    pub fn new(members: usize, loss: f64, seed: u64) -> Self {
        let timing = GossipTiming::default();
        let seeds: Vec<SocketAddr> = (0..members.min(9)).map(address).collect();
        let tables = (0..members)
            .map(|index| {
                let own = record(index);
                MemberTable::new(own, seeds.clone(), timing, seed + index as u64)
            })
            .collect();
        Self {
            tables,
            dead: vec![false; members],
            cut: vec![false; members],
            queue: BTreeMap::new(),
            now: Timestamp(0),
            number: 0,
            loss,
            generator: StdRng::seed_from_u64(seed),
            sent: vec![(0, 0); members],
        }
    }

    /// Returns the virtual time.
    pub fn now(&self) -> Timestamp {
        self.now
    }

    /// Runs for a while.
    pub fn run(&mut self, duration: Duration) {
        // A condition that is never met lets the whole time pass.
        let _ = self.run_until(duration, |_| false);
    }

    /// Runs until a condition is met, and returns how long that took.
    pub fn run_until(&mut self, limit: Duration, met: impl Fn(&Self) -> bool) -> Option<Duration> {
        let begun = self.now;
        while self.now.since(begun) < limit {
            if met(self) {
                return Some(self.now.since(begun));
            }
            let until = self.now.after(TICK);
            self.deliver_until(until);
            self.now = until;
            for index in 0..self.tables.len() {
                if !self.dead[index] {
                    let actions = self.tables[index].tick(self.now);
                    self.carry_out(index, actions);
                }
            }
        }
        None
    }

    fn deliver_until(&mut self, until: Timestamp) {
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > until {
                return;
            }
            let (from, to, message) = entry.remove();
            let lost = self.dead[to] || self.cut[to] != self.cut[from];
            if lost {
                continue;
            }
            let actions = self.tables[to].receive(at, message);
            self.now = at.max(self.now);
            self.carry_out(to, actions);
        }
    }

    fn carry_out(&mut self, from: usize, actions: Vec<GossipAction>) {
        for action in actions {
            let GossipAction::Send(to, message) = action else {
                continue;
            };
            let to = usize::from(to.port() - 1_000);
            let bytes = PeerMessage::Gossip(message.clone()).encode().len() as u64;
            self.sent[from].0 += 1;
            self.sent[from].1 += bytes + FRAME_OVERHEAD;
            if self.generator.random_bool(self.loss) {
                continue;
            }
            self.number += 1;
            let at = self.now.after(DELAY);
            self.queue.insert((at, self.number), (from, to, message));
        }
    }

    /// Makes a member leave.
    pub fn leave(&mut self, index: usize) {
        let actions = self.tables[index].update_own(|own| own.state = MemberState::Leaving);
        self.carry_out(index, actions);
    }

    /// Puts a new revision in force at a member.
    pub fn set_revision(&mut self, index: usize, revision: RevisionNumber) {
        let actions = self.tables[index].update_own(|own| own.revision = revision);
        self.carry_out(index, actions);
    }

    /// Ends a member without a word.
    pub fn kill(&mut self, index: usize) {
        self.dead[index] = true;
    }

    /// Cuts a member off from the others, or joins it again.
    pub fn cut(&mut self, index: usize, cut: bool) {
        self.cut[index] = cut;
    }

    /// Returns how many living members know that of a member.
    pub fn knowing(&self, fulfilled: impl Fn(&MemberRecord) -> bool, index: usize) -> usize {
        let name = record(index).name;
        let others = (0..self.tables.len()).filter(|other| *other != index && !self.dead[*other]);
        others
            .filter(|other| {
                let mut records = self.tables[*other].others();
                records.any(|record| record.name == name && fulfilled(record))
            })
            .count()
    }

    /// Returns the messages and bytes sent by each member since the last call.
    pub fn take_sent(&mut self) -> Vec<(u64, u64)> {
        let empty = vec![(0, 0); self.sent.len()];
        std::mem::replace(&mut self.sent, empty)
    }
}
