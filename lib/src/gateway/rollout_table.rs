//! What an entry knows of roll-outs: the news of the holder of the lease, the credit of
//! this entry, and the answers that entries counted.
//!
//! Pure logic: no I/O and no clock. The load pattern is a roll-out whose news comes late,
//! twice or in another order, through entries that restart. Newer news replaces older, and
//! no news follows a verdict on the same order. Answers count for the order for which they
//! were counted.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::backend_record::BackendId;
use crate::gateway::rollout_evidence::AnswerKind;
use crate::gateway::rollout_evidence::EvidenceTable;
use crate::gateway::rollout_evidence::RolloutEvidence;
use crate::gateway::rollout_evidence::RouteClass;
use crate::gateway::rollout_evidence::VersionSide;
use crate::gateway::rollout_exposure::ExposureCredit;
use crate::gateway::rollout_exposure::RolloutBounds;
use crate::gateway::rollout_exposure::RolloutView;
use crate::gateway::rollout_exposure::VersionRule;
use crate::gateway::rollout_exposure::running_share;
use crate::gateway::rollout_exposure::version_rule;
use crate::gateway::rollout_state::RolloutOrder;
use crate::gateway::rollout_state::RolloutPhase;
use crate::id::FenceToken;
use crate::id::Incarnation;
use crate::id::LogOffset;
use crate::id::ServerVersion;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// The most services with roll-outs that an entry knows. Further ones are ignored.
const MAX_ROLLOUTS: usize = 8;
/// The least time that news takes from one entry to the next. Without it, news that
/// entries pass to and fro would hardly age.
const MIN_HOP_TIME: Duration = Duration::from_millis(50);
/// How long a verdict is kept. By then the servers that lost have stopped.
const VERDICT_LIFETIME: Duration = Duration::from_secs(60);

/// What the holder of the lease says of a roll-out. Entries pass it on.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutNews {
    /// The order.
    pub order: RolloutOrder,
    /// The offset of the order, which identifies it.
    pub number: LogOffset,
    /// The fencing token of the holder.
    pub fence: FenceToken,
    /// The state.
    pub phase: RolloutPhase,
    /// The time since the order.
    pub age: Duration,
    /// The time since the holder said this.
    pub news_age: Duration,
    /// The answers of the new version that the holder knew of.
    pub new_answers: u32,
}

/// The answers that one entry counted for a roll-out.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EvidenceReport {
    /// The service.
    pub service: ServiceName,
    /// The offset of the order.
    pub number: LogOffset,
    /// The answers.
    pub evidence: RolloutEvidence,
}

/// One roll-out as this entry knows it.
#[derive(Clone, Debug)]
struct KnownRollout {
    news: RolloutNews,
    /// When the news was received, with the ages that it has.
    heard_at: Timestamp,
    /// How long the state has been known here.
    phase_began: Timestamp,
    credit: ExposureCredit,
    own: RolloutEvidence,
    peers: EvidenceTable,
}

impl KnownRollout {
    fn new(now: Timestamp, news: RolloutNews, draw: f64) -> Self {
        Self {
            news,
            heard_at: now,
            phase_began: now,
            credit: ExposureCredit::new(draw),
            own: RolloutEvidence::default(),
            peers: EvidenceTable::default(),
        }
    }

    /// Returns the news with its ages at present.
    fn current_news(&self, now: Timestamp) -> RolloutNews {
        let since = now.since(self.heard_at).max(MIN_HOP_TIME);
        RolloutNews {
            age: self.news.age.saturating_add(since),
            news_age: self.news.news_age.saturating_add(since),
            ..self.news.clone()
        }
    }

    /// Returns whether news of the same order is to replace the known one.
    fn is_replaced_by(&self, now: Timestamp, news: &RolloutNews) -> bool {
        let known = &self.news;
        if known.phase.is_final() {
            return false;
        }
        match news.fence.cmp(&known.fence) {
            Ordering::Greater => true,
            Ordering::Less => news.phase.is_final(),
            Ordering::Equal if news.phase == known.phase => {
                news.news_age < self.current_news(now).news_age
            }
            Ordering::Equal => known.phase.may_become(news.phase) || news.phase.is_final(),
        }
    }

    fn side(&self, version: Option<&ServerVersion>) -> Option<VersionSide> {
        version.map(|version| match *version == self.news.order.target {
            true => VersionSide::New,
            false => VersionSide::Old,
        })
    }
}

/// The roll-outs that an entry knows.
#[derive(Clone, Debug, Default)]
pub struct RolloutTable(BTreeMap<ServiceName, KnownRollout>);

