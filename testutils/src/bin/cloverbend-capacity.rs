//! `cloverbend-capacity`: measures the slopes behind docs/CAPACITY.md.

use std::alloc::System;
use std::hint::black_box;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use clap::Parser;
use clap::ValueEnum;
use cloverbend::answer::AnswerHead;
use cloverbend::configuration::ConfigView;
use cloverbend::configuration::RepeatRule;
use cloverbend::holder::RequestHolder;
use cloverbend::id::ChunkPosition;
use cloverbend::id::Incarnation;
use cloverbend::id::RevisionNumber;
use cloverbend::member_record::MemberHealth;
use cloverbend::member_record::MemberState;
use cloverbend::mirror::RequestMirror;
use cloverbend::pair::MirrorRequest;
use cloverbend::pair::PairMessage;
use cloverbend::pair::RunTerms;
use cloverbend::policy::PolicyProgram;
use cloverbend::policy::PolicyQuery;
use cloverbend::quantity::HourlyPrice;
use cloverbend::quantity::Timestamp;
use cloverbend::quantity::TokenCount;
use cloverbend::request::AcceptedRequest;
use cloverbend::request_table::AnswerEntry;
use cloverbend::route_strategy::RouteStrategy;
use cloverbend::routing::CostWeights;
use cloverbend::routing::EngineInfo;
use cloverbend::routing::EngineLoad;
use cloverbend::routing::EngineTable;
use cloverbend::routing::RouteQuery;
use cloverbend::wire::AnswerProgress;
use cloverbend::wire::PeerMessage;
use cloverbend_testutils::linear_fit::LinearFit;
use cloverbend_testutils::member_world::MemberWorld;
use cloverbend_testutils::sample::POLICY;
use cloverbend_testutils::sample::cold_chain;
use stats_alloc::INSTRUMENTED_SYSTEM;
use stats_alloc::Region;
use stats_alloc::StatsAlloc;

#[global_allocator]
static ALLOCATOR: &StatsAlloc<System> = &INSTRUMENTED_SYSTEM;

/// What is measured.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
enum Subject {
    /// Bytes, time and speed of news between entries
    Membership,
    /// The time of routing decisions and policies
    Decisions,
    /// Bytes of each kind of state
    Memory,
    /// Bytes and time of messages between entries
    Frames,
}

/// Measures costs over sizes and fits lines to them.
#[derive(Debug, Parser)]
#[command(name = "cloverbend-capacity", version)]
struct CapacityArgs {
    /// What to measure; everything, if absent
    subject: Option<Subject>,
}

fn main() {
    let args = CapacityArgs::parse();
    let wanted = |subject| args.subject.is_none_or(|asked| asked == subject);
    if wanted(Subject::Membership) {
        membership();
    }
    if wanted(Subject::Decisions) {
        decisions();
    }
    if wanted(Subject::Memory) {
        memory();
    }
    if wanted(Subject::Frames) {
        frames();
    }
}

