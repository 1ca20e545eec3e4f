//! Finds the entry that knows the outcome of a ticket, and passes requests on
//! to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::TryStreamExt;
use gotham::helpers::http::Body;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;

use crate::answer::AnswerEnd;
use crate::answer_follower::AnswerFollower;
use crate::caller::CallerRequest;
use crate::caller::DEADLINE_HEADER;
use crate::caller::HOPS_HEADER;
use crate::caller::LAST_EVENT_ID;
use crate::configuration::RepeatRule;
use crate::entry_context::EntryContext;
use crate::http_client::HttpError;
use crate::http_client::build_request;
use crate::id::ChunkPosition;
use crate::id::Incarnation;
use crate::mirror::CopyReport;
use crate::pair::RequestKey;
use crate::plain_runner::IDEMPOTENCY_KEY;
use crate::refusal::Refusal;
use crate::refusal::RefusalCode;
use crate::trace::TRACEPARENT;

/// The most times that a request is passed between entries.
const MAX_HOPS: u32 = 3;
/// How many mirrors of mirrors are asked.
const MAX_CHAIN: usize = 4;
/// How long a caller waits before asking for an outcome again.
const OUTCOME_RETRY: Duration = Duration::from_secs(1);
/// How long another entry may take to begin its answer, beyond which the
/// request goes on there but is reported as unknown here.
const FORWARD_TIMEOUT: Duration = Duration::from_secs(120);
/// The headers that are passed on.
const PASSED_HEADERS: [&str; 6] = [
    "authorization",
    "content-type",
    IDEMPOTENCY_KEY,
    LAST_EVENT_ID,
    DEADLINE_HEADER,
    TRACEPARENT,
];

/// Who may know a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TicketPlace {
    /// This entry holds it, or would.
    Here,
    /// This entry is or was its mirror.
    Mirror,
    /// Another entry.
    Entry(SocketAddr),
}

impl EntryContext {
    /// Returns who may know a request, the most likely first.
    pub fn places_of(&self, key: RequestKey) -> Vec<TicketPlace> {
        let members = self.tables.members.lock();
        let table = self.tables.requests.lock();
        let known = table.holder.phase(key).is_some();
        if known || key.pair.holder == self.incarnation {
            return vec![TicketPlace::Here];
        }
        let mut places = Vec::new();
        let mut next = Some(key.pair.holder);
        for step in 0..=MAX_CHAIN {
            let Some(incarnation) = next else {
                break;
            };
            if incarnation == self.incarnation {
                places.push(TicketPlace::Mirror);
            } else if let Some(record) = members.find(incarnation) {
                places.push(TicketPlace::Entry(record.http_address));
            }
            next = if step == 0 {
                Some(key.pair.mirror)
            } else {
                members.mirror_of(incarnation)
            };
        }
        places
    }

    /// Passes a request on to another entry and returns its answer, which may
    /// still be coming.
    ///
    /// # Errors
    ///
    /// A connection that was not made or broke before the answer's head.
    pub async fn forward(
        &self,
        request: &CallerRequest,
        address: SocketAddr,
    ) -> Result<Response<Body>, HttpError> {
        let path = request
            .uri
            .path_and_query()
            .map_or("/", |path| path.as_str());
        let mut builder = Request::builder()
            .method(request.method.clone())
            .uri(format!("http://{address}{path}"))
            .header(HOPS_HEADER, request.hops() + 1);
        for name in PASSED_HEADERS {
            if let Some(value) = request.headers.get(name) {
                builder = builder.header(name, value);
            }
        }
        let outgoing = build_request(builder, request.body.clone())?;
        let sent = tokio::time::timeout(FORWARD_TIMEOUT, self.http.send(outgoing)).await;
        let response = sent.map_err(|_| HttpError::TimedOut)??;
        let (mut parts, body) = response.into_parts();
        parts.headers.remove(http::header::TRANSFER_ENCODING);
        parts.headers.remove(http::header::CONNECTION);
        let frames = body.map_err(std::io::Error::other).into_data_stream();
        let frames = frames.map_ok(hyper::body::Frame::data);
        let body = Body::new(StreamBody::new(frames));
        Ok(Response::from_parts(parts, body))
    }

