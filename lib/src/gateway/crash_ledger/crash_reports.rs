//! What entries report to each other about features under which servers crashed.

use std::cmp::Reverse;
use std::collections::BTreeSet;
use std::time::Duration;

use crate::gateway::call_feature::CallFeature;
use crate::gateway::crash_ledger::CrashLedger;
use crate::gateway::crash_ledger::KnownRecord;
use crate::gateway::crash_ledger::MAX_CONTRASTS_PER_FEATURE;
use crate::gateway::crash_ledger::MAX_CRASHES_PER_FEATURE;
use crate::gateway::crash_ledger::MAX_SURVIVORS_PER_FEATURE;
use crate::gateway::crash_ledger::REPORT_REPEAT_TIME;
use crate::gateway::crash_verdict::CrashRecord;
use crate::gateway::crash_verdict::CrashVerdict;
use crate::gateway::crash_verdict::SurvivorTag;
use crate::quantity::Timestamp;

/// The most reports in one message. A report takes 30 to 270 bytes.
const MAX_REPORTS: usize = 32;

/// What an entry reports about a feature under which servers crashed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashReport {
    /// The feature.
    pub feature: CallFeature,
    /// What is known about it.
    pub record: CrashRecord,
    /// The time since a request with it last arrived or crashed a server.
    pub idle: Duration,
}

impl CrashLedger {
    /// Merges the reports of another entry. Returns whether anything is new.
    pub fn merge_reports(&mut self, now: Timestamp, reports: &[CrashReport]) -> bool {
        let mut changed = false;
        for report in reports {
            let seen_at = Timestamp(now.0.saturating_sub(report.idle.as_micros() as u64));
            for incarnation in report.record.crashes.keys() {
                self.crash_times.entry(*incarnation).or_insert(now);
            }
            changed |= self.merge(now, report.feature, &report.record, seen_at);
        }
        changed
    }

    /// Merges what is known of a feature. Returns whether anything is new.
    pub(super) fn merge(
        &mut self,
        now: Timestamp,
        feature: CallFeature,
        reported: &CrashRecord,
        seen_at: Timestamp,
    ) -> bool {
        let completed = self.completed.get(&feature).copied().unwrap_or(0);
        let known = self.records.entry(feature).or_insert_with(|| KnownRecord {
            record: CrashRecord {
                survivors: (0..completed.min(MAX_SURVIVORS_PER_FEATURE))
                    .map(|_| SurvivorTag(rand::random()))
                    .collect(),
                companions: reported.companions.clone(),
                ..CrashRecord::default()
            },
            seen_at,
            changed_at: now,
            observed_at: None,
            crashed_at: seen_at,
            unsure: 0,
        });
        known.seen_at = known.seen_at.max(seen_at);
        let mut changed = false;
        let is_part = matches!(feature, CallFeature::Part(_));
        for (incarnation, ran) in &reported.crashes {
            known.crashed_at = known.crashed_at.max(
                self.crash_times
                    .get(incarnation)
                    .copied()
                    .unwrap_or(seen_at),
            );
            let is_full = known.record.crashes.len() >= MAX_CRASHES_PER_FEATURE;
            match known.record.crashes.get_mut(incarnation) {
                // Several requests with a part may have run there. Had it been fatal, the
                // first would have crashed the server.
                Some(known_ran) if is_part => {
                    changed |= *known_ran < *ran;
                    *known_ran = (*known_ran).max(*ran);
                }
                Some(known_ran) => {
                    changed |= *known_ran > *ran;
                    *known_ran = (*known_ran).min(*ran);
                }
                None if is_full => {}
                None => {
                    known.record.crashes.insert(*incarnation, *ran);
                    changed = true;
                }
            }
        }
        let companions = &mut known.record.companions;
        let companion_count = companions.len();
        companions.retain(|tag| reported.companions.contains(tag));
        changed |= companions.len() != companion_count;
        let record = &mut known.record;
        let is_survived = add_runs(
            &mut record.survivors,
            &reported.survivors,
            MAX_SURVIVORS_PER_FEATURE,
        );
        // Other entries refuse the feature, too, and do not hear of these survivors otherwise.
        if is_survived && self.verdict.contains(&feature) {
            known.observed_at = Some(now);
        }
        changed |= is_survived;
        changed |= add_runs(
            &mut record.contrasts,
            &reported.contrasts,
            MAX_CONTRASTS_PER_FEATURE,
        );
        if changed {
            known.changed_at = now;
        }
        changed
    }

    /// Returns whether a record of a feature with crashes changed recently.
    pub fn has_recent_changes(&self, now: Timestamp) -> bool {
        let mut records = self.records.values();
        records.any(|known| now.since(known.changed_at) < REPORT_REPEAT_TIME)
    }

    /// Returns the reports to gossip: what this entry recently observed itself,
    /// and all that is known about what is fatal. Hubs receive the reports of
    /// all entries, so they find out what is fatal. If hubs relayed
    /// all other reports to hundreds of entries, gossip would grow by half
    /// while many servers crash at once.
    pub fn reports(&self, now: Timestamp) -> Vec<CrashReport> {
        let fatal = self.refused_features();
        let recent = self.records.iter().filter(|(feature, known)| {
            known.was_recently_observed(now) && !fatal.contains(feature)
        });
        let mut recent: Vec<(&CallFeature, &KnownRecord)> = recent.collect();
        recent.sort_by_key(|(feature, known)| {
            let rank = (known.record.crashes.len(), known.changed_at);
            (known.record.is_cleared(), Reverse(rank), **feature)
        });
        let recent = recent
            .iter()
            .filter_map(|(feature, _)| self.report(now, **feature));
        let fatal = fatal
            .iter()
            .filter_map(|feature| self.report(now, *feature));
        let fatal: Vec<CrashReport> = fatal.take(MAX_REPORTS).collect();
        let recent: Vec<CrashReport> = recent.take(MAX_REPORTS).collect();
        // Neither kind keeps the other from being reported.
        let fatal_count = (MAX_REPORTS / 2).max(MAX_REPORTS - recent.len());
        let fatal = fatal.into_iter().take(fatal_count);
        fatal.chain(recent).take(MAX_REPORTS).collect()
    }

    /// Returns the features of what is fatal or suspected.
    fn refused_features(&self) -> BTreeSet<CallFeature> {
        let CrashVerdict { fatal, suspected } = &self.verdict;
        fatal.iter().chain(suspected).flatten().copied().collect()
    }

    /// Returns the reports about what is fatal.
    pub fn fatal_reports(&self, now: Timestamp) -> Vec<CrashReport> {
        let fatal: BTreeSet<&CallFeature> = self.verdict.fatal.iter().flatten().collect();
        fatal
            .into_iter()
            .filter_map(|feature| self.report(now, *feature))
            .collect()
    }

    fn report(&self, now: Timestamp, feature: CallFeature) -> Option<CrashReport> {
        let known = self.records.get(&feature)?;
        Some(CrashReport {
            feature,
            record: known.record.clone(),
            idle: now.since(known.seen_at),
        })
    }
}

/// Adds runs to a set that has at most `max_runs`. Returns whether any was new.
fn add_runs(
    known: &mut BTreeSet<SurvivorTag>,
    reported: &BTreeSet<SurvivorTag>,
    max_runs: usize,
) -> bool {
    let mut changed = false;
    for run in reported {
        if known.len() < max_runs {
            changed |= known.insert(*run);
        }
    }
    changed
}
