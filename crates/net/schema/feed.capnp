@0xb9c2a7d15e0f3846;

# Feed of store contents and engine state between nodes. Regenerate with capnp and the capnpc-rust of the crate
# capnpc, whose version is that of the crate capnp:
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
  # Incarnation of the polled node that the serials belong to.
  serial @1 :UInt64;
  # Serial of the last known change of engine entries; 0 for none.
  reports @2 :Bool;
  # Whether only reports are requested, of engines in the failure domain of the polled node.
  node @3 :Text;
  # Requesting node.
  address @4 :Text;
  # Address at which it can be polled itself.
  able @5 :Bool;
  # Whether its VM has the capacity for a planner's feed.
  revision @6 :UInt64;
  # Revision of its configuration; 0 for none.
  digest @7 :UInt64;
  # Digest of its engine entries.
  reported @8 :UInt64;
  # Serial of the last known report; 0 for none.
  ends @9 :List(End);
  # Engine exits that the requesting node has learned of since its last poll of the same node.
  endsLife @10 :UInt64;
  endsSerial @11 :UInt64;
  # Last known engine exit of the polled node: its incarnation and serial.
  leaves @12 :List(Leave);
  # Drain notices that the requesting node has learned of since its last poll of the same node.
  leavesSerial @13 :UInt64;
  # Serial of the last known drain notice of the same incarnation.
  version @14 :UInt64;
  # The operator's version of its configuration; 0 for none.
  limits @15 :List(Limit);
  # Rate limits that the requesting node has learned of since its last poll of the same node.
  limitsSerial @16 :UInt64;
  # Serial of the last known rate limit of the same incarnation.
  demand @17 :List(Demand);
  # Streams that callers asked of the requesting node since its last answered poll of the same node.
  promises @18 :List(Promise);
  # Returns promised by the requesting node since then.
  to @19 :Text;
  # Node that is polled; empty if its name is not known. Another node that has its address by now refuses.
  forwarder @20 :Forwarder;
  # How the requesting node takes calls of other nodes; none if it does not.
  forwarders @21 :Bool;
  # Whether nodes that take calls of others are requested.
  partEnds @22 :List(PartEnd);
  # Engine exits under parts of prompts that the requesting node has learned of since its last poll of the same node.
  partEndsSerial @23 :UInt64;
  # Serial of the last known one of the same incarnation.
  partAnswers @24 :List(PartAnswer);
  # Answers to requests with such parts that the requesting node has learned of since its last poll of the same node.
  partAnswersSerial @25 :UInt64;
  # Serial of the last known one of the same incarnation.
}

struct Forwarder {
  # A node that takes calls of other nodes.
  node @0 :Text;
  domain @1 :Text;
  address @2 :Text;
  token @3 :Data;
  # What it expects with each call.
  open @4 :UInt32;
  # Calls open there.
  unserved @5 :List(Text);
  # Services that it does not reach or has no engines of.
}

struct Demand {
  # Streams of one service, rank and client account.
  service @0 :Text;
  rank @1 :UInt8;
  account @2 :UInt64;
  # Digest of the account; 0 for none.
  asked @3 :UInt32;
  admitted @4 :UInt32;
}

struct Promise {
  # Times at which rejected callers were told to return.
  service @0 :Text;
  inMs @1 :UInt32;
  # Time from this message to the slot.
  count @2 :UInt32;
}

struct Share {
  # Part of an account's requests that is within its share.
  service @0 :Text;
  account @1 :UInt64;
  fraction @2 :Float32;
}

struct PromiseRate {
  # Returns that one slot of a service has capacity for.
  service @0 :Text;
  perSlot @1 :Float32;
}

struct Limit {
  # Rate limit of an engine over all nodes.
  engine @0 :Text;
  born @1 :UInt64;
  # Unix time of the engine's start in milliseconds; 0 if unknown.
  parts @2 :UInt64;
  # Requests per second, in thousandths, plus one; 0 if the engine no longer advertises a limit.
  ageMs @3 :UInt64;
}

struct Leave {
  # Notice that an engine is draining.
  engine @0 :Text;
  born @1 :UInt64;
  # Unix time of the engine's start in milliseconds; 0 if unknown.
  ageMs @2 :UInt64;
}

struct End {
  # Notice that an engine ended while it ran a request that it had just started.
  print @0 :UInt64;
  # Fingerprint of the request.
  engine @1 :Text;
  born @2 :UInt64;
  # Unix time of the engine's start in milliseconds; 0 if unknown.
  events @3 :UInt32;
  # Events of the response before the engine ended.
  renewed @4 :UInt32;
  # How often the request was seen again much later.
  void @5 :Bool;
  # Whether it no longer counts as evidence against the request.
  ageMs @6 :UInt64;
}

