# Messages and calls between the processes of a fleet.

@0xc2a7d1f04b6e9385;

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("bamboogap::wire");

# ---- The control group's log -------------------------------------------------

struct Member {
  id @0 :UInt64;
  name @1 :Text;
  address @2 :Text;
  voter @3 :Bool;
}

struct LogEntry {
  index @0 :UInt64;
  term @1 :UInt64;
  kind @2 :UInt8;
  data @3 :Data;
}

struct Snapshot {
  index @0 :UInt64;
  term @1 :UInt64;
  members @2 :List(Member);
  data @3 :Data;
}

struct RaftMessage {
  kind @0 :UInt8;
  from @1 :UInt64;
  to @2 :UInt64;
  term @3 :UInt64;
  index @4 :UInt64;
  logTerm @5 :UInt64;
  commit @6 :UInt64;
  reject @7 :Bool;
  transfer @8 :Bool;
  round @9 :UInt64;
  entries @10 :List(LogEntry);
  snapshot @11 :Snapshot;
}

# ---- Membership of routers ---------------------------------------------------

struct RouterInfo {
  name @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  address @3 :Text;
}

struct HeardEndpoint {
  key @0 :UInt64;
  digest @1 :UInt64;
  ageMillis @2 :UInt32;
  announcement @3 :Data;  # CBOR; empty if the leader knows the digest
}

struct OwnLoad {
  key @0 :UInt64;
  running @1 :UInt16;
  rampLimit @2 :UInt16;
}

struct PoolLoad {
  pool @0 :UInt64;
  running @1 :UInt32;
}

struct Heartbeat {
  router @0 :RouterInfo;
  sequence @1 :UInt64;
  knownEpoch @2 :UInt64;
  knownRevision @3 :UInt64;
  knownSuspects @4 :UInt64;
  leaderTerm @5 :UInt64;
  registerTerm @6 :UInt64;
  registerVersion @7 :UInt64;
  leaving @8 :Bool;
  heard @9 :List(HeardEndpoint);
  loads @10 :List(OwnLoad);
  pools @11 :List(PoolLoad);
  sample @12 :UInt64;
  knownLimits @13 :UInt64;
  takesSuspectChanges @14 :Bool;
}

struct View {
  epoch @0 :UInt64;
  routers @1 :List(RouterInfo);
}

struct SuspectChange {
  fingerprint @0 :UInt64;
  standing @1 :UInt8;
}

struct RegisterEntry {
  slot @0 :UInt16;
  announcement @1 :Data;  # CBOR
}

struct HeartbeatReply {
  sequence @0 :UInt64;
  term @1 :UInt64;
  granted @2 :Bool;
  leaseMicros @3 :UInt32;
  view @4 :View;  # null if the router knows it
  activeEpoch @5 :UInt64;
  lists @6 :Data;  # CBOR; empty if the router knows them
  suspectsVersion @7 :UInt64;
  hasSuspects @8 :Bool;
  suspects @9 :List(SuspectChange);
  registerReady @10 :Bool;
  registerTerm @11 :UInt64;
  registerVersion @12 :UInt64;
  registerFull @13 :Bool;
  changed @14 :List(RegisterEntry);
  removed @15 :List(UInt16);
  running @16 :List(UInt16);  # by slot
  rampLimits @17 :List(UInt16);  # by slot; empty if the router knows them
  pools @18 :List(PoolLoad);
  limitsVersion @19 :UInt64;
  suspectsAreChanges @20 :Bool;  # of the version in the heartbeat; else they are all
}

# ---- Requests between the entry router and an endpoint's owner ----------------

enum ForwardKind {
  chat @0;
  service @1;
}

struct Header {
  name @0 :Text;
  value @1 :Text;
}

struct ForwardRequest {
  id @0 :UInt64;
  kind @1 :ForwardKind;
  endpoint @2 :Text;  # the one wanted
  isHome @3 :Bool;  # it is the chat's first choice
  chat @4 :UInt64;
  workspace @5 :Text;
  share @6 :UInt32;
  priority @7 :UInt8;
  startWithinMicros @8 :Int64;
  fingerprint @9 :UInt64;
  mayWait @10 :Bool;
  model @11 :Text;
  adapter @12 :Text;
  version @13 :Text;
  service @14 :Text;
  method @15 :Text;
  path @16 :Text;
  headers @17 :List(Header);
  body @18 :Data;
  stream @19 :Bool;
}

