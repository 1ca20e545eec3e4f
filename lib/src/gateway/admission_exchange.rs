//! Joins the shared admission to the requests and the gossip of this entry.

use metrics::counter;
use metrics::gauge;

use crate::gateway::account_demand::CrowdedDemand;
use crate::gateway::account_demand::DemandClass;
use crate::gateway::account_demand::ServiceDemands;
use crate::gateway::account_demand::add_demands;
use crate::gateway::account_demand::subtract_demands;
use crate::gateway::account_demand::write_demands;
use crate::gateway::backend_choice::BackendChoice;
use crate::gateway::backend_set::BackendSet;
use crate::gateway::call_admission::AdmittedCall;
use crate::gateway::gateway_context::GatewayContext;
use crate::gateway::peer_gossip::GatewayGossip;
use crate::gateway::peer_table::PeerTable;
use crate::gateway::service_room::ServiceRoom;
use crate::gateway::shared_admission::AdmissionQuery;
use crate::gateway::shared_admission::AdmissionRefusal;
use crate::id::ServiceName;
use crate::quantity::Timestamp;

/// Counts a request that arrives in the demand of its account.
pub fn note_demand(context: &GatewayContext, now: Timestamp, call: &AdmittedCall) {
    if !context.settings.load.shared_admission {
        return;
    }
    let class = DemandClass {
        urgency: call.priority(),
        account: call.account_name().cloned(),
    };
    let units = call.head.tokens.map_or(1, |tokens| tokens.total().0.max(1));
    let mut admission = context.admission.lock();
    admission.note_request(now, &call.service, class, units as f64);
}

/// Decides about a request by the room of its service.
///
/// # Errors
///
/// Why it is refused.
pub fn admit_by_room(
    context: &GatewayContext,
    backends: &BackendSet,
    now: Timestamp,
    call: &AdmittedCall,
    choice: &BackendChoice,
    draw: f64,
) -> Result<(), AdmissionRefusal> {
    let mut admission = context.admission.lock();
    if admission.is_update_due(now, &call.service) {
        admission.update(
            now,
            &call.service,
            service_room(backends, now, &call.service),
            backends.times(&call.service).processing_time,
            call.shortest_target,
        );
    }
    admission.decide(&AdmissionQuery {
        service: &call.service,
        urgency: call.priority(),
        account: call.account_name(),
        expected_latency: choice.first_event,
        slot_wait: choice.slot_wait,
        target_latency: call.route.target_latency.min(call.time_left()),
        is_promised: false,
        draw,
    })
}

/// Returns the room of the servers of a service that accept new requests.
fn service_room(backends: &BackendSet, now: Timestamp, service: &ServiceName) -> ServiceRoom {
    let mut room = ServiceRoom::default();
    let servers = backends.of_service(service);
    let usable = servers.filter(|backend| {
        backend.accepts_requests() && !backend.is_ejected(now) && !backend.is_missing()
    });
    for backend in usable {
        room.add_server(backend.record.slots, backend.occupancy(now));
    }
    room
}

/// Updates the levels of all services that callers of this entry have asked for, and
/// the gauges. A hub takes the demand that other entries `reported` to it.
pub fn update_admission(context: &GatewayContext, now: Timestamp, reported: &ServiceDemands) {
    if !context.settings.load.shared_admission {
        return;
    }
    let backends = context.backends.lock();
    let mut admission = context.admission.lock();
    if !reported.is_empty() {
        admission.replace_peer_demands(now, reported.clone());
    }
    for (service, target) in admission.known_services() {
        let room = service_room(&backends, now, &service);
        let time = backends.times(&service).processing_time;
        admission.update(now, &service, room, time, target);
    }
    for (service, figures) in admission.figures() {
        let labels = [("service", service.to_string())];
        gauge!("cloverbend_refused_share", &labels).set(figures.refused_share);
        gauge!("cloverbend_service_slots", &labels).set(figures.room.slots as f64);
        gauge!("cloverbend_service_busy_slots", &labels).set(figures.room.busy as f64);
        gauge!("cloverbend_service_waiting", &labels).set(figures.room.waiting as f64);
    }
}

/// Returns what callers of this entry ask of crowded services.
pub fn own_crowded_demand(context: &GatewayContext, now: Timestamp) -> Vec<CrowdedDemand> {
    if !context.settings.load.shared_admission {
        return Vec::new();
    }
    let demands = context.admission.lock().crowded_demands(now);
    write_demands(&demands)
}

/// Returns what callers of the entries that report to this one ask of crowded services.
pub fn reported_demands(peers: &PeerTable, now: Timestamp) -> ServiceDemands {
    let mut sums = ServiceDemands::new();
    for demand in peers.crowded_demand(now) {
        add_demands(&mut sums, demand);
    }
    sums
}

/// Returns what callers of this entry and of all that report to it ask of crowded
/// services.
pub fn crowded_sums(reported: &ServiceDemands, own_gossip: &GatewayGossip) -> Vec<CrowdedDemand> {
    let mut sums = reported.clone();
    add_demands(&mut sums, &own_gossip.crowded_demand);
    write_demands(&sums)
}

/// Takes the demand of all other entries from the gossip of a hub.
pub fn apply_demand(context: &GatewayContext, now: Timestamp, gossip: &GatewayGossip) {
    if !context.settings.load.shared_admission {
        return;
    }
    if gossip.view.is_some() || gossip.reports_state {
        context.admission.lock().note_news(now);
    }
    if gossip.crowded_sums.is_empty() {
        return;
    }
    let mut sums = ServiceDemands::new();
    let ignored = add_demands(&mut sums, &gossip.crowded_sums);
    counter!("cloverbend_demand_items_ignored_total").increment(ignored as u64);
    let own_demand = own_crowded_demand(context, now);
    subtract_demands(&mut sums, &own_demand);
    context.admission.lock().replace_peer_demands(now, sums);
}
