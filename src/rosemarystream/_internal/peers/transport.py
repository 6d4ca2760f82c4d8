"""Transport of control messages between entry hosts: pynng push and pull sockets."""

from collections.abc import Callable
from typing import Any

import gevent
import msgspec
import pynng
from gevent import socket as gevent_socket
from logbook import Logger

from rosemarystream._internal.decisions.membership import Membership
from rosemarystream._internal.kernel.kernel import Kernel
from rosemarystream._internal.kernel.service import Service
from rosemarystream._internal.metrics import Metrics
from rosemarystream._internal.models.events import ResetConnection, SendMessage
from rosemarystream._internal.models.messages import (
    Heartbeat,
    decode_message,
    encode_message,
)

log = Logger(__name__)

SEND_QUEUE_MESSAGES = 64
RECEIVE_QUEUE_MESSAGES = 1024
MAX_MESSAGE_BYTES = 2 * 1024 * 1024
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
MAX_PEER_SOCKETS = 1024


class PeerTransport(Service):
    """Sends and receives control messages, without a guarantee of delivery.

    Parameters
    ----------
    kernel : Kernel
        Receives the messages of peers as events.
    membership : Membership
        Names this host; records the size of its heartbeats.
    bind_address : str
        ``ip:port`` to listen on.
    metrics : Metrics
        Counts sent bytes and unreadable messages.
    clock : callable
        Returns the current time in seconds since the epoch.
    """

    name = "transport"
    handles = (SendMessage, ResetConnection)

    def __init__(
        self,
        *,
        kernel: Kernel,
        membership: Membership,
        bind_address: str,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._kernel = kernel
        self._membership = membership
        self._bind_address = bind_address
        self._metrics = metrics
        self._clock = clock
        self._listener: pynng.Pull0 | None = None
        self._senders: dict[str, pynng.Push0] = {}
        self._loop: gevent.Greenlet | None = None
        self._counters = {"sent": 0, "sent_bytes": 0, "received": 0, "dropped": 0}
        self._counters["redialled"] = 0
        self._last_encoded: tuple[Any, bytes] = (None, b"")

    def start(self) -> None:
        """Listen for messages of peers."""
        self._listener = pynng.Pull0(
            recv_buffer_size=RECEIVE_QUEUE_MESSAGES, recv_max_size=MAX_MESSAGE_BYTES
        )
        self._listener.listen(f"tcp://{self._bind_address}")
        self._loop = gevent.spawn(self._receive_all)

    def stop(self) -> None:
        """Close all sockets."""
        if self._loop is not None:
            self._loop.kill()
        for sender in self._senders.values():
            sender.close()
        if self._listener is not None:
            self._listener.close()

    def handle(self, event: SendMessage | ResetConnection, now: float) -> tuple[()]:
        """Send a message, or reset the connection to an address.

        A message is dropped if the send queue of its peer is full.
        """
        if isinstance(event, ResetConnection):
            self._close_sender(event.address)
            return ()
        data = self._encode(event.message)
        if isinstance(event.message, Heartbeat):
            self._membership.record_size(len(data))
        sender = self._connect(event.address)
        try:
            sender.send(data, block=False)
        except pynng.TryAgain:
            self._counters["dropped"] += 1
            return ()
        self._counters["sent"] += 1
        self._counters["sent_bytes"] += len(data)
        self._metrics.count("peers.sent_bytes", len(data))
        return ()

    def _close_sender(self, address: str) -> None:
        sender = self._senders.pop(address, None)
        if sender is not None:
            sender.close()
            self._counters["redialled"] += 1

    def _encode(self, message: Any) -> bytes:
        # The same heartbeat goes to many peers, so it is encoded once.
        if self._last_encoded[0] is not message:
            me = self._membership.me
            data = encode_message(message, sender=me.name, incarnation=me.incarnation)
            self._last_encoded = message, data
        return self._last_encoded[1]

    def _connect(self, address: str) -> pynng.Push0:
        sender = self._senders.get(address)
        if sender is not None:
            return sender
        if len(self._senders) >= MAX_PEER_SOCKETS:
            oldest = next(iter(self._senders))
            self._senders.pop(oldest).close()
        sender = pynng.Push0(
            send_buffer_size=SEND_QUEUE_MESSAGES,
            reconnect_time_min=RECONNECT_MIN_MS,
            reconnect_time_max=RECONNECT_MAX_MS,
        )
        sender.tcp_keepalive = True
        sender.dial(f"tcp://{address}", block=False)
        self._senders[address] = sender
        return sender

    def _receive_all(self) -> None:
        assert self._listener is not None
        while True:
            gevent_socket.wait_read(self._listener.recv_fd)
            self._receive_ready()

    def _receive_ready(self) -> None:
        assert self._listener is not None
        for _ in range(RECEIVE_QUEUE_MESSAGES):
            try:
                data = self._listener.recv(block=False)
            except pynng.TryAgain:
                return
            self._post_received(data)
        gevent.sleep(0)

    def _post_received(self, data: bytes) -> None:
        try:
            _, message = decode_message(data)
        except msgspec.DecodeError as error:
            log.warning("control message cannot be decoded: {}", error)
            self._metrics.count("peers.unreadable")
            return
        self._counters["received"] += 1
        self._kernel.post(message, self._clock())

    def dump(self) -> dict[str, Any]:
        """Return the counters of messages and bytes, and the number of peers."""
        return {**self._counters, "peers": len(self._senders)}
