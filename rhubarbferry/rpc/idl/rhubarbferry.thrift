/*
 * Messages between the processes of rhubarbferry, and the worker interface.
 *
 * Transport: TFramedTransport with TBinaryProtocol; each method takes one request
 * struct. Durations are relative and in milliseconds, so that hosts need no
 * synchronized clocks. `epoch` is the ownership epoch under which the sender acts.
 * Receivers refuse an epoch lower than the highest one seen for that partition.
 */
namespace py rhubarbferry.rpc.gen

// ---------------------------------------------------------------- common

enum Priority { URGENT = 0, NORMAL = 1, BATCH = 2 }

/* Resources that a task requires or a worker has. */
struct Resources {
  1: required i64 millicores,
  2: required i64 memory_bytes,
  3: required i32 accelerators = 0,
}

struct PingRequest { 1: optional string sender }
struct PingReply {
  1: optional string member_id,
  // Only from an owner of a cell: it has not read all jobs yet, and answers slowly meanwhile.
  2: optional bool loading,
}

struct StatusRequest { 1: optional string sender }
struct PartitionStatus {
  1: required string partition,
  2: required i64 epoch,
  3: required string phase,
  4: required i64 depth,
}
struct StatusReply {
  1: required string member_id,
  2: required string role,
  3: required i64 config_revision,
  4: required bool draining,
  5: required list<PartitionStatus> partitions,
  6: optional binary config_text,
}

// ---------------------------------------------------------------- requests to runners

enum GrantVerdict { GRANTED = 0, REFUSED = 1, NOT_OWNER = 2 }

struct GrantRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string request_id,
  4: required string frontend_id,
  5: required string account,
  6: required Priority priority,
  7: required i64 remaining_ms,
  8: required bool idempotent,
  9: optional list<string> excluded_runners,
}
struct GrantReply {
  1: required GrantVerdict verdict,
  2: required i64 epoch,
  3: optional i64 grant_id,
  4: optional string runner_id,
  5: optional string runner_address,
  6: optional i64 usable_ms,
  7: optional i64 retry_after_ms,
  8: optional string reason,
  9: optional i64 waited_ms,  /* time from the arrival of this request to the grant */
  10: optional i64 expected_wait_ms,  /* estimate for a further request of this account and priority */
}

enum GrantEnd { DONE = 0, NOT_SENT = 1, REFUSED_BY_RUNNER = 2, FAILED = 3, UNKNOWN = 4 }

struct Release {
  1: required string request_id,
  2: required i64 grant_id,
  3: required string runner_id,
  4: required GrantEnd end,
  5: required i64 service_ms,
  6: required i64 remaining_ms,
}
struct ReleaseRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string frontend_id,
  4: required list<Release> releases,
}
struct ReleaseReply { 1: required i64 epoch, 2: required bool accepted }

/* Requests the estimated wait of each class; frontends choose a region by these estimates. */
struct WaitClass { 1: required string account, 2: required Priority priority }
struct WaitsRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required list<WaitClass> classes,
}
struct WaitsReply {
  1: required bool owner,
  2: required i64 epoch,
  3: required list<i64> waits_ms,  /* one for each class; -1: no estimate, or no slots */
}

/* Cancels a waiting grant request whose caller has disconnected. */
struct AbandonRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string frontend_id,
  4: required string request_id,
}
struct AbandonReply { 1: required bool accepted }

// ---------------------------------------------------------------- guards (frontends)

struct OpenGrant {
  1: required string request_id,
  2: required i64 grant_id,
  3: required string runner_id,
  4: required string account,
  5: required i64 remaining_ms,
  6: required bool sent,
}
struct AdoptRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string owner_id,
}
struct AdoptReply {
  1: required bool accepted,
  2: required i64 highest_epoch,
  3: required i64 promise_left_ms,
  4: required list<OpenGrant> grants,
  5: optional string guard_id,
}
struct PromiseRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string owner_id,
  4: required i64 duration_ms,    /* 0: the owner has stopped acting and releases its promise */
  5: optional i64 guard_version,  /* version of the guard set whose majority the owner uses */
}
struct PromiseReply {
  1: required bool given,
  2: required i64 highest_epoch,
  3: optional string guard_id,
  4: optional i64 limit_ms,  /* refused since more than this was requested; a guard never grants a shorter promise */
}

