"""Counters, gauges and latency histograms of an entry host.

``docs/operators/metrics.md`` is made from the registry of this module.
"""

from functools import partial
from typing import TypedDict, TypeVar

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram
from prometheus_client.exposition import generate_latest

# Upper bounds of the latency histograms' buckets.
BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0)
PREFIX = "rosemarystream"

Metric = TypeVar("Metric", Counter, Gauge)


class ServiceGauges(TypedDict):
    """Gauges of one service, as seen by a host.

    Attributes
    ----------
    ready, set_aside, limited, cold, waiting : int
        Servers that take requests, and how many of them are ejected, limit the
        requests that they get, are cold, or want none of this host for a while.
    leaving : int
        Servers that have stated that they leave, while the store calls them ready.
    evacuated : int
        Servers that get no requests as their data centres are evacuated.
    load_share : float
        Highest load of a server relative to its bound; over 1 if it is exceeded.
    retries_left : float
        Retries that this host may still make in the window of the retry budget.
    """

    ready: int
    set_aside: int
    limited: int
    cold: int
    waiting: int
    leaving: int
    load_share: float
    retries_left: float
    evacuated: int


class CallerGauges(TypedDict):
    """What a host holds for its callers, and its limits.

    Attributes
    ----------
    connections, max_connections : int
        Open connections of callers, and their highest number.
    max_requests : int
        Highest number of requests in progress.
    max_bytes : int
        Limit of what is held, as its cost in memory in bytes.
    held : dict of str to int
        What is held, by kind.
    """

    connections: int
    max_connections: int
    max_requests: int
    max_bytes: int
    held: dict[str, int]


class HostGauges(TypedDict):
    """Gauges of a host; ages in seconds."""

    in_progress: int
    version: int
    configuration_age_s: float
    counts_age_s: float
    store_lost_s: float
    live_hosts: int
    lines_left_out: int
    callers: CallerGauges
    services: dict[str, ServiceGauges]
    data_centres_evacuated: int


