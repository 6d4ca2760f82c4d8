"""Stand-in for a model engine.

It runs up to ``slots`` requests at once, keeps prompts in a prefix cache of
limited size, serves the most urgent waiting request first, resumes a generation
after given tokens, cancels it when the connection closes, reports its load with a
lag, publishes cache events with gaps, and executes orders. Each token of an answer
depends only on prompt and position, so callers can verify every token.
"""

import heapq
import itertools
import time
from collections import OrderedDict, deque
from typing import Any

import falcon
import gevent
import msgspec
from gevent.event import Event

from standins.common import read_json, serve_app

CACHE_BYTES = 200_000
EVENT_GAP = 7
CHARACTERS_PER_TOKEN = 4


def answer_token(prompt: str, position: int) -> str:
    """Return the token at a position of the answer to a prompt."""
    import xxhash

    return f"{xxhash.xxh32_hexdigest(f'{prompt}|{position}'.encode())[:4]}-{position} "


class PrefixCache:
    """Cache of the longest prompt of each chat; evicts the least recently stored."""

    def __init__(self, limit: int = CACHE_BYTES) -> None:
        self._limit = limit
        self._prompts: OrderedDict[str, str] = OrderedDict()
        self._size = 0
        self.events: deque[dict[str, Any]] = deque(maxlen=1000)
        self._numbers = itertools.count(1)

    def match(self, chat: str, prompt: str) -> int:
        """Return how many characters of the prompt are cached."""
        cached = self._prompts.get(chat, "")
        if prompt.startswith(cached):
            return len(cached)
        pairs = zip(cached, prompt, strict=False)
        return sum(1 for _ in itertools.takewhile(lambda p: p[0] == p[1], pairs))

    def store(self, chat: str, prompt: str) -> None:
        """Store a prompt and evict old ones beyond the size limit."""
        self._size -= len(self._prompts.pop(chat, ""))
        self._prompts[chat] = prompt
        self._size += len(prompt)
        self._record_event("stored", chat)
        while self._size > self._limit and len(self._prompts) > 1:
            chat, old = self._prompts.popitem(last=False)
            self._size -= len(old)
            self._record_event("evicted", chat)

    def _record_event(self, what: str, chat: str) -> None:
        number = next(self._numbers)
        if number % EVENT_GAP:
            self.events.append({"number": number, "what": what, "chat": chat})


class Engine:
    """State of one engine.

    With `deaf` it accepts orders without executing them; with `dies_after` it
    aborts a stream after that many more tokens; `frozen` pauses generation.
    """

    def __init__(self, options: dict[str, Any]) -> None:
        self.name = options["name"]
        self.slots = options.get("slots", 8)
        self.token_ms = options.get("token_ms", 5)
        self.prefill_us = options.get("prefill_us_per_token", 20)
        self.lag = options.get("load_lag_ms", 200) / 1000
        self.checks_fence = options.get("checks_fence", True)
        self.incarnation = options.get("incarnation", 1)
        self.models = list(options.get("models", ["lm@1"]))
        self.adapters = list(options.get("adapters", []))
        self.loading: list[str] = []
        self.load_ms = options.get("load_ms", 1200)
        self.leaving = False
        self.deaf = options.get("deaf", False)
        self.dies_after: int | None = None
        self.broken = 0
        self.frozen = False
        self.running = 0
        self.peak = 0
        self.started: list[str] = []
        self.started_with: list[str] = []
        self.fence = 0
        self.orders: list[dict[str, Any]] = []
        self.cache = PrefixCache(options.get("cache_bytes", CACHE_BYTES))
        self._loads: deque[tuple[float, int]] = deque([(0.0, 0)])
        self._waiting: list[tuple[int, int, Event]] = []
        self._numbers = itertools.count()

    def get_reported_load(self) -> int:
        """Return the load as it was `lag` seconds ago."""
        horizon = time.monotonic() - self.lag
        while len(self._loads) > 1 and self._loads[1][0] <= horizon:
            self._loads.popleft()
        return self._loads[0][1]

    def acquire_slot(self, priority: int) -> None:
        """Wait until one of the slots is free and take it."""
        self.running += 1
        self.peak = max(self.peak, self.running)
        self._loads.append((time.monotonic(), self.running))
        if self.running > self.slots:
            turn = Event()
            heapq.heappush(self._waiting, (priority, next(self._numbers), turn))
            turn.wait()

    def release_slot(self) -> None:
        """Release a slot to the most urgent waiting request."""
        self.running -= 1
        self._loads.append((time.monotonic(), self.running))
        if self._waiting:
            heapq.heappop(self._waiting)[2].set()


