//! Every decoder of the library, on valid input that is then damaged at random.
//!
//! No decoder panics, and what is decoded in spite of the damage stays the same
//! when it is encoded and decoded again. The cases are few and seeded; set
//! `PROPTEST_CASES=200000` to run for minutes.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use cloverbend::configuration::ConfigView;
use cloverbend::gateway::account_demand::CrowdedDemand;
use cloverbend::gateway::account_demand::DemandItem;
use cloverbend::gateway::account_demand::ServiceDemands;
use cloverbend::gateway::account_demand::add_demands;
use cloverbend::gateway::call_digest::CallDigest;
use cloverbend::gateway::call_feature::CallFeature;
use cloverbend::gateway::call_feature::FeatureTag;
use cloverbend::gateway::crash_ledger::CrashReport;
use cloverbend::gateway::crash_verdict::CrashRecord;
use cloverbend::gateway::crash_verdict::IncarnationDigest;
use cloverbend::gateway::crash_verdict::SurvivorTag;
use cloverbend::gateway::document_parts::DocumentPart;
use cloverbend::gateway::document_parts::DocumentPull;
use cloverbend::gateway::duty_record::DutyRecord;
use cloverbend::gateway::gateway_settings::GatewaySettings;
use cloverbend::gateway::hub_capacity::HubCapacity;
use cloverbend::gateway::packed_document::PackedDocument;
use cloverbend::gateway::peer_gossip::BackendLoad;
use cloverbend::gateway::peer_gossip::GatewayGossip;
use cloverbend::gateway::peer_gossip::HubView;
use cloverbend::gateway::peer_table::reported_state::add_loads;
use cloverbend::gateway::return_promises::PromiseKey;
use cloverbend::gateway::return_promises::PromiseList;
use cloverbend::gateway::return_promises::PromiseNews;
use cloverbend::gateway::return_promises::PromiseState;
use cloverbend::gateway::rollout_evidence::RolloutEvidence;
use cloverbend::gateway::rollout_state::RolloutOrder;
use cloverbend::gateway::rollout_state::RolloutPhase;
use cloverbend::gateway::rollout_table::EvidenceReport;
use cloverbend::gateway::rollout_table::RolloutNews;
use cloverbend::gateway::server_pace::PaceCounts;
use cloverbend::gateway::server_pace::pace_factors;
use cloverbend::id::FenceToken;
use cloverbend::id::Incarnation;
use cloverbend::id::LogOffset;
use cloverbend::id::RevisionNumber;
use cloverbend::log_reader::read_lines;
use cloverbend::loss_report::read_losses;
use cloverbend::settings::EntrySettings;
use cloverbend::wire::PeerMessage;
use cloverbend_testutils::sample::cold_chain;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const MIN_CASES: u32 = 1_000;
/// The length of the document before packing, in bytes. All its bytes are equal, so
/// the packed form is a hundredth as long.
const DOCUMENT_BYTES: usize = 100_000;

const ENTRY_SETTINGS: &str = "[entry]\nname = entry-1\nzone = dakar-a\n\
    http_address = 127.0.0.1:8101\npeer_address = 127.0.0.1:8201\n\n\
    [platform]\nlog_service = http://127.0.0.1:9001\nvm_list = http://127.0.0.1:9002\n\
    cloud_api = http://127.0.0.1:9002\n";
const GATEWAY_SETTINGS: &str = "[gateway]\nname = entry-1\nzone = zone-a\n\
    caller_address = 127.0.0.1:1\nreadiness_address = 127.0.0.1:2\n\
    peer_address = 127.0.0.1:3\nfirst_start = true\nmemory_mb = 160\n\
    [store]\naddress = 127.0.0.1:4\n[cloud]\naddress = 127.0.0.1:5\n\
    [bounds]\nkey_age_ms = 5000\ngrace_s = 6\n";
