//! What nodes of the world tell each other of engines that ended.

use heathpitch_core::{Millis, RequestFingerprint};
use heathpitch_policy::EngineIncarnation;

use super::node::{index, name, node};
use super::{BESIDE, NODES, STEP, World};
use crate::breach::{Breach, Promise};
use crate::tally::Tally;

/// Time after which all nodes in touch know of an end.
const KNOWN: Millis = 2_000;
/// The same where a planner has just died: that after which nodes count as in touch.
const KNOWN_WITHOUT: Millis = 3_000;
impl World {
    /// Asks the planners of the other domains.
    pub(super) fn ask_near(&mut self, i: usize) {
        let planners = self.nodes[i].sources.planners();
        let others: Vec<usize> = planners.filter_map(|(_, p)| index(&p.source)).collect();
        for j in others.into_iter().filter(|j| j / BESIDE != i / BESIDE) {
            if self.answers(i, j) {
                self.tell_ends(i, j);
                self.tell_ends(j, i);
            }
        }
    }

    /// Tells one node of the ends that another one knows.
    pub(super) fn tell_ends(&mut self, from: usize, to: usize) {
        let (ends, _) = self.nodes[from].quarantine.since(0, usize::MAX, self.now);
        for (end, age) in ends {
            self.nodes[to].quarantine.learn(end, age, self.now);
        }
    }

    /// An engine ends under a request, and a node sees it.
    pub(super) fn end_engine(&mut self, at: usize, print: u64) -> EngineIncarnation {
        self.ended += 1;
        let life = EngineIncarnation { engine: name(at), started_at: Some(self.ended) };
        let (print, now) = (RequestFingerprint(print), self.now);
        self.nodes[at].quarantine.record_exit(print, life.clone(), 0, now);
        life
    }

    /// An end is known to all in time, also where the planner that would tell it has just died.
    pub(super) fn ends_are_known(&mut self, tally: &mut Tally) -> Result<(), Breach> {
        let quick = self.end_engine(self.ended as usize % NODES, 0);
        self.pass((KNOWN / STEP) as usize, tally)?;
        self.all_know(&quick, "with everything healed")?;
        let planner = (0..BESIDE).find(|i| self.nodes[*i].plans).unwrap_or(0);
        self.nodes[planner].alive = false;
        let other = (planner + 1 + self.ended as usize % (BESIDE - 1)) % BESIDE;
        let late = self.end_engine(other, 0);
        self.pass((KNOWN_WITHOUT / STEP) as usize, tally)?;
        self.all_know(&late, "after a planner's death")?;
        self.nodes[planner] = node(planner, self.now);
        self.pass(200, tally)?;
        self.all_know(&late, "by a node that begins")
    }

    fn all_know(&self, life: &EngineIncarnation, when: &str) -> Result<(), Breach> {
        for (i, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.alive) {
            let known = node.quarantine.exited_engines().contains(life);
            Breach::unless(known, Promise::Told, || {
                format!("node {i} has not heard of {life:?}, {when}")
            })?;
        }
        Ok(())
    }
}
