"""All settings of a process and their defaults."""

from __future__ import annotations

from attrs import Factory, frozen


@frozen(kw_only=True, slots=True)
class ProcessSettings:
    """Section ``[process]``: identity, location and addresses of the process.

    :param member: prefix of the member id, which is unique for each start of the process.
    :param region: region of this host, as in the host list.
    :param failure_domain: failure domain of this host, as in the host list.
    :param listen_ip: IP that the servers bind and at which other processes reach this one.
    :param rpc_port: port of the RPC server, 0 for any free port.
    :param http_port: port of the HTTP server, 0 for any free port.
    :param advertise_rpc: ``ip:port`` at which other processes reach the RPC server, when it differs
        from the bound address, for example behind network address translation.
    :param advertise_http: the same for the HTTP server.
    :param drain_s: seconds that requests in progress may take to complete after SIGTERM.
    :param peers: comma-separated RPC addresses of other processes; a process that starts while the
        store is unavailable reads the configuration from them.
    """

    member: str = "member"
    region: str = ""
    failure_domain: str = ""
    listen_ip: str = "127.0.0.1"
    rpc_port: int = 0
    http_port: int = 0
    advertise_rpc: str = ""
    advertise_http: str = ""
    drain_s: float = 30.0
    peers: str = ""


@frozen(kw_only=True, slots=True)
class StoreSettings:
    """Section ``[store]``: the platform's key-value service.

    :param url: base URL of its HTTP/JSON interface.
    :param prefix: prefix of all keys of this cell.
    :param timeout_s: timeout of one call.
    :param writes_per_s: limit of write calls per second for the whole cell.
    :param reads_per_s: limit of read calls per second for the whole cell.
    """

    url: str = "http://127.0.0.1:2379"
    prefix: str = "rhubarbferry/"
    timeout_s: float = 1.0
    writes_per_s: float = 300.0
    reads_per_s: float = 1500.0


@frozen(kw_only=True, slots=True)
class HostListSettings:
    """Section ``[hosts]``: the platform's list of hosts.

    :param url: URL of the list.
    :param poll_s: seconds between two reads.
    """

    url: str = "http://127.0.0.1:2380/hosts"
    poll_s: float = 1.0


@frozen(kw_only=True, slots=True)
class OwnershipSettings:
    """Section ``[ownership]``: leases of members and ownership of partitions.

    :param lease_s: duration of a member's lease in the store.
    :param renew_s: seconds between two renewals of the lease.
    :param clock_margin_s: seconds subtracted from a lease to allow for differing clock rates.
    :param promise_s: seconds for which a guard's promise is valid.
    :param longest_request_s: longest time in seconds that a request may run; a successor waits
        this long for requests of guards that have not responded.
    :param longest_extension_s: longest time in seconds for which promises allow an owner to act
        after its lease has expired; 0 disables promises, so that runner partitions stop when the
        store is unavailable.
    :param rebalance_s: seconds for which a better assignment must remain unchanged before a live
        owner hands over a partition.
    :param refresh_s: seconds between two complete reads of all records, in addition to the watch.
    """

    lease_s: float = 3.0
    renew_s: float = 0.8
    clock_margin_s: float = 0.3
    promise_s: float = 3.0
    longest_request_s: float = 60.0
    longest_extension_s: float = 7200.0
    rebalance_s: float = 5.0
    refresh_s: float = 30.0


