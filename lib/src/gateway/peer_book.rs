//! Which other entries there are, and what each told last.
//!
//! Pure. Entries are known by name from the store and by their news. An
//! entry's news always replaces what it told before.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use crate::gateway::account_limits::ShareView;
use crate::gateway::peer_news::BackendUse;
use crate::gateway::peer_news::ConfigEcho;
use crate::gateway::peer_news::GatewayNews;
use crate::gateway::peer_news::ServiceWork;
use crate::id::EntryName;
use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::RevisionNumber;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// An entry from which nothing came for so long is not heard: news come four
/// times a second.
const HEARD_WITHIN: Duration = Duration::from_millis(1_200);
/// An entry from which nothing came for so long is forgotten. Until then its
/// part of every limit is left to it, in case it is only cut off.
const FORGET_AFTER: Duration = Duration::from_secs(60);

/// What is known of another entry.
#[derive(Clone, Debug)]
pub struct PeerState {
    /// Where it listens.
    pub address: SocketAddr,
    /// Its newest life, once it was heard.
    pub incarnation: Option<Incarnation>,
    /// When it was last heard, or first listed.
    pub heard_at: Timestamp,
    /// Whether it was ever heard.
    pub was_heard: bool,
    /// Its own time in its last message.
    pub their_time: u64,
    /// Its revision of the configuration.
    pub revision: RevisionNumber,
    /// Whether it is stopping.
    pub leaving: bool,
    /// The fence of the lease, if it holds it.
    pub fence: Option<FenceToken>,
    /// The load that it puts on backend servers.
    pub uses: Vec<BackendUse>,
    /// The work that it sends to services.
    pub work: Vec<ServiceWork>,
}

impl PeerState {
    /// Returns whether it was heard a moment ago.
    pub fn is_heard(&self, now: Timestamp) -> bool {
        self.was_heard && now.since(self.heard_at) < HEARD_WITHIN
    }
}

/// The other entries.
#[derive(Clone, Debug)]
pub struct PeerBook {
    own: EntryName,
    peers: BTreeMap<EntryName, PeerState>,
}

impl PeerBook {
    /// Returns a book of an entry that knows no other.
    pub fn new(own: EntryName) -> Self {
        Self {
            own,
            peers: BTreeMap::new(),
        }
    }

    /// Notes an entry that the store lists.
    pub fn note_listed(&mut self, now: Timestamp, name: EntryName, address: SocketAddr) {
        if name == self.own {
            return;
        }
        let peer = self.peers.entry(name).or_insert_with(|| PeerState {
            address,
            incarnation: None,
            heard_at: now,
            was_heard: false,
            their_time: 0,
            revision: RevisionNumber(0),
            leaving: false,
            fence: None,
            uses: Vec::new(),
            work: Vec::new(),
        });
        if !peer.is_heard(now) {
            peer.address = address;
        }
    }

    /// Notes news. Returns whether the entry or its life is new; news of an
    /// earlier life, or older than the last, change nothing.
    pub fn note_news(&mut self, now: Timestamp, news: &GatewayNews) -> bool {
        if news.name == self.own {
            return false;
        }
        self.note_listed(now, news.name.clone(), news.address);
        let Some(peer) = self.peers.get_mut(&news.name) else {
            return false;
        };
        let new_life = peer.incarnation != Some(news.incarnation);
        if !new_life && news.sent_at <= peer.their_time {
            return false;
        }
        peer.incarnation = Some(news.incarnation);
        peer.address = news.address;
        peer.heard_at = now;
        peer.was_heard = true;
        peer.their_time = news.sent_at;
        peer.revision = news.revision;
        peer.leaving = news.leaving;
        peer.fence = news.fence;
        peer.uses.clone_from(&news.uses);
        peer.work.clone_from(&news.work);
        new_life
    }

    /// Returns what to answer to a peer about the age of the configuration.
    pub fn echo(&self, name: &EntryName, confirmed_at: Option<Timestamp>) -> Option<ConfigEcho> {
        let peer = self.peers.get(name)?;
        let age = peer.heard_at.since(confirmed_at?);
        Some(ConfigEcho {
            incarnation: peer.incarnation?,
            sent_at: peer.their_time,
            age: age.as_micros() as u64,
        })
    }

    /// Iterates over the other entries.
    pub fn peers(&self) -> impl Iterator<Item = (&EntryName, &PeerState)> {
        self.peers.iter()
    }

    /// Forgets entries that are silent for long; returns their lives.
    pub fn forget_silent(&mut self, now: Timestamp) -> Vec<Incarnation> {
        let silent = |peer: &PeerState| now.since(peer.heard_at) > FORGET_AFTER;
        let gone: Vec<Incarnation> = self
            .peers
            .values()
            .filter(|peer| silent(peer))
            .filter_map(|peer| peer.incarnation)
            .collect();
        self.peers.retain(|_, peer| !silent(peer));
        gone
    }

    /// Returns how many entries share limits, and how many are heard.
    pub fn share_view(&self, now: Timestamp) -> ShareView {
        let heard = self
            .peers
            .values()
            .filter(|peer| peer.is_heard(now))
            .count();
        ShareView {
            entries: self.peers.len() + 1,
            heard: heard + 1,
        }
    }

    /// Returns the highest fence that another entry is heard to hold.
    pub fn heard_fence(&self, now: Timestamp) -> Option<FenceToken> {
        let heard = self.peers.values().filter(|peer| peer.is_heard(now));
        heard.filter_map(|peer| peer.fence).max()
    }

    /// Returns how many heard entries have a name before the own one.
    pub fn rank(&self, now: Timestamp) -> usize {
        let before = self.peers.iter().filter(|(name, _)| **name < self.own);
        before
            .filter(|(_, peer)| peer.is_heard(now) && !peer.leaving)
            .count()
    }

    /// Sums the work that the heard entries send to a service, in prompt
    /// tokens a second.
    pub fn work(&self, now: Timestamp, service: &ServiceName) -> u64 {
        let heard = self.peers.values().filter(|peer| peer.is_heard(now));
        let of_service = heard
            .flat_map(|peer| &peer.work)
            .filter(|work| work.service == service.as_str());
        of_service.map(|work| work.tokens_per_s).sum()
    }

    /// Sums the load that the heard entries put on each backend server.
    pub fn uses(&self, now: Timestamp) -> BTreeMap<&str, (u32, u64)> {
        let mut sums: BTreeMap<&str, (u32, u64)> = BTreeMap::new();
        let heard = self.peers.values().filter(|peer| peer.is_heard(now));
        for backend_use in heard.flat_map(|peer| &peer.uses) {
            let sum = sums.entry(&backend_use.backend).or_default();
            sum.0 += backend_use.in_flight;
            sum.1 += backend_use.unread;
        }
        sums
    }
}
