//! The choice of a backend server for one request.
//!
//! Pure. Every candidate gets an estimated cost in milliseconds: the wait for
//! a slot, the prompts that are read before, the own prompt as far as it is
//! not kept there, the pauses that it causes in streams which run there, and
//! what failures cost. Where a shared part of the prompt
//! has not been sent yet, rendezvous hashing decides where it goes, so that
//! entries agree on a home for every part without talking.

use std::hash::Hasher;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::backend_state::BackendState;
use crate::gateway::call_head::PromptBlock;
use crate::gateway::server_limits::ServerLimits;
use crate::gateway::service_times::ServiceTimes;
use crate::id::ServiceName;
use crate::id::ZoneName;
use crate::quantity::Timestamp;

/// How much the reading of a prompt weighs against the wait for those before
/// it: everything that runs beside it and comes after it waits for it too.
/// Measured: 4, 8 (docs/DECISIONS.md).
const RECOMPUTE_WEIGHT: f64 = 8.0;
/// Milliseconds by which the events of a stream may come later without being
/// noticed: about the time in which a replica makes one. Without it short
/// prompts leave their homes too: shared tokens that are read again rise by 32 %
/// in place of 18 %.
const NOTICED_DELAY: f64 = 100.0;
/// How much a delay of all that runs at a full replica weighs, against the wait
/// of the prompt itself. Twice as much serves callers of replicas with 12 slots
/// better, by 0.004 ± 0.002 of a day, and the largest prompts of replicas with
/// 32 slots worse: -0.023 ± 0.007 in place of -0.012 ± 0.008 (paired plays).
const DELAY_WEIGHT: f64 = 6.0;
/// Milliseconds for a certain failure; a caller's second try costs as much.
const FAILURE_COST: f64 = 1_500.0;
/// Milliseconds for another availability zone: two ways of a millisecond, and
/// the price of bytes between zones.
const ZONE_COST: f64 = 3.0;
/// Milliseconds by which costs are blurred, less than a short prompt takes to
/// read: entries that decide by the same old news must not all choose the same
/// server. Whole days 0.003 ± 0.002 (24 paired plays at 23 entries).
const STALE_SPREAD: f64 = 20.0;
/// Milliseconds for one whose record is missing or that failed repeatedly; it
/// is used only if there is no other.
const DOUBT_COST: f64 = 100_000.0;

/// What a choice depends on beside the backend servers.
#[derive(Clone, Debug)]
pub struct ChoiceQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The entry's own availability zone.
    pub zone: &'a ZoneName,
    /// The parts of the prompt, the request's own part last.
    pub prompt_blocks: &'a [PromptBlock],
    /// BackendState servers that this request has already been sent to.
    pub tried: &'a [BackendId],
    /// What servers with a limit take of this entry.
    pub limits: &'a ServerLimits,
}

impl ChoiceQuery<'_> {
    /// Returns whether a backend server takes work at all and was not tried.
    fn may_use(&self, backend: &BackendState) -> bool {
        backend.accepts_requests() && !self.tried.contains(&backend.record.id)
    }

    /// Returns whether a backend server takes a request of this entry now: it does
    /// not rest, and leaves room within its limit.
    fn is_open(&self, now: Timestamp, backend: &BackendState) -> bool {
        backend.rest_left(now).is_none() && self.limits.may_send(now, &backend.record.id)
    }
}

/// A chosen backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendChoice {
    /// The server.
    pub id: BackendId,
    /// Its estimated cost in milliseconds.
    pub cost: f64,
    /// Prompt tokens that it probably has to read.
    pub prefill_tokens: u64,
    /// How long it probably waits for a slot.
    pub slot_wait: Duration,
    /// When its first event is expected after the send.
    pub first_event: Duration,
    /// The number of candidates.
    pub candidates: usize,
}

/// Chooses the backend server of least cost.
pub fn choose_backend(
    set: &BackendSet,
    now: Timestamp,
    query: &ChoiceQuery<'_>,
) -> Option<BackendChoice> {
    let mut candidates: Vec<&BackendState> = set
        .of_service(query.service)
        .filter(|backend| query.may_use(backend) && query.is_open(now, backend))
        .collect();
    let home = part_home(&candidates, query);
    let count = candidates.len();
    let times = set.times(query.service);
    candidates
        .drain(..)
        .map(|backend| {
            let unread = unread_tokens(backend, now, query.prompt_blocks, home);
            let cost = estimate(backend, now, query, times, unread);
            (cost, filling(backend, now), unread, backend)
        })
        // Among equals the emptiest: replicas generate faster the fewer
        // requests they run.
        .min_by(|a, b| a.0.total_cmp(&b.0).then(a.1.total_cmp(&b.1)))
        .map(|(cost, _, unread, backend)| {
            let slot_wait = slot_wait(backend, now, times.hold);
            let before = backend.pending_tokens + backend.peer_pending_tokens;
            BackendChoice {
                id: backend.record.id.clone(),
                cost,
                prefill_tokens: unread,
                slot_wait,
                first_event: slot_wait + times.prefill_speed.first_event(before + unread),
                candidates: count,
            }
        })
}