fn membership() {
    println!("## Membership, with 1 % loss\n");
    println!(
        "| members | bytes/s per node | messages/s per node | CPU per node % | leaving known s | revision known s | death known s | bytes/s during changes |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    let mut bytes = Vec::new();
    let mut times = Vec::new();
    for members in [9, 80, 320] {
        let mut world = MemberWorld::new(members, 0.01, 5);
        world.run(Duration::from_secs(60));
        world.take_sent();
        let begun = Instant::now();
        let quiet = Duration::from_secs(60);
        world.run(quiet);
        let cpu = begun.elapsed().as_secs_f64() / quiet.as_secs_f64() / members as f64;
        let per_node = |sent: Vec<(u64, u64)>, seconds: f64| {
            let total: (u64, u64) = sent.iter().fold((0, 0), |a, b| (a.0 + b.0, a.1 + b.1));
            let nodes = members as f64 * seconds;
            (total.0 as f64 / nodes, total.1 as f64 / nodes)
        };
        let (messages, sent) = per_node(world.take_sent(), quiet.as_secs_f64());
        let everybody = members - 1;
        world.leave(1);
        let leaving = world.run_until(Duration::from_secs(30), |world| {
            world.knowing(|r| r.state == MemberState::Leaving, 1) == everybody
        });
        world.set_revision(0, RevisionNumber(2));
        let revision = world.run_until(Duration::from_secs(30), |world| {
            world.knowing(|r| r.revision == RevisionNumber(2), 0) == everybody
        });
        world.kill(2);
        let death = world.run_until(Duration::from_secs(120), |world| {
            world.knowing(|r| r.health == MemberHealth::Gone, 2) == everybody
        });
        let busy = [leaving, revision, death]
            .iter()
            .flatten()
            .sum::<Duration>();
        let (_, changing) = per_node(world.take_sent(), busy.as_secs_f64().max(0.1));
        let seconds = |time: Option<Duration>| {
            time.map_or("not".to_owned(), |time| {
                format!("{:.2}", time.as_secs_f64())
            })
        };
        println!(
            "| {members} | {sent:.0} | {messages:.1} | {:.4} | {} | {} | {} | {changing:.0} |",
            cpu * 100.0,
            seconds(leaving),
            seconds(revision),
            seconds(death),
        );
        bytes.push((members as f64, sent));
        times.push((
            (members as f64).ln(),
            death.map_or(0.0, |d| d.as_secs_f64()),
        ));
    }
    println!("\nbytes/s per node over members: {}", LinearFit::of(&bytes));
    println!(
        "seconds until a death is known over ln(members): {}\n",
        LinearFit::of(&times)
    );
}

fn engine_table(replicas: usize, requests: usize) -> (EngineTable, Vec<Vec<u64>>) {
    let mut table = EngineTable::new(RouteStrategy::FullCost, CostWeights::default(), 1);
    for index in 0..replicas {
        let info = EngineInfo {
            vm: format!("engine-{index}").parse().expect("a valid name"),
            zone: format!("zone-{}", index % 9).parse().expect("a valid name"),
            price: HourlyPrice(1.0 + (index % 5) as f64 * 0.1),
            prefill_rate: 4_000.0,
            slots: 16,
        };
        table.add(info.clone());
        let load = EngineLoad {
            running: (index * 7 % 16) as u32,
            waiting: 0,
            waiting_tokens: (index * 131 % 2_000) as u64,
            as_of: Timestamp(0),
        };
        table.report_load(&info.vm, load);
    }
    let prompts: Vec<Vec<u64>> = (0..requests as u64)
        .map(|request| {
            let shared = (0..12).map(|block| (request % 40) << 32 | block);
            let own = (0..12).map(|block| 1 << 60 | request << 8 | block);
            shared.chain(own).collect()
        })
        .collect();
    (table, prompts)
}

fn decisions() {
    println!("## Decisions\n\n| replicas | routing decision us |\n|---|---|");
    let mut points = Vec::new();
    for replicas in [50, 300, 1_000] {
        let (mut table, prompts) = engine_table(replicas, 2_000);
        let begun = Instant::now();
        for (number, blocks) in prompts.iter().enumerate() {
            let query = route_query(blocks);
            let now = Timestamp::from_millis(number as u64);
            if let Some(choice) = table.choose(now, &query) {
                table.sent(now, &choice, &query);
                table.ended(now, &choice.vm, false);
                let load = EngineLoad {
                    as_of: now,
                    ..EngineLoad::default()
                };
                table.report_load(&choice.vm, load);
            }
        }
        let micros = begun.elapsed().as_secs_f64() * 1e6 / prompts.len() as f64;
        println!("| {replicas} | {micros:.2} |");
        points.push((replicas as f64, micros));
    }
    println!("\nrouting us over replicas: {}\n", LinearFit::of(&points));
    policies();
}

fn route_query(blocks: &[u64]) -> RouteQuery<'_> {
    RouteQuery {
        blocks,
        prompt: TokenCount(blocks.len() as u64 * 64),
        zones: None,
        max_price: None,
        avoid: None,
    }
}

