//! Carries out roll-outs while this entry holds the lease: it reads the operator's orders,
//! judges the versions, and stores the status.
//!
//! A status is written only if the topic ends where this entry expects it to end, so that
//! of two holders only one stores a verdict. After a failure the holder reads what is
//! stored before it writes again. The verdict that a version is bad takes effect before it
//! is stored, and the opposite one only after.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use metrics::counter;
use slog::info;
use slog::warn;

use crate::gateway::backend_set::BackendSet;
use crate::gateway::backend_state::BackendState;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::platform_interface::LogSlice;
use crate::gateway::platform_interface::LogTopic;
use crate::gateway::platform_interface::PlatformError;
use crate::gateway::rollout_evidence::VersionSide;
use crate::gateway::rollout_judge::BadKind;
use crate::gateway::rollout_judge::RolloutJudge;
use crate::gateway::rollout_judge::RolloutVerdict;
use crate::gateway::rollout_state::OrderFault;
use crate::gateway::rollout_state::RolloutOrder;
use crate::gateway::rollout_state::RolloutPhase;
use crate::gateway::rollout_state::RolloutStatus;
use crate::gateway::rollout_state::StepInputs;
use crate::gateway::rollout_state::next_phase;
use crate::gateway::rollout_state::start_rollout;
use crate::gateway::rollout_table::RolloutNews;
use crate::id::FenceToken;
use crate::id::LogOffset;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// How often the holder compares the versions.
const JUDGE_INTERVAL: Duration = Duration::from_millis(250);
/// How often the holder reads the store for orders.
const READ_INTERVAL: Duration = Duration::from_secs(1);
/// How long the next order for a service waits after a verdict. Servers of the version
/// that lost may still be there.
const SUCCESSION_PAUSE: Duration = Duration::from_secs(20);
/// The slots that the new version must have for each request of the service.
const CAPACITY_RATIO: f64 = 1.15;

/// Decides roll-outs while this entry holds the lease. This is a task of its own: a bad
/// version has to lose its traffic within seconds, also while the cloud does not answer.
pub async fn run_rollouts(context: Arc<GatewayContext>) {
    if context.settings.rollout.is_none() {
        return;
    }
    let mut runner = RolloutRunner::default();
    loop {
        tokio::time::sleep(JUDGE_INTERVAL).await;
        let lease = context.lease.lock().valid_lease(context.now());
        if let Some(lease) = lease {
            runner.run(&context, lease.fencing_token).await;
        }
    }
}

/// The statuses in the store.
#[derive(Debug)]
struct StoredStatuses {
    by_service: BTreeMap<ServiceName, RolloutStatus>,
    /// The end of the topic.
    end: LogOffset,
}

/// An order and its offset.
#[derive(Clone, Debug)]
struct NumberedOrder {
    number: LogOffset,
    order: RolloutOrder,
    /// When the store did not have the order yet, or `None` if this entry found it there
    /// at its first read.
    unordered_at: Option<Timestamp>,
}

/// What the holder of the lease knows of roll-outs.
#[derive(Debug, Default)]
struct RolloutRunner {
    /// The tenure to which this state belongs.
    fence: Option<FenceToken>,
    next_read_at: Timestamp,
    /// Where the next read of orders begins, and when the last one was made.
    orders_read: Option<(LogOffset, Timestamp)>,
    orders: BTreeMap<ServiceName, NumberedOrder>,
    /// `None` if they have to be read first.
    statuses: Option<StoredStatuses>,
    judges: BTreeMap<LogOffset, RolloutJudge>,
    /// The verdicts of this tenure, which are never decided again.
    verdicts: BTreeMap<ServiceName, RolloutNews>,
    /// Orders whose completion may be stored. They are not decided otherwise.
    completing: BTreeSet<LogOffset>,
    /// Orders whose refusal is logged.
    refused: BTreeSet<LogOffset>,
}

