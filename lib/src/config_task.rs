//! Keeps the configuration in force: follows the log, takes newer revisions
//! from other entries, and restates the current one before it expires.

use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use metrics::counter;
use metrics::gauge;
use rand::Rng;
use slog::info;
use slog::warn;

use crate::config_pull::ConfigAsker;
use crate::config_pull::ConfigNeed;
use crate::config_pull::ConfigSource;
use crate::entry_context::EntryContext;
use crate::id::LogOffset;
use crate::id::RevisionNumber;
use crate::log_client::CONFIG_STREAM;
use crate::log_client::LogPage;
use crate::member_record::MemberHealth;
use crate::member_record::MemberRecord;
use crate::member_record::MemberState;
use crate::revision::ConfigRecord;
use crate::revision::ConfigRevision;
use crate::revision::PublicationId;
use crate::revision::RecordOutcome;
use crate::wire::ConfigTransfer;
use crate::wire::PeerMessage;

/// How long a read waits for new records.
const READ_WAIT: Duration = Duration::from_millis(500);
/// How long to wait after a failed read.
const FAILURE_PAUSE: Duration = Duration::from_millis(300);
/// The pause between looks at whether another entry is to be asked for a newer
/// revision: as long as a read of the log waits.
const PULL_LOOK: Duration = Duration::from_millis(500);
/// The age at which the revision in force is restated. The log must keep
/// records for at least four times as long.
const RESTATE_AFTER: Duration = Duration::from_secs(900);

/// Follows the log until the entry stops.
pub async fn follow_log(context: Arc<EntryContext>) {
    let mut restated = (LogOffset(0), Instant::now());
    let mut failing = false;
    loop {
        let from = context.tables.config.read().next_offset();
        match context
            .log_service
            .read(CONFIG_STREAM, from, READ_WAIT)
            .await
        {
            Ok(page) => {
                if failing {
                    info!(context.log, "the log service answers again");
                }
                failing = false;
                let caught_up = apply_page(&context, page);
                if caught_up {
                    serve(&context, "log");
                }
                restate_if_old(&context, &mut restated).await;
            }
            Err(error) => {
                if !failing {
                    warn!(context.log, "the log service does not answer"; "error" => %error);
                }
                failing = true;
                counter!("cloverbend_log_read_failures_total").increment(1);
                tokio::time::sleep(FAILURE_PAUSE).await;
            }
        }
    }
}

/// Applies a page. Returns whether everything in the log was read.
fn apply_page(context: &Arc<EntryContext>, page: LogPage) -> bool {
    {
        let mut follower = context.tables.config.write();
        follower.start_at(page.first);
        for record in &page.records {
            let outcome = follower.apply(record.offset, &record.body);
            report_outcome(context, record.offset, &outcome);
        }
    }
    spread_revision(context);
    context.tables.config.read().next_offset() >= page.next
}

fn report_outcome(context: &EntryContext, offset: LogOffset, outcome: &RecordOutcome) {
    let log = &context.log;
    let label = match outcome {
        RecordOutcome::Applied(number) => {
            info!(log, "a revision is in force"; "revision" => %number, "offset" => %offset);
            "applied"
        }
        RecordOutcome::Lost {
            publication,
            winner,
            current,
        } => {
            info!(log, "a publication lost"; "publication" => %publication,
                "winner" => %winner, "revision" => %current);
            "lost"
        }
        RecordOutcome::Ignored => "ignored",
        RecordOutcome::Rejected(findings) => {
            warn!(log, "a record was rejected"; "offset" => %offset, "findings" => %findings);
            "rejected"
        }
        RecordOutcome::Undecodable(error) => {
            warn!(log, "a record cannot be decoded"; "offset" => %offset, "error" => error);
            "undecodable"
        }
        RecordOutcome::Unjudged => "unjudged",
    };
    counter!("cloverbend_config_records_total", "outcome" => label).increment(1);
}

/// Tells the other entries which revision is in force here.
fn spread_revision(context: &Arc<EntryContext>) {
    let number = context.tables.config.read().number();
    gauge!("cloverbend_config_revision").set(number.0 as f64);
    let mut members = context.tables.members.lock();
    let actions = members.update_own(|own| own.revision = number);
    drop(members);
    context.run_gossip_actions(actions);
}

/// Starts to serve, if the configuration in force is known.
fn serve(context: &Arc<EntryContext>, source: &'static str) {
    if context.tables.config.read().current().is_none() {
        return;
    }
    let mut members = context.tables.members.lock();
    if members.own().state != MemberState::Starting {
        return;
    }
    info!(context.log, "serving"; "source" => source);
    let actions = members.update_own(|own| own.state = MemberState::Serving);
    drop(members);
    context.run_gossip_actions(actions);
    context.pair_check.notify_one();
}