@frozen(kw_only=True, slots=True)
class RequestSettings:
    """Section ``[requests]``: requests to runners.

    :param default_timeout_s: timeout of a request that does not set one.
    :param max_timeout_s: longest timeout that a client may set.
    :param grant_usable_s: seconds after which an unused grant expires.
    :param probe_s: seconds between two probes of a runner with requests in progress.
    :param silence_s: seconds without data after which a connection is closed.
    :param max_body_bytes: largest allowed request body.
    :param kept_answer_bytes: largest response that is stored for duplicates of an idempotency key.
    :param max_waiting: limit of requests in progress in one frontend; further ones are refused
        immediately.
    :param retry_ratio: limit of retries as a share of the requests of an account.
    :param region_latency_s: one-way network latency between two regions, in seconds.
    :param spill_margin_s: a request is sent to another region only when it is expected to start
        there earlier by at least this number of seconds, including latency; 0 disables sending.
    :param wait_poll_s: seconds between two requests to a runner partition for its expected waiting
        time, sent only while requests are waiting in this frontend.
    :param runner_connections: connections of one frontend to one runner; the sum over all frontends
        of a region, plus a few connections for probes, must not exceed the limit of a runner.
    :param record_wait_s: seconds for which a response waits until its outcome is recorded, so that
        a duplicate sent right after it receives the recorded response.
    :param buffered_bytes: limit of the total size of request bodies held in memory.
    :param intent_retention_s: seconds for which duplicates receive the recorded outcome of an
        idempotency key.
    :param intents_per_account: limit of the finished idempotency keys that one key partition stores
        for one account.
    """

    default_timeout_s: float = 30.0
    max_timeout_s: float = 60.0
    grant_usable_s: float = 0.9
    probe_s: float = 1.0
    silence_s: float = 3.0
    max_body_bytes: int = 64 * 1024 * 1024
    kept_answer_bytes: int = 32 * 1024
    max_waiting: int = 5000
    intent_retention_s: float = 24 * 3600.0
    intents_per_account: int = 20_000
    retry_ratio: float = 0.1
    region_latency_s: float = 0.02
    spill_margin_s: float = 0.25
    wait_poll_s: float = 2.0
    runner_connections: int = 8
    record_wait_s: float = 0.25
    buffered_bytes: int = 128 * 1024 * 1024


@frozen(kw_only=True, slots=True)
class ConnectionSettings:
    """Section ``[connections]``: connections that a frontend accepts from callers.

    :param max_connections: limit of open connections, at most three quarters of the descriptors
        that the process may use. Above it, the connection that has waited longest without a
        complete request is closed.
    :param held_bytes: limit of the memory for incomplete requests and for bodies that no runner
        has taken yet, over all connections.
    :param head_bytes: largest request line and headers of a request.
    :param head_timeout_s: seconds from the first byte of a request to the end of its headers.
    :param idle_timeout_s: seconds after which a connection without a request is closed.
    :param write_timeout_s: seconds after which a connection is closed whose caller reads nothing
        of a response.
    """

    max_connections: int = 8192
    held_bytes: int = 128 * 1024 * 1024
    head_bytes: int = 64 * 1024
    head_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    write_timeout_s: float = 30.0


@frozen(kw_only=True, slots=True)
class JobSettings:
    """Section ``[jobs]``: jobs on workers.

    :param task_lease_s: seconds after which a worker stops a task whose lease its owner has not
        renewed.
    :param renew_s: seconds between two heartbeats to a worker, which renew its task leases.
    :param claim_batch_s: seconds for which claims are collected before they are decided together.
    :param reserve_s: seconds for which a gang's reservation is valid.
    :param half_life_s: half-life in seconds of the decaying resource usage of an account.
    :param max_tasks_per_job: limit of the tasks of one submitted job.
    :param max_waiting_tasks: limit of the waiting tasks in one home; further ones are refused
        immediately.
    :param max_attempts: limit of the attempts of a failing idempotent task.
    :param patience_s: seconds that a task waits before a worker is kept free for it.
    """

    task_lease_s: float = 6.0
    renew_s: float = 1.0
    claim_batch_s: float = 0.005
    reserve_s: float = 2.0
    half_life_s: float = 600.0
    max_attempts: int = 3
    patience_s: float = 5.0
    max_tasks_per_job: int = 10_000
    max_waiting_tasks: int = 200_000


@frozen(kw_only=True, slots=True)
class LogSettings:
    """Section ``[log]``: log lines about state changes; other events appear only in metrics.

    :param level: minimum level of log lines.
    :param format: ``text`` or ``json``.
    """

    level: str = "INFO"
    format: str = "text"


@frozen(kw_only=True, slots=True)
class Settings:
    """All sections of a settings file."""

    process: ProcessSettings = Factory(ProcessSettings)
    store: StoreSettings = Factory(StoreSettings)
    hosts: HostListSettings = Factory(HostListSettings)
    ownership: OwnershipSettings = Factory(OwnershipSettings)
    requests: RequestSettings = Factory(RequestSettings)
    connections: ConnectionSettings = Factory(ConnectionSettings)
    jobs: JobSettings = Factory(JobSettings)
    log: LogSettings = Factory(LogSettings)
