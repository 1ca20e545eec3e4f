//! A caller's HTTP request, and the checks before it is accepted.

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use gotham::helpers::http::Body;
use gotham::state::FromState;
use gotham::state::State;
use http::HeaderMap;
use http::Method;
use http::Uri;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;

use crate::configuration::AccountConfig;
use crate::configuration::ConfigView;
use crate::configuration::ServiceConfig;
use crate::entry_context::EntryContext;
use crate::id::ServiceName;
use crate::id::ZoneName;
use crate::limits::LimitRefusal;
use crate::member_record::MemberState;
use crate::pair::RequestKey;
use crate::plain_runner::IDEMPOTENCY_KEY;
use crate::policy::PolicyDecision;
use crate::policy::PolicyQuery;
use crate::quantity::HourlyPrice;
use crate::quantity::TokenCount;
use crate::refusal::Refusal;
use crate::refusal::RefusalCode;
use crate::routing::AdmissionRule;
use crate::routing::RouteQuery;
use crate::trace::TRACEPARENT;

/// The header in which a caller gives the time it is willing to wait, in
/// milliseconds.
pub const DEADLINE_HEADER: &str = "x-deadline-ms";
/// The header that counts how often a request was passed between entries.
pub const HOPS_HEADER: &str = "x-cloverbend-hops";
/// The standard header with which a cut stream is continued.
pub const LAST_EVENT_ID: &str = "last-event-id";
/// How long a caller waits before trying an entry that starts.
const STARTING_RETRY: Duration = Duration::from_secs(1);
/// How long a caller waits before trying again after an early refusal.
const LATE_RETRY: Duration = Duration::from_secs(2);

/// A request as a caller sent it.
#[derive(Clone, Debug)]
pub struct CallerRequest {
    /// The method.
    pub method: Method,
    /// The path and query.
    pub uri: Uri,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl CallerRequest {
    /// Takes a request out of gotham's state.
    ///
    /// # Errors
    ///
    /// A body that is larger than the limit or was cut.
    pub async fn read(state: &mut State, max_body: u64) -> Result<Self, Refusal> {
        let method = Method::borrow_from(state).clone();
        let uri = Uri::borrow_from(state).clone();
        let headers = HeaderMap::borrow_from(state).clone();
        let body = Body::take_from(state);
        let body = Limited::new(body, max_body as usize)
            .collect()
            .await
            .map_err(|error| {
                if error.downcast_ref::<LengthLimitError>().is_some() {
                    let message = format!("the body has more than {max_body} bytes");
                    Refusal::not_run(RefusalCode::TooLarge, message)
                } else {
                    Refusal::not_run(RefusalCode::BadRequest, format!("body: {error}"))
                }
            })?
            .to_bytes();
        Ok(Self {
            method,
            uri,
            headers,
            body,
        })
    }

    /// Returns a header as text, if it is there.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name)?.to_str().ok()
    }

    /// Returns the caller's trace context, empty if there is none.
    pub fn traceparent(&self) -> &str {
        self.header(TRACEPARENT).unwrap_or_default()
    }

    /// Returns how often the request was passed between entries.
    pub fn hops(&self) -> u32 {
        let hops = self.header(HOPS_HEADER);
        hops.and_then(|hops| hops.parse().ok()).unwrap_or(0)
    }

    /// Returns the ticket, if there is one.
    ///
    /// # Errors
    ///
    /// A value that is not a ticket of this system.
    pub fn ticket(&self) -> Result<Option<RequestKey>, Refusal> {
        let Some(text) = self.header(IDEMPOTENCY_KEY) else {
            return Ok(None);
        };
        let key = text.trim_matches('"').parse().map_err(|error| {
            let message = format!("header {IDEMPOTENCY_KEY}: {error}; fetch a ticket first");
            Refusal::not_run(RefusalCode::BadTicket, message)
        })?;
        Ok(Some(key))
    }

    /// Returns the time that the caller is willing to wait.
    ///
    /// # Errors
    ///
    /// A value that is not a positive number.
    pub fn time_left(&self, default: Duration) -> Result<Duration, Refusal> {
        let Some(text) = self.header(DEADLINE_HEADER) else {
            return Ok(default);
        };
        match text.parse::<u64>() {
            Ok(millis) if millis > 0 => Ok(Duration::from_millis(millis).min(default)),
            _ => {
                let message =
                    format!("header {DEADLINE_HEADER}: {text:?} is not a number of milliseconds");
                Err(Refusal::not_run(RefusalCode::BadRequest, message))
            }
        }
    }

    fn key_text(&self) -> Option<&str> {
        let text = self.header(http::header::AUTHORIZATION.as_str())?;
        text.strip_prefix("Bearer ").map(str::trim)
    }
}

/// A caller that proved who it is, and the configuration it was checked by.
#[derive(Clone, Debug)]
pub struct KnownCaller {
    /// The configuration in force.
    pub config: Arc<ConfigView>,
    /// Its client account.
    pub account: AccountConfig,
}