impl RolloutRunner {
    /// Reads orders if that is due, and takes the next step of each roll-out. A roll-out
    /// goes on while the store is away.
    async fn run(&mut self, context: &Arc<GatewayContext>, fence: FenceToken) {
        if self.fence != Some(fence) {
            *self = Self {
                fence: Some(fence),
                ..Self::default()
            };
        }
        let now = context.now();
        if now >= self.next_read_at {
            self.next_read_at = now.after(READ_INTERVAL);
            if let Err(error) = self.read_store(context).await {
                warn!(context.log, "reading roll-outs failed"; "error" => %error);
            }
        }
        let known = context.rollouts.lock().current_news(context.now());
        for news in known {
            if news.phase.is_final() {
                self.verdicts.insert(news.order.service.clone(), news);
            } else {
                self.advance(context, news, fence).await;
            }
        }
        for order in self.orders.clone().into_values() {
            self.begin(context, &order, fence).await;
        }
        for news in self.verdicts.clone().into_values() {
            self.store_verdict(context, &news).await;
        }
    }

    async fn read_store(&mut self, context: &GatewayContext) -> Result<(), PlatformError> {
        let store = &context.platform.store;
        if self.statuses.is_none() {
            let slice = store.read_latest(LogTopic::Statuses).await?;
            self.statuses = Some(read_statuses(context, &slice));
        }
        let asked_at = context.now();
        let from = self.orders_read.map(|(end, _)| end);
        let unordered_at = self.orders_read.map(|(_, read_at)| read_at);
        let read = match from {
            None => store.read_latest(LogTopic::Configuration).await,
            Some(from) => {
                store
                    .read(LogTopic::Configuration, from, Duration::ZERO)
                    .await
            }
        };
        let slice = match read {
            Err(PlatformError::OffsetOutOfRange(_)) => LogSlice::default(),
            read => read?,
        };
        let is_incomplete = slice.misses_records(from) || slice.end < from.unwrap_or_default();
        self.orders_read = (!is_incomplete).then_some((slice.end, asked_at));
        if !is_incomplete {
            self.read_orders(context, &slice, unordered_at);
        }
        Ok(())
    }

    fn read_orders(
        &mut self,
        context: &GatewayContext,
        slice: &LogSlice,
        unordered_at: Option<Timestamp>,
    ) {
        let format = &context.platform.format;
        for record in &slice.records {
            let key = record.key.as_deref().unwrap_or_default();
            if record.value.is_empty() {
                continue;
            }
            match format.decode_rollout(key, &record.value) {
                None => {}
                Some(Ok(order)) => {
                    let number = record.offset;
                    let service = order.service.clone();
                    self.orders.insert(
                        service,
                        NumberedOrder {
                            number,
                            order,
                            unordered_at,
                        },
                    );
                }
                Some(Err(error)) => {
                    counter!("cloverbend_rollout_orders_refused_total").increment(1);
                    warn!(context.log, "order for a roll-out refused"; "key" => key,
                        "error" => %error);
                }
            }
        }
    }

    /// Begins an order, unless an earlier one of its service goes on.
    async fn begin(
        &mut self,
        context: &Arc<GatewayContext>,
        order: &NumberedOrder,
        fence: FenceToken,
    ) {
        let NumberedOrder {
            number,
            order,
            unordered_at,
        } = order;
        let now = context.now();
        let known = context.rollouts.lock().news_of(now, &order.service);
        let phase_age = context.rollouts.lock().phase_age(now, &order.service);
        let decided = self.verdicts.get(&order.service);
        let is_known = known
            .iter()
            .chain(decided)
            .any(|news| news.number >= *number);
        let must_wait =
            known.is_some_and(|news| !news.phase.is_final() || phase_age < SUCCESSION_PAUSE);
        if is_known || must_wait {
            return;
        }
        let Some(statuses) = &self.statuses else {
            return;
        };
        let status = statuses.by_service.get(&order.service);
        let started = match check_order(context, order, status) {
            None => return,
            Some(Ok(phase)) => phase,
            // Each new holder finds the orders that were carried out.
            Some(Err(OrderFault::AlreadyDecided)) if unordered_at.is_none() => return,
            Some(Err(fault)) => {
                self.log_refusal(context, *number, order, fault);
                return;
            }
        };
        let status = RolloutStatus {
            target: order.target.clone(),
            phase: started,
        };
        if !self.store_status(context, &order.service, status).await {
            return;
        }
        let news = RolloutNews {
            order: order.clone(),
            number: *number,
            fence,
            phase: started,
            age: unordered_at.map_or(Duration::ZERO, |at| context.now().since(at)),
            news_age: Duration::ZERO,
            new_answers: 0,
        };
        info!(context.log, "roll-out began"; "service" => %order.service,
            "version" => %order.target, "duration_s" => order.duration.as_secs_f64());
        announce(context, news);
    }

