//! Single calls to the cloud, each under a right to act.

use std::sync::Arc;
use std::time::Duration;
use std::time::SystemTime;

use futures_util::future::BoxFuture;

use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::platform_interface::CallCredentials;
use crate::gateway::platform_interface::PlatformError;

/// How long before the end of a right its last call has ended: what was sent
/// may still be on its way.
const CALL_MARGIN: Duration = Duration::from_millis(100);
/// The least time for a call. With less, the renewal is waited for.
const LEAST_CALL: Duration = Duration::from_millis(150);
/// How often a call is tried that found no connection.
const TRIES: usize = 2;

/// A call and the right under which it is made.
#[derive(Clone, Debug)]
pub struct DutyCall {
    /// What the cloud is called with.
    pub credentials: CallCredentials,
    /// When the call begins, in milliseconds since 1970.
    pub began_ms: u64,
    /// When the right to make it ends, in milliseconds since 1970.
    pub lease_expires_ms: u64,
}

impl DutyCall {
    /// Returns the terms of a call that begins now, or none while this entry has
    /// no right to make one.
    fn begin(context: &GatewayContext) -> Option<Self> {
        let now = context.now();
        let right = context.lease.lock().valid_lease(now)?;
        let right_left = right.expires_at.since(now);
        if right_left < CALL_MARGIN + LEAST_CALL {
            return None;
        }
        let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        // A clock before 1970 is broken; the log then shows the length alone.
        let begins = since.unwrap_or_default();
        Some(Self {
            credentials: CallCredentials {
                holder: context.settings.name.clone(),
                fencing_token: right.fencing_token,
                deadline: now.after(right_left - CALL_MARGIN),
                clock: Arc::clone(&context.clock),
            },
            began_ms: begins.as_millis() as u64,
            lease_expires_ms: (begins + right_left).as_millis() as u64,
        })
    }
}

/// What came of a call.
#[derive(Clone, Debug)]
pub struct CallOutcome {
    /// The last try.
    pub call: DutyCall,
    /// Its result.
    pub result: Result<(), PlatformError>,
}

/// Makes a call, if this entry has the right to. One that found no connection is
/// made again, under the right that there is then.
pub async fn call_cloud<'a>(
    context: &'a GatewayContext,
    make: impl Fn(&CallCredentials) -> BoxFuture<'a, Result<(), PlatformError>>,
) -> Option<CallOutcome> {
    let _turn = context.cloud_call_lock.lock().await;
    let mut outcome = None;
    for _ in 0..TRIES {
        let Some(call) = DutyCall::begin(context) else {
            break;
        };
        let result = make(&call.credentials).await;
        let is_sent = !matches!(result, Err(PlatformError::NotSent(_)));
        if let Err(PlatformError::OutcomeUnknown(_)) = result {
            context.note_unanswered_call(call.credentials.deadline.after(CALL_MARGIN));
        }
        outcome = Some(CallOutcome { call, result });
        if is_sent {
            break;
        }
    }
    outcome
}
