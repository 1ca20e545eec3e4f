//! Which version of servers began which stream, as far as one entry knows.
//!
//! Pure: no I/O and no clock. An entry notes the streams that it relays itself. While a
//! service has servers of several versions, it tells some other entries, the keepers, so
//! that callers can take a stream up after the entry that relayed it is lost.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::fmt;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::call_head::CallId;
use crate::id::ServerVersion;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// How long a stream is remembered after its first event, or after it was last taken up:
/// longer than callers wait for an answer.
pub const STREAM_MEMORY: Duration = Duration::from_secs(30);
/// The most streams that are remembered: some 3 MB. With more, the oldest are forgotten.
pub const MAX_STREAMS: usize = 65_536;
/// The most versions that are distinguished at a time, so that false names stay small.
const MAX_VERSIONS: usize = 256;

/// Identifies a stream: a hash of its service and of the identifier of the attempt that
/// brought its first event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct StreamKey(pub u64);

impl StreamKey {
    /// Returns the key of a stream.
    pub fn new(service: &ServiceName, id: &CallId) -> Self {
        let mut hasher = XxHash64::with_seed(8);
        service.as_str().hash(&mut hasher);
        id.0.hash(&mut hasher);
        Self(hasher.finish())
    }
}

impl fmt::Display for StreamKey {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Keys in a log line, which are formatted only if it is written.
pub struct KeyList<'a>(pub &'a [StreamKey]);

impl fmt::Display for KeyList<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, key) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { " " };
            write!(f, "{separator}{key}")?;
        }
        Ok(())
    }
}

/// A stream and the version of the server that began it.
pub type BegunStream = (StreamKey, Option<ServerVersion>);

/// What is known of the version that began a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamVersion {
    /// It is this one; `None` if its server had no known version.
    Known(Option<ServerVersion>),
    /// Several streams have this key, begun by different versions.
    Conflicting,
}

/// The version of a stream, as an index into the table of versions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionIndex {
    Known(u8),
    Conflicting,
}

impl VersionIndex {
    fn at(index: usize) -> Self {
        u8::try_from(index).map_or(Self::Conflicting, Self::Known)
    }
}

#[derive(Clone, Copy, Debug)]
struct KnownStream {
    version: VersionIndex,
    noted_at: Timestamp,
    /// Whether the store has it, or this entry is writing it.
    is_stored: bool,
    /// Whether the store certainly has it.
    is_confirmed: bool,
}

/// Whether the store has a stream that waits.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StoredState {
    /// It has.
    Stored,
    /// It may not have it yet.
    Unstored,
    /// It is not written: other streams have its key, or it was forgotten.
    Never,
}

/// A version, and how many streams that are remembered began at it. Without any, another
/// version takes its place.
#[derive(Clone, Debug)]
struct VersionSlot {
    version: Option<ServerVersion>,
    streams: usize,
}

/// The streams that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct StreamVersions {
    streams: HashMap<StreamKey, KnownStream>,
    /// The streams in the order in which they were noted; those noted again are in it twice.
    order: VecDeque<(Timestamp, StreamKey)>,
    versions: Vec<VersionSlot>,
    /// The streams of this entry that were not announced to another one.
    unannounced: HashMap<StreamKey, ServiceName>,
    /// The streams that the store may not have, in the order in which they were noted.
    unstored: VecDeque<(Timestamp, StreamKey)>,
    /// Whether the store may have streams.
    are_any_stored: bool,
}

impl StreamVersions {
    /// Returns an empty table.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the number of streams.
    pub fn count(&self) -> usize {
        self.streams.len()
    }

    /// Notes a stream that this entry relays.
    pub fn note_own(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        service: &ServiceName,
        version: Option<&ServerVersion>,
    ) {
        self.note_announced(now, key, version);
        self.unannounced.insert(key, service.clone());
    }