// ---------------------------------------------------------------- intents (requests with an idempotency key)

enum IntentVerdict {
  COMMITTED = 0, RUNNING = 1, RECORDED = 2, UNKNOWN = 3,
  MISMATCH = 4, REFUSED = 5, NOT_OWNER = 6
}
struct Header { 1: required string name, 2: required string value }
struct RecordedAnswer {
  1: required i32 status,
  2: required list<Header> headers,
  3: required binary body,
  4: required bool body_kept,
  5: required string request_id,
}
struct IntentRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string account,
  4: required string key,
  5: required string request_id,
  6: required string fingerprint,
  7: required string frontend_id,
  8: required i64 remaining_ms,
  // The same in all calls with which a frontend tries to record one request, and in no others.
  9: optional string begin_id,
}
struct IntentReply {
  1: required IntentVerdict verdict,
  2: required i64 epoch,
  3: optional RecordedAnswer answer,
  4: optional i64 retry_after_ms,
  5: optional string reason,
}
enum RequestOutcome { DONE = 0, NOT_RUN = 1, UNKNOWN = 2 }
struct FinishRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string account,
  4: required string key,
  5: required string request_id,
  6: required RequestOutcome outcome,
  7: optional RecordedAnswer answer,
}
struct FinishReply { 1: required bool recorded, 2: required i64 epoch }

// ---------------------------------------------------------------- jobs

enum JobKind { BATCH = 0, GANG = 1, SERVICE = 2 }
enum JobPhase {
  WAITING = 0, RUNNING = 1, DONE = 2, FAILED = 3, CANCELLED = 4, NOT_RUN = 5, UNKNOWN = 6
}
struct JobSpec {
  1: required string account,
  2: required JobKind kind,
  3: required i32 tasks,
  4: required Resources size,
  5: required Priority priority,
  6: required bool idempotent,
  7: required bool preemptible,
  8: required i64 run_ms,
  9: optional string key,
  10: optional string job_template,
  11: optional string region,
  12: optional string payload,
}
struct JobRecord {
  1: required string job_id,
  2: required JobSpec spec,
  3: required JobPhase phase,
  4: required i32 tasks_waiting,
  5: required i32 tasks_running,
  6: required i32 tasks_done,
  7: required i32 tasks_failed,
  8: required i32 tasks_unknown,
  9: required i32 tasks_not_run,
  10: optional string reason,
  11: required i64 waited_ms,
}
/* UNCLEAR: the job may be recorded and may run. UNAVAILABLE: it is not recorded and never will be. */
enum SubmitVerdict {
  ACCEPTED = 0, DUPLICATE = 1, REFUSED = 2, NOT_OWNER = 3, UNAVAILABLE = 4, UNCLEAR = 5
}
struct SubmitRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string job_id,
  4: required JobSpec spec,
}
struct SubmitReply {
  1: required SubmitVerdict verdict,
  2: required i64 epoch,
  3: optional string job_id,
  4: optional string reason,
  5: optional i64 retry_after_ms,
}
enum JobVerdict { FOUND = 0, NO_SUCH_JOB = 1, NOT_OWNER = 2, UNAVAILABLE = 3 }
struct JobRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string job_id,
}
struct JobReply {
  1: required JobVerdict verdict,
  2: required i64 epoch,
  3: optional JobRecord job,
  4: optional list<string> explanation,
  5: optional i64 retry_after_ms,
}
struct JobListRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string account,
}
struct JobListReply {
  1: required JobVerdict verdict,
  2: required i64 epoch,
  3: required list<JobRecord> jobs,
}