    /// Passes a request on to the entry that holds it now.
    ///
    /// # Errors
    ///
    /// `unknown`, if that entry cannot be reached.
    pub async fn forward_to(
        &self,
        request: &CallerRequest,
        incarnation: Incarnation,
    ) -> Result<Response<Body>, Refusal> {
        let address = {
            let members = self.tables.members.lock();
            members.find(incarnation).map(|record| record.http_address)
        };
        let allowed = request.hops() < MAX_HOPS;
        let Some(address) = address.filter(|_| allowed) else {
            return Err(self.outcome_unknown("the entry that holds it is not known"));
        };
        self.forward(request, address)
            .await
            .map_err(|error| self.outcome_unknown(&error.to_string()))
    }

    /// Passes a request with a ticket on to whoever knows it. Returns none if
    /// this entry itself shall handle it.
    ///
    /// # Errors
    ///
    /// What the mirror's table says of the ticket, or `unknown` if nobody who
    /// could know it can be reached. It is never run elsewhere.
    pub async fn route_ticket(
        self: &Arc<Self>,
        request: &CallerRequest,
        key: RequestKey,
        rule: RepeatRule,
    ) -> Result<Option<Response<Body>>, Refusal> {
        let mut cause = "no entry that could know it can be reached".to_owned();
        for place in self.places_of(key) {
            match place {
                TicketPlace::Here => return Ok(None),
                TicketPlace::Mirror => return self.answer_as_mirror(key, rule),
                TicketPlace::Entry(address) if request.hops() < MAX_HOPS => {
                    match self.forward(request, address).await {
                        Ok(response) => return Ok(Some(response)),
                        Err(error) => cause = error.to_string(),
                    }
                }
                TicketPlace::Entry(_) => cause = "it was passed on too often".to_owned(),
            }
        }
        Err(self.outcome_unknown(&cause))
    }

    fn outcome_unknown(&self, cause: &str) -> Refusal {
        let message = format!("the outcome of this ticket is not known now: {cause}");
        Refusal::unknown(RefusalCode::OutcomeUnknown, message)
            .retry_after(self.come_back(OUTCOME_RETRY))
    }

    /// Answers for a ticket whose mirror this entry is.
    fn answer_as_mirror(
        self: &Arc<Self>,
        key: RequestKey,
        rule: RepeatRule,
    ) -> Result<Option<Response<Body>>, Refusal> {
        let mut table = self.tables.requests.lock();
        let mut report = table.mirror.report(key);
        if report == CopyReport::Absent && rule == RepeatRule::AtMostOnce {
            report = table.mirror.refuse_absent(key);
        }
        let whole = table
            .answers
            .get(&key)
            .is_some_and(|entry| entry.log.end() == Some(&AnswerEnd::Complete));
        let fresh = table.holder.issue_ticket();
        match report {
            CopyReport::Adopted => Ok(None),
            CopyReport::Finished | CopyReport::MayHaveRun if whole => {
                if let Some(entry) = table.answers.get_mut(&key) {
                    let length = entry.log.len();
                    entry.log.confirm(length);
                }
                Ok(None)
            }
            CopyReport::DidNotRun => {
                let message = "the entry that issued this ticket is gone; it did not run";
                Err(Refusal::not_run(RefusalCode::StaleTicket, message).with_ticket(fresh))
            }
            CopyReport::Kept => {
                Err(self.outcome_unknown("the entry that holds it is not confirmed to be gone"))
            }
            CopyReport::Absent => Err(self.outcome_unknown("it is not known at its mirror")),
            CopyReport::Finished | CopyReport::MayHaveRun => {
                Err(self.outcome_unknown("the entry that ran it is gone"))
            }
        }
    }

    /// Returns a follower of a request that is known here.
    pub fn follow(self: &Arc<Self>, key: RequestKey, position: ChunkPosition) -> AnswerFollower {
        AnswerFollower::new(Arc::clone(self), key, position)
    }
}