impl RolloutTable {
    /// Returns a table without roll-outs.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes in news of the holder or of another entry. `draw` is a random number from 0
    /// to 1. Returns whether a roll-out began or its state changed.
    pub fn note_news(&mut self, now: Timestamp, news: RolloutNews, draw: f64) -> bool {
        let is_full = self.0.len() >= MAX_ROLLOUTS;
        let Some(known) = self.0.get_mut(&news.order.service) else {
            // An old verdict matters to nobody.
            let is_over = news.phase.is_final() && news.news_age >= VERDICT_LIFETIME;
            if is_full || is_over {
                return false;
            }
            let service = news.order.service.clone();
            self.0.insert(service, KnownRollout::new(now, news, draw));
            return true;
        };
        if news.number > known.news.number {
            *known = KnownRollout::new(now, news, draw);
            return true;
        }
        if news.number < known.news.number || !known.is_replaced_by(now, &news) {
            return false;
        }
        let is_changed = news.phase != known.news.phase;
        if is_changed {
            known.phase_began = now;
        }
        known.news = news;
        known.heard_at = now;
        is_changed
    }

    /// Returns the present news of all roll-outs, and drops those that ended long ago.
    pub fn current_news(&mut self, now: Timestamp) -> Vec<RolloutNews> {
        self.0.retain(|_, known| {
            let ended = now.since(known.phase_began);
            !known.news.phase.is_final() || ended < VERDICT_LIFETIME
        });
        let known = self.0.values();
        known.map(|known| known.current_news(now)).collect()
    }

    /// Returns the present news of the roll-out of a service.
    pub fn news_of(&self, now: Timestamp, service: &ServiceName) -> Option<RolloutNews> {
        let known = self.0.get(service)?;
        Some(known.current_news(now))
    }

    /// Returns how long the state of a roll-out has been known here.
    pub fn phase_age(&self, now: Timestamp, service: &ServiceName) -> Duration {
        let known = self.0.get(service);
        known.map_or(Duration::ZERO, |known| now.since(known.phase_began))
    }

    /// Counts a request for a service, of which a part may go to a new version.
    pub fn note_arrival(&mut self, service: &ServiceName, bounds: &RolloutBounds) {
        if let Some(known) = self.0.get_mut(service) {
            let share = running_share(bounds, &known.news.order);
            known.credit.note_arrival(share);
        }
    }

    /// Returns which servers of a service a request may be sent to now.
    pub fn rule(&self, now: Timestamp, service: &ServiceName, may_repeat: bool) -> VersionRule {
        let Some(known) = self.0.get(service) else {
            return VersionRule::Any;
        };
        let news = known.current_news(now);
        let view = RolloutView {
            order: &news.order,
            phase: news.phase,
            news_age: news.news_age,
            age: news.age,
            new_answers: news.new_answers,
        };
        version_rule(&view, known.credit, may_repeat)
    }

    /// Returns whether a version of a service was found to be bad.
    pub fn was_rolled_back(&self, service: &ServiceName, version: &ServerVersion) -> bool {
        let known = self.0.get(service);
        known.is_some_and(|known| {
            known.news.phase == RolloutPhase::RolledBack && known.news.order.target == *version
        })
    }

    /// Counts a request sent to a server of a version.
    pub fn note_sent(&mut self, service: &ServiceName, version: Option<&ServerVersion>) {
        if let Some(known) = self.0.get_mut(service)
            && known.side(version) == Some(VersionSide::New)
        {
            known.credit.note_sent();
        }
    }

    /// Counts an answer of a server of a version. Returns the side that it counts for, if
    /// the service has a roll-out.
    pub fn note_answer(
        &mut self,
        service: &ServiceName,
        class: RouteClass,
        id: &BackendId,
        version: Option<&ServerVersion>,
        kind: AnswerKind,
    ) -> Option<VersionSide> {
        let known = self.0.get_mut(service)?;
        let side = known.side(version)?;
        known.own.note(side, class, id, kind);
        Some(side)
    }

    /// Returns what this entry counted for roll-outs that go on.
    pub fn own_reports(&self) -> Vec<EvidenceReport> {
        let open = self.0.iter();
        let open = open.filter(|(_, known)| !known.news.phase.is_final());
        open.map(|(service, known)| EvidenceReport {
            service: service.clone(),
            number: known.news.number,
            evidence: known.own,
        })
        .collect()
    }

    /// Takes in what another entry counted.
    pub fn note_report(&mut self, entry: Incarnation, report: &EvidenceReport) {
        if let Some(known) = self.0.get_mut(&report.service)
            && known.news.number == report.number
        {
            known.peers.note(entry, &report.evidence);
        }
    }

    /// Returns the answers that all entries counted for the roll-out of a service.
    pub fn total(&self, service: &ServiceName) -> RolloutEvidence {
        let known = self.0.get(service);
        known.map_or_else(RolloutEvidence::default, |known| {
            known.own.plus(&known.peers.total())
        })
    }
}