/// Returns after what time a request has a chance for which there is no server
/// now: when the first one that rests has rested, or when all entries together may
/// send the next request to those with a limit. None if there is no server at all.
pub fn time_until_available(
    set: &BackendSet,
    now: Timestamp,
    query: &ChoiceQuery<'_>,
) -> Option<Duration> {
    let usable = set.of_service(query.service);
    let usable = usable.filter(|backend| query.may_use(backend));
    let mut rest: Option<Duration> = None;
    let mut limits: Option<f64> = None;
    for backend in usable {
        if let Some(left) = backend.rest_left(now) {
            rest = Some(rest.map_or(left, |least| least.min(left)));
        } else if let Some(limit) = query.limits.reports.limit(&backend.record.id) {
            limits = Some(limits.unwrap_or(0.0) + limit.0);
        }
    }
    let next_permit =
        limits.map(|sum| Duration::try_from_secs_f64(1.0 / sum).unwrap_or(Duration::MAX));
    rest.into_iter().chain(next_permit).min()
}

/// Returns whether a sound backend server takes the request now.
pub fn has_healthy_backend(set: &BackendSet, now: Timestamp, query: &ChoiceQuery<'_>) -> bool {
    set.of_service(query.service).any(|backend| {
        let sound = !backend.is_missing() && !backend.is_excluded(now);
        sound && query.may_use(backend) && query.is_open(now, backend)
    })
}

/// Returns the home of a prompt among the candidates: that of its last shared
/// part. The parts before it are shared by so many that every home has them.
/// Servers with limits are homes only if all candidates have some: entries have
/// permits by turns, and would have different homes.
fn part_home<'a>(
    candidates: &[&'a BackendState],
    query: &ChoiceQuery<'_>,
) -> Option<&'a BackendId> {
    let last_shared = query.prompt_blocks.len().checked_sub(2)?;
    let part = query.prompt_blocks[last_shared].id;
    let ids = candidates.iter().map(|backend| &backend.record.id);
    let free = ids.clone().filter(|id| !query.limits.is_limited(id));
    rendezvous(free, part).or_else(|| rendezvous(ids, part))
}

fn rendezvous<'a>(
    candidates: impl Iterator<Item = &'a BackendId>,
    part: u64,
) -> Option<&'a BackendId> {
    candidates.max_by_key(|id| {
        let mut hasher = XxHash64::with_seed(part);
        write_id(&mut hasher, id);
        hasher.finish()
    })
}

/// Estimates the tokens that a backend server has to read: a part is kept only
/// if every part before it is.
fn unread_tokens(
    backend: &BackendState,
    now: Timestamp,
    parts: &[PromptBlock],
    home: Option<&BackendId>,
) -> u64 {
    let total: u64 = parts.iter().map(|part| part.tokens.0).sum();
    let shared = &parts[..parts.len().saturating_sub(1)];
    let is_home = home == Some(&backend.record.id);
    let sent = |part: &&PromptBlock| backend.part_used_at(part.id).is_some_and(|at| at <= now);
    let kept = shared.iter().take_while(|part| is_home || sent(part));
    total - kept.map(|part| part.tokens.0).sum::<u64>()
}

/// Returns what the reading of a prompt costs those that run beside it: their
/// events pause meanwhile. `filling` is the share of slots that they take.
fn delay_of_streams(reading: f64, filling: f64) -> f64 {
    (reading - NOTICED_DELAY).max(0.0) * filling * DELAY_WEIGHT
}

/// Adds a life to a hash. A server that has started again keeps nothing, so its
/// parts find homes anew.
fn write_id(hasher: &mut XxHash64, id: &BackendId) {
    hasher.write(id.name.0.as_bytes());
    if id.start.is_known() {
        hasher.write(&id.start.0.to_le_bytes());
    }
}

/// Returns how long a request waits for a slot: they become free one after the
/// other, within the time of a request.
fn slot_wait(backend: &BackendState, now: Timestamp, hold: Duration) -> Duration {
    let slots = backend.record.slots.max(1);
    let waiting = (backend.occupancy(now) + 1).saturating_sub(slots);
    hold.mul_f64(f64::from(waiting) / f64::from(slots))
}

/// Returns a number from 0 to 1 that differs for each request and server.
fn draw(request: u64, id: &BackendId) -> f64 {
    let mut hasher = XxHash64::with_seed(request);
    write_id(&mut hasher, id);
    hasher.finish() as f64 / u64::MAX as f64
}

/// Returns how full a backend server is; 1 if all its slots are taken.
fn filling(backend: &BackendState, now: Timestamp) -> f64 {
    f64::from(backend.occupancy(now)) / f64::from(backend.record.slots.max(1))
}

fn estimate(
    backend: &BackendState,
    now: Timestamp,
    query: &ChoiceQuery<'_>,
    times: ServiceTimes,
    unread: u64,
) -> f64 {
    let before = times
        .prefill_speed
        .reading_millis(backend.pending_tokens + backend.peer_pending_tokens);
    let reading = times.prefill_speed.reading_millis(unread);
    let own = reading * RECOMPUTE_WEIGHT;
    let mut cost = before + own;
    cost += delay_of_streams(reading, filling(backend, now).min(1.0));
    cost += slot_wait(backend, now, times.hold).as_secs_f64() * 1_000.0;
    cost += backend.failure_share * FAILURE_COST;
    if backend.record.zone != *query.zone {
        cost += ZONE_COST;
    }
    if let Some(own) = query.prompt_blocks.last() {
        cost += STALE_SPREAD * draw(own.id, &backend.record.id);
    }
    if backend.is_missing() || backend.is_excluded(now) {
        cost += DOUBT_COST;
    }
    cost
}
