# Frames between daemons. A frame on the wire is an 8-byte head (magic "RG",
# protocol version u16, length u32, little-endian) followed by one Frame message.
@0xd3c1a9f2e47b5601;

struct Frame {
  stream @0 :UInt32;  # 0 for messages about the connection itself
  union {
    linkPing @1 :LinkPing;
    linkPong @2 :LinkPong;
    callOpen @3 :CallOpen;
    callData @4 :CallData;
    callCancel @5 :CallCancel;
    credit @6 :Credit;
    answerOpen @7 :AnswerOpen;
    answerData @8 :AnswerData;
    answerFailed @9 :AnswerFailed;
    probe @10 :Probe;
    probeAck @11 :ProbeAck;
    joinRequest @12 :JoinRequest;
    joinReply @13 :JoinReply;
    versionHint @14 :VersionHint;
    versionAck @15 :VersionAck;
    editionRequest @16 :EditionRequest;
    editionPart @17 :EditionPart;
    editionRefused @18 :EditionRefused;
    zoneExchange @19 :ZoneExchange;
    peerNews @20 :PeerNews;
    linkEnd @21 :LinkEnd;
    quotaRequest @22 :QuotaRequest;
    quotaGrant @23 :QuotaGrant;
    rolloutState @24 :RolloutState;
    rolloutReport @25 :RolloutReport;
  }
}

enum Outcome { ran @0; notRun @1; unknown @2; }
enum CallClass { short @0; long @1; }
enum MemberState { alive @0; suspect @1; dead @2; left @3; }
enum RolloutPhase { active @0; completed @1; rolledBack @2; }
enum UpstreamState { absent @0; starting @1; serving @2; draining @3; down @4; }

struct Header { name @0 :Data; value @1 :Data; }

# Load of an upstream as the daemon beside it measures it.
struct Load {
  running @0 :UInt32;
  queued @1 :UInt32;
  limit @2 :UInt32;
  serviceUs @3 :UInt32;  # moving average of the service time of short calls
  state @4 :UpstreamState;
  kindUs @5 :UInt32;  # the same for calls of the answered call's kind; 0 if unknown
  linkUs @6 :UInt32;  # time that the network link needs for large answers that wait
}

struct LinkPing { sequence @0 :UInt64; }
struct LinkPong { sequence @0 :UInt64; }
# The last message of the end that accepts streams. It has read no stream with a
# higher number, nor will it. An older daemon takes it for a malformed frame.
struct LinkEnd { lastStream @0 :UInt32; }

struct CallOpen {
  callId @0 :Text;
  service @1 :Text;
  method @2 :Text;
  target @3 :Text;      # path and query
  headers @4 :List(Header);
  deadlineMs @5 :UInt32;  # time left
  tenant @6 :Text;
  callClass @7 :CallClass;
  priority @8 :UInt8;
  idempotent @9 :Bool;
  key @10 :Text;        # idempotency key, or empty
  depth @11 :UInt16;    # hops from the first caller
  allowance @12 :UInt16;  # retries left over all hops
  version @13 :UInt64;  # configuration version that chose the upstream
  body @14 :Data;
  last @15 :Bool;       # no callData follows
  claimed @16 :Bool;    # the key is claimed in the store for the receiver
  route @17 :Text;      # name of the route
  targetMs @18 :UInt32; # time left to the target latency; 0 if none or passed
  returned @19 :Bool;   # the caller was refused before and sent the call again
  inner @20 :Bool;      # an upstream makes it while it runs another call
  bodyBytes @21 :UInt32;  # size of a body that follows; 0 if unknown or none
}
struct CallData { body @0 :Data; last @1 :Bool; }
struct CallCancel { reason @0 :Text; }
struct Credit { bytes @0 :UInt32; }  # further bytes of a body that the receiver accepts

struct AnswerOpen {
  callId @0 :Text;
  status @1 :UInt16;
  headers @2 :List(Header);
  load @3 :Load;
  allowance @4 :UInt16;
  body @5 :Data;
  last @6 :Bool;
  serviceUs @7 :UInt32;  # from the start of the call on the upstream
}
struct AnswerData { body @0 :Data; last @1 :Bool; }
struct AnswerFailed {
  callId @0 :Text;
  code @1 :Text;
  message @2 :Text;
  outcome @3 :Outcome;
  retryAfterMs @4 :UInt32;
  load @5 :Load;
  allowance @6 :UInt16;
}

struct Member {
  instance @0 :Text;
  zone @1 :Text;
  region @2 :Text;
  mesh @3 :Text;         # IP:PORT
  operators @4 :Text;    # IP:PORT
  service @5 :Text;      # announced by the upstream, or empty
  incarnation @6 :UInt64;  # start of the process, milliseconds since 1970
  counter @7 :UInt32;    # raised by the member itself to replace its record
  state @8 :MemberState;
  upstream @9 :UpstreamState;
  slots @10 :UInt32;
  version @11 :UInt64;   # configuration version in force
  rejectedVersion @12 :UInt64;  # newest version refused, or 0
  rejectedCode @13 :Text;
  watches @14 :Bool;     # whether the member watches the store and hears it
  linkKbps @15 :UInt32;  # rate of the instance's network link; 0 if unknown
  upstreamVersion @16 :Text;  # version of the upstream's software, or empty
}