    fn log_refusal(
        &mut self,
        context: &GatewayContext,
        number: LogOffset,
        order: &RolloutOrder,
        fault: OrderFault,
    ) {
        if self.refused.insert(number) {
            counter!("cloverbend_rollout_orders_refused_total").increment(1);
            warn!(context.log, "order for a roll-out not carried out"; "error" => %fault,
                "service" => %order.service, "version" => %order.target);
        }
    }

    /// Judges a version, and takes the next step.
    async fn advance(
        &mut self,
        context: &Arc<GatewayContext>,
        news: RolloutNews,
        fence: FenceToken,
    ) {
        let now = context.now();
        // A call to the store may have taken long.
        if context.lease.lock().valid_lease(now).is_none() {
            return;
        }
        let service = news.order.service.clone();
        let total = context.rollouts.lock().total(&service);
        let phase_age = context.rollouts.lock().phase_age(now, &service);
        let judge = self.judges.entry(news.number).or_default();
        let verdict = judge.judge(&total);
        let sums = BadKind::ALL.map(|kind| judge.highest_sum(kind));
        let mut inputs = StepInputs {
            age: news.age,
            phase_age,
            verdict,
            has_capacity: false,
            old_in_flight: 0,
        };
        note_servers(&context.backends.lock(), now, &news.order, &mut inputs);
        let stored = self.stored_verdict(&news);
        let next = stored.or_else(|| match self.completing.contains(&news.number) {
            true => Some(RolloutPhase::Completed),
            false => next_phase(news.phase, &news.order, &inputs),
        });
        let phase = next.unwrap_or(news.phase);
        if phase == RolloutPhase::Completed && stored.is_none() {
            let target = news.order.target.clone();
            let status = RolloutStatus { target, phase };
            self.completing.insert(news.number);
            if !self.store_status(context, &service, status).await {
                return;
            }
        }
        let news = RolloutNews {
            fence,
            phase,
            news_age: Duration::ZERO,
            new_answers: total.answers(VersionSide::New),
            ..news
        };
        if next.is_some() {
            let fault = match verdict {
                RolloutVerdict::Bad(kind) => Some(kind.to_string()),
                RolloutVerdict::Good | RolloutVerdict::Undecided => None,
            };
            counter!("cloverbend_rollout_states_total", "state" => phase.to_string()).increment(1);
            info!(context.log, "roll-out went on"; "service" => %service,
                "version" => %news.order.target, "state" => %phase, "fault" => fault,
                "age_s" => news.age.as_secs_f64(), "new_answers" => news.new_answers,
                "old_answers" => total.answers(VersionSide::Old),
                "new_failures" => total.failures(VersionSide::New),
                "old_failures" => total.failures(VersionSide::Old),
                "failing_sum" => sums[0], "slow_sum" => sums[1],
                "has_capacity" => inputs.has_capacity, "old_in_flight" => inputs.old_in_flight);
        }
        if phase.is_final() {
            self.verdicts.insert(service, news.clone());
        }
        announce(context, news);
    }

    /// Returns the verdict that the store has on a version.
    fn stored_verdict(&self, news: &RolloutNews) -> Option<RolloutPhase> {
        let statuses = self.statuses.as_ref()?;
        let stored = statuses.by_service.get(&news.order.service)?;
        let is_verdict = stored.target == news.order.target && stored.phase.is_final();
        is_verdict.then_some(stored.phase)
    }