class GenerateResource:
    """``POST /v1/generate``."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_post(self, req, resp):
        """Stream the tokens of the answer to a prompt."""
        body = read_json(req)
        self._engine.started.append(body["request_id"])
        self._engine.started_with.extend(self._engine.models)
        resp.content_type = "text/event-stream"
        resp.stream = self._stream(body)

    def _stream(self, body):
        engine = self._engine
        engine.acquire_slot(body["priority"])
        try:
            yield from self._generate(engine, body)
        finally:
            engine.release_slot()

    def _generate(self, engine, body):
        prompt = body["prompt"]
        cached = engine.cache.match(body["chat"], prompt)
        missing = (len(prompt) - cached) // CHARACTERS_PER_TOKEN
        gevent.sleep(missing * engine.prefill_us / 1e6)
        position = len(body["generated"])
        answer = "".join(body["generated"])
        for position in range(position, body["max_tokens"]):  # noqa: B020
            gevent.sleep(engine.token_ms / 1000)
            while engine.frozen:
                gevent.sleep(0.05)
            self._abort_if_due(engine)
            text = answer_token(prompt, position)
            answer += text
            yield self._event(body, position, text=text)
        engine.cache.store(body["chat"], prompt + answer)
        yield self._event(
            body,
            max(body["max_tokens"], len(body["generated"])),
            end=True,
            cached_tokens=cached // CHARACTERS_PER_TOKEN,
            prompt_tokens=len(prompt) // CHARACTERS_PER_TOKEN,
        )

    def _abort_if_due(self, engine):
        if engine.dies_after is None:
            return
        engine.dies_after -= 1
        if engine.dies_after < 0:
            engine.broken += 1
            raise ConnectionAbortedError(
                "the engine aborted the stream as dies_after asked"
            )

    def _event(self, body, position, **rest):
        data = {"request_id": body["request_id"], "sequence": position, **rest}
        return b"data: " + msgspec.json.encode(data) + b"\n\n"


class StateResource:
    """``GET /v1/state``."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get(self, req, resp):
        """Report the state; the load is that of `lag` seconds ago."""
        engine = self._engine
        resp.media = {
            "incarnation": engine.incarnation,
            "running": engine.get_reported_load(),
            "models": engine.models,
            "adapters": engine.adapters,
            "leaving": engine.leaving,
            "loading": engine.loading,
        }


class OrdersResource:
    """``POST /v1/orders``: load or unload a model or adapter version."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_post(self, req, resp):
        """Execute one order; refuse one whose fence is older than the last."""
        order = read_json(req)
        engine = self._engine
        if engine.checks_fence and order["fence"] < engine.fence:
            resp.status = 409
            resp.media = {"fence": engine.fence}
            return
        engine.fence = max(engine.fence, order["fence"])
        engine.orders.append(order)
        if engine.deaf:
            resp.media = {}
            return
        loaded = engine.models if order["what"] == "model" else engine.adapters
        if order["action"] == "load" and order["target"] not in loaded:
            engine.loading.append(order["target"])
            gevent.spawn_later(engine.load_ms / 1000, self._finish, order, loaded)
        if order["action"] == "unload" and order["target"] in loaded:
            loaded.remove(order["target"])
        resp.media = {}

    def _finish(self, order, loaded):
        self._engine.loading.remove(order["target"])
        if order["target"] not in loaded:
            loaded.append(order["target"])


class CacheEventsResource:
    """``GET /v1/cache_events``: cache events, published with gaps."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get(self, req, resp):
        """Return the cache events after a number."""
        after = req.get_param_as_int("after", default=0)
        events = [e for e in self._engine.cache.events if e["number"] > after]
        resp.media = {"events": events}


class ControlResource:
    """``/control``: lets tests read counters and set attributes."""

    def __init__(self, engine: Engine) -> None:
        self._engine = engine

    def on_get(self, req, resp):
        """Return the counters."""
        engine = self._engine
        resp.media = {
            "running": engine.running,
            "peak": engine.peak,
            "broken": engine.broken,
            "started": engine.started,
            "started_with": engine.started_with,
            "orders": engine.orders,
            "models": engine.models,
        }

    def on_post(self, req, resp):
        """Set attributes of the engine by name."""
        for name, value in read_json(req).items():
            setattr(self._engine, name, value)
        resp.media = {}


def run(port: int, options: dict[str, Any]) -> None:
    """Serve an engine on a port."""
    engine = Engine(options)
    app = falcon.App()
    app.add_route("/v1/generate", GenerateResource(engine))
    app.add_route("/v1/state", StateResource(engine))
    app.add_route("/v1/orders", OrdersResource(engine))
    app.add_route("/v1/cache_events", CacheEventsResource(engine))
    app.add_route("/control", ControlResource(engine))
    serve_app(app, port)
