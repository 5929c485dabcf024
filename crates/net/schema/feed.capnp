@0xb9c2a7d15e0f3846;

# What a node asks the one that reads the store for its failure domain. Regenerate with:
#   capnp compile -orust:crates/net/src/generated --src-prefix=crates/net/schema \
#     crates/net/schema/feed.capnp && cargo fmt -p heathpitch-net

struct Item {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
}

struct Ask {
  life @0 :UInt64;
  # Life of the planner that `serial` belongs to.
  serial @1 :UInt64;
  # Changes up to this one are known; 0 for none.
  config @2 :Bool;
  # Whether the configuration itself is wanted.
  reports @3 :Bool;
  # Whether only reports are wanted, of engines in the planner's own failure domain.
}

struct Told {
  live @0 :Bool;
  # Whether the planner's store answers, so that the rest is worth anything.
  life @1 :UInt64;
  serial @2 :UInt64;
  whole @3 :Bool;
  # Whether `items` are all there are; else what changed since the serial asked from.
  items @4 :List(Item);
  gone @5 :List(Text);
  revision @6 :UInt64;
  # Revision of the configuration in force.
  proofMs @7 :UInt64;
  # Age of the proof that it is the newest.
  config @8 :Item;
  # The configuration, if it was asked for.
  nodes @9 :UInt32;
  # Nodes of the fleet; 0 if they are not known.
  beside @10 :UInt32;
  # Nodes of the failure domain.
  reports @11 :List(Report);
  listMs @12 :UInt64;
  # Age of the proof that the engines' entries are those of the store.
}

struct Report {
  engine @0 :Text;
  pace @1 :Float64;
  # Factor by which it is slower than its card.
  ageMs @2 :UInt64;
  held @3 :Float64;
  # Tokens that requests hold there.
}

interface Feed {
  ask @0 (ask :Ask) -> (told :Told);
}