enum ForwardResult {
  complete @0;
  notRun @1;  # not one byte was sent to an endpoint
  failed @2;  # it was sent, and may have run
}

struct Problem {
  kind @0 :Text;
  message @1 :Text;
  remedy @2 :Text;
}

struct ForwardOutcome {
  result @0 :ForwardResult;
  endpoint @1 :Text;  # where it ran
  problem @2 :Problem;
  retryAfterMicros @3 :Int64;
  movedTo @4 :List(Text);  # with notRun: where the chat ran before, newest first
  crashed @5 :Bool;  # the endpoint broke off under it
  waitedMicros @6 :Int64;
}

# ---- Direct routers and the replicas they follow ------------------------------

struct ModelOffer {
  name @0 :Text;
  version @1 :Int64;
}

struct EndpointRecord {
  id @0 :Text;
  bornMillis @1 :Int64;
  sequence @2 :UInt64;
  service @3 :Text;
  address @4 :Text;
  dataCentre @5 :Text;
  slots @6 :UInt32;
  warmupLeftMillis @7 :UInt32;
  state @8 :UInt8;
  heard @9 :Bool;  # false: silent for longer than an endpoint may be
  models @10 :List(ModelOffer);
  knownForMillis @11 :UInt32;
  softwareVersion @12 :Text;  # empty unless the deployment has rollouts
}

struct EndpointRecords {
  records @0 :List(EndpointRecord);
}

# What a replica keeps on its disk; see node/fleetmemo.h.
struct FleetMemo {
  routers @0 :List(Text);
  endpoints @1 :List(EndpointRecord);
}

# What one router has under way at an endpoint.
struct EndpointUse {
  key @0 :UInt64;
  running @1 :UInt16;
  unreadTokens @2 :UInt32;  # of prompts whose first token has not come
}

struct CrashReport {
  fingerprint @0 :UInt64;
  crash @1 :Text;  # names the crash: endpoint and its birth
}

# A request was not answered in full when its endpoint crashed.
struct CrashEvidence {
  subject @0 :UInt64;  # the request's fingerprint, or a part of its prompt
  endpoint @1 :Text;
  bornMillis @2 :Int64;
  sentMillisAgo @3 :UInt32;
  brokeMillisAgo @4 :UInt32;
  wholeRequest @5 :Bool;  # the subject is a request's fingerprint
  ranMillis @6 :UInt32;  # from the first token to the crash
}

# The longest run of a stream with the subject that is still under way.
struct StreamRun {
  subject @0 :UInt64;
  ranMillis @1 :UInt32;  # from the first token to the last event
  millisAgo @2 :UInt32;  # the last event
}

struct LastAnswer {
  subject @0 :UInt64;
  millisAgo @1 :UInt32;
}

struct ChainPart {
  chain @0 :UInt64;
  tokens @1 :UInt32;
}

struct PromptPlacement {
  endpoint @0 :UInt64;
  parts @1 :List(ChainPart);
}

# What an answer of an endpoint said of its rate limit; see fleet/endpointratelimits.h.
struct LimitObservation {
  key @0 :UInt64;  # of the endpoint
  bornMillis @1 :Int64;
  named @2 :Bool;  # false: the endpoint has no limit any more
  milliPerSecond @3 :UInt32;  # a thousandth of a request per second
  sentMillisAgo @4 :UInt32;
  answeredMillisAgo @5 :UInt32;
}

# An endpoint that said in an answer to a router that it is about to end.
struct LeavingEndpoint {
  id @0 :Text;
  bornMillis @1 :Int64;  # of the incarnation that said so
}

# What a receiver of a changing set is told; see control/fingerprintchanges.h.
struct FingerprintChange {
  version @0 :UInt64;
  full @1 :Bool;
  added @2 :List(UInt64);
  removed @3 :List(UInt64);
}