// ---------------------------------------------------------------- claims on worker partitions

struct Claim {
  1: required string task_id,
  2: required i32 attempt,
  3: required string job_id,
  4: required string account,
  5: required JobKind kind,
  6: required Priority priority,
  7: required Resources size,
  8: required bool idempotent,
  9: required bool preemptible,
  10: required i64 run_ms,
  11: optional string payload,
  12: optional list<string> avoid_workers,
  13: optional i64 waited_ms,
}
enum ClaimVerdict {
  STARTED = 0, NO_ROOM = 1, RESERVED = 2, REFUSED = 3, HELD = 4, NOT_STARTED = 5, UNKNOWN = 6
}
struct ClaimResult {
  1: required string task_id,
  2: required i32 attempt,
  3: required ClaimVerdict verdict,
  4: optional string worker_id,
  5: optional string reason,
}
struct AccountUsage { 1: required string account, 2: required Resources used }
/* Summary of one worker partition. `largest_free` holds the maximum of each resource over the
   workers; no single worker need have all of them free. */
struct PartitionDigest {
  1: required string partition,
  2: required i64 epoch,
  3: required string failure_domain,
  4: required Resources total,
  5: required Resources free,
  6: required Resources largest_free,
  7: required Resources largest_worker,
  8: required list<AccountUsage> usage,
  9: required i32 workers,
}
/* Claims of a gang are first reserved (reserve_ms > 0), then committed or released. */
struct ClaimRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string home,
  4: required i64 home_epoch,
  5: required list<Claim> claims,
  6: required i64 reserve_ms,
  7: optional i64 number,
}
struct ClaimReply {
  1: required bool owner,
  2: required i64 epoch,
  3: required list<ClaimResult> results,
  4: optional PartitionDigest digest,
}
struct ReservationRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string home,
  4: required i64 home_epoch,
  5: required list<string> task_ids,
  6: required bool commit,
  7: optional i64 number,
}
struct DigestRequest { 1: required string partition, 2: required i64 epoch }
struct DigestReply { 1: required bool owner, 2: required i64 epoch, 3: optional PartitionDigest digest }

struct StopTasksRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string home,
  4: required i64 home_epoch,
  5: required list<string> task_ids,
  6: required bool throttle,
  7: required bool checkpoint,
}
struct StopTasksReply { 1: required bool owner, 2: required i64 epoch, 3: required list<string> held }

/*
 * Requests from one home to one worker partition carry an increasing `number`. The partition
 * refuses a number lower than the highest one seen under that home epoch. A delayed request can
 * therefore have no effect after the home has acted on the reply to a later one.
 */

/* How one attempt ended, as reported by its worker or as proven by its expired lease. */
enum TaskEnd { DONE = 0, FAILED = 1, STOPPED = 2, LEASE_LAPSED = 3, NOT_STARTED = 4, PREEMPTED = 5 }
struct TaskEvent {
  1: required string task_id,
  2: required i32 attempt,
  3: required string job_id,
  4: required TaskEnd end,
  5: required string worker_id,
  6: required i64 ran_ms,
}
struct TaskEventsRequest {
  1: required string partition,   /* the home (key partition) */
  2: required i64 epoch,
  3: required string sender,      /* the worker partition */
  4: required i64 sender_epoch,
  5: required list<TaskEvent> events,
}
struct TaskEventsReply { 1: required bool owner, 2: required i64 epoch, 3: required list<string> recorded }