# A worker that other zones may send calls to.
struct SummaryWorker {
  instance @0 :Text;
  mesh @1 :Text;
  incarnation @2 :UInt64;
  slots @3 :UInt32;
}

# One service in one availability zone, for the other zones.
struct ServiceSummary {
  service @0 :Text;
  serving @1 :UInt32;
  freeSlots @2 :UInt32;
  workers @3 :List(SummaryWorker);  # a few of the serving members
}
struct ZoneSummary {
  zone @0 :Text;
  region @1 :Text;
  sequenceMs @2 :UInt64;  # a summary with a higher number replaces one with a lower number
  members @3 :UInt32;
  version @4 :UInt64;     # lowest version in force among the members
  services @5 :List(ServiceSummary);
  gateways @6 :List(Text);  # mesh addresses of the gateways
  content @7 :UInt64;     # hash of the services
  brief @8 :Bool;         # the receiver has these services; they are left out
}
struct ZoneSequence { zone @0 :Text; sequenceMs @1 :UInt64; content @2 :UInt64; }

# Membership ping; a target asks the receiver to ping that address instead.
struct Probe {
  sender @0 :Text;      # mesh address
  target @1 :Text;
  version @2 :UInt64;
  digest @3 :Text;
  updates @4 :List(Member);
  instance @5 :Text;    # of the sender
}
struct ProbeAck {
  reached @0 :Bool;
  version @1 :UInt64;
  digest @2 :Text;
  updates @3 :List(Member);
  instance @4 :Text;    # that answered, or was reached for another
}
struct JoinRequest {
  member @0 :Member;
  known @1 :List(ZoneSequence);  # the reply contains only newer summaries
}
struct JoinReply {
  members @0 :List(Member);
  summaries @1 :List(ZoneSummary);
  version @2 :UInt64;
  digest @3 :Text;
  floor @4 :UInt64;  # highest version that the address ever reported
}
struct VersionHint { version @0 :UInt64; digest @1 :Text; mesh @2 :Text; }
struct VersionAck { version @0 :UInt64; digest @1 :Text; watches @2 :Bool; }

struct EditionRequest { haveVersion @0 :UInt64; haveDigest @1 :Text; }
struct EditionPart {
  version @0 :UInt64;
  digest @1 :Text;    # of the whole edition after the delta is applied
  delta @2 :Bool;
  data @3 :Data;
  last @4 :Bool;
}
struct EditionRefused { code @0 :Text; retryAfterMs @1 :UInt32; }
struct ZoneExchange {
  version @0 :UInt64;
  digest @1 :Text;
  summaries @2 :List(ZoneSummary);
  known @3 :List(ZoneSequence);  # the reply contains only newer summaries
  mesh @4 :Text;        # of the sender
}

# A process of an upstream that has announced that it leaves.
struct LeavingUpstream {
  mesh @0 :Text;         # mesh address of the daemon beside it
  instance @1 :Text;     # identity of the process
  startedMs @2 :UInt64;  # its start, milliseconds since 1970
}

# Asks the home daemon of a tenant for tokens of its quota.
struct QuotaRequest {
  mesh @0 :Text;        # of the sender
  tenant @1 :Text;
  wanted @2 :UInt32;    # tokens that requests wait for
  demand @3 :UInt32;    # requests of the tenant in 1000 s, at the sender
}
struct QuotaGrant {
  tokens @0 :UInt32;
  holdMs @1 :UInt32;    # time until the sender may ask again
}

# Load of a service in the availability zone of the sender.
struct ServiceLoad {
  service @0 :Text;
  slots @1 :UInt32;
  busy @2 :UInt32;      # calls that run or wait
}

# Present state of the roll-out of a service, from the daemon that decides.
struct RolloutState {
  service @0 :Text;
  target @1 :Text;       # version that is rolled out
  created @2 :UInt64;    # revision of the store that created the order
  sequence @3 :UInt64;   # grows with each decision
  shareMillis @4 :UInt32;  # share of the calls to the target, in 1/1000
  phase @5 :RolloutPhase;
}
# Answers of an upstream to the calls of one route since the order.
struct RouteAnswers {
  route @0 :Text;
  count @1 :UInt32;
  failures @2 :UInt32;
  held @3 :List(UInt32);  # number of answers by class of time
}
struct RolloutReport {
  mesh @0 :Text;         # of the sender
  incarnation @1 :UInt64;
  created @2 :UInt64;    # of the state that the sender has
  sequence @3 :UInt64;
  version @4 :Text;      # of its upstream, if that runs the service
  running @5 :UInt32;    # calls that run or wait there
  routes @6 :List(RouteAnswers);
}

# Report of a daemon about itself to its peers.
struct PeerNews {
  member @0 :Member;
  load @1 :Load;
  digest @2 :Text;      # of the configuration in force
  # Of the upstreams of the sender and of the receiver those known to leave.
  leaving @3 :List(LeavingUpstream);
  zoneLoads @4 :List(ServiceLoad);  # of the sender's zone, for other zones
}