fn policies() {
    println!("| rules in the policy | evaluation us |\n|---|---|");
    let mut points = Vec::new();
    for rules in [1_usize, 10, 40] {
        let mut text = String::new();
        for rule in 1..rules {
            text.push_str(&format!(
                "if account == \"other-{rule}\" {{ return #{{ priority: 1 }}; }}\n"
            ));
        }
        text.push_str(POLICY);
        let Ok(program) = PolicyProgram::compile(&text) else {
            continue;
        };
        let query = PolicyQuery {
            account: "depots".parse().expect("a valid name"),
            service: "excursion-reports".parse().expect("a valid name"),
            zones: Vec::new(),
            input_tokens: TokenCount(900),
        };
        let rounds = 5_000;
        let begun = Instant::now();
        for _ in 0..rounds {
            let decision = program.evaluate(black_box(&query));
            assert!(decision.is_ok_and(|decision| decision.allow));
        }
        let micros = begun.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
        println!("| {rules} | {micros:.2} |");
        points.push((rules as f64, micros));
    }
    println!("\npolicy us over rules: {}\n", LinearFit::of(&points));
}

/// Returns the bytes that a value built by `build` keeps.
fn kept_bytes<T>(build: impl FnOnce() -> T) -> (T, f64) {
    let region = Region::new(ALLOCATOR);
    let value = build();
    let change = region.change();
    let kept = change.bytes_allocated as f64 - change.bytes_deallocated as f64;
    (value, kept)
}

fn sample_request(body: usize) -> AcceptedRequest {
    AcceptedRequest {
        service: "excursion-reports".to_owned(),
        account: "depots".to_owned(),
        priority: 4,
        zones: Vec::new(),
        max_price: None,
        time_left_ms: 60_000,
        method: "POST".to_owned(),
        path: "/v1/chat/completions".to_owned(),
        content_type: "application/json".to_owned(),
        body: Bytes::from(vec![b'x'; body]),
        traceparent: "00-0af7651916cd43dd8448eb211c80319c-b7ad6b7169203331-01".to_owned(),
        model: true,
        prompt_tokens: (body / 4) as u64,
        max_tokens: 256,
        prefix_blocks: (0..body as u64 / 256).collect(),
    }
}

fn report_slope(name: &str, sizes: [usize; 3], build: impl Fn(usize) -> f64) {
    let points: Vec<(f64, f64)> = sizes
        .iter()
        .map(|size| (*size as f64, build(*size)))
        .collect();
    let fit = LinearFit::of(&points);
    println!("| {name} | {:.0} | {:.0} % |", fit.slope, fit.error * 100.0);
}

fn memory() {
    println!("## Memory\n\n| state | bytes each | largest error of the fit |\n|---|---|---|");
    report_slope("replica in a routing table", [50, 300, 1_000], |count| {
        kept_bytes(|| engine_table(count, 0)).1
    });
    report_slope("other entry in the member table", [9, 80, 320], |count| {
        let (world, kept) = kept_bytes(|| {
            let mut world = MemberWorld::new(count, 0.0, 3);
            world.run(Duration::from_secs(30));
            world
        });
        drop(world);
        kept / count as f64
    });
    report_slope(
        "ended call until its ticket expires (holder)",
        [1_000, 10_000, 50_000],
        |count| kept_bytes(|| ended_calls(count)).1,
    );
    report_slope(
        "chat in flight, 2 KB prompt, 128 chunks (holder)",
        [100, 500, 2_000],
        |count| kept_bytes(|| open_chats(count)).1,
    );
    report_slope(
        "copy of a 2 KB request (mirror)",
        [100, 500, 2_000],
        |count| kept_bytes(|| copies(count)).1,
    );
    report_slope("prefix block", [1_000, 10_000, 60_000], |count| {
        kept_bytes(|| {
            let mut index = cloverbend::prefix::PrefixIndex::new(65_536);
            for block in 0..count as u64 {
                index.note((block % 50) as u32, &[block]);
            }
            index
        })
        .1
    });
    report_slope(
        "client account in a configuration",
        [5, 100, 1_000],
        |count| {
            kept_bytes(|| {
                let mut document = cold_chain();
                let account = document.accounts[0].clone();
                for number in 0..count {
                    let mut account = account.clone();
                    account.name = format!("account-{number}").parse().expect("a valid name");
                    account.key_hash =
                        cloverbend::configuration::KeyHash::of_key(&number.to_string());
                    document.accounts.push(account);
                }
                ConfigView::check(document).expect("the sample is valid")
            })
            .1
        },
    );
    println!();
}

