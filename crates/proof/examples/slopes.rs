//! Scaling of processor time, memory and message size of each component, in one process and up to
//! the sizes that the design supports.
//!
//! `cargo run --release -p heathpitch-proof --example slopes`

use std::collections::BTreeSet;
use std::fs;
use std::hint::black_box;
use std::sync::Arc;
use std::time::Instant;

use heathpitch_core::{
    Account, Document, Epoch, Incarnation, Index, Labels, LayerRange, Model, Name, Revision,
    Strategy, Vm, VmRole, VmState, digest,
};
use heathpitch_policy::{
    AccountLimiter, AdmissionControl, ClaimEntry, ClaimPage, Demand, EngineReport, EngineRole,
    Gauge, Health, HealthEvent, IdempotencyTable, LoadedLayers, Member, MemberState, Members,
    ModelDemand, PathRequest, PlacementEngine, PrefixIndex, StoredAnswer, Upstream, choose,
    plan_placement,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const LAYERS: u32 = 48;
const MODELS: usize = 17;

fn main() {
    println!("| operation | size | time | memory or bytes |");
    println!("|---|---|---|---|");
    routing();
    fleet();
    configuration();
    membership();
    demand();
    prefixes();
    limits();
    idempotency();
    claims();
    placement();
}

fn name(text: &str) -> Name {
    // Every text in this program is a valid name.
    text.parse().unwrap_or_else(|_| digest(&[text.as_bytes()]))
}

/// Median time per call, nanoseconds.
fn time_ns(calls: usize, mut call: impl FnMut()) -> f64 {
    let mut samples: Vec<f64> = (0..7)
        .map(|_| {
            let start = Instant::now();
            (0..calls).for_each(|_| call());
            start.elapsed().as_nanos() as f64 / calls as f64
        })
        .collect();
    samples.sort_by(f64::total_cmp);
    samples[3]
}

/// Resident memory per copy of a value, bytes.
fn memory_bytes<T>(copies: usize, make: impl Fn() -> T) -> usize {
    let before = resident_bytes();
    let all: Vec<T> = (0..copies).map(|_| make()).collect();
    let after = resident_bytes();
    drop(black_box(all));
    after.saturating_sub(before) / copies
}

fn resident_bytes() -> usize {
    let text = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = text.split_whitespace().nth(1).and_then(|p| p.parse::<usize>().ok());
    pages.unwrap_or(0) * 4_096
}

fn print_row(operation: &str, size: usize, ns: f64, bytes: usize) {
    println!("| {operation} | {size} | {:.1} us | {bytes} |", ns / 1_000.0);
}

fn report(i: usize, model: &Name, layers: LayerRange) -> EngineReport {
    EngineReport {
        engine: name(&format!("engine-{i}")),
        incarnation: Incarnation(1),
        serial: 1,
        model: Some(model.clone()),
        version: name("v1"),
        layers,
        epoch: Epoch(1),
        role: EngineRole::Both,
        draining: false,
        slots: 32,
        running: (i * 7 % 32) as u32,
        queued: 0,
        prefill: 20_000.0,
        step: 10_000,
        service: 500,
        memory: 12_000,
        layer: 800,
        link: 50,
    }
}

fn vm(i: usize) -> Vm {
    Vm {
        name: name(&format!("engine-{i}")),
        role: VmRole::Engine,
        address: name("127.0.0.1:9000"),
        domain: name(&format!("d{}", i % 6)),
        accelerator: Some(name("a100")),
        labels: Labels::try_from([("kind", "engine"), ("hall", "memphis")]).unwrap_or_default(),
        state: VmState::Live,
    }
}

fn stage(i: usize) -> LayerRange {
    let at = (i % 4) as u32 * LAYERS / 4;
    LayerRange::new(at, at + LAYERS / 4)
}

fn routing() {
    let model = Model::new(name("m"), name("v1"), LAYERS);
    let (domain, prefixes) = (name("d0"), PrefixIndex::new());
    // A model that all engines serve is the worst case; at the design size a model has about 35
    // engines.
    for engines in [35, 40, 150, 300, 600] {
        let all: Vec<Upstream> = (0..engines)
            .map(|i| Upstream {
                vm: Arc::new(vm(i)),
                report: Arc::new(report(i, &model.name, stage(i))),
                seen: 900,
                open_at_report: 0,
                gauge: Arc::new(Gauge::default()),
            })
            .collect();
        let mut rng = SmallRng::seed_from_u64(1);
        let request = PathRequest {
            model: &model,
            domain: &domain,
            tokens: 500,
            chain: &[1, 2, 3],
            prefixes: &prefixes,
            allow_suspect: false,
            avoid: &[],
            now: 1_000,
            strategy: Strategy::Affinity,
        };
        let ns = time_ns(500, || drop(black_box(choose(&all, |_| true, &request, &mut rng))));
        print_row("routing decision, engines of one model", engines, ns, 0);
    }
}

fn health(engines: usize) -> Health {
    let mut health = Health::new();
    health.on(HealthEvent::Listed(Revision(1), (0..engines).map(vm).collect()), 0);
    for i in 0..engines {
        let model = name(&format!("m{}", i % MODELS));
        health.on(HealthEvent::Polled(report(i, &model, stage(i))), 1);
    }
    health
}

fn fleet() {
    for engines in [40, 150, 300, 600] {
        let fleet_health = health(engines);
        let ns = time_ns(50, || drop(black_box(fleet_health.fleet(10))));
        print_row("fleet snapshot, engines", engines, ns, memory_bytes(20, || health(engines)));
    }
}

fn document(accounts: usize) -> Document {
    let mut document = Document::default();
    for i in 0..MODELS {
        document.models.push(Model::new(name(&format!("m{i}")), name("v1"), LAYERS));
    }
    for i in 0..accounts {
        let mut account = Account::new(name(&format!("account-{i}")));
        account.labels = Labels::try_from([("user", "desk")]).unwrap_or_default();
        account.rate = Some(10.0);
        document.accounts.push(account);
    }
    document
}

fn configuration() {
    for accounts in [10, 500, 2_000, 5_500] {
        let doc = document(accounts);
        let text = serde_json::to_string(&doc).unwrap_or_default();
        let ns = time_ns(5, || drop(black_box(heathpitch_core::parse_document(&text))));
        print_row("configuration parsed and validated, accounts", accounts, ns, text.len());
        let ns = time_ns(5, || drop(black_box(Index::new(Revision(1), &doc))));
        let bytes = memory_bytes(10, || Index::new(Revision(1), &doc));
        print_row("configuration indexed, accounts", accounts, ns, bytes);
    }
}

fn member(i: usize) -> Member {
    Member {
        node: name(&format!("node-{i}")),
        incarnation: Incarnation(1),
        heartbeat: 1,
        domain: name(&format!("d{}", i % 6)),
        peer: name("10.0.0.1:7000"),
        caller: name("10.0.0.1:8000"),
        admin: name("10.0.0.1:9000"),
        state: MemberState::Ready,
        config: Revision(1),
        age: 0,
    }
}

fn members(nodes: usize) -> Members {
    let mut members = Members::new(member(0), 1_000);
    members.merge((1..nodes).map(member).collect(), 1);
    members
}

fn membership() {
    for nodes in [8, 100, 200, 410] {
        let mut table = members(nodes);
        let mut heartbeat = 2;
        let ns = time_ns(200, || {
            heartbeat += 1;
            let fresh = (1..17).map(|i| Member { heartbeat, ..member(i * 6) }).collect();
            table.merge(fresh, 1_000);
            black_box(table.freshest(16, 1_000));
        });
        print_row("membership exchange, nodes", nodes, ns, memory_bytes(400, || members(nodes)));
    }
}

fn demand_of(accounts: usize) -> Demand {
    let mut demand = Demand::new();
    (0..accounts as u64).for_each(|a| demand.count(a));
    demand.tick(1_000, 80_000);
    demand
}

fn demand() {
    for accounts in [10, 500, 2_000, 5_500] {
        let mut demand = demand_of(accounts);
        let (round, values) = demand.values();
        let ns = time_ns(50, || {
            demand.merge(round, &values);
            black_box(demand.values());
        });
        print_row(
            "demand exchange, accounts",
            accounts,
            ns,
            memory_bytes(100, || demand_of(accounts)),
        );
    }
}

fn prefixes() {
    for blocks in [256_u64, 512, 1_024, 2_048] {
        let index = |_: &()| {
            let mut index = PrefixIndex::new();
            let held: Vec<u64> = (0..blocks).map(|b| b * 7_919).collect();
            index.replace(&name("e"), Incarnation(1), 1, &held);
            index
        };
        let prefix_index = index(&());
        let chain: Vec<u64> = (0..64).map(|b| b * 7_919).collect();
        let ns = time_ns(1_000, || {
            black_box(prefix_index.hit("e", &chain));
        });
        let bytes = memory_bytes(400, || index(&()));
        print_row("prefix lookup of 64 blocks, blocks of one engine", blocks as usize, ns, bytes);
    }
}

fn limits() {
    for accounts in [10, 500, 2_000, 5_500] {
        let all: Vec<Account> = (0..accounts)
            .map(|i| {
                let mut account = Account::new(name(&format!("account-{i}")));
                account.rate = Some(1e9);
                account
            })
            .collect();
        let make = || {
            let (mut limiter, mut admission) = (AccountLimiter::new(), AdmissionControl::new());
            for a in &all {
                let _ = (limiter.admit(a, 1.0, 0), admission.admit(a, Default::default(), 1 << 20));
            }
            (limiter, admission)
        };
        let (mut limiter, mut admission) = make();
        let mut i = 0;
        let ns = time_ns(2_000, || {
            i = (i + 1) % all.len();
            let _ = (
                limiter.admit(&all[i], 1.0, 1),
                admission.admit(&all[i], Default::default(), 1 << 20),
            );
            limiter.release(&all[i].name);
            admission.release(&all[i].name);
        });
        print_row(
            "account limit and admission control, accounts",
            accounts,
            ns,
            memory_bytes(10, make),
        );
    }
}

fn idempotency() {
    for keys in [1_000, 2_500, 5_000, 10_000] {
        let make = || {
            let mut table = IdempotencyTable::new();
            for i in 0..keys {
                let key = digest(&[&(i as u64).to_le_bytes()]);
                table.start(&key, 1);
                table.dispatch(&key);
                let body: Arc<[u8]> = vec![0; 200].into();
                let (media, outcome) = (String::new(), heathpitch_core::Outcome::Done);
                table.finish(&key, StoredAnswer { status: 200, media, body, outcome }, 1);
            }
            table
        };
        let mut table = make();
        let key = digest(&[b"another"]);
        let ns = time_ns(2_000, || {
            black_box(table.start(&key, 1));
            table.release(&key);
        });
        print_row("idempotency table lookup, keys", keys, ns, memory_bytes(4, make));
    }
}

fn claims() {
    for claims in [500, 2_000, 4_000, 6_500] {
        let mut page = ClaimPage::default();
        for i in 0..claims as u64 {
            let (node, life) = (name("node-1"), Incarnation(u64::MAX / 3));
            let entry = ClaimEntry {
                node,
                incarnation: life,
                nonce: i * 7,
                at: 1_700_000_000_000,
                body: i,
            };
            page.entries.insert(digest(&[&i.to_le_bytes()]), entry);
        }
        let text = serde_json::to_string(&page).unwrap_or_default();
        let ns = time_ns(5, || drop(black_box(serde_json::to_string(&page))));
        print_row("claims page serialized, claims", claims, ns, text.len());
    }
}

fn placement() {
    for engines in [10, 40, 70, 100] {
        let demands: Vec<ModelDemand> = (0..MODELS)
            .map(|i| ModelDemand {
                model: Model::new(name(&format!("m{i}")), name("v1"), LAYERS),
                demand: 1.0 + i as f64,
                allowed: None::<BTreeSet<Name>>,
            })
            .collect();
        let all: Vec<PlacementEngine> = (0..engines)
            .map(|i| PlacementEngine {
                engine: name(&format!("engine-{i}")),
                memory: 12_000,
                layer: 500 + 100 * (i % 3) as u64,
                link: [50, 500, 5_000][i % 3],
                holding: (i % 10 != 0).then(|| LoadedLayers {
                    model: name(&format!("m{}", i % MODELS)),
                    version: name("v1"),
                    layers: stage(i / MODELS),
                }),
            })
            .collect();
        let ns = time_ns(1, || drop(black_box(plan_placement(&demands, &all))));
        print_row("placement plan of a failure domain, engines", engines, ns, 0);
    }
}