class GatewayMetrics:
    """Registry of the host's metrics.

    Counters are incremented where the events happen; gauges are set together before
    the metrics are written out.
    """

    def __init__(self) -> None:
        self.registry = CollectorRegistry()
        self._labels: dict[str, tuple[str, ...]] = {}
        counter, gauge = (
            partial(self._make_metric, Counter),
            partial(self._make_metric, Gauge),
        )
        self.requests = counter(
            "requests", "Requests that are over, by outcome", "outcome"
        )
        self.callers_half_closed = counter(
            "callers_half_closed",
            "Requests whose callers closed their sending side before the answer's end",
        )
        self.requests_begun = counter("requests_begun", "Requests that were read whole")
        self.requests_ended = counter(
            "requests_ended", "Those of them that have ended, by cause", "cause"
        )
        self.requests_ended_without_answer = counter(
            "requests_ended_without_answer",
            "Those of them that ended without a whole answer, by cause",
            "cause",
        )
        self.attempts = counter(
            "attempts",
            "Attempts at servers: answered, failed, turned_away or unreachable",
            "result",
        )
        self.answers_closed = counter(
            "answers_closed", "Attempts whose connection the server closed too early"
        )
        self.retries = counter("retries", "Repeats made, of the retry budget")
        self.retries_refused = counter(
            "retries_refused", "Repeats not made because the budget was used up"
        )
        self.limit_refusals = counter(
            "limit_refusals", "Choices of a server that its limit did not permit"
        )
        self.permissions_lapsed = counter(
            "permissions_lapsed",
            "Requests not sent as too long had passed since they were permitted",
        )
        self.retry_after_unreadable = counter(
            "retry_after_unreadable",
            "Refusals of servers with a Retry-After that can't be read",
        )
        self.limits_unreadable = counter(
            "limits_unreadable",
            "Answers of servers with a limit that can't be read; an earlier one holds",
        )
        self.host_delay_seconds = self._make_histogram(
            "host_delay_seconds", "How late this host ran its work of each 0.1 s"
        )
        self.judgements_withheld = counter(
            "judgements_withheld",
            "Timeouts that say nothing of a server as this host was late, by judgement",
            "judgement",
        )
        self.unexpected_errors = counter(
            "unexpected_errors",
            "Errors that no code expects, raised while requests were served",
            "error",
        )
        self.loop_failures = counter(
            "loop_failures", "Unexpected errors in loops of this host", "loop"
        )
        self.task_failures = counter(
            "task_failures", "Unexpected errors that ended background work", "task"
        )
        self.objects_left_out = counter(
            "objects_left_out",
            "Objects of the store or of other hosts that can't be used",
            "kind",
        )
        self.prompt_tokens = counter(
            "prompt_tokens", "Prompt tokens sent to engines that keep context"
        )
        self.prompt_tokens_unread = counter(
            "prompt_tokens_unread", "Those of them that the engine did not hold"
        )
        self.store_calls = counter(
            "store_calls", "Calls of the platform's store, by result", "result"
        )
        self.store_copies = counter(
            "store_copies", "Times that the store was seen to come back from a copy"
        )
        self.store_eras_unusable = counter(
            "store_eras_unusable",
            "Answers of the store without a usable era, by fault",
            "fault",
        )
        self.beats_bytes = counter(
            "beats_bytes", "Bytes of reports sent to other hosts"
        )
        self.callers_refused = counter(
            "callers_refused",
            "Connections and requests refused for lack of room, by cause",
            "cause",
        )
        self.callers_closed = counter(
            "callers_closed", "Connections closed to make room, by cause", "cause"
        )
        self.request_seconds = self._make_histogram(
            "request_seconds", "Time until a request was over, in seconds"
        )
        self.first_event_seconds = self._make_histogram(
            "first_event_seconds", "Time until the first event of a stream, in seconds"
        )
        self._in_progress = gauge("requests_in_progress", "Requests under way")
        self._version = gauge("configuration_version", "Configuration in force")
        self._configuration_age = gauge(
            "configuration_age_seconds", "Time since it came into force"
        )
        self._counts_age = gauge(
            "counts_age_seconds", "Age of what other hosts have told of their load"
        )
        self._store_lost = gauge(
            "store_lost_seconds", "Time since the store was lost; 0 if it answers"
        )
        self._live_hosts = gauge("live_hosts", "Hosts that are alive, this one too")
        self._dropped_entries = gauge(
            "log_lines_left_out", "Log lines not written since the start"
        )
        self._caller_connections = gauge(
            "caller_connections", "Open connections of callers"
        )
        self._caller_bytes = gauge(
            "caller_bytes", "Cost in memory of what is held for callers", "kind"
        )
        self._caller_bytes_limit = gauge(
            "caller_bytes_limit", "Limit of their sum, from which requests are refused"
        )
        self._ready = gauge("servers_ready", "Servers taking requests", "service")
        self._set_aside = gauge(
            "servers_set_aside", "Servers left alone for a while", "service"
        )
        self._limited = gauge(
            "servers_limited", "Servers that limit their requests", "service"
        )
        self._cold = gauge(
            "servers_cold", "Servers that have just started and take little", "service"
        )
        self._waiting = gauge(
            "servers_waiting", "Servers that want no requests for a while", "service"
        )
        self._leaving = gauge(
            "servers_leaving", "Servers that state that they leave", "service"
        )
        self._evacuated = gauge(
            "servers_evacuated", "Servers of evacuated data centres", "service"
        )
        self._data_centres_evacuated = gauge(
            "data_centres_evacuated", "Data centres whose servers get no requests"
        )
        self._load_share = gauge(
            "load_share", "Highest load of a server against its bound", "service"
        )
        self._retries_left = gauge(
            "retries_left", "Repeats this host may still make", "service"
        )

    def _make_histogram(self, name: str, text: str) -> Histogram:
        return Histogram(
            f"{PREFIX}_{name}", text, registry=self.registry, buckets=BUCKETS_S
        )

    def _make_metric(
        self, kind: type[Metric], name: str, text: str, *labels: str
    ) -> Metric:
        name = f"{PREFIX}_{name}"
        self._labels[name] = labels
        return kind(name, text, labels, registry=self.registry)

    def list_labels(self, name: str) -> tuple[str, ...]:
        """Return the names of a metric's labels."""
        return self._labels.get(name, ())

    def count_left_out(self, kind: str) -> None:
        """Count an object that can't be used."""
        self.objects_left_out.labels(kind).inc()

    def count_request(
        self, outcome: str, seconds: float, first_event_s: float | None
    ) -> None:
        """Count a finished request and observe its times.

        Parameters
        ----------
        seconds : float
            Time until the request was over.
        first_event_s : float or None
            Time until the first event of a stream; None if there was none.
        """
        self.requests.labels(outcome).inc()
        self.request_seconds.observe(seconds)
        if first_event_s is not None:
            self.first_event_seconds.observe(first_event_s)

    def set_gauges(self, gauges: HostGauges) -> None:
        """Set all gauges to the current state of the host."""
        self._in_progress.set(gauges["in_progress"])
        self._version.set(gauges["version"])
        self._configuration_age.set(gauges["configuration_age_s"])
        self._counts_age.set(gauges["counts_age_s"])
        self._store_lost.set(gauges["store_lost_s"])
        self._live_hosts.set(gauges["live_hosts"])
        self._dropped_entries.set(gauges["lines_left_out"])
        self._data_centres_evacuated.set(gauges["data_centres_evacuated"])
        callers = gauges["callers"]
        self._caller_connections.set(callers["connections"])
        self._caller_bytes_limit.set(callers["max_bytes"])
        for kind, size in callers["held"].items():
            self._caller_bytes.labels(kind).set(size)
        for name, service in gauges["services"].items():
            self._ready.labels(name).set(service["ready"])
            self._set_aside.labels(name).set(service["set_aside"])
            self._limited.labels(name).set(service["limited"])
            self._cold.labels(name).set(service["cold"])
            self._waiting.labels(name).set(service["waiting"])
            self._leaving.labels(name).set(service["leaving"])
            self._evacuated.labels(name).set(service["evacuated"])
            self._load_share.labels(name).set(service["load_share"])
            self._retries_left.labels(name).set(service["retries_left"])

    def format_text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return generate_latest(self.registry)


