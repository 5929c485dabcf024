//! Processor time of one recomputation of what is held back, by the exits that are known.
//!
//! `cargo run --release -p heathpitch-proof --example verdict_cost`

#![allow(missing_docs, reason = "a program")]

use std::hint::black_box;
use std::time::Instant;

use heathpitch_core::{PromptPart, RequestFingerprint};
use heathpitch_policy::{
    AnsweredParts, EngineIncarnation, PartExit, PartKey, PartQuarantine, Quarantine,
};

/// Parts of each prompt: two that the prompts of an account share, the others its own.
const PARTS: u64 = 6;
const SHARED_PARTS: u64 = 2;
const ACCOUNTS: u64 = 24;
/// Interval between the exits of two engines.
const EXIT_INTERVAL_MS: u64 = 250;

struct Judges {
    requests: Quarantine,
    parts: PartQuarantine,
    answered: AnsweredParts,
}

fn key(part: u64, account: u64) -> PartKey {
    PartKey { service: 1, part: PromptPart(part), account }
}

/// Engines that exit one after the other, each with so many calls, each of which comes to `sends` engines.
fn judges(engines: u64, calls: u64, sends: u64) -> Judges {
    let (requests, parts) = (Quarantine::default(), PartQuarantine::default());
    let mut judges = Judges { requests, parts, answered: AnsweredParts::default() };
    for engine in 0..engines {
        let Ok(id) = format!("e{engine}").parse() else { continue };
        let incarnation = EngineIncarnation { engine: id, started_at: Some(engine) };
        let now = engine * EXIT_INTERVAL_MS;
        for call in 0..calls {
            let number = engine / sends * calls + call;
            let (request, account) = (RequestFingerprint(number), number % ACCOUNTS);
            judges.requests.record_exit(request, incarnation.clone(), 0, now);
            for position in 0..PARTS {
                let own = 100 + number * PARTS + position;
                let exit = PartExit {
                    key: key(if position < SHARED_PARTS { position } else { own }, account),
                    incarnation: incarnation.clone(),
                    events: 0,
                    position: position as u8,
                    others_answered: true,
                    answered_before: position < SHARED_PARTS,
                    request: Some(request),
                    renewed: 0,
                    cleared: false,
                };
                judges.parts.learn(exit, 0, now);
            }
        }
    }
    judges
}

impl Judges {
    /// What a node does for one recomputation.
    fn recompute(&mut self, now: u64) {
        self.parts.record_others(&self.answered);
        self.parts.decide_beside(&self.requests, now);
        black_box(self.parts.open_parts());
        black_box(self.parts.exited_keys());
        black_box(self.parts.suspicion());
        black_box(self.parts.exempt());
        self.requests.decide_beside(&self.parts);
        black_box(self.requests.counts_beside(&self.parts));
        black_box(self.requests.exited_engines());
    }
}

fn main() {
    println!("| engines that exited | calls on each | engines for each call | exits kept | ms |");
    println!("|---|---|---|---|---|");
    for (engines, calls, sends) in
        [(20, 8, 1), (20, 16, 3), (86, 4, 3), (86, 192, 3), (600, 8, 3), (2_048, 1, 3)]
    {
        let mut judges = judges(engines, calls, sends);
        let now = engines * EXIT_INTERVAL_MS + 2_000;
        let kept = judges.parts.since(0, usize::MAX, now).0.len();
        let mut samples: Vec<f64> = (0..7)
            .map(|_| {
                let start = Instant::now();
                judges.recompute(now);
                start.elapsed().as_secs_f64() * 1e3
            })
            .collect();
        samples.sort_by(f64::total_cmp);
        println!("| {engines} | {calls} | {sends} | {kept} | {:.1} |", samples[3]);
    }
}
