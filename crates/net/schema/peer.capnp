@0xd4a1c1f0b6c54e19;

# State exchange between nodes. Regenerate with:
#   capnp compile -orust:crates/net/src/generated --src-prefix=crates/net/schema \
#     crates/net/schema/peer.capnp && cargo fmt -p heathpitch-net

struct Member {
  node @0 :Text;
  life @1 :UInt64;
  beat @2 :UInt64;
  domain @3 :Text;
  peer @4 :Text;
  caller @5 :Text;
  admin @6 :Text;
  leaving @7 :Bool;
  config @8 :UInt64;
  age @9 :UInt64;
}

struct Report {
  engine @0 :Text;
  life @1 :UInt64;
  serial @2 :UInt64;
  model @3 :Text;
  version @4 :Text;
  first @5 :UInt32;
  end @6 :UInt32;
  epoch @7 :UInt64;
  role @8 :UInt8;
  leaving @9 :Bool;
  slots @10 :UInt32;
  running @11 :UInt32;
  queued @12 :UInt32;
  prefill @13 :Float64;
  step @14 :UInt64;
  service @15 :UInt64;
  memory @16 :UInt64;
  layer @17 :UInt64;
  link @18 :UInt64;
}

struct Document {
  revision @0 :UInt64;
  # Revision of the document or list; 0 for none.
  packed @1 :Data;
  # Compressed JSON; empty if only the revision is sent.
}

struct Demand {
  account @0 :UInt64;
  # Digest of the name of the client account.
  rate @1 :Float32;
  # Requests per second and node, averaged over nodes.
}

struct Update {
  members @0 :List(Member);
  reports @1 :List(Report);
  config @2 :Document;
  vms @3 :Document;
  demand @4 :List(Demand);
  epoch @5 :UInt64;
  # Number of the averaging round that the demand belongs to.
}

interface Peer {
  exchange @0 (update :Update) -> (update :Update);
}
