//! Carries out the duties of the lease holder: it reports usage and orders replicas.
//!
//! Before each call the holder checks that its lease is valid. The call ends before
//! the lease expires.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use slog::info;
use slog::warn;

use crate::gateway::duty_call::CallOutcome;
use crate::gateway::duty_call::call_cloud;
use crate::gateway::duty_log::append_duty;
use crate::gateway::duty_record::DutyRecord;
use crate::gateway::fatal_sync::FatalSync;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::history_sync::HistorySync;
use crate::gateway::interim_counts::InterimCounts;
use crate::gateway::lease_state::ValidLease;
use crate::gateway::lease_task::give_up;
use crate::gateway::peer_table::HUB_COUNT;
use crate::gateway::platform_interface::PlatformError;
use crate::gateway::replica_scaler::ReplicaScaler;
use crate::gateway::usage_table::WindowCounts;
use crate::gateway::usage_table::WindowNumber;
use crate::id::FenceToken;
use crate::quantity::Timestamp;

/// How often an entry checks what duties are due.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How long after the end of a window its counts are decided. By then every entry has
/// sent its counts several times.
const DECISION_DELAY: Duration = Duration::from_millis(1_500);
/// How many of the latest closed windows are reported. The cloud ignores reports for
/// earlier ones.
const REPORTABLE_WINDOWS: u64 = 2;
/// The delay after a failed append of interim counts ([`DutyRecord::Interim`]).
const INTERIM_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Carries out the duties while this entry holds the lease.
pub async fn run_duties(context: Arc<GatewayContext>) {
    let mut runner = DutyRunner::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL).await;
        let lease = context.lease.lock().valid_lease(context.now());
        match lease {
            Some(lease) => runner.run_as_holder(&context, lease).await,
            None => runner.run_as_standby(&context),
        }
    }
}

/// The state of the duties under one fencing token.
struct DutyRunner {
    /// The fencing token of the tenure to which this state belongs.
    fencing_token: Option<FenceToken>,
    reported: BTreeSet<WindowNumber>,
    /// What is saved of the windows that are not decided yet.
    interim: InterimCounts,
    /// After a failure, the earliest time at which interim counts are saved again.
    interim_retry_at: Timestamp,
    replica_scaler: ReplicaScaler,
    fatal_sync: FatalSync,
    history_sync: HistorySync,
}

impl DutyRunner {
    fn new() -> Self {
        Self {
            fencing_token: None,
            reported: BTreeSet::new(),
            interim: InterimCounts::new(),
            interim_retry_at: Timestamp(0),
            replica_scaler: ReplicaScaler::new(),
            fatal_sync: FatalSync::default(),
            history_sync: HistorySync::default(),
        }
    }

    /// Starts a new tenure. It keeps the replica plans made as a standby.
    fn reset(&mut self, fencing_token: FenceToken) {
        self.fencing_token = Some(fencing_token);
        self.reported.clear();
        self.interim = InterimCounts::new();
        self.fatal_sync.reset();
        self.history_sync.reset();
        self.replica_scaler.forget_orders();
    }

    /// Keeps the replica plans up to date, if this entry is a hub and so may claim the
    /// lease.
    fn run_as_standby(&mut self, context: &GatewayContext) {
        let rank = context.peers.lock().hub_rank(context.now());
        if rank < HUB_COUNT {
            self.replica_scaler.plan_as_standby(context);
        }
    }

    async fn run_as_holder(&mut self, context: &Arc<GatewayContext>, lease: ValidLease) {
        if self.fencing_token != Some(lease.fencing_token) {
            self.reset(lease.fencing_token);
        }
        let reported = self.report_windows(context).await;
        // Orders do not need the store, so they continue when a report fails.
        let ordered = self.replica_scaler.order(context).await;
        if let (Err(PlatformError::Fenced), _) | (_, Err(PlatformError::Fenced)) =
            (reported, ordered)
        {
            give_up(context, "fenced");
            return;
        }
        self.save_interim(context).await;
        if context.lease.lock().valid_lease(context.now()).is_some() {
            self.fatal_sync.sync(context).await;
        }
        if context.lease.lock().valid_lease(context.now()).is_some() {
            self.history_sync.sync(context).await;
        }
    }