/* Sent by a recovering home to list the tasks that a worker partition holds for it. */
struct HeldTasksRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string home,
  4: required i64 home_epoch,
  5: optional i64 number,
}
struct HeldTask {
  1: required string task_id,
  2: required i32 attempt,
  3: required string job_id,
  4: required string worker_id,
  5: required bool running,
  6: optional TaskEnd end,
}
struct HeldTasksReply {
  1: required bool owner,
  2: required i64 epoch,
  3: required bool complete,      /* false while some worker may hold tasks that it has not reported */
  4: required list<HeldTask> tasks,
  5: optional list<string> unheard, /* the workers that may hold unreported tasks */
  6: optional list<string> heard, /* the adopted workers, which run no other tasks */
  7: optional bool over, /* workers that are in neither list run no tasks */
}

/* Served by every scheduler; each call names the partition whose owner must reply. */
service Scheduler {
  PingReply ping(1: PingRequest req),
  StatusReply status(1: StatusRequest req),
  GrantReply grant(1: GrantRequest req),
  ReleaseReply release(1: ReleaseRequest req),
  AbandonReply abandon(1: AbandonRequest req),
  WaitsReply waits(1: WaitsRequest req),
  IntentReply begin_request(1: IntentRequest req),
  FinishReply finish_request(1: FinishRequest req),
  SubmitReply submit_job(1: SubmitRequest req),
  JobReply get_job(1: JobRequest req),
  JobReply cancel_job(1: JobRequest req),
  JobListReply list_jobs(1: JobListRequest req),
  ClaimReply claim(1: ClaimRequest req),
  ClaimReply settle_reservation(1: ReservationRequest req),
  DigestReply digest(1: DigestRequest req),
  StopTasksReply stop_tasks(1: StopTasksRequest req),
  TaskEventsReply task_events(1: TaskEventsRequest req),
  HeldTasksReply held_tasks(1: HeldTasksRequest req),
}

/* Sent to a majority of a guard set before the next version replaces it. */
struct CloseGuardSetRequest {
  1: required string region,
  2: required i64 version,        /* promises under a lower version are refused from now on */
}
struct CloseGuardSetReply {
  1: required bool closed,
  2: required i64 promise_left_ms,  /* longest remaining promise for the region */
  3: optional string guard_id,
}

/* Served by every frontend to the schedulers. */
service Guard {
  PingReply ping(1: PingRequest req),
  StatusReply status(1: StatusRequest req),
  AdoptReply adopt(1: AdoptRequest req),
  PromiseReply promise(1: PromiseRequest req),
  CloseGuardSetReply close_guard_set(1: CloseGuardSetRequest req),
}

// ---------------------------------------------------------------- workers (external interface)

/*
 * Each reply of a worker has a `number`; a request names in `answered` the last reply that its
 * sender received. The worker counts a lease from the time at which it sent THAT reply. It refuses
 * a request that names a reply from before the last adoption, or whose lease would already have
 * expired. However long a request is delayed, no lease therefore lasts longer than lease_ms after
 * the owner received the reply.
 */
struct WorkerAdoptRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string owner_id,
}
struct WorkerTask {
  1: required string task_id,
  2: required i32 attempt,
  3: required string job_id,
  4: required string home,
  5: required string account,
  6: required Resources size,
  7: required bool preemptible,
  8: required bool idempotent,
  9: required i64 run_ms,
  10: required JobKind kind,
  11: optional string payload,
  12: optional Priority priority,
}
struct WorkerHeldTask {
  1: required WorkerTask task,
  2: required bool running,
  3: optional TaskEnd end,
  4: required i64 ran_ms,
}
struct WorkerAdoptReply {
  1: required bool accepted,
  2: required i64 highest_epoch,
  3: required Resources capacity,
  4: required list<WorkerHeldTask> tasks,
  5: required i64 longest_lease_ms,
  6: optional i64 number,
  7: optional i64 settled_epoch, /* highest epoch of an owner that sent `settled` */
}
struct StartRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string owner_id,
  4: required i64 lease_ms,
  5: required list<WorkerTask> tasks,
  6: optional i64 answered,
}
enum StartVerdict { STARTED = 0, STALE_EPOCH = 1, NO_ROOM = 2, ALREADY_HELD = 3, FAILED = 4 }
struct StartResult { 1: required string task_id, 2: required StartVerdict verdict }
struct StartReply {
  1: required i64 highest_epoch,
  2: required list<StartResult> results,
  3: optional i64 number,
}

