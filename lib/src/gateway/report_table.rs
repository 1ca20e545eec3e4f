//! What backend servers reported in responses, as far as one entry knows: their
//! rate limits, and whether they drain.
//!
//! Pure: no I/O. A server reports to the entry that it responds to, and that
//! entry relays the report to the others. Reports carry their age: of two
//! reports about the limit of one incarnation the later one counts, whoever
//! relays it and in whatever order they arrive. An incarnation that has
//! reported once that it drains counts as draining from then on.
//!
//! When a server wrote a report is known only within a [`ReportSpan`]: a response may
//! have waited in a queue, on a slow link, or in the socket of an entry that was
//! suspended. If the order of two reports is unknown, the lower limit counts.

use std::collections::BTreeMap;
use std::hash::Hash;
use std::hash::Hasher;
use std::time::Duration;

use twox_hash::XxHash64;

use crate::gateway::backend_record::BackendId;
use crate::gateway::backend_record::BackendName;
use crate::gateway::server_report::LimitReport;
use crate::gateway::server_report::ReportChange;
use crate::gateway::server_report::ServerReport;
use crate::quantity::RequestRate;
use crate::quantity::Timestamp;

/// How long an entry repeats a direct report to the others, in case a message
/// is lost: four rounds.
const REPORT_REPEAT_TIME: Duration = Duration::from_secs(1);
/// How long a change is sent to entries whose reports differ.
const RECENT_CHANGE_TIME: Duration = Duration::from_millis(1_500);
/// How long reports are kept after a server was last listed, since it may be
/// listed again, and after a limit was lifted. Until then, older reports that
/// arrive late are recognized as outdated.
const RETENTION_TIME: Duration = Duration::from_secs(60);

/// The time span in which a server wrote a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportSpan {
    /// The earliest possible time.
    pub earliest: Timestamp,
    /// The latest possible time.
    pub latest: Timestamp,
}

/// What a server reported, as one entry relays it to another.
#[derive(Clone, Debug, PartialEq)]
pub struct RelayedReport {
    /// The incarnation that reported it.
    pub id: BackendId,
    /// The requests per second that it accepts from all entries together.
    /// `None` if it reported no limit.
    pub limit: Option<RequestRate>,
    /// Whether it drains.
    pub draining: bool,
    /// How long ago at least it reported this.
    pub age: Duration,
    /// How much longer ago it may have reported this.
    pub uncertainty: Duration,
}

impl RelayedReport {
    /// Returns when the server wrote the report. `sent_after` is a time after which the
    /// message with the report was sent; none if that is unknown.
    pub fn span(&self, now: Timestamp, sent_after: Option<Timestamp>) -> ReportSpan {
        let before = |at: Timestamp, age: Duration| {
            let age_us = u64::try_from(age.as_micros()).unwrap_or(u64::MAX);
            Timestamp(at.0.saturating_sub(age_us))
        };
        let oldest = self.age + self.uncertainty;
        ReportSpan {
            earliest: sent_after.map_or(Timestamp(0), |at| before(at, oldest)),
            latest: before(now, self.age),
        }
    }
}

#[derive(Clone, Debug)]
struct KnownReport {
    id: BackendId,
    limit: Option<RequestRate>,
    draining: bool,
    /// When the server last reported this limit.
    reported: ReportSpan,
    /// When the server last sent a report to this entry itself.
    received_at: Option<Timestamp>,
    changed_at: Timestamp,
    listed_at: Timestamp,
}

impl KnownReport {
    fn new(id: BackendId, now: Timestamp) -> Self {
        Self {
            id,
            limit: None,
            draining: false,
            reported: ReportSpan {
                earliest: Timestamp(0),
                latest: Timestamp(0),
            },
            received_at: None,
            changed_at: now,
            listed_at: now,
        }
    }

    /// Applies a reported limit. Returns whether the known limit changed.
    fn note_limit(&mut self, limit: Option<RequestRate>, span: ReportSpan) -> bool {
        if limit == self.limit {
            self.reported.earliest = self.reported.earliest.max(span.earliest);
            self.reported.latest = self.reported.latest.max(span.latest);
            return false;
        }
        let rate = |limit: Option<RequestRate>| limit.map_or(f64::INFINITY, |rate| rate.0);
        let may_be_newer = match rate(limit) < rate(self.limit) {
            true => span.latest > self.reported.earliest,
            false => span.earliest > self.reported.latest,
        };
        if may_be_newer {
            self.limit = limit;
            self.reported = span;
        }
        may_be_newer
    }

    fn to_relayed(&self, now: Timestamp) -> RelayedReport {
        let ReportSpan { earliest, latest } = self.reported;
        RelayedReport {
            id: self.id.clone(),
            limit: self.limit,
            draining: self.draining,
            age: now.since(latest),
            uncertainty: latest.since(earliest),
        }
    }

    /// Returns whether the server accepts requests without restriction.
    fn is_unrestricted(&self) -> bool {
        self.limit.is_none() && !self.draining
    }

    /// Returns what this report adds to the digest of a table.
    fn digest(&self) -> u64 {
        if self.is_unrestricted() {
            return 0;
        }
        let mut hasher = XxHash64::with_seed(6);
        self.id.hash(&mut hasher);
        self.limit.map(|limit| limit.0.to_bits()).hash(&mut hasher);
        self.draining.hash(&mut hasher);
        hasher.finish()
    }
}