struct SyncRequest {
  router @0 :Text;
  incarnation @1 :UInt64;
  dataCentre @2 :Text;
  rosterEpoch @3 :UInt64;  # of the replica's roster that the router knows
  rosterVersion @4 :UInt64;
  uses @5 :List(EndpointUse);
  crashes @6 :List(CrashReport);  # not used any more; see crashEvidence
  suspectsVersion @7 :UInt64;  # of the list in the answers of replicas before takesChanges
  leaving @8 :Bool;
  routesVersion @9 :UInt64;  # that the router acts by
  placements @10 :List(PromptPlacement);  # since the last sync that was answered
  wantsOthers @11 :Bool;  # one replica tells a router what the others do
  placementsVersion @12 :UInt64;
  replicasDigest @13 :UInt64;  # of the list that the router has
  leavingEndpoints @14 :List(LeavingEndpoint);  # since the last sync that was answered
  reportsToSourceOnly @15 :Bool;  # uses are told to the replica with wantsOthers only
  peerAddress @16 :Text;  # of the router; empty if the replica was told it before
  crashEvidence @17 :List(CrashEvidence);  # since the last sync that was answered
  lastAnswers @18 :List(LastAnswer);  # to requests with what the replica suspects
  anyAnswer @19 :LastAnswer;  # the last to any request; null if there was none
  livingEndpoints @20 :List(LeavingEndpoint);  # reported to have crashed, and answered since
  limits @21 :List(LimitObservation);  # since the last sync that was answered
  limitsVersion @22 :UInt64;  # of the replica's limits that the router knows
  streamRuns @23 :List(StreamRun);  # with what the replica suspects
  takesChanges @24 :Bool;  # of the quarantined and the watched
  quarantinedVersion @25 :UInt64;  # of the replica's set that the router knows
  watchedVersion @26 :UInt64;
  optional @27 :OptionalReport;  # null unless the deployment has one of its features
}

# Parts of a report that only some deployments have; apart from the others to add no bytes elsewhere.
struct OptionalReport {
  rolloutsVersion @0 :UInt64;  # revision of the rollouts that the router acts by
  rolloutCounts @1 :Data;  # see fleet/rollout.h; empty unless a rollout is in progress
  serviceDemand @2 :Data;  # see routing/serviceadmission.h; empty without admission under shortage
}

struct SyncReply {
  current @0 :Bool;  # the replica leads or follows a live leader
  revision @1 :UInt64;  # of the deployment
  routesVersion @2 :UInt64;
  dataCentresOut @3 :List(Text);
  rosterEpoch @4 :UInt64;
  rosterVersion @5 :UInt64;
  rosterFull @6 :Bool;
  changed @7 :Data;  # endpoint records; see node/rosterwire.h
  uses @8 :Data;  # of all other routers together; see fleet/routerboard.h
  routers @9 :UInt16;  # heard a moment ago, this one included
  replicas @10 :List(Text);  # empty if the router has the same list
  suspectsVersion @11 :UInt64;
  suspects @12 :List(SuspectChange);  # all, for routers before takesChanges
  hasSuspects @13 :Bool;
  rank @14 :UInt16;  # of this router among them, by name
  placements @15 :List(PromptPlacement);  # by other routers
  placementsVersion @16 :UInt64;
  hasUses @17 :Bool;  # else the last ones hold on
  sharers @18 :UInt16;  # routers that divide the fleet's limits; 0 if unknown
  firstProcess @19 :Bool;  # of this router, for all that the replica knows
  leads @20 :Bool;  # the replica leads the group
  limits @21 :List(LimitObservation);  # changed since the version in the request
  limitsVersion @22 :UInt64;
  quarantined @23 :FingerprintChange;  # requests to refuse
  watched @24 :FingerprintChange;  # suspects whose answers to report, if asked with wantsOthers
  optional @25 :OptionalNews;  # null unless the deployment has one of its features
}

# Parts of an answer to a report that only some deployments have.
struct OptionalNews {
  rolloutsVersion @0 :UInt64;  # revision of the rollouts at the replica; 0 if there are none
  rollouts @1 :Data;  # all, if the request names another revision; see fleet/rollout.h
  serviceDemand @2 :Data;  # of all routers together; empty without admission under shortage
}

