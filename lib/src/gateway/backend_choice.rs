//! Chooses the backend server for one request.
//!
//! Pure logic: no I/O and no clock. Every candidate gets an estimated cost in
//! milliseconds. The cost adds up the wait for a slot, the prefill queued ahead of
//! the request, the prefill of its own prompt without the blocks cached there, the
//! delay of the streams that run beside this prefill, and the expected cost of
//! failures.
//!
//! Rendezvous hashing assigns a home server to each shared prefix. The home server counts
//! as having the prefix cached even before the first request with it, so all entries send
//! such requests to the same server without coordination.

use std::collections::HashSet;
use std::hash::Hasher;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::backend_state::BackendState;
use crate::gateway::call_head::PromptBlock;
use crate::gateway::prefill_speed::PrefillSpeed;
use crate::gateway::prompt_pacing::ReadingQuery;
use crate::gateway::prompt_pacing::StreamTargets;
use crate::gateway::rollout_exposure::VersionRule;
use crate::gateway::server_limits::ServerLimits;
use crate::gateway::service_times::ServiceTimes;
use crate::gateway::slot_forecast::SlotQuery;
use crate::gateway::slot_forecast::forecast_slot_wait;
use crate::id::ServiceName;
use crate::id::ZoneName;
use crate::quantity::Timestamp;

/// Weight of the request's own prefill relative to the wait for the prefill queued ahead
/// of it. The request's prefill also delays all requests that run beside it or come after
/// it.
const PREFILL_WEIGHT: f64 = 8.0;
/// Delay of stream events that callers do not notice, in milliseconds: about the time in
/// which a replica generates one event. Without this allowance short prompts would leave
/// their home servers too, and the number of shared tokens that are computed again would
/// rise by 32% instead of 18%.
const UNNOTICED_DELAY_MS: f64 = 100.0;
/// Weight of delaying all streams of a full replica, relative to the wait of the
/// prompt itself. Twice the weight helps callers of replicas with 12 slots, but delays
/// the largest prompts at replicas with 32 slots more.
const STREAM_DELAY_WEIGHT: f64 = 6.0;
/// Cost in milliseconds of sending to a server that fails every request: about that of a
/// caller's second try.
const FAILURE_COST_MS: f64 = 1_500.0;
/// Cost in milliseconds of a server in another availability zone: a round trip of two
/// milliseconds, and the price of traffic between zones.
const ZONE_COST_MS: f64 = 3.0;
/// Random spread of costs in milliseconds, below the prefill time of a short prompt.
/// Without it, entries with the same outdated gossip would all choose the same server.
const COST_JITTER_MS: f64 = 20.0;
/// Cost in milliseconds of a server that is ejected or whose record is missing. Such
/// a server is used only if there is no other.
const UNHEALTHY_COST_MS: f64 = 100_000.0;
/// One in this many slots is expected to be taken by requests of other entries that this
/// entry has no news of yet.
const CROWDED_SLOT_DIVISOR: u32 = 4;
/// The bounds of a hash as a fraction of all hashes, within which its logarithm is finite
/// and not zero.
const MIN_HASH: f64 = f64::MIN_POSITIVE;
const MAX_HASH: f64 = 1.0 - f64::EPSILON;

/// The inputs of a choice besides the backend servers.
#[derive(Clone, Debug)]
pub struct ChoiceQuery<'a> {
    /// The service.
    pub service: &'a ServiceName,
    /// The entry's own availability zone.
    pub zone: &'a ZoneName,
    /// A hash of the request's identifier, different for each request.
    pub request_hash: u64,
    /// The blocks of the prompt. The last one is the request's own; other requests may
    /// share the blocks before it.
    pub prompt_blocks: &'a [PromptBlock],
    /// The backend servers to which this request was already sent.
    pub tried: &'a [BackendId],
    /// The only backend servers that can be reached; none if all can.
    pub reachable: Option<&'a HashSet<BackendId>>,
    /// What the caller of a stream expects, if prompts are paced.
    pub targets: Option<StreamTargets>,
    /// The limits of backend servers, and the permits of this entry.
    pub limits: &'a ServerLimits,
    /// Which versions of servers may get the request.
    pub versions: &'a VersionRule,
}

