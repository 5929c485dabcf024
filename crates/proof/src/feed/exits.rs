//! Exchange of engine exits between nodes.

use heathpitch_core::{Millis, RequestFingerprint};
use heathpitch_policy::EngineIncarnation;

use super::node::{index, name, node};
use super::{Cluster, DOMAIN_SIZE, NODES, STEP_MS};
use crate::run::RunStats;
use crate::violation::{Property, Violation};

/// Time within which all nodes in contact know of an exit.
const SPREAD_MS: Millis = 2_000;
/// The same after a planner has crashed: the time after which nodes count as in contact.
const SPREAD_WITHOUT_PLANNER_MS: Millis = 3_000;

impl Cluster {
    /// Exchanges exits with the planners of the other domains.
    pub(super) fn poll_remote_planners(&mut self, i: usize) {
        let planners = self.nodes[i].sources.planners();
        let others: Vec<usize> = planners.filter_map(|(_, p)| index(&p.source)).collect();
        for j in others.into_iter().filter(|j| j / DOMAIN_SIZE != i / DOMAIN_SIZE) {
            if self.responds(i, j) {
                self.send_exits(i, j);
                self.send_exits(j, i);
            }
        }
    }

    /// Sends the exits that one node knows to another.
    pub(super) fn send_exits(&mut self, from: usize, to: usize) {
        let (exits, _) = self.nodes[from].quarantine.since(0, usize::MAX, self.now);
        for (exit, age) in exits {
            self.nodes[to].quarantine.learn(exit, age, self.now);
        }
    }

    /// Lets an engine exit while it runs a request, and a node observe it.
    pub(super) fn exit_engine(&mut self, at: usize, fingerprint: u64) -> EngineIncarnation {
        self.exits += 1;
        let incarnation = EngineIncarnation { engine: name(at), started_at: Some(self.exits) };
        let (fingerprint, now) = (RequestFingerprint(fingerprint), self.now);
        self.nodes[at].quarantine.record_exit(fingerprint, incarnation.clone(), 0, now);
        incarnation
    }

    /// Checks that an exit reaches every node in time, also if the planner that would relay it has
    /// just crashed.
    pub(super) fn check_exits(&mut self, stats: &mut RunStats) -> Result<(), Violation> {
        let first = self.exit_engine(self.exits as usize % NODES, 0);
        self.advance((SPREAD_MS / STEP_MS) as usize, stats)?;
        self.check_exit_known(&first, "after all faults have healed")?;
        let planner = (0..DOMAIN_SIZE).find(|i| self.nodes[*i].is_planner).unwrap_or(0);
        self.nodes[planner].alive = false;
        let observer = (planner + 1 + self.exits as usize % (DOMAIN_SIZE - 1)) % DOMAIN_SIZE;
        let second = self.exit_engine(observer, 0);
        self.advance((SPREAD_WITHOUT_PLANNER_MS / STEP_MS) as usize, stats)?;
        self.check_exit_known(&second, "after a planner has crashed")?;
        self.nodes[planner] = node(planner, self.now);
        self.advance(200, stats)?;
        self.check_exit_known(&second, "after a node has restarted")
    }

    fn check_exit_known(
        &self,
        incarnation: &EngineIncarnation,
        when: &str,
    ) -> Result<(), Violation> {
        for (i, node) in self.nodes.iter().enumerate().filter(|(_, n)| n.alive) {
            let known = node.quarantine.exited_engines().contains(incarnation);
            Violation::unless(known, Property::Feed, || {
                format!("node {i} does not know of the exit of {incarnation:?} {when}")
            })?;
        }
        Ok(())
    }
}