interface AnswerSink {
  head @0 (status :UInt16, contentType :Text) -> ();
  chunk @1 (data :Data) -> stream;
  end @2 () -> ();  # answered once every chunk was taken
}

struct LeaderHint {
  known @0 :Bool;
  address @1 :Text;
}

interface Node {
  forward @0 (request :ForwardRequest, sink :AnswerSink) -> (outcome :ForwardOutcome);

  # Tells the owner of a chat's first choice where the chat ran.
  chatMoved @1 (chat :UInt64, home :Text, endpoint :Text) -> ();

  # Answered by the leader only; else `leader` tells where to ask.
  heartbeat @2 (heartbeat :Heartbeat) -> (answered :Bool, reply :HeartbeatReply,
                                          leader :LeaderHint);

  # Commits a command; the answer is CBOR of control/state.h's CommandAnswer.
  command @3 (command :Data) -> (answered :Bool, answer :Data, leader :LeaderHint,
                                 problem :Problem);

  raft @4 (message :RaftMessage, fromAddress :Text) -> ();

  # Asks the leader to take a replica into the control group.
  join @5 (id :UInt64, name :Text, address :Text) -> (answered :Bool, leader :LeaderHint);

  # Tells which replica runs here, whether it belongs to a group, and whether it has run since
  # the fleet's first start.
  identify @6 () -> (hasReplica :Bool, id :UInt64, inGroup :Bool, name :Text,
                     firstStart :Bool);

  # JSON for operators, of the leader.
  status @7 () -> (answered :Bool, status :Text, leader :LeaderHint);

  # Takes a replica out of the control group by its router's name.
  removeReplica @8 (name :Text) -> (answered :Bool, leader :LeaderHint, problem :Problem);

  # Send a heartbeat now: the leader has news, or samples the loads.
  poke @9 (sample :UInt64) -> ();

  # What a direct router reports to each replica a few times a second, and learns.
  sync @10 (request :SyncRequest) -> (reply :SyncReply);

  # The route document that a replica or another router holds, for a router that holds version
  # `known` (0: none). The answer holds the document, or names a router to ask, or tells when to
  # ask again. `router` is where the asker can be reached, `failed` the one that it asked in vain.
  routes @11 (known :UInt64, router :Text, dataCentre :Text, failed :Text)
          -> (version :UInt64, document :Data, base :UInt64, holder :Text,
              retryAfterMillis :UInt32);

  # The same from the leader, so that it is the newest that was acknowledged.
  newestRoutes @12 () -> (answered :Bool, version :UInt64, document :Data, leader :LeaderHint);

  # An endpoint announced its departure to another replica. `record` holds its last
  # heartbeat (see node/rosterwire.h), or is empty if it left without one.
  endpointDeparts @13 (id :Text, record :Data, wallMillis :Int64) -> ();

  # What the routers that report their work to another replica have under way together;
  # `uses` as in SyncReply.
  groupUses @14 (replica :Text, routers :UInt16, uses :Data, demand :Data) -> ();

  # A replica that has just started tells a router where it answers.
  replicaStarted @15 (address :Text) -> ();

  # What a replica has heard of endpoints, as changes since the last call; `records` as in
  # SyncReply. The answer names the process that was told: a later one knows nothing of it.
  rosterChanged @16 (replica :Text, epoch :UInt64, version :UInt64, full :Bool,
                     records :Data) -> (process :UInt64);

  # Counts that routers reported to another replica and that changed since its last call; told to
  # the leader only. `counts` as in SyncRequest.
  rolloutCounts @17 (replica :Text, counts :Data) -> ();

  # All rollouts (see fleet/rollout.h) from the leader, so that they are the newest that were
  # acknowledged.
  newestRollouts @18 () -> (answered :Bool, rollouts :Data, leader :LeaderHint);
}

# What a connection starts with: only a peer that knows the fleet's key gets on.
interface Gate {
  enter @0 (key :Text) -> (node :Node);
}