struct PartEnd {
  # Notice that an engine ended while it ran a request with a part of a prompt that it had just started.
  service @0 :UInt64;
  # Digest of the service.
  part @1 :UInt64;
  # Fingerprint of the part.
  account @2 :UInt64;
  # Digest of the client account; 0 for none.
  end @3 :End;
  # The engine, and the fingerprint of the request; 0 if it is not known.
  position @4 :UInt8;
  # Position of the part in the prompt, from 0.
  answered @5 :Bool;
  # Whether requests of the service without the part were answered since.
  seen @6 :Bool;
  # Whether the part itself was answered in the minutes before.
}

struct PartAnswer {
  # Notice of an answer to a request with a part of a prompt that engines had exited under.
  service @0 :UInt64;
  # Digest of the service.
  part @1 :UInt64;
  # Fingerprint of the part.
  account @2 :UInt64;
  # Digest of the client account; 0 for none.
  engine @3 :UInt64;
  # Digest of the engine's incarnation.
  id @4 :UInt64;
  # Tells answers of one engine apart.
  ageMs @5 :UInt64;
}

struct Told {
  live @0 :Bool;
  # Whether the rest is recent enough to be used.
  life @1 :UInt64;
  serial @2 :UInt64;
  whole @3 :Bool;
  # Whether these are all entries, in `packed`; otherwise `items` and `gone` are the changes since the serial given in the poll.
  items @4 :List(Item);
  gone @5 :List(Text);
  packed @6 :Data;
  # Instead of `items`: a compressed message of type `Items`.
  revision @7 :UInt64;
  # Revision of the active configuration.
  config @8 :Item;
  # The configuration with its value compressed, if the requesting node has an older one.
  busy @9 :Bool;
  # Whether large data is withheld because the link is at capacity.
  proofMs @10 :UInt64;
  # Time since the configuration was verified to be the latest.
  listMs @11 :UInt64;
  # Time since the engine entries were verified against the store.
  nodes @12 :UInt32;
  # Number of nodes in the fleet; 0 if unknown.
  beside @13 :UInt32;
  # Number of nodes in the failure domain; 0 if unknown.
  reports @14 :List(Report);
  reported @15 :UInt64;
  # Serial of the last report, for the next poll.
  planners @16 :List(Planner);
  vacant @17 :Bool;
  # Whether the polled node was the planner of its failure domain and has released that role.
  standbys @18 :List(Source);
  # Standbys that read the store if the planner does not, in order of priority.
  ends @19 :List(End);
  endsLife @20 :UInt64;
  endsSerial @21 :UInt64;
  # Engine exits, and the position after them: incarnation and serial.
  leaves @22 :List(Leave);
  leavesSerial @23 :UInt64;
  # Drain notices, and the position after them in the same incarnation.
  limits @24 :List(Limit);
  limitsSerial @25 :UInt64;
  # Rate limits, and the position after them in the same incarnation.
  shares @26 :List(Share);
  # Accounts that ask for more than their share.
  sharesMs @27 :UInt64;
  # Time since the shares were computed.
  sharesKnown @28 :Bool;
  # Whether the polled node has computed shares; otherwise `shares` is empty because nothing is known.
  promises @29 :List(Promise);
  # Outstanding promised returns to the failure domain.
  promiseRates @30 :List(PromiseRate);
  forwarders @31 :List(Forwarder);
  # Some nodes that take calls of others, if requested.
  partEnds @32 :List(PartEnd);
  partEndsSerial @33 :UInt64;
  # Engine exits under parts of prompts, and the position after them in the same incarnation.
  partAnswers @34 :List(PartAnswer);
  partAnswersSerial @35 :UInt64;
  # Answers to requests with such parts, and the position after them in the same incarnation.
}

struct Report {
  engine @0 :Text;
  pace @1 :Float64;
  # Factor by which it is slower than expected for its accelerator.
  ageMs @2 :UInt64;
  held @3 :Float64;
  # Tokens held by requests.
  queued @4 :UInt32;
  # Requests that wait for their start.
}

struct Source {
  node @0 :Text;
  address @1 :Text;
}

struct Planner {
  domain @0 :Text;
  source @1 :Source;
  revision @2 :UInt64;
  # Revision of its entry in the store: a higher one is a newer planner.
}

struct RightAsk {
  node @0 :Text;
  # Requesting node.
  limit @1 :Limit;
  # The engine, and its rate limit as known to the requesting node.
  wanted @2 :UInt16;
  # Number of rights requested.
}

struct RightTold {
  active @0 :Bool;
  # Whether the polled node issues rights for this engine.
  given @1 :UInt16;
  waitMs @2 :UInt64;
  # Time after which to ask again.
}

struct RetryAsk {
  service @0 :Text;
  calls @1 :UInt32;
  # Calls counted lately by the requesting node, which it does not use for retries itself.
}

struct RetryTold {
  active @0 :Bool;
  # Whether the polled node issues retries for its failure domain.
  given @1 :Bool;
}

interface Feed {
  ask @0 (ask :Ask) -> (told :Told);
  right @1 (ask :RightAsk) -> (told :RightTold);
  retry @2 (ask :RetryAsk) -> (told :RetryTold);
}