/// What servers reported, by the name of the server.
#[derive(Clone, Debug, Default)]
pub struct ReportTable {
    reports: BTreeMap<BackendName, KnownReport>,
}

impl ReportTable {
    /// Returns a table without reports.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the limit of an incarnation, if one is in force.
    pub fn limit(&self, id: &BackendId) -> Option<RequestRate> {
        let known = self.reports.get(&id.name)?;
        known.limit.filter(|_| known.id == *id)
    }

    /// Returns how long ago the limit of an incarnation was last reported, if one is in force.
    pub fn limit_age(&self, now: Timestamp, id: &BackendId) -> Option<Duration> {
        self.limit(id)?;
        let known = self.reports.get(&id.name)?;
        Some(now.since(known.reported.latest))
    }

    /// Iterates over all limits in force.
    pub fn limits(&self) -> impl Iterator<Item = (&BackendId, RequestRate)> {
        let reports = self.reports.values();
        reports.filter_map(|known| Some((&known.id, known.limit?)))
    }

    /// Applies a report from a response that just arrived, to a request sent at `sent_at`.
    /// Returns the changes to relay to other entries; a back-off concerns only this entry.
    pub fn apply_direct(
        &mut self,
        now: Timestamp,
        sent_at: Timestamp,
        id: &BackendId,
        report: &ServerReport,
    ) -> Vec<ReportChange> {
        let is_unrestricted = report.limit == LimitReport::Unlimited && !report.draining;
        if is_unrestricted && !self.reports.contains_key(&id.name) {
            return Vec::new();
        }
        let Some(known) = self.known_mut(now, id) else {
            return Vec::new();
        };
        known.received_at = Some(now);
        let reported_limit = match report.limit {
            LimitReport::Unlimited => Some(None),
            LimitReport::Limited(rate) => Some(Some(rate)),
            LimitReport::Unreadable => None,
        };
        let span = ReportSpan {
            earliest: sent_at,
            latest: now,
        };
        let mut changes = Vec::new();
        if let Some(limit) = reported_limit
            && known.note_limit(limit, span)
        {
            changes.push(limit.map_or(ReportChange::LimitLifted, ReportChange::Limited));
        }
        if report.draining && !std::mem::replace(&mut known.draining, true) {
            changes.push(ReportChange::Draining);
        }
        if !changes.is_empty() {
            known.changed_at = now;
        }
        changes
    }

    /// Applies a report that another entry relayed in a message sent after `sent_after`, if
    /// that is known. Returns whether anything changed.
    pub fn apply_relayed(
        &mut self,
        now: Timestamp,
        sent_after: Option<Timestamp>,
        report: &RelayedReport,
    ) -> bool {
        let Some(known) = self.known_mut(now, &report.id) else {
            return false;
        };
        let began_draining = report.draining && !std::mem::replace(&mut known.draining, true);
        let limit_changed = known.note_limit(report.limit, report.span(now, sent_after));
        if began_draining || limit_changed {
            known.changed_at = now;
        }
        began_draining || limit_changed
    }

    /// Returns the report of an incarnation, or `None` if a later incarnation
    /// is known. If there is none, or only one of an earlier incarnation, puts
    /// an empty report in its place.
    fn known_mut(&mut self, now: Timestamp, id: &BackendId) -> Option<&mut KnownReport> {
        let new = || KnownReport::new(id.clone(), now);
        let known = self.reports.entry(id.name.clone()).or_insert_with(new);
        if known.id.replaces(id) {
            return None;
        }
        if known.id != *id {
            *known = new();
        }
        Some(known)
    }

    /// Returns a digest of what listed servers reported. Tables with the same
    /// limits and draining servers have the same digest.
    pub fn digest(&self, is_listed: impl Fn(&BackendId) -> bool) -> u64 {
        let listed = self.reports.values().filter(|known| is_listed(&known.id));
        listed.fold(0, |digest, known| digest ^ known.digest())
    }

    /// Returns what servers recently reported to this entry itself.
    pub fn direct_reports(&self, now: Timestamp) -> Vec<RelayedReport> {
        let is_direct = |known: &&KnownReport| {
            known
                .received_at
                .is_some_and(|at| now.since(at) < REPORT_REPEAT_TIME)
        };
        let reports = self.reports.values().filter(is_direct);
        reports.map(|known| known.to_relayed(now)).collect()
    }

    /// Returns what recently changed.
    pub fn recent_reports(&self, now: Timestamp) -> Vec<RelayedReport> {
        let is_recent = |known: &&KnownReport| now.since(known.changed_at) < RECENT_CHANGE_TIME;
        let reports = self.reports.values().filter(is_recent);
        reports.map(|known| known.to_relayed(now)).collect()
    }

    /// Returns all reports, also those of lifted limits.
    pub fn all_reports(&self, now: Timestamp) -> Vec<RelayedReport> {
        let reports = self.reports.values();
        reports.map(|known| known.to_relayed(now)).collect()
    }

    /// Removes the reports of servers that have not been listed for
    /// `RETENTION_TIME`, and those of limits that were lifted that long ago.
    pub fn sweep(&mut self, now: Timestamp, is_listed: impl Fn(&BackendId) -> bool) {
        self.reports.retain(|_, known| {
            if is_listed(&known.id) {
                known.listed_at = now;
            }
            let is_outdated =
                known.is_unrestricted() && now.since(known.changed_at) >= RETENTION_TIME;
            !is_outdated && now.since(known.listed_at) < RETENTION_TIME
        });
    }
}