enum TaskAction { STOP = 0, CHECKPOINT = 1, THROTTLE = 2 }
struct TaskOrder { 1: required string task_id, 2: required TaskAction action }
struct TaskUsage { 1: required string task_id, 2: required Resources used }
/* Heartbeat: extends all task leases on the worker, sends orders and returns task events. */
struct RenewRequest {
  1: required string partition,
  2: required i64 epoch,
  3: required string owner_id,
  4: required i64 lease_ms,
  5: required list<string> acknowledged,
  6: required list<TaskOrder> orders,
  7: optional i64 answered,
  8: optional bool settled, /* the owner counts this worker in the majority that extends its promise */
}
struct RenewReply {
  1: required bool accepted,
  2: required i64 highest_epoch,
  3: required list<WorkerHeldTask> ended,
  4: required list<TaskUsage> usage,
  5: required i32 running,
  6: optional i64 number,
}
service Worker {
  PingReply ping(1: PingRequest req),
  WorkerAdoptReply adopt(1: WorkerAdoptRequest req),
  StartReply start(1: StartRequest req),
  RenewReply renew(1: RenewRequest req),
}

// ---------------------------------------------------------------- between the processes of a cell

struct PendingRequest { 1: required string queue }
struct PendingReply {
  1: required bool owner, /* whether the process owns the cell's work and could count its jobs */
  2: required i64 pending, /* number of jobs in the queue with no started task */
}
struct ApprovalRequest {
  1: required string job,
  2: required i32 occurrence,
  3: required i32 step,
  4: required list<string> hosts,
  5: required i32 timeout_ms,
}
struct HostApproval { 1: required string host, 2: required string ticket }
struct ApprovalReply {
  1: required bool answered, /* whether the policy service replied */
  2: required list<HostApproval> approvals,
  3: required i64 valid_ms,
  4: optional string detail,
}
/* Job calls of clients, relayed by a process to which the store does not respond. */
enum Acceptance { ACCEPTED = 0, NOT_ACCEPTED = 1, UNCLEAR = 2, ID_TAKEN = 3 }
struct RelayedSubmit { 1: required binary record, 2: required i32 timeout_ms }
struct RelayedSubmitReply { 1: required Acceptance accepted }
struct RelayedPhase { 1: required string job }
struct RelayedPhaseReply {
  1: required bool read, /* whether the store could be read */
  2: optional string phase, /* absent when the job does not exist */
  3: optional string account, /* account that submitted it, empty for none */
}
struct RelayedCancel {
  1: required string job,
  2: required i32 timeout_ms,
  3: optional string account, /* account of the caller; absent: jobs of any account */
}
struct RelayedCancelReply { 1: required bool recorded, 2: required bool known }
/*
 * Load of a full cell as its owner has summed it up. A process decides with it whether it accepts a
 * job. All fields are optional, so that a reply can always be decoded; the receiver checks them.
 */
