//! Queries: which entries to use, the state of an entry, traces, metrics.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::Rng;
use serde::Deserialize;
use serde::Serialize;

use crate::caller::CallerRequest;
use crate::entry_context::EntryContext;
use crate::id::EntryName;
use crate::id::RevisionNumber;
use crate::id::ServiceName;
use crate::id::VmId;
use crate::id::ZoneName;
use crate::member_record::MemberHealth;
use crate::member_record::MemberRecord;
use crate::member_record::MemberState;
use crate::quantity::HourlyPrice;
use crate::refusal::Refusal;

/// The most tickets given with one answer.
const MAX_TICKETS: u32 = 64;

/// An entry that callers may use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryAddress {
    /// Its name.
    pub name: EntryName,
    /// Its address for callers.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its share of callers.
    pub weight: u32,
}

/// Which entries to use.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntriesAnswer {
    /// Entries in the order in which to try them.
    pub entries: Vec<EntryAddress>,
    /// How long the answer may be kept, in seconds.
    pub ttl_seconds: u64,
    /// Fresh tickets of the entry that answers, for a caller with a key.
    pub tickets: Vec<String>,
}

/// An entry as another one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryStatus {
    /// Its name.
    pub name: EntryName,
    /// Its current run.
    pub incarnation: String,
    /// `alive`, `suspect` or `gone`.
    pub health: String,
    /// `starting`, `serving` or `leaving`.
    pub state: String,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address for callers.
    pub address: SocketAddr,
    /// The configuration it has in force.
    pub revision: RevisionNumber,
    /// The run that mirrors its requests.
    pub mirror: Option<String>,
}

/// A backend server as an entry sees it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BackendStatus {
    /// Its VM.
    pub vm: VmId,
    /// Its service.
    pub service: ServiceName,
    /// Its availability zone.
    pub zone: ZoneName,
    /// Its address.
    pub address: SocketAddr,
    /// Its hourly price.
    pub price: HourlyPrice,
    /// Whether it is leaving.
    pub leaving: bool,
    /// Requests that it decodes, as last reported.
    pub running: u32,
    /// Requests that wait there, as last reported.
    pub waiting: u32,
}

/// The state of an entry and what it knows of others.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StatusAnswer {
    /// The entry that answers.
    pub entry: EntryStatus,
    /// The other entries.
    pub others: Vec<EntryStatus>,
    /// The backend servers.
    pub backends: Vec<BackendStatus>,
    /// The publication that is in force.
    pub publication: Option<String>,
    /// Requests that it holds and that have not ended.
    pub open_requests: usize,
    /// Requests kept, ended ones included.
    pub kept_requests: usize,
    /// Copies kept for other entries.
    pub copies: usize,
}

impl EntryContext {
    /// Answers which entries to use.
    ///
    /// # Errors
    ///
    /// A wrong key, if tickets are asked for.
    pub fn entries_answer(&self, request: &CallerRequest) -> Result<EntriesAnswer, Refusal> {
        let asked = tickets_asked(request);
        let mut tickets = Vec::new();
        if asked > 0 {
            self.authenticate(request)?;
            let mut table = self.tables.requests.lock();
            tickets = (0..asked)
                .map(|_| table.holder.issue_ticket().to_string())
                .collect();
        }
        Ok(EntriesAnswer {
            entries: self.ordered_entries(),
            ttl_seconds: self.settings.limits.answer_lifetime.as_secs(),
            tickets,
        })
    }

    /// Orders the entries that take requests at random by weight, so that the
    /// first of all answers together get shares in proportion to weights.
    fn ordered_entries(&self) -> Vec<EntryAddress> {
        let members = self.tables.members.lock();
        let mut generator = rand::rng();
        let mut keyed: Vec<(f64, EntryAddress)> = members
            .all()
            .filter(|record| record.takes_requests())
            .map(|record| {
                let weight = f64::from(record.weight.max(1));
                let draw: f64 = generator.random_range(f64::MIN_POSITIVE..1.0);
                // Sorting by exponential draws picks without replacement with
                // probabilities in proportion to the weights.
                (-draw.ln() / weight, entry_address(record))
            })
            .collect();
        keyed.sort_by(|a, b| a.0.total_cmp(&b.0));
        keyed.into_iter().map(|(_, entry)| entry).collect()
    }

    /// Answers how this entry does.
    pub fn status_answer(&self) -> StatusAnswer {
        let publication = self.revision().map(|revision| revision.publication.0);
        let members = self.tables.members.lock();
        let backends = self.tables.backends.lock();
        let table = self.tables.requests.lock();
        StatusAnswer {
            entry: entry_status(members.own()),
            others: members.others().map(entry_status).collect(),
            backends: backends
                .vms()
                .map(|(record, leaving)| {
                    let load = backends.load(record).unwrap_or_default();
                    BackendStatus {
                        vm: record.vm.clone(),
                        service: record.service.clone(),
                        zone: record.zone.clone(),
                        address: record.address,
                        price: record.price,
                        leaving,
                        running: load.running,
                        waiting: load.waiting,
                    }
                })
                .collect(),
            publication,
            open_requests: table.holder.open_requests().count(),
            kept_requests: table.holder.len(),
            copies: table.mirror.len(),
        }
    }

    /// Returns how long addresses given to callers are still in use.
    pub fn answers_live_for(self: &Arc<Self>) -> Duration {
        self.settings.limits.answer_lifetime
    }
}

fn tickets_asked(request: &CallerRequest) -> u32 {
    let query = request.uri.query().unwrap_or_default();
    let count = query
        .split('&')
        .find_map(|pair| pair.strip_prefix("tickets="));
    let count = count.and_then(|count| count.parse().ok()).unwrap_or(0);
    u32::min(count, MAX_TICKETS)
}

fn entry_address(record: &MemberRecord) -> EntryAddress {
    EntryAddress {
        name: record.name.clone(),
        address: record.http_address,
        zone: record.zone.clone(),
        weight: record.weight,
    }
}

fn entry_status(record: &MemberRecord) -> EntryStatus {
    EntryStatus {
        name: record.name.clone(),
        incarnation: record.incarnation.to_string(),
        health: health_text(record.health).to_owned(),
        state: state_text(record.state).to_owned(),
        zone: record.zone.clone(),
        address: record.http_address,
        revision: record.revision,
        mirror: record.mirror.map(|mirror| mirror.to_string()),
    }
}

fn health_text(health: MemberHealth) -> &'static str {
    match health {
        MemberHealth::Alive => "alive",
        MemberHealth::Suspect => "suspect",
        MemberHealth::Gone => "gone",
    }
}

fn state_text(state: MemberState) -> &'static str {
    match state {
        MemberState::Starting => "starting",
        MemberState::Serving => "serving",
        MemberState::Leaving => "leaving",
    }
}
