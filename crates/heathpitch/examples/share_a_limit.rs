//! Three nodes share an account's limit in proportion to their demand, without a coordinator.

use heathpitch::policy::Demand;

fn main() {
    let mut nodes: Vec<Demand> = [60, 20, 0].into_iter().map(node).collect();
    for (a, b) in [(0, 1), (1, 2), (2, 0), (0, 1), (1, 2)] {
        let (round, sent) = nodes[a].values();
        let (_, answer) = nodes[b].values();
        nodes[b].merge(round, &sent);
        nodes[a].merge(round, &answer);
    }
    for (i, node) in nodes.iter().enumerate() {
        println!("node {i} admits {:.0} % of the limit", node.share(7, 3) * 100.0);
    }
}

fn node(requests: u32) -> Demand {
    let mut demand = Demand::new();
    (0..requests).for_each(|_| demand.count(7));
    demand.tick(1_000, 80_000);
    demand
}
