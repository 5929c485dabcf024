@0xb9c2a7d15e0f3846;

# What a node asks another one instead of the store. Regenerate with:
#   capnp compile -orust:crates/net/src/generated --src-prefix=crates/net/schema \
#     crates/net/schema/feed.capnp && cargo fmt -p heathpitch-net

struct Item {
  key @0 :Text;
  value @1 :Data;
  revision @2 :UInt64;
}

struct Items {
  items @0 :List(Item);
}

struct Ask {
  life @0 :UInt64;
  # Life of the node asked that the serials belong to.
  serial @1 :UInt64;
  # Changes of engines up to this one are known; 0 for none.
  reports @2 :Bool;
  # Whether only reports are wanted, of engines in the failure domain of the node asked.
  node @3 :Text;
  # The node that asks.
  address @4 :Text;
  # Where it can be asked itself.
  able @5 :Bool;
  # Whether its VM can carry what a planner tells.
  revision @6 :UInt64;
  # Revision of the configuration that it has; 0 for none.
  digest @7 :UInt64;
  # Digest of the engines' entries that it has.
  reported @8 :UInt64;
  # Reports up to this one are known; 0 for none.
  ends @9 :List(End);
  # Ends of engines that the one asking learned of since it asked the same node last.
  endsLife @10 :UInt64;
  endsSerial @11 :UInt64;
  # Ends that the node asked told up to this serial of that life are known.
  leaves @12 :List(Leave);
  # Engines that say they leave, as the one asking learned since it asked the same node last.
  leavesSerial @13 :UInt64;
  # Those that the node asked told up to this serial of the same life are known.
  version @14 :UInt64;
  # The operator's version of the configuration that it has; 0 for none.
  limits @15 :List(Limit);
  # Limits that engines name, as the one asking learned since it asked the same node last.
  limitsSerial @16 :UInt64;
  # Those that the node asked told up to this serial of the same life are known.
}

struct Limit {
  # What an engine says of the requests that it takes from all nodes together.
  engine @0 :Text;
  born @1 :UInt64;
  # Unix time of the engine's start, milliseconds; 0 if it does not tell that.
  parts @2 :UInt64;
  # Thousandths of a request a second, and one more; 0 if it names no limit any more.
  ageMs @3 :UInt64;
}

struct Leave {
  # An engine said in an answer that it leaves.
  engine @0 :Text;
  born @1 :UInt64;
  # Unix time of the engine's start, milliseconds; 0 if it does not tell that.
  ageMs @2 :UInt64;
}

struct End {
  # The end of an engine while a request that it had just begun ran there.
  print @0 :UInt64;
  # Print of the request.
  engine @1 :Text;
  born @2 :UInt64;
  # Unix time of the engine's start, milliseconds; 0 if it does not tell that.
  events @3 :UInt32;
  # Events that the request had brought there.
  renewed @4 :UInt32;
  # How often the request came again long after.
  void @5 :Bool;
  # Whether it says nothing of the request any more.
  ageMs @6 :UInt64;
}

struct Told {
  live @0 :Bool;
  # Whether the rest is young enough to be taken.
  life @1 :UInt64;
  serial @2 :UInt64;
  whole @3 :Bool;
  # Whether `items` are all there are; else what changed since the serial asked from.
  items @4 :List(Item);
  gone @5 :List(Text);
  packed @6 :Data;
  # In place of `items`: a deflated message of `Items`.
  revision @7 :UInt64;
  # Revision of the configuration in force.
  config @8 :Item;
  # The configuration with its value deflated, if the one asking has an older one.
  busy @9 :Bool;
  # Whether something large is held back, because the link is full.
  proofMs @10 :UInt64;
  # Age of the proof that it is the newest.
  listMs @11 :UInt64;
  # Age of the proof that the engines' entries are those of the store.
  nodes @12 :UInt32;
  # Nodes of the fleet; 0 if they are not known.
  beside @13 :UInt32;
  # Nodes of the failure domain; 0 if they are not known.
  reports @14 :List(Report);
  reported @15 :UInt64;
  # Serial of the last report, to ask from next.
  planners @16 :List(Planner);
  vacant @17 :Bool;
  # Whether the node asked was the planner of its failure domain and has given that up.
  standbys @18 :List(Source);
  # Nodes that read the store if the planner does not, in their order.
  ends @19 :List(End);
  endsLife @20 :UInt64;
  endsSerial @21 :UInt64;
  # Ends of engines, and up to where they are known once these are taken.
  leaves @22 :List(Leave);
  leavesSerial @23 :UInt64;
  # Engines that say they leave, and up to where, in the same life, they are known once these are taken.
  limits @24 :List(Limit);
  limitsSerial @25 :UInt64;
  # The same for limits that engines name.
}

struct Report {
  engine @0 :Text;
  pace @1 :Float64;
  # Factor by which it is slower than its card.
  ageMs @2 :UInt64;
  held @3 :Float64;
  # Tokens that requests hold there.
}

struct Source {
  node @0 :Text;
  address @1 :Text;
}

struct Planner {
  domain @0 :Text;
  source @1 :Source;
  revision @2 :UInt64;
  # Revision of its entry in the store: the higher one is the newer planner.
}

struct RightAsk {
  node @0 :Text;
  # The node that asks.
  limit @1 :Limit;
  # The engine, and what the node that asks knows of its limit.
  wanted @2 :UInt16;
  # Requests that it wants to send.
}

struct RightTold {
  active @0 :Bool;
  # Whether the node asked hands out rights for this engine.
  given @1 :UInt16;
  waitMs @2 :UInt64;
  # Time after which asking again is worth it.
}

interface Feed {
  ask @0 (ask :Ask) -> (told :Told);
  right @1 (ask :RightAsk) -> (told :RightTold);
}