    /// Forgets a stream of this entry that is complete, unless it was announced.
    pub fn note_completed(&mut self, key: StreamKey) {
        if self.unannounced.remove(&key).is_some() {
            self.forget(key);
        }
    }

    /// Notes a stream of another entry.
    pub fn note_announced(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        version: Option<&ServerVersion>,
    ) {
        self.note(now, key, version, false);
        self.unstored.push_back((now, key));
    }

    /// Notes a stream that the store has.
    pub fn note_stored(&mut self, now: Timestamp, key: StreamKey, version: Option<&ServerVersion>) {
        self.are_any_stored = true;
        self.note(now, key, version, true);
    }

    /// Notes a stream that was read from the store. One that is known is not remembered for
    /// longer, however often it is read.
    pub fn note_read(&mut self, now: Timestamp, key: StreamKey, version: Option<&ServerVersion>) {
        self.drop_old(now);
        let read = self.index_of(version);
        match self.streams.get_mut(&key) {
            Some(known) if known.version == read => {
                known.is_stored = true;
                known.is_confirmed = true;
                self.are_any_stored = true;
            }
            _ => self.note_stored(now, key, version),
        }
    }

    /// Returns whether the store may have streams.
    pub fn are_any_stored(&self) -> bool {
        self.are_any_stored
    }

    /// Notes that the store has some.
    pub fn note_some_stored(&mut self) {
        self.are_any_stored = true;
    }

    /// Notes that the store has none.
    pub fn note_none_stored(&mut self) {
        self.are_any_stored = false;
    }

    fn note(
        &mut self,
        now: Timestamp,
        key: StreamKey,
        version: Option<&ServerVersion>,
        is_stored: bool,
    ) {
        self.drop_old(now);
        let announced = self.index_of(version);
        let earlier = self.streams.get(&key).copied();
        let known = earlier.map(|known| known.version);
        let version = match known {
            Some(known) if known != announced => VersionIndex::Conflicting,
            _ => announced,
        };
        let stream = KnownStream {
            version,
            noted_at: now,
            is_stored,
            is_confirmed: is_stored
                || earlier.is_some_and(|known| known.is_confirmed && known.version == version),
        };
        self.count_stream(version);
        let replaced = self.streams.insert(key, stream);
        if let Some(replaced) = replaced {
            self.uncount_stream(replaced.version);
        }
        self.order.push_back((now, key));
    }

    fn forget(&mut self, key: StreamKey) {
        if let Some(known) = self.streams.remove(&key) {
            self.uncount_stream(known.version);
        }
    }

    fn count_stream(&mut self, version: VersionIndex) {
        if let VersionIndex::Known(index) = version {
            self.versions[usize::from(index)].streams += 1;
        }
    }

    fn uncount_stream(&mut self, version: VersionIndex) {
        if let VersionIndex::Known(index) = version {
            self.versions[usize::from(index)].streams -= 1;
        }
    }

    /// Returns what is known of a stream.
    pub fn get(&self, now: Timestamp, key: StreamKey) -> Option<StreamVersion> {
        let known = self.streams.get(&key)?;
        let is_remembered = now.since(known.noted_at) < STREAM_MEMORY;
        is_remembered.then(|| match known.version {
            VersionIndex::Known(index) => {
                StreamVersion::Known(self.versions[usize::from(index)].version.clone())
            }
            VersionIndex::Conflicting => StreamVersion::Conflicting,
        })
    }

    /// Notes that the store has streams which this entry wrote.
    pub fn note_written(&mut self, streams: impl Iterator<Item = StreamKey>) {
        for key in streams {
            if let Some(known) = self.streams.get_mut(&key) {
                known.is_confirmed = true;
            }
        }
    }

    /// Returns whether the store has a stream that this entry noted.
    pub fn stored_state(&self, key: StreamKey) -> StoredState {
        match self.streams.get(&key) {
            Some(known) if known.version == VersionIndex::Conflicting => StoredState::Never,
            Some(known) if known.is_confirmed => StoredState::Stored,
            Some(_) => StoredState::Unstored,
            None => StoredState::Never,
        }
    }