impl ChoiceQuery<'_> {
    /// Returns whether a backend server accepts requests at all, was not tried, and has
    /// a version that may get the request.
    fn may_use(&self, backend: &BackendState) -> bool {
        backend.accepts_requests()
            && !self.tried.contains(&backend.record.id)
            && self
                .reachable
                .is_none_or(|reachable| reachable.contains(&backend.record.id))
            && self.versions.admits(backend.record.version.as_ref())
    }

    /// Returns whether this entry may send to a backend server now: no back-off is in
    /// force, and the server's limit leaves room.
    fn may_send(&self, now: Timestamp, backend: &BackendState) -> bool {
        backend.back_off_left(now).is_none() && self.limits.may_send(now, &backend.record.id)
    }
}

/// A chosen backend server.
#[derive(Clone, Debug, PartialEq)]
pub struct BackendChoice {
    /// The server.
    pub id: BackendId,
    /// Its estimated cost in milliseconds.
    pub cost: f64,
    /// Estimated prompt tokens that are not cached there and need prefill.
    pub prefill_tokens: u64,
    /// Estimated wait for a slot.
    pub slot_wait: Duration,
    /// Estimated time from sending the request to its first event.
    pub first_event: Duration,
    /// The number of candidates.
    pub candidates: usize,
}

/// Chooses the backend server with the lowest cost.
pub fn choose_backend(
    set: &BackendSet,
    now: Timestamp,
    query: &ChoiceQuery<'_>,
) -> Option<BackendChoice> {
    choose_among(set, now, query, |_| true)
}

/// Chooses the healthy backend server with the lowest cost among those with a free slot.
pub fn choose_free_backend(
    set: &BackendSet,
    now: Timestamp,
    query: &ChoiceQuery<'_>,
) -> Option<BackendChoice> {
    choose_among(set, now, query, |backend| {
        let is_healthy = !backend.is_missing() && !backend.is_ejected(now);
        is_healthy && backend.occupancy(now) < backend.record.slots
    })
}

fn choose_among(
    set: &BackendSet,
    now: Timestamp,
    query: &ChoiceQuery<'_>,
    is_wanted: impl Fn(&BackendState) -> bool,
) -> Option<BackendChoice> {
    let mut candidates: Vec<&BackendState> = set
        .of_service(query.service)
        .filter(|backend| query.may_use(backend) && query.may_send(now, backend))
        .collect();
    let home = home_server(&candidates, query);
    let count = candidates.len();
    candidates.retain(|backend| is_wanted(backend));
    let times = set.times(query.service);
    candidates
        .drain(..)
        .map(|backend| {
            let prefill_tokens = estimate_prefill_tokens(backend, now, query.prompt_blocks, home);
            let cost = estimate_cost(backend, now, query, times, prefill_tokens);
            let relative_load = utilization(backend, now) * backend.pace().0;
            (cost, relative_load, prefill_tokens, backend)
        })
        // If costs are equal, the least utilized server is chosen, since replicas
        // generate faster if they run fewer requests. If several are, each request has
        // its own order of them: hundreds of entries with the same gossip would all
        // choose the first one.
        .min_by(|a, b| {
            let order =
                |backend: &BackendState| random_share(query.request_hash, &backend.record.id);
            a.0.total_cmp(&b.0)
                .then(a.1.total_cmp(&b.1))
                .then_with(|| order(a.3).total_cmp(&order(b.3)))
        })
        .map(|(cost, _, prefill_tokens, backend)| {
            let pace = backend.pace();
            let slot_wait = pace.scale(estimate_slot_wait(backend, now, times.mean_slot_time()));
            let tokens_ahead = backend.pending_tokens + backend.peer_pending_tokens;
            let tokens = pace.scale_tokens(tokens_ahead + prefill_tokens);
            BackendChoice {
                id: backend.record.id.clone(),
                cost,
                prefill_tokens,
                slot_wait,
                first_event: slot_wait + times.prefill_speed.first_event(tokens),
                candidates: count,
            }
        })
}

