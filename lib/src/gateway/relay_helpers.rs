//! The entries that relay requests for this one, and the choice among them.
//!
//! Pure logic: no I/O and no clock. Hubs name these entries while this one wants them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use crate::id::Incarnation;
use crate::quantity::Timestamp;

/// The most entries that a hub names.
pub const MAX_HELPERS: usize = 8;
/// How long an entry that failed or refused to relay is not asked again.
const SUSPENSION: Duration = Duration::from_millis(500);

/// An entry that relays requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RelayHelper {
    /// The address at which it accepts connections of other entries.
    pub address: SocketAddr,
    /// Its incarnation. Only entries know it.
    pub incarnation: Incarnation,
}

/// A helper with what this entry knows of it.
#[derive(Clone, Debug)]
struct HelperState {
    helper: RelayHelper,
    /// The requests that it relays for this entry.
    in_flight: Arc<AtomicUsize>,
    suspended_until: Timestamp,
    /// It did not answer in time, or a connection to it broke; others are asked first until
    /// then.
    slow_until: Timestamp,
}

/// Counts a request that a helper relays until it is dropped.
#[derive(Debug)]
pub struct HelperUse {
    /// The helper.
    pub helper: RelayHelper,
    in_flight: Arc<AtomicUsize>,
}

impl Drop for HelperUse {
    fn drop(&mut self) {
        self.in_flight.fetch_sub(1, Ordering::Relaxed);
    }
}

/// The entries that relay requests for this one.
#[derive(Clone, Debug, Default)]
pub struct RelayHelpers {
    states: Vec<HelperState>,
    /// Since when this entry wants helpers, if it does.
    wanted_since: Option<Timestamp>,
}

impl RelayHelpers {
    /// Returns an empty list.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns whether no helper is known.
    pub fn is_empty(&self) -> bool {
        self.states.is_empty()
    }

    /// Notes that this entry wants helpers from now on.
    pub fn note_wanted(&mut self, now: Timestamp) {
        self.wanted_since.get_or_insert(now);
    }

    /// Returns since when this entry wants helpers, if it does and none is known.
    pub fn list_wanted_since(&self) -> Option<Timestamp> {
        self.wanted_since.filter(|_| self.states.is_empty())
    }

    /// Forgets all helpers, because this entry does not want them any more.
    pub fn clear(&mut self) {
        self.states.clear();
        self.wanted_since = None;
    }

    /// Returns whether a helper can be asked now.
    pub fn has_usable(&self, now: Timestamp) -> bool {
        self.states.iter().any(|state| now >= state.suspended_until)
    }

    /// Returns whether a helper can be asked now that is not slow.
    pub fn has_prompt(&self, now: Timestamp) -> bool {
        let is_prompt =
            |state: &HelperState| now >= state.suspended_until && now >= state.slow_until;
        self.states.iter().any(is_prompt)
    }

    /// Replaces the list, and keeps what is known of the helpers that stay on it.
    pub fn replace(&mut self, helpers: &[RelayHelper]) {
        let states = std::mem::take(&mut self.states);
        let keep = |helper: &RelayHelper| {
            let known = states.iter().find(|state| state.helper == *helper);
            known.cloned().unwrap_or_else(|| HelperState {
                helper: *helper,
                in_flight: Arc::default(),
                suspended_until: Timestamp(0),
                slow_until: Timestamp(0),
            })
        };
        self.states = helpers.iter().take(MAX_HELPERS).map(keep).collect();
    }

    /// Chooses the one with fewer requests of this entry among two helpers that are drawn
    /// by the numbers `draws`. Those in `tried` are left out, and slow ones are chosen only
    /// if there is no other.
    pub fn choose(
        &self,
        now: Timestamp,
        tried: &[Incarnation],
        draws: [usize; 2],
    ) -> Option<HelperUse> {
        let is_usable = |state: &&HelperState| {
            now >= state.suspended_until && !tried.contains(&state.helper.incarnation)
        };
        let mut usable: Vec<&HelperState> = self.states.iter().filter(is_usable).collect();
        let is_prompt = |state: &HelperState| now >= state.slow_until;
        if usable.iter().any(|state| is_prompt(state)) {
            usable.retain(|state| is_prompt(state));
        }
        let drawn = draws.map(|draw| usable.get(draw.checked_rem(usable.len())?).copied());
        let chosen = drawn
            .into_iter()
            .flatten()
            .min_by_key(|state| state.in_flight.load(Ordering::Relaxed))?;
        chosen.in_flight.fetch_add(1, Ordering::Relaxed);
        Some(HelperUse {
            helper: chosen.helper,
            in_flight: Arc::clone(&chosen.in_flight),
        })
    }

    /// Notes that a helper failed or refused to relay.
    pub fn suspend(&mut self, now: Timestamp, incarnation: Incarnation) {
        if let Some(state) = self.get_mut(incarnation) {
            state.suspended_until = now.after(SUSPENSION);
        }
    }

    /// Notes that no response came in time through a helper, or not completely. It may be
    /// frozen or lost, or it is the server that needs long or broke off.
    pub fn note_slow(&mut self, now: Timestamp, incarnation: Incarnation) {
        if let Some(state) = self.get_mut(incarnation) {
            state.slow_until = now.after(SUSPENSION);
        }
    }

    fn get_mut(&mut self, incarnation: Incarnation) -> Option<&mut HelperState> {
        let mut states = self.states.iter_mut();
        states.find(|state| state.helper.incarnation == incarnation)
    }
}