async fn restate_if_old(context: &Arc<EntryContext>, restated: &mut (LogOffset, Instant)) {
    let (offset, revision) = {
        let follower = context.tables.config.read();
        (follower.restated_at(), follower.current().cloned())
    };
    if offset != restated.0 {
        *restated = (offset, Instant::now());
    }
    let Some(revision) = revision else {
        return;
    };
    // Entries would restate at the same moment; each waits a little longer
    // by chance, and sees the restatement of the first.
    let jitter = RESTATE_AFTER.mul_f64(rand::rng().random_range(0.0..0.2));
    if restated.1.elapsed() < RESTATE_AFTER + jitter {
        return;
    }
    restated.1 = Instant::now();
    if let Err(error) = append_snapshot(context, &revision).await {
        warn!(context.log, "the revision in force was not restated"; "error" => error);
    }
}

async fn append_snapshot(context: &EntryContext, revision: &ConfigRevision) -> Result<(), String> {
    let record = ConfigRecord::Snapshot {
        publication: revision.publication.clone(),
        number: revision.number,
        document: revision.view.document().clone(),
    };
    let body = serde_json::to_string(&record).map_err(|error| error.to_string())?;
    let appended = context.log_service.append(CONFIG_STREAM, body).await;
    counter!("cloverbend_config_snapshots_total").increment(1);
    appended.map(drop).map_err(|error| error.to_string())
}

/// Asks other entries for newer revisions until the entry stops. This is how
/// revisions spread while the log is down, and how an entry starts then.
pub async fn pull_from_entries(context: Arc<EntryContext>) {
    let reply_to = context.settings.peer_address;
    let mut asker = ConfigAsker::new(context.settings.name.clone());
    loop {
        tokio::time::sleep(PULL_LOOK).await;
        let (need, sources) = config_sources(&context);
        if let Some(address) = asker.next_question(context.now(), need, sources) {
            let question = PeerMessage::ConfigPull { reply_to };
            context.peers.send(address, question);
        }
    }
}

/// Returns what this entry lacks, and who can help: entries that are ahead, and
/// for one that starts also those that know that they are current.
fn config_sources(context: &EntryContext) -> (ConfigNeed, Vec<ConfigSource>) {
    let revision = context.tables.config.read().number();
    let members = context.tables.members.lock();
    let starting = members.own().state == MemberState::Starting;
    let is_current = |record: &MemberRecord| starting && record.state != MemberState::Starting;
    let sources = members
        .others()
        .filter(|record| record.health == MemberHealth::Alive)
        .filter(|record| record.revision > revision || is_current(record))
        .map(|record| ConfigSource {
            name: record.name.clone(),
            revision: record.revision,
            address: record.peer_address,
        })
        .collect();
    let need = ConfigNeed {
        revision,
        starting,
        answers: context.config_answers.load(Ordering::Relaxed),
    };
    (need, sources)
}

impl EntryContext {
    /// Returns the revision in force as it is sent to another entry.
    pub fn config_transfer(&self) -> Option<ConfigTransfer> {
        let revision = self.revision()?;
        let document = serde_json::to_string(revision.view.document()).ok()?;
        Some(ConfigTransfer {
            number: revision.number,
            publication: revision.publication.0,
            document,
            serving: self.state() != MemberState::Starting,
        })
    }

    /// Takes in a revision that another entry has in force. An entry that
    /// serves has read the log to its end or asked one that had. While the log
    /// is down, this entry starts to serve once no entry that it can see has
    /// a newer revision than the one it was sent.
    pub fn receive_config(self: &Arc<Self>, transfer: ConfigTransfer) {
        self.config_answers.fetch_add(1, Ordering::Relaxed);
        if transfer.number == RevisionNumber(0) {
            return;
        }
        let Some(outcome) = self.adopt_transfer(&transfer) else {
            return;
        };
        let next = self.tables.config.read().next_offset();
        report_outcome(self, next, &outcome);
        spread_revision(self);
        let current = self.tables.config.read().number();
        let newest = {
            let members = self.tables.members.lock();
            let alive = members.others().filter(|r| r.health == MemberHealth::Alive);
            alive.map(|record| record.revision).max()
        };
        if transfer.serving && newest.is_none_or(|newest| current >= newest) {
            serve(self, "entry");
        }
    }

    /// Adopts what another entry sent if it is newer; a
    /// document that cannot be read is ignored. One that is no newer is not even parsed.
    fn adopt_transfer(&self, transfer: &ConfigTransfer) -> Option<RecordOutcome> {
        if transfer.number <= self.tables.config.read().number() {
            return Some(RecordOutcome::Ignored);
        }
        let document = match serde_json::from_str(&transfer.document) {
            Ok(document) => document,
            Err(error) => {
                warn!(self.log, "an entry sent a bad configuration"; "error" => %error);
                return None;
            }
        };
        let publication = PublicationId(transfer.publication.clone());
        let mut follower = self.tables.config.write();
        Some(follower.adopt(transfer.number, publication, document))
    }
}