struct QueueLoad {
  1: optional i32 priority,
  2: optional i64 in_time_ms, /* work in core-milliseconds */
  3: optional i64 late_ms,
}
struct AccountLoad {
  1: optional string account,
  2: optional i64 used_millicores,
  3: optional i64 owed_millicores,
  4: optional i64 usable_millicores,
  5: optional list<QueueLoad> ahead,
}
struct ServiceLoad {
  1: optional string service_name,
  2: optional i64 millicores,
  3: optional i64 memory_mb,
  4: optional i64 accelerators,
  5: optional list<AccountLoad> accounts,
}
struct LoadSummary {
  1: optional i32 format, /* a receiver ignores the formats that it does not know */
  2: optional i64 fence,
  3: optional i64 number, /* rises with each summary of an owner */
  4: optional i64 config_revision,
  5: optional i64 age_ms, /* when the reply is sent */
  6: optional list<ServiceLoad> services, /* the services that are full */
}
/* The newest summary that a process has; both 0 for none. */
struct KnownLoad { 1: optional i64 fence, 2: optional i64 number }
/* Notifies the owner of the work of a job that has just been stored. */
struct JobNotice {
  1: required string job,
  2: required binary record,
  3: required i64 revision, /* revision of the store that contains the job */
  4: required i64 fence, /* ownership in force at that revision */
  5: optional KnownLoad known_load, /* set by a process that uses summaries of the load */
}
struct JobNoticeReply {
  1: required bool taken,
  2: optional LoadSummary load, /* set if it is newer than the one that the caller has */
}
struct OwnedPhaseRequest {
  1: required string job,
  2: optional KnownLoad known_load,
}
struct OwnedPhaseReply {
  1: optional string phase, /* absent when the process does not know it */
  2: optional string account, /* account that submitted it, empty for none */
  3: optional LoadSummary load,
  /* Set by an owner that has read all jobs: without a phase, there is no such job. */
  4: optional bool loaded,
}
/* Sent by an owner to which the store no longer responds, to find a process that can reach it. */
struct StoreReachRequest { 1: optional string sender }
struct StoreReachReply { 1: required bool reached }
struct TakeOverRequest { 1: required i64 fence /* revision of the owner's key */ }
struct TakeOverReply { 1: required bool taken }
service Peer {
  PingReply ping(1: PingRequest req),
  StoreReachReply store_reach(1: StoreReachRequest req),
  TakeOverReply take_over(1: TakeOverRequest req),
  RelayedSubmitReply submit(1: RelayedSubmit req),
  RelayedPhaseReply phase(1: RelayedPhase req),
  RelayedCancelReply cancel(1: RelayedCancel req),
  PendingReply pending(1: PendingRequest req),
  JobNoticeReply job_accepted(1: JobNotice req),
  OwnedPhaseReply owned_phase(1: OwnedPhaseRequest req),
  ApprovalReply ask_approval(1: ApprovalRequest req),
}

// ---------------------------------------------------------------- log entries in the store

struct IntentBegun {
  1: required string account, 2: required string key, 3: required string request_id,
  4: required string fingerprint, 5: required string frontend_id, 6: required i64 expires_at_ms,
  7: optional string begin_id,
}
struct IntentFinished {
  1: required string account, 2: required string key, 3: required string request_id,
  4: required RequestOutcome outcome, 5: optional RecordedAnswer answer,
  6: required i64 finished_at_ms,
}
struct JobAccepted { 1: required string job_id, 2: required JobSpec spec, 3: required i64 accepted_at_ms }
struct TasksDispatched { 1: required string job_id, 2: required list<i32> indexes, 3: required i32 attempt }
struct TaskFinished {
  1: required string job_id, 2: required i32 index, 3: required i32 attempt, 4: required TaskEnd end,
}
struct JobFinished {
  1: required string job_id, 2: required JobPhase phase, 3: required i64 finished_at_ms,
  4: optional i32 done, 5: optional i32 failed, 6: optional i32 unknown, 7: optional i32 not_run,
  8: optional i64 waited_ms,
}
struct JobCancelled { 1: required string job_id }
union LogEntry {
  1: IntentBegun intent_begun,
  2: IntentFinished intent_finished,
  3: JobAccepted job_accepted,
  4: TasksDispatched tasks_dispatched,
  5: TaskFinished task_finished,
  6: JobFinished job_finished,
  7: JobCancelled job_cancelled,
}
struct LogSegment {
  1: required i64 epoch,
  2: required string writer_id,
  3: required string write_id,
  4: required bool seal,
  5: required list<LogEntry> entries,
}
