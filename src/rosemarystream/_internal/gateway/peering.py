"""Beats between entry hosts over UDP, and pulls of missing state over TCP."""

import struct
from collections.abc import Callable

import gevent
import msgspec
from gevent import socket
from gevent.server import StreamServer
from logbook import Logger

from rosemarystream._internal.decisions.context_map import ContextMap
from rosemarystream._internal.decisions.load_table import LoadTable, Report
from rosemarystream._internal.decisions.neighbours import Neighbours
from rosemarystream._internal.decisions.replica import Replica
from rosemarystream._internal.models.beat import (
    Beat,
    DeltaAnswer,
    DeltaRequest,
    HostName,
    Row,
)
from rosemarystream._internal.platform.documents import (
    DocumentError,
    decode_configuration,
)

log = Logger(__name__)

BEAT_S = 0.1
# Shortest time between two beats that are sent because a load has jumped.
JUMP_S = 0.02
# Requests by which the own load changes before it is told at once.
JUMP_REQUESTS = 2
NAMES_EVERY = 10
MAX_NAMES = 32
DATAGRAM_BYTES = 60_000
PULL_S = 1.0
PULL_PAUSE_S = 0.25
MAX_PULL_BYTES = 16_000_000
_LENGTH = struct.Struct("!I")

_beat_decoder = msgspec.msgpack.Decoder(Beat)
_request_decoder = msgspec.msgpack.Decoder(DeltaRequest)
_answer_decoder = msgspec.msgpack.Decoder(DeltaAnswer)
_encode = msgspec.msgpack.encode


