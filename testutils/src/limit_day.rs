//! Days of [`crate::limit_model`]: how limits change, and what happens to entries meanwhile.

use std::ops::Range;
use std::time::Duration;

use cloverbend::quantity::Timestamp;
use rand::Rng;

use crate::limit_model::LimitChange;
use crate::limit_model::LimitWorld;
use crate::limit_model::RequestLag;
use crate::limit_model::SERVERS;
use crate::limit_model::STEP;

/// When callers call.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallPattern {
    /// All the time.
    Steady,
    /// In bursts of 3 s after 7 s with hardly any call.
    Bursts,
    /// For 8 s, and then again after 26 s with hardly any call.
    LongPause,
}

impl CallPattern {
    const IDLE_CALLS_PER_S: f64 = 1.0;

    fn is_idle(self, at_ms: u64) -> bool {
        match self {
            Self::Steady => false,
            Self::Bursts => (at_ms / 1_000) % 10 < 7,
            Self::LongPause => (8_000..34_000).contains(&at_ms),
        }
    }
}

/// To which entries callers come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallerSpread {
    /// To all alike.
    Even,
    /// Nine in ten to one, and every few seconds to the next one.
    Uneven,
}

impl CallerSpread {
    const INTERVAL_MS: u64 = 5_500;

    fn busy_entry(self, at_ms: u64, entries: usize) -> Option<usize> {
        match self {
            Self::Even => None,
            Self::Uneven => Some((at_ms / Self::INTERVAL_MS) as usize % entries),
        }
    }
}

/// What happens to entries while limits are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EntryTrouble {
    /// Nothing.
    None,
    /// A third stand still for up to 4 s, again and again.
    Frozen,
    /// A third stand still for longer than permits last, again and again.
    LongFrozen,
    /// A third are lost again and again.
    Lost,
    /// As many as there were start, and nobody knows them; some seconds later a third of
    /// all are lost.
    Joined,
    /// Each hears no other.
    Alone,
}

impl EntryTrouble {
    const INTERVAL_MS: u64 = 2_500;
    const JOINED_AT_MS: u64 = 13_000;
    const JOINED_LOST_AT_MS: u64 = 20_000;

    fn apply(self, world: &mut LimitWorld, at_ms: u64) {
        let is_due = at_ms.is_multiple_of(Self::INTERVAL_MS);
        match self {
            Self::None => {}
            Self::Frozen if is_due => freeze_third(world, 300..4_000),
            Self::LongFrozen if is_due => freeze_third(world, 3_000..8_000),
            Self::Lost if is_due => lose_third(world),
            Self::Joined if at_ms == Self::JOINED_AT_MS => world.join(world.entry_count()),
            Self::Joined if at_ms == Self::JOINED_LOST_AT_MS => lose_third(world),
            Self::Alone => world.alone = world.entry_count(),
            _ => {}
        }
    }
}

fn freeze_third(world: &mut LimitWorld, length_ms: Range<u64>) {
    let entries = world.entry_count();
    for _ in 0..entries / 3 {
        let number = world.random.random_range(0..entries);
        let length = Duration::from_millis(world.random.random_range(length_ms.clone()));
        world.freeze(number, length);
    }
}

fn lose_third(world: &mut LimitWorld) {
    let entries = world.entry_count();
    for _ in 0..entries / 3 {
        let number = world.random.random_range(0..entries);
        world.kill(number);
    }
}

/// What happens to links and servers while limits are in force.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PathTrouble {
    /// Nothing.
    None,
    /// Three in ten messages between entries are lost.
    LossyPeers,
    /// Three in ten requests arrive up to 1.5 s late.
    LateRequests,
    /// A third of the servers stand still for a second or so, again and again.
    SilentServers,
    /// All of these.
    All,
}

impl PathTrouble {
    const SILENCE: Duration = Duration::from_millis(1_200);
    const SILENCE_INTERVAL_MS: u64 = 1_500;

    fn prepare(self, world: &mut LimitWorld) {
        if matches!(self, Self::LossyPeers | Self::All) {
            world.message_loss = 0.3;
        }
        if matches!(self, Self::LateRequests | Self::All) {
            world.lag = RequestLag {
                share: 0.3,
                longest_ms: 1_500,
            };
        }
    }

    fn apply(self, world: &mut LimitWorld, at_ms: u64) {
        let is_due = at_ms.is_multiple_of(Self::SILENCE_INTERVAL_MS);
        if is_due && matches!(self, Self::SilentServers | Self::All) {
            for _ in 0..SERVERS / 3 {
                let server = world.random.random_range(0..SERVERS);
                world.silence(server, Self::SILENCE);
            }
        }
    }
}

/// How the limit changes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LimitShape {
    /// It stays.
    Steady,
    /// It is lowered to a quarter and raised again.
    Lowered,
    /// It is lifted and named again.
    Lifted,
}

impl LimitShape {
    const CHANGES: u64 = 10;
    const FIRST_MS: u64 = 4_000;
    const INTERVAL_MS: u64 = 4_500;

    fn changes(self, limit: f64) -> Vec<LimitChange> {
        let limit_at = |index: u64| match (self, index % 2) {
            (Self::Steady, _) | (Self::Lifted, 0) | (Self::Lowered, 1) => Some(limit),
            (Self::Lowered, _) => Some(limit * 4.0),
            (Self::Lifted, _) => None,
        };
        let change = |index| LimitChange {
            at: Timestamp::from_millis(Self::FIRST_MS + index * Self::INTERVAL_MS),
            limit: limit_at(index),
        };
        (0..Self::CHANGES).map(change).collect()
    }
}

/// The parameters of a day.
#[derive(Clone, Copy, Debug)]
pub struct LimitDay {
    /// The number of entries.
    pub entries: usize,
    /// The limit, in requests per second.
    pub limit: f64,
    /// How many servers name it.
    pub limited_servers: usize,
    /// How it changes.
    pub shape: LimitShape,
    /// When callers call.
    pub calls: CallPattern,
    /// To which entries they come.
    pub spread: CallerSpread,
    /// What happens to entries.
    pub trouble: EntryTrouble,
    /// What happens to links and servers.
    pub paths: PathTrouble,
    /// The longest time that a server takes for an answer.
    pub longest_answer_ms: u64,
}

impl LimitDay {
    const LENGTH_MS: u64 = 45_000;

    /// Returns the highest use of a limit, relative to what is allowed, over some seeds.
    pub fn largest_use(self) -> f64 {
        let uses = (1..=3).map(|seed| self.use_with(seed));
        uses.fold(0.0, f64::max)
    }

    /// Returns the highest use of a limit, relative to what is allowed, with one seed.
    pub fn use_with(self, seed: u64) -> f64 {
        let calls_per_s = (self.limit * SERVERS as f64 * 4.0).max(60.0);
        let mut world = LimitWorld::new(self.entries, calls_per_s, seed);
        world.limited_servers = self.limited_servers;
        world.answer_ms = (60, self.longest_answer_ms);
        world.changes = self.shape.changes(self.limit);
        self.paths.prepare(&mut world);
        for at_ms in (0..Self::LENGTH_MS).step_by(STEP.as_millis() as usize) {
            self.trouble.apply(&mut world, at_ms);
            self.paths.apply(&mut world, at_ms);
            world.busy_entry = self.spread.busy_entry(at_ms, world.entry_count());
            world.calls_per_s = match self.calls.is_idle(at_ms) {
                true => CallPattern::IDLE_CALLS_PER_S,
                false => calls_per_s,
            };
            world.step();
        }
        world.largest_use()
    }
}