const DUTY_RECORDS: [&str; 3] = [
    r#"{"claim":{"entry":"entry-0","incarnation":99}}"#,
    r#"{"usage":{"window":3,"counts":{"depots":4}}}"#,
    r#"{"interim":{"windows":{"3":{"99":{"depots":4}}}}}"#,
];
const LOG_LINES: &str = concat!(
    r#"{"msg":"request sent","ts":"2026-01-01T00:00:00.1Z","entry":"e","request":"a","route":"r","target_ms":600,"unread_tokens":9}"#,
    "\n",
    r#"{"msg":"request answered","ts":"2026-01-01T00:00:00.9Z","entry":"e","request":"a","events":5,"first_event_ms":30,"after_ms":80}"#,
    "\n"
);

/// A replacement of some bytes by others.
#[derive(Clone, Debug)]
struct Damage {
    at: prop::sample::Index,
    removed: usize,
    added: Vec<u8>,
}

impl Damage {
    fn apply(&self, bytes: &mut Vec<u8>) {
        let at = self.at.index(bytes.len() + 1);
        let until = (at + self.removed).min(bytes.len());
        bytes.splice(at..until, self.added.iter().copied());
    }
}

fn damages() -> impl Strategy<Value = Vec<Damage>> {
    let added = prop::collection::vec(any::<u8>(), 0..6);
    let damage = (any::<prop::sample::Index>(), 0_usize..12, added);
    let damage = damage.prop_map(|(at, removed, added)| Damage { at, removed, added });
    prop::collection::vec(damage, 1..4)
}

fn damaged(intact: &[u8], damages: &[Damage]) -> Vec<u8> {
    let mut bytes = intact.to_vec();
    for damage in damages {
        damage.apply(&mut bytes);
    }
    bytes
}

fn damaged_text(intact: &str, damages: &[Damage]) -> String {
    String::from_utf8_lossy(&damaged(intact.as_bytes(), damages)).into_owned()
}

fn crowded_demand() -> CrowdedDemand {
    CrowdedDemand {
        service: "chat".to_owned(),
        items: vec![DemandItem {
            urgency: 2,
            account: "depots".to_owned(),
            units_milli: 9_000,
        }],
    }
}

fn backend_loads() -> Vec<BackendLoad> {
    let load = |backend: &str, pace_weight, pace_log| BackendLoad {
        backend: backend.to_owned(),
        in_flight: 2,
        unread: 300,
        start: 12,
        pace_weight,
        pace_log,
    };
    vec![load("i-1", 7_000, 23_000), load("i-2", 900, -2_000)]
}

fn gossip() -> GatewayGossip {
    let crashes = [(IncarnationDigest(6), Duration::from_millis(7))];
    GatewayGossip {
        sent_at: 5,
        revision: RevisionNumber(1),
        reports_state: true,
        wants_summary: true,
        backends_digest: 3,
        backend_loads: backend_loads(),
        view: Some(HubView {
            entries: 5,
            reachable: 4,
            fencing_token: None,
            backend_loads: backend_loads(),
        }),
        crowded_demand: vec![crowded_demand()],
        crowded_sums: vec![crowded_demand()],
        crashes: vec![CrashReport {
            feature: CallFeature::Request(CallDigest(5)),
            record: CrashRecord {
                crashes: crashes.into(),
                survivors: [SurvivorTag(1), SurvivorTag(2), SurvivorTag(3)].into(),
                companions: [FeatureTag(9)].into(),
                contrasts: [SurvivorTag(7)].into(),
            },
            idle: Duration::from_millis(8),
        }],
        promises: vec![PromiseList {
            service: "chat".parse().unwrap(),
            news: vec![
                PromiseNews {
                    key: PromiseKey(9),
                    due_in: Duration::from_millis(300),
                    state: PromiseState::Open,
                },
                PromiseNews {
                    key: PromiseKey(10),
                    due_in: Duration::ZERO,
                    state: PromiseState::Kept,
                },
            ],
        }],
        rollouts: vec![RolloutNews {
            order: RolloutOrder {
                service: "pool".parse().unwrap(),
                target: "v2".parse().unwrap(),
                duration: Duration::from_secs(60),
            },
            number: LogOffset(9),
            fence: FenceToken(4),
            phase: RolloutPhase::Running,
            age: Duration::from_millis(10),
            news_age: Duration::from_millis(11),
            new_answers: 12,
        }],
        rollout_evidence: vec![EvidenceReport {
            service: "pool".parse().unwrap(),
            number: LogOffset(9),
            evidence: RolloutEvidence::default(),
        }],
        ..GatewayGossip::new(
            Incarnation(1),
            "entry-1".parse().unwrap(),
            "127.0.0.1:1".parse().unwrap(),
            HubCapacity(100),
        )
    }
}