fn paired_holder(capacity: usize) -> RequestHolder<AcceptedRequest> {
    let mut holder = RequestHolder::new(Incarnation(1), capacity);
    holder.form_pair(Incarnation(2));
    holder
}

fn ended_calls(count: usize) -> RequestHolder<AcceptedRequest> {
    let mut holder = paired_holder(count + 1);
    for _ in 0..count {
        let key = holder.issue_ticket();
        let accepted = holder.accept(key, RepeatRule::AtMostOnce, sample_request(200));
        assert!(accepted.is_ok());
        holder.give_up(key);
        holder.give_up_unconfirmed(key);
    }
    holder
}

fn open_chats(count: usize) -> (RequestHolder<AcceptedRequest>, Vec<AnswerEntry>) {
    let mut holder = paired_holder(count + 1);
    let mut answers = Vec::new();
    for _ in 0..count {
        let key = holder.issue_ticket();
        let accepted = holder.accept(key, RepeatRule::Repeatable, sample_request(2_048));
        assert!(accepted.is_ok());
        let account = "depots".parse().expect("a valid name");
        let mut entry = AnswerEntry::new(account, Timestamp(0), Timestamp(1));
        for position in 0..128 {
            entry
                .log
                .place(ChunkPosition(position), Bytes::from(b"word ".to_vec()));
        }
        answers.push(entry);
    }
    (holder, answers)
}

fn copies(count: usize) -> RequestMirror<AcceptedRequest> {
    let mut holder = paired_holder(count + 1);
    let mut mirror = RequestMirror::new(Incarnation(2));
    let carrier = holder.pair();
    for _ in 0..count {
        let key = holder.issue_ticket();
        mirror.receive(PairMessage {
            carrier,
            key,
            body: copy_of(2_048),
        });
    }
    mirror
}

fn copy_of(body: usize) -> MirrorRequest<AcceptedRequest> {
    MirrorRequest::Copy {
        terms: RunTerms {
            rule: RepeatRule::Repeatable,
            may_have_run: false,
        },
        payload: sample_request(body),
    }
}

fn frames() {
    println!("## Frames\n\n| frame | bytes | encode and decode us |\n|---|---|---|");
    let mut holder = paired_holder(10);
    let carrier = holder.pair();
    let key = holder.issue_ticket();
    for body in [256, 2_048, 16_384] {
        let message = PeerMessage::ToMirror(Box::new(PairMessage {
            carrier,
            key,
            body: copy_of(body),
        }));
        time_frame(&format!("copy, body {body} bytes"), &message);
    }
    for chunks in [1, 4, 16] {
        let message = PeerMessage::Progress(AnswerProgress {
            carrier,
            key,
            head: Some(AnswerHead {
                status: 200,
                content_type: "text/event-stream".to_owned(),
            }),
            from: 100,
            chunks: vec![Bytes::from_static(b"word "); chunks],
            complete: false,
        });
        time_frame(&format!("progress, {chunks} chunks"), &message);
    }
    let pull = PeerMessage::ConfigPull {
        reply_to: SocketAddr::from((Ipv4Addr::LOCALHOST, 1)),
    };
    time_frame("configuration pull", &pull);
    println!();
}

fn time_frame(name: &str, message: &PeerMessage) {
    let rounds = 20_000;
    let length = message.clone().encode().len();
    let begun = Instant::now();
    for _ in 0..rounds {
        let bytes = black_box(message.clone()).encode();
        let decoded = PeerMessage::decode(bytes);
        assert!(decoded.is_ok());
    }
    let micros = begun.elapsed().as_secs_f64() * 1e6 / f64::from(rounds);
    println!("| {name} | {length} | {micros:.2} |");
}