    /// Stores a verdict, unless the store has one.
    async fn store_verdict(&mut self, context: &Arc<GatewayContext>, news: &RolloutNews) {
        let is_read = self.statuses.is_some();
        let is_superseded = self
            .statuses
            .iter()
            .filter_map(|statuses| statuses.by_service.get(&news.order.service))
            .any(|status| status.target != news.order.target);
        if is_read && !is_superseded && self.stored_verdict(news).is_none() {
            let status = RolloutStatus {
                target: news.order.target.clone(),
                phase: news.phase,
            };
            self.store_status(context, &news.order.service, status)
                .await;
        }
    }

    /// Stores a status, unless the store has it. Returns whether the store has it now.
    async fn store_status(
        &mut self,
        context: &Arc<GatewayContext>,
        service: &ServiceName,
        status: RolloutStatus,
    ) -> bool {
        let Some(statuses) = &mut self.statuses else {
            return false;
        };
        if statuses.by_service.get(service) == Some(&status) {
            return true;
        }
        if context.lease.lock().valid_lease(context.now()).is_none() {
            return false;
        }
        let format = &context.platform.format;
        let key = format.rollout_key(service);
        let value = format.encode_rollout_status(&status);
        let store = &context.platform.store;
        let appended = store
            .append(LogTopic::Statuses, Some(&key), value, Some(statuses.end))
            .await;
        match appended {
            Ok(position) => {
                info!(context.log, "status of a roll-out stored"; "service" => %service,
                    "version" => %status.target, "state" => %status.phase);
                statuses.end = LogOffset(position.offset.0 + 1);
                statuses.by_service.insert(service.clone(), status);
                true
            }
            Err(error) => {
                warn!(context.log, "storing the status of a roll-out failed";
                    "service" => %service, "state" => %status.phase, "error" => %error);
                // It may have been stored nevertheless, or another holder wrote.
                self.statuses = None;
                false
            }
        }
    }
}

/// Makes news known here and, by gossip, at other entries.
fn announce(context: &GatewayContext, news: RolloutNews) {
    let now = context.now();
    let is_changed = context.rollouts.lock().note_news(now, news, rand::random());
    if is_changed {
        context.gossip_due.notify_one();
    }
}

fn read_statuses(context: &GatewayContext, slice: &LogSlice) -> StoredStatuses {
    let format = &context.platform.format;
    let mut by_service = BTreeMap::new();
    for record in &slice.records {
        let key = record.key.as_deref().unwrap_or_default();
        match format.decode_rollout_status(key, &record.value) {
            None => {}
            Some(Ok((service, status))) => {
                by_service.insert(service, status);
            }
            Some(Err(error)) => {
                warn!(context.log, "status of a roll-out refused"; "key" => key, "error" => %error);
            }
        }
    }
    let end = slice.end;
    StoredStatuses { by_service, end }
}

/// Returns the state in which an order begins, or `None` if this entry does not know the
/// servers or the services yet.
fn check_order(
    context: &GatewayContext,
    order: &RolloutOrder,
    status: Option<&RolloutStatus>,
) -> Option<Result<RolloutPhase, OrderFault>> {
    let config = context.config.lock().adopted().cloned()?;
    let is_known = config.services.contains_key(&order.service);
    let backends = context.backends.lock();
    backends.confirmed_at()?;
    let servers = backends.of_service(&order.service);
    let versions = servers.map(|server| server.record.version.as_ref());
    Some(start_rollout(order, status, is_known, versions))
}

/// Notes whether the new servers have room for the whole load, and what the old ones still
/// have to do.
fn note_servers(
    backends: &BackendSet,
    now: Timestamp,
    order: &RolloutOrder,
    inputs: &mut StepInputs,
) {
    let is_new = |server: &BackendState| server.record.version.as_ref() == Some(&order.target);
    let (mut slots, mut requests) = (0_u32, 0_u32);
    for server in backends.of_service(&order.service) {
        let occupancy = server.occupancy(now);
        requests = requests.saturating_add(occupancy);
        if !is_new(server) {
            inputs.old_in_flight = inputs.old_in_flight.saturating_add(occupancy);
        } else if server.accepts_requests() && !server.is_ejected(now) && !server.is_missing() {
            slots = slots.saturating_add(server.record.slots);
        }
    }
    inputs.has_capacity = slots > 0 && f64::from(slots) >= f64::from(requests) * CAPACITY_RATIO;
}