/// Returns the wait after which a request that no server accepts now may succeed: until
/// the first back-off ends, or until the servers with a limit together allow the next
/// request of any entry. Returns `None` if no usable server is backing off or has a
/// limit, for example because there is no server at all.
pub fn time_until_available(
    set: &BackendSet,
    now: Timestamp,
    query: &ChoiceQuery<'_>,
) -> Option<Duration> {
    let usable = set.of_service(query.service);
    let usable = usable.filter(|backend| query.may_use(backend));
    let mut back_off: Option<Duration> = None;
    let mut total_rate: Option<f64> = None;
    for backend in usable {
        if let Some(left) = backend.back_off_left(now) {
            back_off = Some(back_off.map_or(left, |shortest| shortest.min(left)));
        } else if let Some(limit) = query.limits.reports.limit(&backend.record.id) {
            total_rate = Some(total_rate.unwrap_or(0.0) + limit.0);
        }
    }
    let next_permit =
        total_rate.map(|rate| Duration::try_from_secs_f64(1.0 / rate).unwrap_or(Duration::MAX));
    back_off.into_iter().chain(next_permit).min()
}

/// Returns whether a healthy backend server accepts the request now.
pub fn has_healthy_backend(set: &BackendSet, now: Timestamp, query: &ChoiceQuery<'_>) -> bool {
    set.of_service(query.service).any(|backend| {
        let healthy = !backend.is_missing() && !backend.is_ejected(now);
        healthy && query.may_use(backend) && query.may_send(now, backend)
    })
}

/// Returns the home server of a prompt among the candidates, which is the home server of
/// its last shared block. The blocks before that one are shared by so many prompts that
/// every home server has them cached. Servers with a limit are home servers only if all
/// candidates have a limit: entries get permits in turn and would disagree on the home
/// server.
fn home_server<'a>(
    candidates: &[&'a BackendState],
    query: &ChoiceQuery<'_>,
) -> Option<&'a BackendId> {
    let last_shared = query.prompt_blocks.len().checked_sub(2)?;
    let block = query.prompt_blocks[last_shared].id;
    let all = candidates.iter().copied();
    let unlimited = all
        .clone()
        .filter(|backend| !query.limits.is_limited(&backend.record.id));
    rendezvous_hash(unlimited, block).or_else(|| rendezvous_hash(all, block))
}

/// Returns the candidate that rendezvous hashing assigns to a prompt block. If the paces of
/// the candidates are known, each gets blocks in proportion to its share of the work, and
/// a change of one share moves only blocks of that candidate.
fn rendezvous_hash<'a>(
    candidates: impl Iterator<Item = &'a BackendState> + Clone,
    block: u64,
) -> Option<&'a BackendId> {
    let hash = |backend: &&BackendState| {
        let mut hasher = XxHash64::with_seed(block);
        write_id(&mut hasher, &backend.record.id);
        hasher.finish()
    };
    let weighted_hash = |backend: &&BackendState| {
        let fraction = (hash(backend) as f64 / u64::MAX as f64).clamp(MIN_HASH, MAX_HASH);
        -backend.pace().work_share() / fraction.ln()
    };
    let best = match candidates.clone().any(BackendState::is_paced) {
        true => candidates
            .map(|backend| (weighted_hash(&backend), backend))
            .max_by(|a, b| a.0.total_cmp(&b.0))
            .map(|(_, backend)| backend),
        false => candidates.max_by_key(hash),
    };
    best.map(|backend| &backend.record.id)
}

/// Estimates the tokens that a backend server has to prefill. A block is cached only
/// if every block before it is.
fn estimate_prefill_tokens(
    backend: &BackendState,
    now: Timestamp,
    blocks: &[PromptBlock],
    home: Option<&BackendId>,
) -> u64 {
    let total: u64 = blocks.iter().map(|block| block.tokens.0).sum();
    let shared = &blocks[..blocks.len().saturating_sub(1)];
    let is_home = home == Some(&backend.record.id);
    let was_sent =
        |block: &&PromptBlock| backend.block_sent_at(block.id).is_some_and(|at| at <= now);
    let cached = shared.iter().take_while(|block| is_home || was_sent(block));
    total - cached.map(|block| block.tokens.0).sum::<u64>()
}

/// Returns the cost of a prefill to the streams that run beside it, whose events are
/// delayed meanwhile. `utilization` is the share of slots that these streams occupy.
fn stream_delay_cost(prefill_ms: f64, utilization: f64) -> f64 {
    (prefill_ms - UNNOTICED_DELAY_MS).max(0.0) * utilization * STREAM_DELAY_WEIGHT
}