impl EntryContext {
    /// Checks a caller's key.
    ///
    /// # Errors
    ///
    /// An entry that does not know the configuration yet, or a wrong key.
    pub fn authenticate(&self, request: &CallerRequest) -> Result<KnownCaller, Refusal> {
        let starting = self.state() == MemberState::Starting;
        let config = self.config().filter(|_| !starting);
        let Some(config) = config else {
            let message = "this entry does not know the configuration in force yet";
            return Err(Refusal::not_run(RefusalCode::Starting, message)
                .retry_after(self.come_back(STARTING_RETRY))
                .at_entries(self.other_addresses()));
        };
        let account = request
            .key_text()
            .and_then(|key| config.account_of_key(key))
            .cloned();
        let Some(account) = account else {
            let message = "header authorization: no client account has this key";
            return Err(Refusal::not_run(RefusalCode::WrongKey, message));
        };
        Ok(KnownCaller { config, account })
    }

    /// Returns the addresses of other entries that take requests.
    pub fn other_addresses(&self) -> Vec<std::net::SocketAddr> {
        let members = self.tables.members.lock();
        members
            .others()
            .filter(|record| record.takes_requests())
            .map(|record| record.http_address)
            .collect()
    }

    /// Asks the account's policy about a request.
    ///
    /// # Errors
    ///
    /// A policy that refuses or fails.
    pub fn decide_policy(
        &self,
        caller: &KnownCaller,
        service: &ServiceName,
        input_tokens: TokenCount,
    ) -> Result<PolicyDecision, Refusal> {
        let zones = self.tables.backends.lock().zones(service);
        let query = PolicyQuery {
            account: caller.account.name.clone(),
            service: service.clone(),
            zones,
            input_tokens,
        };
        let program = caller.config.program(&caller.account.policy);
        let Some(program) = program else {
            let message = format!("policy {} is not defined", caller.account.policy);
            return Err(Refusal::not_run(RefusalCode::PolicyFailed, message));
        };
        let decision = program.evaluate(&query).map_err(|error| {
            let message = format!("policy {}: {error}", caller.account.policy);
            Refusal::not_run(RefusalCode::PolicyFailed, message)
        })?;
        if !decision.allow {
            let message = format!(
                "policy {} does not allow {} to use {service}: {}",
                caller.account.policy, caller.account.name, decision.reason
            );
            return Err(Refusal::not_run(RefusalCode::NotAllowed, message));
        }
        Ok(decision)
    }

    /// Refuses at once what cannot meet its deadline, or would queue for
    /// longer than its service allows.
    ///
    /// # Errors
    ///
    /// No backend server, or an expected wait that is too long.
    pub fn check_wait(
        &self,
        service: &ServiceConfig,
        query: &RouteQuery<'_>,
        time_left: Duration,
    ) -> Result<(), Refusal> {
        let choice = {
            let mut backends = self.tables.backends.lock();
            backends.preview(self.now(), &service.name, query)
        };
        let Some(choice) = choice else {
            let message = format!(
                "no backend server of {} may serve this request",
                service.name
            );
            return Err(Refusal::not_run(RefusalCode::NoBackend, message)
                .retry_after(self.come_back(LATE_RETRY)));
        };
        let limit = Duration::from_millis(service.refuse_beyond_ms);
        let admitted = AdmissionRule::with_limit(limit).admits(&choice);
        let wait = choice.expected_wait;
        if admitted && wait <= time_left {
            return Ok(());
        }
        let message = format!(
            "the first token would take {} ms, of which {} ms behind other requests",
            wait.as_millis(),
            choice.queue_wait.as_millis()
        );
        let excess = wait.saturating_sub(limit.min(time_left));
        Err(Refusal::not_run(RefusalCode::WouldBeLate, message).retry_after(self.come_back(excess)))
    }

    /// Counts a request against its account's limits. The caller releases it
    /// if the request is not accepted after all.
    ///
    /// # Errors
    ///
    /// A limit that is used up, or an entry that holds too many requests.
    pub fn grant_limits(&self, caller: &KnownCaller) -> Result<(), Refusal> {
        let sharers = {
            let members = self.tables.members.lock();
            // An entry that cannot be reached may be granting its share.
            let counts =
                |record: &&crate::member_record::MemberRecord| record.state == MemberState::Serving;
            members.all().filter(counts).count()
        };
        let open = self.open_requests();
        if open >= self.settings.limits.max_requests {
            let message = "this entry holds too many requests";
            return Err(Refusal::not_run(RefusalCode::Overloaded, message)
                .retry_after(self.come_back(STARTING_RETRY))
                .at_entries(self.other_addresses()));
        }
        let mut limits = self.tables.limits.lock();
        let granted = limits.accounts.grant(self.now(), &caller.account, sharers);
        granted.map_err(|refusal| self.limit_refusal(caller, refusal))
    }

    fn limit_refusal(&self, caller: &KnownCaller, refusal: LimitRefusal) -> Refusal {
        let name = &caller.account.name;
        let (code, what, base) = match refusal {
            LimitRefusal::Rate { retry_after } => (RefusalCode::RateLimit, "rate", retry_after),
            LimitRefusal::Concurrency { retry_after } => {
                (RefusalCode::ConcurrencyLimit, "concurrency", retry_after)
            }
        };
        let message = format!("the {what} of account {name} is used up at this entry");
        Refusal::not_run(code, message)
            .retry_after(self.come_back(base))
            .at_entries(self.other_addresses())
    }
}

/// Returns the zones of a decision as text, empty if it allows all.
pub fn zone_texts(zones: Option<&BTreeSet<ZoneName>>) -> Vec<String> {
    let zones = zones.into_iter().flatten();
    zones.map(ZoneName::to_string).collect()
}

/// Returns the highest price of a decision as a number.
pub fn price_number(price: Option<HourlyPrice>) -> Option<f64> {
    price.map(|price| price.0)
}
