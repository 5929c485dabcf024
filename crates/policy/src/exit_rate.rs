//! Sequential test of the rate at which engines exit under a part of prompts.
//!
//! Most of the requests with a faulty part end the engine that begins to answer them; those with a sound part are lost
//! only with engines that something else ended. Wald's test of the two rates adds the logarithm of their ratio for each
//! exit, and subtracts that of the rates of survival for each answer: 1.54 and 1.04 for rates of 0.7 and 0.15, which are
//! 3 and 2 here. The sum never falls below zero, so that answers from before a part began to crash engines do not count
//! in its favour. Answers of one engine count once in three seconds: engines of another build may bear what these do not,
//! and get more requests the fewer of the others are left.

use std::collections::HashMap;

use heathpitch_core::Millis;

use crate::exit_book::ExitTime;

/// What an exit adds to the score of a part.
pub(crate) const EXIT_SCORE: u32 = 3;
/// What an answer subtracts from it.
const ANSWER_SCORE: u32 = 2;
/// Score from which a part is held back: four exits without an answer after them, one fewer than agreed, as an exit may
/// go unnoticed.
pub(crate) const VERDICT_SCORE: u32 = 4 * EXIT_SCORE;
/// Score from which a part may be the cause of exits.
pub(crate) const SUSPICION_SCORE: u32 = 2 * EXIT_SCORE;
/// Most exits of one moment that count: a host or a failure domain takes its engines with it.
const MAX_MOMENT_EXITS: usize = 3;
/// Time within which exits count as one moment: those of one host are detected within it.
const MOMENT_MS: Millis = 100;

/// Time within which answers of one engine count once, unless the score has been zero since.
const SAME_ENGINE_MS: Millis = 3_000;

/// An answer: when it was given, and the digest of the engine's incarnation.
pub(crate) type AnswerTrial = (ExitTime, u64);

/// Score of a part by the times of exits under it and the answers to it.
pub(crate) fn score(exits: impl IntoIterator<Item = ExitTime>, answers: &[AnswerTrial]) -> u32 {
    let exits = exits.into_iter().map(|at| (at, None));
    let answers = answers.iter().map(|(at, engine)| (*at, Some(*engine)));
    let mut trials: Vec<_> = exits.chain(answers).collect();
    trials.sort_unstable();
    let (mut score, mut moment_end, mut moment_exits) = (0_u32, None, 0);
    let mut counted: HashMap<u64, ExitTime> = HashMap::new();
    for (at, answered_by) in trials {
        if score == 0 {
            counted.clear();
        }
        if let Some(engine) = answered_by {
            let since = counted.get(&engine).map(|last| at - last);
            if since.is_none_or(|since| since >= SAME_ENGINE_MS as ExitTime) {
                counted.insert(engine, at);
                score = score.saturating_sub(ANSWER_SCORE);
            }
            continue;
        }
        if moment_end.is_none_or(|end| at >= end) {
            (moment_end, moment_exits) = (Some(at + MOMENT_MS as ExitTime), 0);
        }
        moment_exits += 1;
        if moment_exits <= MAX_MOMENT_EXITS {
            score += EXIT_SCORE;
        }
    }
    score
}

/// Score of a part that was held back at a time, by the answers to it.
pub(crate) fn score_after_verdict(at: ExitTime, answers: &[AnswerTrial]) -> u32 {
    let since = answers.iter().filter(|(answered_at, _)| *answered_at > at).count() as u32;
    VERDICT_SCORE.saturating_sub(since.saturating_mul(ANSWER_SCORE))
}