fn peer_messages() -> Vec<PeerMessage> {
    vec![
        PeerMessage::News(Box::new(gossip())),
        PeerMessage::DocumentPull(DocumentPull {
            reply_to: "127.0.0.1:9".parse().unwrap(),
            revision: RevisionNumber(4),
            from: 32_768,
        }),
        PeerMessage::DocumentPart(DocumentPart {
            revision: RevisionNumber(4),
            length: 11,
            digest: 12,
            from: 3,
            bytes: Bytes::from_static(b"document"),
            log_end: Some(LogOffset(9)),
        }),
    ]
}

fn cases() -> ProptestConfig {
    let config = ProptestConfig {
        rng_seed: RngSeed::Fixed(35),
        failure_persistence: None,
        ..ProptestConfig::default()
    };
    ProptestConfig {
        cases: config.cases.max(MIN_CASES),
        ..config
    }
}

proptest! {
    #![proptest_config(cases())]

    #[test]
    fn decoding_messages_between_entries(which in 0_usize..3, damages in damages()) {
        let intact = peer_messages()[which].clone().encode();
        let Ok(decoded) = PeerMessage::decode(damaged(&intact, &damages).into()) else {
            return Ok(());
        };
        if let PeerMessage::News(gossip) = &decoded {
            let mut sums = ServiceDemands::new();
            add_demands(&mut sums, &gossip.crowded_demand);
            prop_assert!(sums.values().flat_map(|sum| sum.values()).all(|units| units.is_finite()));
            let mut loads = BTreeMap::new();
            add_loads(&mut loads, &gossip.backend_loads);
            let counts: Vec<PaceCounts> = loads.values().map(|load| load.pace_counts().with_valid_average()).collect();
            let factors = pace_factors(&counts);
            prop_assert!(factors.iter().all(|factor| (0.25..=8.0).contains(&factor.0)));
        }
        let redecoded = PeerMessage::decode(decoded.clone().encode());
        prop_assert_eq!(format!("{redecoded:?}"), format!("{:?}", Ok::<_, ()>(decoded)));
    }

    #[test]
    fn unpacking_documents(damages in damages()) {
        let intact = PackedDocument::pack(&vec![7; DOCUMENT_BYTES]).unwrap();
        let decoded = PackedDocument::from_packed(damaged(intact.bytes(), &damages).into());
        let _ = decoded.unpack();
    }

    #[test]
    fn parsing_settings_of_both_interfaces(damages in damages()) {
        let _ = EntrySettings::parse("entry.ini", &damaged_text(ENTRY_SETTINGS, &damages));
        let _ = GatewaySettings::parse("gateway.ini", &damaged_text(GATEWAY_SETTINGS, &damages));
    }

    #[test]
    fn decoding_duty_records(which in 0_usize..3, damages in damages()) {
        let bytes = damaged(DUTY_RECORDS[which].as_bytes(), &damages);
        let Ok(decoded) = serde_json::from_slice::<DutyRecord>(&bytes) else {
            return Ok(());
        };
        let encoded = serde_json::to_vec(&decoded).unwrap();
        prop_assert_eq!(serde_json::from_slice::<DutyRecord>(&encoded).unwrap(), decoded);
    }

    #[test]
    fn parsing_published_configurations(damages in damages()) {
        let intact = serde_json::to_string(&cold_chain()).unwrap();
        let _ = ConfigView::parse("published.json", &damaged_text(&intact, &damages));
    }

    #[test]
    fn reading_log_lines(damages in damages()) {
        let text = damaged_text(LOG_LINES, &damages);
        let _ = read_lines(&text);
        let _ = read_losses(&text);
    }

    #[test]
    fn parsing_request_digests(text in "[0-9a-fA-F+\\-]{0,20}") {
        if let Ok(digest) = text.parse::<CallDigest>() {
            prop_assert_eq!(digest.to_string().parse::<CallDigest>(), Ok(digest));
        }
    }
}