    async fn report_windows(&mut self, context: &Arc<GatewayContext>) -> Result<(), PlatformError> {
        let current = context.usage_window();
        let oldest = current.saturating_sub(REPORTABLE_WINDOWS);
        self.reported.retain(|window| *window >= oldest);
        for window in oldest..current {
            if self.reported.contains(&window) || !is_decidable(context, window) {
                continue;
            }
            if let Err(error) = report_window(context, window).await {
                warn!(context.log, "usage report failed"; "error" => %error);
                return Err(error);
            }
            self.reported.insert(window);
        }
        Ok(())
    }

    /// Saves the counts of windows that are not decided yet, as far as they changed. If
    /// all entries are lost at once, the next holder restores these counts.
    async fn save_interim(&mut self, context: &Arc<GatewayContext>) {
        let now = context.now();
        if now < self.interim_retry_at {
            return;
        }
        let oldest = context.usage_window().saturating_sub(1);
        let mut current = context.usage.lock().since(oldest);
        current.retain(|window, _| !self.reported.contains(window));
        let record = self.interim.next_record(now, &current);
        if record.is_empty() {
            return;
        }
        let windows = record.clone();
        let appended = append_duty(context, |tenure| DutyRecord::Interim {
            windows,
            tenure: Some(tenure),
        });
        match appended.await {
            Ok(()) => self.interim.note_saved(record),
            // Reports and orders must not wait for a store that is unreachable.
            Err(_) => self.interim_retry_at = context.now().after(INTERIM_RETRY_DELAY),
        }
    }
}

fn is_decidable(context: &GatewayContext, window: WindowNumber) -> bool {
    let length = context.settings.bounds.usage_window_s;
    let end = Duration::from_secs((window + 1) * length) + DECISION_DELAY;
    let now = std::time::SystemTime::now().duration_since(std::time::SystemTime::UNIX_EPOCH);
    now.is_ok_and(|now| now >= end)
}

async fn report_window(
    context: &Arc<GatewayContext>,
    window: WindowNumber,
) -> Result<(), PlatformError> {
    let counts = decide_window(context, window).await?;
    let cloud = &context.platform.cloud;
    let outcome = call_cloud(context, |credentials| {
        cloud.report_usage(credentials, window, &counts)
    })
    .await;
    let Some(CallOutcome { call, result }) = outcome else {
        return Err(PlatformError::NotApplied(
            "the lease is not valid for long enough".to_owned(),
        ));
    };
    info!(context.log, "usage reported"; "window" => window,
        "fence" => call.credentials.fencing_token.0,
        "began_ms" => call.began_ms, "right_until_ms" => call.lease_expires_ms,
        "requests" => counts.values().sum::<u64>(),
        "error" => result.as_ref().err().map(ToString::to_string));
    result
}

/// Returns the counts to report for a window. They are appended to the log before any
/// holder reports them, so that all holders report the same counts.
async fn decide_window(
    context: &Arc<GatewayContext>,
    window: WindowNumber,
) -> Result<WindowCounts, PlatformError> {
    let decided = || context.lease.lock().decisions().counts(window).cloned();
    let known = decided();
    let is_stored = context.lease.lock().decisions().is_stored(window);
    if let Some(counts) = known.clone().filter(|_| is_stored) {
        return Ok(counts);
    }
    let counts = known.unwrap_or_else(|| context.usage.lock().total(window));
    let appended = append_duty(context, |tenure| DutyRecord::Usage {
        window,
        counts,
        tenure: Some(tenure),
    });
    // After a conflict, the records that were read may contain the decision.
    let result = appended.await;
    decided().ok_or_else(|| {
        let undecided = PlatformError::NotApplied("the window is undecided".to_owned());
        result.err().unwrap_or(undecided)
    })
}
