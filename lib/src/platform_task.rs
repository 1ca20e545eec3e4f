//! Follows the VM list, reclaim notices, engine loads and cache events.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream;
use metrics::counter;
use metrics::gauge;
use slog::warn;

use crate::configuration::ServiceKind;
use crate::engine_client::EngineClient;
use crate::entry_context::EntryContext;
use crate::id::VmId;
use crate::platform_client::ReclaimNotice;
use crate::platform_client::VmRecord;
use crate::routing::EngineLoad;

/// The time between queries of the VM list.
const LIST_PERIOD: Duration = Duration::from_millis(500);
/// The time between queries for reclaim notices.
const NOTICE_PERIOD: Duration = Duration::from_millis(250);
/// The time between load reports.
const LOAD_PERIOD: Duration = Duration::from_millis(500);
/// The most engines asked at once.
const LOAD_CONCURRENCY: usize = 16;

/// Follows the VM list until the entry stops.
pub async fn follow_vms(context: Arc<EntryContext>) {
    loop {
        match context.platform.vms().await {
            Ok(page) => take_in_vms(&context, page.vms),
            Err(error) => {
                counter!("cloverbend_vm_list_failures_total").increment(1);
                slog::debug!(context.log, "the VM list does not answer"; "error" => %error);
            }
        }
        tokio::time::sleep(LIST_PERIOD).await;
    }
}

fn take_in_vms(context: &Arc<EntryContext>, vms: Vec<VmRecord>) {
    // Until a configuration is known, a service's kind is not.
    let Some(config) = context.config() else {
        return;
    };
    gauge!("cloverbend_backend_servers").set(vms.len() as f64);
    let listed: Vec<VmId> = vms.iter().map(|vm| vm.vm.clone()).collect();
    let (news, entries): (Vec<VmId>, usize) = {
        let members = context.tables.members.lock();
        let leaving = listed.into_iter().filter(|vm| members.is_vm_leaving(vm));
        let serving = members.all().filter(|record| record.takes_requests());
        (leaving.collect(), serving.count())
    };
    let newly_leaving = {
        let mut backends = context.tables.backends.lock();
        backends.set_entries(entries);
        let newly_leaving = backends.update(Some(&config), vms);
        for vm in &news {
            backends.set_leaving(vm);
        }
        newly_leaving
    };
    for vm in newly_leaving {
        context.announce_leaving_vm(vm);
    }
}

/// Follows reclaim notices until the entry stops. `reclaimed` is called with
/// the time left when this entry's own VM is reclaimed.
pub async fn follow_notices<F>(context: Arc<EntryContext>, reclaimed: F)
where
    F: Fn(Duration) + Send + Sync + 'static,
{
    let mut after = 0;
    loop {
        match context.platform.notices(after).await {
            Ok(page) => {
                for notice in page.notices {
                    after = after.max(notice.number);
                    take_in_notice(&context, notice, &reclaimed);
                }
            }
            Err(error) => {
                counter!("cloverbend_notice_failures_total").increment(1);
                slog::debug!(context.log, "the cloud API does not answer"; "error" => %error);
            }
        }
        tokio::time::sleep(NOTICE_PERIOD).await;
    }
}

fn take_in_notice<F: Fn(Duration)>(
    context: &Arc<EntryContext>,
    notice: ReclaimNotice,
    reclaimed: &F,
) {
    warn!(context.log, "a VM will be reclaimed"; "vm" => %notice.vm, "left_ms" => notice.left_ms);
    counter!("cloverbend_reclaim_notices_total").increment(1);
    if notice.vm == context.settings.vm {
        reclaimed(Duration::from_millis(notice.left_ms));
        return;
    }
    context.announce_leaving_vm(notice.vm);
}

impl EntryContext {
    /// Stops new work to a VM and tells the other entries.
    pub fn announce_leaving_vm(self: &Arc<Self>, vm: VmId) {
        let actions = {
            let mut members = self.tables.members.lock();
            members.announce_vm_leaving(self.now(), vm.clone())
        };
        self.tables.backends.lock().set_leaving(&vm);
        self.run_gossip_actions(actions);
    }
}

/// Follows loads and cache events of engines until the entry stops.
pub async fn follow_engines(context: Arc<EntryContext>) {
    let engines = EngineClient::new(context.http.clone());
    let mut last_events: BTreeMap<VmId, u64> = BTreeMap::new();
    loop {
        let records = engine_records(&context);
        last_events.retain(|vm, _| records.iter().any(|record| record.vm == *vm));
        let queries = records.into_iter().map(|record| {
            let after = last_events.get(&record.vm).copied().unwrap_or(0);
            query_engine(&context, &engines, record, after)
        });
        let answers: Vec<Option<(VmId, u64)>> = stream::iter(queries)
            .buffer_unordered(LOAD_CONCURRENCY)
            .collect()
            .await;
        last_events.extend(answers.into_iter().flatten());
        tokio::time::sleep(LOAD_PERIOD).await;
    }
}

fn engine_records(context: &EntryContext) -> Vec<VmRecord> {
    let Some(config) = context.config() else {
        return Vec::new();
    };
    let backends = context.tables.backends.lock();
    backends
        .vms()
        .filter(|(record, leaving)| {
            let service = config.service(&record.service);
            !leaving && service.is_some_and(|service| service.kind == ServiceKind::Model)
        })
        .map(|(record, _)| record.clone())
        .collect()
}

async fn query_engine(
    context: &EntryContext,
    engines: &EngineClient,
    record: VmRecord,
    after: u64,
) -> Option<(VmId, u64)> {
    let asked = context.now();
    let report = engines.load(record.address).await.ok()?;
    // The report was true `age_ms` before it was sent; taking the time of
    // asking as that of sending errs towards counting own work twice.
    let as_of = asked.0.saturating_sub(report.age_ms * 1_000);
    let load = EngineLoad {
        running: report.running,
        waiting: report.waiting,
        waiting_tokens: report.waiting_tokens,
        as_of: crate::quantity::Timestamp(as_of),
    };
    {
        let mut backends = context.tables.backends.lock();
        let (service, vm) = (&record.service, &record.vm);
        backends.report_load(service, vm, load);
        backends.report_shape(service, vm, report.slots, report.prefill_rate);
    }
    let events = engines.cache_events(record.address, after).await.ok()?;
    let mut backends = context.tables.backends.lock();
    backends.report_cache(&record.service, &record.vm, &events.stored, &events.evicted);
    Some((record.vm, events.last))
}