    /// Returns streams that the store may not have and that were noted until a time, the
    /// earliest first and at most `most`. They count as stored from now on: whoever takes them
    /// writes them until the store has them.
    pub fn take_unstored(&mut self, until: Timestamp, most: usize) -> Vec<BegunStream> {
        let mut streams = Vec::new();
        while streams.len() < most
            && let Some((noted_at, key)) = self.unstored.front().copied()
            && noted_at <= until
        {
            self.unstored.pop_front();
            let Some(known) = self.streams.get_mut(&key) else {
                continue;
            };
            let is_due = !known.is_stored && known.noted_at == noted_at;
            if let (true, VersionIndex::Known(index)) = (is_due, known.version) {
                known.is_stored = true;
                self.are_any_stored = true;
                let slot = &self.versions[usize::from(index)];
                streams.push((key, slot.version.clone()));
            }
        }
        streams
    }

    /// Returns when the earliest stream was noted that the store may not have.
    pub fn unstored_since(&mut self) -> Option<Timestamp> {
        while let Some((noted_at, key)) = self.unstored.front() {
            let known = self.streams.get(key);
            if known.is_some_and(|known| !known.is_stored && known.noted_at == *noted_at) {
                return Some(*noted_at);
            }
            self.unstored.pop_front();
        }
        None
    }

    /// Returns the streams of this entry that are to be announced to other entries, and counts
    /// them as announced. `is_mixed` tells whether a service has servers of several versions.
    pub fn take_unannounced(
        &mut self,
        now: Timestamp,
        is_mixed: impl Fn(&ServiceName) -> bool,
    ) -> Vec<BegunStream> {
        let mut mixed: HashMap<ServiceName, bool> = HashMap::new();
        let mut due = Vec::new();
        self.unannounced.retain(|key, service| {
            let is_due = match mixed.get(service) {
                Some(is_due) => *is_due,
                None => {
                    let is_due = is_mixed(service);
                    mixed.insert(service.clone(), is_due);
                    is_due
                }
            };
            if is_due {
                due.push(*key);
            }
            !is_due
        });
        let version_of = |key| match self.get(now, key)? {
            StreamVersion::Known(version) => Some((key, version)),
            StreamVersion::Conflicting => None,
        };
        due.into_iter().filter_map(version_of).collect()
    }

    fn index_of(&mut self, version: Option<&ServerVersion>) -> VersionIndex {
        let mut slots = self.versions.iter();
        if let Some(index) = slots.position(|slot| slot.version.as_ref() == version) {
            return VersionIndex::at(index);
        }
        let slot = VersionSlot {
            version: version.cloned(),
            streams: 0,
        };
        let mut slots = self.versions.iter();
        if let Some(index) = slots.position(|slot| slot.streams == 0) {
            self.versions[index] = slot;
            return VersionIndex::at(index);
        }
        if self.versions.len() >= MAX_VERSIONS {
            return VersionIndex::Conflicting;
        }
        self.versions.push(slot);
        VersionIndex::at(self.versions.len() - 1)
    }

    fn drop_old(&mut self, now: Timestamp) {
        while self.unstored.len() > MAX_STREAMS
            || self
                .unstored
                .front()
                .is_some_and(|(noted_at, _)| now.since(*noted_at) >= STREAM_MEMORY)
        {
            self.unstored.pop_front();
        }
        while let Some((noted_at, key)) = self.order.front().copied() {
            let is_old = now.since(noted_at) >= STREAM_MEMORY;
            if !is_old && self.order.len() < MAX_STREAMS {
                return;
            }
            self.order.pop_front();
            // One that was noted again stays.
            let is_last = |known: &KnownStream| known.noted_at == noted_at;
            if self.streams.get(&key).is_some_and(is_last) {
                self.forget(key);
                self.unannounced.remove(&key);
            }
        }
    }
}