class StatsdSender:
    """Sends the metrics to a statsd server.

    Parameters
    ----------
    address : tuple of (str, int)
        Address of the statsd server.
    host : str
        Name of this host; part of every metric's name.
    """

    def __init__(
        self, *, address: tuple[str, int], host: str, metrics: GatewayMetrics
    ) -> None:
        # Imported here to save memory: most hosts send nothing to statsd.
        from statsd import StatsClient

        self._client = StatsClient(
            host=address[0], port=address[1], prefix=f"{PREFIX}.{host}"
        )
        self._metrics = metrics
        self._sent: dict[str, float] = {}

    def send(self) -> None:
        """Send the increments of counters since the last call, and all gauges."""
        with self._client.pipeline() as pipe:
            for family in self._metrics.registry.collect():
                for sample in family.samples:
                    if sample.name.endswith(("_bucket", "_created")):
                        continue
                    name = _name_sample(sample.name, sample.labels)
                    if family.type == "gauge":
                        pipe.gauge(name, sample.value)
                    else:
                        pipe.incr(name, sample.value - self._sent.get(name, 0.0))
                        self._sent[name] = sample.value


def _name_sample(name: str, labels: dict[str, str]) -> str:
    parts = [name.removeprefix(f"{PREFIX}_"), *labels.values()]
    return ".".join(parts)