/// Adds an incarnation to a hash. The start time is included because a restarted server
/// has an empty cache: its blocks may then get other home servers.
fn write_id(hasher: &mut XxHash64, id: &BackendId) {
    hasher.write(id.name.0.as_bytes());
    if id.start.is_known() {
        hasher.write(&id.start.0.to_le_bytes());
    }
}

/// Estimates the wait for a slot by the runs at a backend server. `mean_time` is the mean
/// time of a request in a slot.
fn estimate_slot_wait(backend: &BackendState, now: Timestamp, mean_time: Duration) -> Duration {
    let query = SlotQuery {
        slots: backend.record.slots,
        occupancy: backend.occupancy(now),
        mean_time,
    };
    forecast_slot_wait(now, &query, &backend.own_runs)
}

/// Returns the delay that a request has to expect at a server that is nearly full. The
/// gossip of other entries is some hundred milliseconds old, in which their requests take
/// the last free slots.
fn crowding_delay(backend: &BackendState, now: Timestamp, total_time: Duration) -> Duration {
    let slots = backend.record.slots.max(1);
    let uncrowded = slots - slots / CROWDED_SLOT_DIVISOR;
    let taken = backend.occupancy(now).saturating_add(1).min(slots);
    let crowding = taken.saturating_sub(uncrowded);
    total_time.mul_f64(f64::from(crowding) / f64::from(slots))
}

/// Returns a pseudorandom number from 0 to 1 for a request and a server.
fn random_share(request: u64, id: &BackendId) -> f64 {
    let mut hasher = XxHash64::with_seed(request);
    write_id(&mut hasher, id);
    hasher.finish() as f64 / u64::MAX as f64
}

/// Returns the requests at a backend server relative to its slots.
fn utilization(backend: &BackendState, now: Timestamp) -> f64 {
    f64::from(backend.occupancy(now)) / f64::from(backend.record.slots.max(1))
}

/// Estimates the cost of reading the prompt of a request at a backend server, in
/// milliseconds.
fn reading_cost(
    backend: &BackendState,
    now: Timestamp,
    query: &ChoiceQuery<'_>,
    speed: PrefillSpeed,
    prefill_tokens: u64,
) -> f64 {
    let pace = backend.pace();
    let read_ms = |tokens| speed.prefill_millis(tokens) * pace.0;
    let queued_ms = read_ms(backend.pending_tokens + backend.peer_pending_tokens);
    let utilization = utilization(backend, now).min(1.0);
    match (backend.event_time(), query.targets) {
        (Some(event_time), Some(targets)) => {
            let own_block = query.prompt_blocks.last();
            let own_tokens = own_block.map_or(0, |block| block.tokens.0.min(prefill_tokens));
            let reading = ReadingQuery {
                event_time,
                queued_ms,
                own_ms: read_ms(own_tokens),
                repeated_ms: read_ms(prefill_tokens - own_tokens),
                utilization,
                targets,
            };
            reading.cost_ms()
        }
        _ => {
            let prefill_ms = read_ms(prefill_tokens);
            queued_ms + prefill_ms * PREFILL_WEIGHT + stream_delay_cost(prefill_ms, utilization)
        }
    }
}

/// Estimates the cost of sending a request to a backend server, in milliseconds.
fn estimate_cost(
    backend: &BackendState,
    now: Timestamp,
    query: &ChoiceQuery<'_>,
    times: ServiceTimes,
    prefill_tokens: u64,
) -> f64 {
    let mut cost = reading_cost(backend, now, query, times.prefill_speed, prefill_tokens);
    let slot_wait = estimate_slot_wait(backend, now, times.mean_slot_time());
    let crowding_delay = match backend.is_paced() {
        true => crowding_delay(backend, now, times.mean_slot_time()),
        false => Duration::ZERO,
    };
    let wait = backend.pace().scale(slot_wait + crowding_delay);
    cost += wait.as_secs_f64() * 1_000.0;
    cost += backend.failure_share * FAILURE_COST_MS;
    if backend.record.zone != *query.zone {
        cost += ZONE_COST_MS;
    }
    if let Some(own_block) = query.prompt_blocks.last() {
        cost += COST_JITTER_MS * random_share(own_block.id, &backend.record.id);
    }
    if backend.is_missing() || backend.is_ejected(now) {
        cost += UNHEALTHY_COST_MS;
    }
    cost
}