class Peering:
    """Keeps hosts in touch.

    Parameters
    ----------
    me : HostName
        This host.
    port : int
        Port of all hosts for UDP beats and TCP pulls.
    seeds : list of str
        ``ip:port`` of hosts that may be up; only the IP number is used.
    on_news : callable
        Called after the replica has changed.
    """

    def __init__(
        self,
        *,
        me: HostName,
        port: int,
        seeds: list[str],
        incarnation: int,
        clock: Callable[[], float],
        replica: Replica,
        neighbours: Neighbours,
        loads: LoadTable,
        contexts: ContextMap,
        list_resting: Callable[[], list[str]],
        on_resting: Callable[[list[str]], None],
        on_news: Callable[[], None],
    ) -> None:
        self._me = me
        self._port = port
        self._seeds = [seed.rpartition(":")[0] for seed in seeds]
        self._incarnation = incarnation
        self._clock = clock
        self._replica = replica
        self._neighbours = neighbours
        self._loads = loads
        self._contexts = contexts
        self._list_resting = list_resting
        self._on_resting = on_resting
        self._on_news = on_news
        self._sequence = incarnation
        self._beats = 0
        self._told = 0
        self._told_at = 0.0
        self._pulling = False
        self._pull_after = 0.0
        self._store_lost: dict[str, tuple[float, int]] = {}
        self.store_lost_ms = 0
        self._udp = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._tcp = StreamServer((me.ip, port), self._serve_pull)

    def start(self) -> None:
        """Listen, and ask the seeds who is there."""
        self._udp.bind((self._me.ip, self._port))
        self._tcp.start()
        gevent.spawn(self._receive_beats)
        gevent.spawn(self._send_beats)

    def stop(self) -> None:
        """Stop listening."""
        self._tcp.stop()
        self._udp.close()

    # Sending

    def _send_beats(self) -> None:
        while True:
            try:
                self._send_round()
            except OSError as error:
                log.warning("beats not sent", error=str(error))
            gevent.sleep(BEAT_S)

    def tell_jump(self) -> None:
        """Tell the collectors at once if the own load has jumped."""
        now = self._clock()
        total = self._loads.own.total()
        if abs(total - self._told) < JUMP_REQUESTS or now - self._told_at < JUMP_S:
            return
        self._send_round()

    def announce(self) -> None:
        """Tell others at once that there is newer state."""
        self._send_round()

    def _send_round(self) -> None:
        now = self._clock()
        self._beats += 1
        self._told, self._told_at = self._loads.own.total(), now
        self._sequence += 1
        if self._beats % NAMES_EVERY == 1:
            self._greet_strangers(now)
        collectors = self._neighbours.list_collectors(self._me.data_centre, now)
        if self._me.name not in collectors:
            beat = self._make_beat(now, hosts=[self._make_row()], data_centres=[])
            self._send_to_names(beat, collectors)
            return
        self._send_collected(now)

    def _send_collected(self, now: float) -> None:
        hosts = [self._make_row()]
        hosts += [
            _make_row(name, row, now)
            for name, row in self._loads.list_hosts(now).items()
        ]
        data_centres = [
            _make_row(name, row, now)
            for name, row in self._loads.list_data_centres(now).items()
        ]
        near = [
            host
            for host in self._neighbours.list_live(now)
            if host.data_centre == self._me.data_centre
        ]
        beat = self._make_beat(now, hosts=hosts, data_centres=data_centres)
        self._send_to_names(beat, [host.name for host in near])
        total = Row(
            self._me.data_centre,
            self._sequence,
            0,
            dict(self._loads.sum_data_centre(now)),
            dict(self._loads.sum_data_centre_reading(now)),
        )
        far_beat = self._make_beat(now, hosts=[], data_centres=[total])
        for data_centre in self._neighbours.list_data_centres():
            names = self._neighbours.list_collectors(data_centre, now)
            self._send_to_names(far_beat, names)

    def _greet_strangers(self, now: float) -> None:
        """Reach seeds and hosts that are named but have never been heard."""
        known = self._neighbours.list_known()
        heard = {host.ip for host in known if host.heard_at}
        ips = {host.ip for host in known if not host.heard_at}
        if self._beats < 3 * NAMES_EVERY or not heard:
            ips |= set(self._seeds)
        beat = self._make_beat(now, hosts=[], data_centres=[], wants_answer=True)
        for ip in ips - heard - {self._me.ip}:
            self._send(beat, ip)

    def _make_row(self) -> Row:
        return Row(
            self._me.name,
            self._sequence,
            0,
            dict(self._loads.own),
            dict(self._loads.own_reading),
            self._list_resting(),
        )

    def _make_beat(
        self,
        now: float,
        *,
        hosts: list[Row],
        data_centres: list[Row],
        wants_answer: bool = False,
    ) -> Beat:
        names = []
        if self._beats % NAMES_EVERY == 0 or wants_answer:
            names = [
                HostName(host.name, host.data_centre, host.ip)
                for host in self._neighbours.list_live(now)[:MAX_NAMES]
            ]
        return Beat(
            self._me,
            self._incarnation,
            self._replica.version,
            self._replica.revision,
            self.store_lost_ms,
            hosts,
            data_centres,
            names,
            [] if wants_answer else self._contexts.list_rumours(now),
            wants_answer,
        )

    def _send_to_names(self, beat: Beat, names: list[str]) -> None:
        for name in names:
            host = self._neighbours.find(name)
            if host is not None:
                self._send(beat, host.ip)

    def _send(self, beat: Beat, ip: str) -> None:
        try:
            self._udp.sendto(_encode(beat), (ip, self._port))
        except OSError as error:
            log.debug("beat not sent", ip=ip, error=str(error))

    # Receiving

    def _receive_beats(self) -> None:
        while True:
            try:
                data, (ip, _) = self._udp.recvfrom(DATAGRAM_BYTES)
            except OSError as error:
                log.error("beats can't be received any more", error=str(error))
                return
            try:
                beat = _beat_decoder.decode(data)
            except msgspec.DecodeError as error:
                log.warning("beat can't be read", ip=ip, error=str(error))
                continue
            self._accept(beat)

    def _accept(self, beat: Beat) -> None:
        now = self._clock()
        sender = beat.sender
        self._neighbours.hear_host(sender.name, sender.data_centre, sender.ip, now)
        for name in beat.names:
            if self._neighbours.find(name.name) is None:
                self._neighbours.name_host(name.name, name.data_centre, name.ip, now)
        self._contexts.accept_rumours(beat.rumours, now)
        for row in beat.hosts:
            self._accept_host(row, sender, now)
        for row in beat.data_centres:
            if row.name != self._me.data_centre:
                self._loads.accept_data_centre(row.name, _convert(row, now))
        self._store_lost[sender.name] = (now, beat.store_lost_ms)
        if beat.wants_answer:
            self._send(self._make_beat(now, hosts=[], data_centres=[]), sender.ip)
        if beat.version > self._replica.version or (
            beat.revision > self._replica.revision
        ):
            self._start_pull(sender.ip, now)

    def _accept_host(self, row: Row, sender: HostName, now: float) -> None:
        if row.name == self._me.name:
            return
        self._loads.accept_host(row.name, _convert(row, now))
        known = self._neighbours.find(row.name)
        if known is not None and row.name != sender.name:
            heard_at = now - row.age_ms / 1000
            self._neighbours.hear_host(
                known.name, known.data_centre, known.ip, heard_at
            )
        if row.resting:
            self._on_resting(row.resting)

    def has_lost_store(self, now: float) -> bool:
        """Whether no collector of this data centre reaches the store."""
        names = self._neighbours.list_collectors(self._me.data_centre, now)
        told = [self._store_lost[name] for name in names if name in self._store_lost]
        if self._me.name in names:
            told.append((now, self.store_lost_ms))
        return all(lost_ms > 0 for _, lost_ms in told)

    # Pulling

    def _start_pull(self, ip: str, now: float) -> None:
        if self._pulling or now < self._pull_after:
            return
        self._pulling = True
        gevent.spawn(self._pull, ip)

    def _pull(self, ip: str) -> None:
        try:
            with (
                gevent.Timeout(PULL_S),
                socket.create_connection(
                    (ip, self._port), timeout=PULL_S
                ) as connection,
            ):
                request = DeltaRequest(self._replica.version, self._replica.revision)
                _send_frame(connection, _encode(request))
                answer = _answer_decoder.decode(_receive_frame(connection))
        except (OSError, gevent.Timeout, msgspec.DecodeError) as error:
            log.info("pull from a host failed", ip=ip, error=str(error))
            self._pull_after = self._clock() + PULL_PAUSE_S
            return
        finally:
            self._pulling = False
        self.accept_delta(answer)

    def accept_delta(self, answer: DeltaAnswer) -> None:
        """Merge what another host has told into the replica."""
        now = self._clock()
        news = []
        if answer.document:
            try:
                configuration = decode_configuration(answer.document)
            except DocumentError as error:
                log.error("a host sent an unusable configuration", error=str(error))
            else:
                if self._replica.accept_configuration(configuration, answer.document):
                    news.append(f"version {configuration.version}")
        for endpoint in answer.endpoints:
            if self._replica.accept_endpoint(endpoint):
                news.append(endpoint.name)
        for name, revision in answer.removed.items():
            if self._replica.accept_removal(name, revision, now):
                news.append(name)
        self._replica.advance(answer.revision)
        if news:
            log.info("learnt from a host", news=news, revision=answer.revision)
            self._on_news()

    def _serve_pull(self, connection: socket.socket, _: object) -> None:
        try:
            with gevent.Timeout(PULL_S), connection:
                request = _request_decoder.decode(_receive_frame(connection))
                delta = self._replica.select_delta(request.revision)
                newer = self._replica.version > request.version
                answer = DeltaAnswer(
                    self._replica.document if newer else b"",
                    delta.endpoints,
                    delta.removed,
                    delta.revision,
                )
                _send_frame(connection, _encode(answer))
        except (OSError, gevent.Timeout, msgspec.DecodeError) as error:
            log.info("a pull was not answered", error=str(error))


def _age_ms(now: float, told_at: float) -> int:
    return max(0, int((now - told_at) * 1000))


def _convert(row: Row, now: float) -> Report:
    told_at = now - row.age_ms / 1000
    return Report(row.sequence, told_at, row.counts, row.reading)


def _make_row(name: str, report: Report, now: float) -> Row:
    return Row(
        name,
        report.sequence,
        _age_ms(now, report.told_at),
        dict(report.counts),
        dict(report.reading),
    )


def _send_frame(connection: socket.socket, data: bytes) -> None:
    connection.sendall(_LENGTH.pack(len(data)) + data)


def _receive_frame(connection: socket.socket) -> bytes:
    (length,) = _LENGTH.unpack(_receive_exactly(connection, _LENGTH.size))
    if length > MAX_PULL_BYTES:
        raise ConnectionAbortedError(f"a frame of {length} bytes is too long")
    return _receive_exactly(connection, length)


def _receive_exactly(connection: socket.socket, length: int) -> bytes:
    data = bytearray()
    while len(data) < length:
        piece = connection.recv(min(65_536, length - len(data)))
        if not piece:
            raise ConnectionAbortedError("the connection ended in a frame")
        data += piece
    return bytes(data)
