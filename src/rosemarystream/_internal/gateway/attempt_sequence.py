"""The attempts of one request: at which servers, and whether another is allowed.

A request that may have run is repeated only if its route says that it is repeatable.
"""

from collections.abc import Callable
from math import inf

import gevent

from rosemarystream._internal.decisions.placement import Placement
from rosemarystream._internal.decisions.prompt_blocks import PromptBlocks
from rosemarystream._internal.exceptions import ErrorKind
from rosemarystream._internal.gateway.limit_gate import LimitGate
from rosemarystream._internal.gateway.request_errors import RequestEndedError
from rosemarystream._internal.gateway.request_record import RequestRecord
from rosemarystream._internal.gateway.router import Router
from rosemarystream._internal.models.endpoint import Endpoint
from rosemarystream._internal.models.judgements import Judgement
from rosemarystream._internal.models.route import Route

# Attempts per request at servers to which no connection could be made.
MAX_UNSENT_ATTEMPTS = 4
# Limited servers that are asked for a permission before all of them are passed over.
MAX_QUOTA_QUESTIONS = 4
# Time that an answer takes at least; a request isn't kept waiting if less is left.
LEAST_ANSWER_TIME_S = 0.05
# Time after a delay of this host in which it tries once more before it refuses a
# request as no server can be reached.
LATE_LATELY_S = 1.0
RETRY_PAUSE_S = 0.05
# Longest wait before another look, as a server may want requests earlier than it said.
MAX_WAIT_STEP_S = 0.25
# Delay advised to a caller whose request has only evacuated servers. The end of an
# evacuation is not known; callers repeat once, so an early repeat would be lost.
EVACUATED_RETRY_S = 1.0


class AttemptSequence:
    """Chooses the servers of a request's attempts, and allows them or not.

    Parameters
    ----------
    route, service : Route, str
        Where the request belongs; also in `record`.
    shared_parts : tuple of int
        Numbers of the shared parts of the request's prompt.
    deadline : float
        Time by which the request ends.

    Attributes
    ----------
    may_have_run : bool
        Whether a server may have run the request.
    """

    def __init__(
        self,
        *,
        record: RequestRecord,
        route: Route,
        service: str,
        shared_parts: tuple[int, ...],
        deadline: float,
        router: Router,
        gate: LimitGate,
        blocks: PromptBlocks,
        clock: Callable[[], float],
    ) -> None:
        self._record = record
        self._route = route
        self._service = service
        self._shared_parts = shared_parts
        self._deadline = deadline
        self._router = router
        self._gate = gate
        self._blocks = blocks
        self._clock = clock
        self._excluded: set[str] = set()
        self._unsent_attempts = 0
        self._reserved_at = 0.0
        self._has_tried_again = False
        self.may_have_run = False

    @property
    def may_repeat(self) -> bool:
        """Whether the route allows an attempt after the one in progress."""
        has_more = self._record.sends + 1 < self._route.max_attempts
        return has_more and self._route.is_repeatable

    def choose_early(self) -> Placement | None:
        """Return the server of an attempt beside the one in progress.

        A retry is set aside for it until `end_early`. None if no other attempt is
        allowed now, so that the one in progress has to be waited for.
        """
        now = self._clock()
        has_attempts = self._unsent_attempts < MAX_UNSENT_ATTEMPTS and self.may_repeat
        if not has_attempts or now >= self._deadline:
            return None
        if self._blocks.find_blocked(self._shared_parts, now) is not None:
            return None
        # Before a permission of a limited server is asked for, which takes a while.
        if not self._router.reserve_retry(self._service, now):
            return None
        self._reserved_at = now
        placement = None
        try:
            placement = self._place(may_probe=False)
        finally:
            if placement is None:
                self.end_early(is_sent=False)
            else:
                self._record_choice(placement)
        return placement

    def end_early(self, *, is_sent: bool) -> None:
        """Count the retry that was set aside, or leave it to other requests."""
        if is_sent:
            self._router.record_retry()
        else:
            self._router.release_retry(self._service, self._reserved_at)

    def allow_again(self, endpoint: Endpoint) -> None:
        """Allow another choice of a server that was chosen, and not sent anything."""
        self._excluded.discard(endpoint.name)

    def choose_next(self) -> Placement:
        """Return the server of the next attempt.

        Raises
        ------
        RequestEndedError
            If there is none.
        """
        while True:
            if self._clock() >= self._deadline:
                raise self.make_final_error("the time is over")
            self._check_prompt()
            placement = self._place(may_probe=True)
            if placement is not None:
                self._record_choice(placement)
                return placement
            self._wait_for_server()

    def _wait_for_server(self) -> None:
        """Wait for the first server that wants no requests for a while.

        It may be one that has refused this request already.

        Raises
        ------
        RequestEndedError
            If there is none, or the request would end before.
        """
        now = self._clock()
        availability = self._router.availability
        retry_at = availability.find_retry_time(self._service, now)
        if retry_at is None and self._try_again(now):
            return
        if retry_at is None or retry_at + LEAST_ANSWER_TIME_S > self._deadline:
            raise self._make_unplaced_error()
        waiting = availability.list_waiting(self._service, now)
        gevent.sleep(min(retry_at - now, MAX_WAIT_STEP_S))
        self._excluded.difference_update(waiting)

    def _try_again(self, now: float) -> bool:
        """Allow all servers once more if this host was late lately; return whether.

        None of them has the request, and its own delay may have made them seem gone.
        """
        availability = self._router.availability
        if self._has_tried_again or self._record.sends or self.may_have_run:
            return False
        if now + RETRY_PAUSE_S + LEAST_ANSWER_TIME_S > self._deadline:
            return False
        if availability.is_all_evacuated(self._service) or self._measure_wait():
            return False
        if not availability.delays.was_late(now - LATE_LATELY_S, now):
            return False
        self._has_tried_again = True
        self._unsent_attempts = 0
        self._excluded.clear()
        gevent.sleep(RETRY_PAUSE_S)
        self._router.record_withheld(
            Judgement.NO_BACKEND, request=self._record.call.request_id
        )
        return True

    def withhold_silence(self, endpoint: Endpoint, since: float) -> bool:
        """Return whether a server's silence since a time says nothing of it."""
        now = self._clock()
        if not self._router.availability.delays.was_late(since, now):
            return False
        if now >= self._deadline:
            return False
        self._router.record_withheld(
            Judgement.SILENCE, endpoint, request=self._record.call.request_id
        )
        return True

    def _record_choice(self, placement: Placement) -> None:
        self._record.placement = placement
        self._record.tried.append(placement.endpoint.name)
        self._excluded.add(placement.endpoint.name)

    def _place(self, *, may_probe: bool) -> Placement | None:
        """Return a server that may be sent the request now, if there is one.

        Parameters
        ----------
        may_probe : bool
            Whether it may be one that is assumed to be unreachable.
        """
        limited: list[str] = []
        while True:
            placement = self._router.place(
                self._route,
                self._service,
                self._record.call,
                rank=self._record.rank,
                exclude=[*self._excluded, *limited],
                may_probe=may_probe,
                ignores_ejections=may_probe and self._has_tried_again,
            )
            if placement is None:
                return None
            asked_at = self._clock()
            if self._gate.admit(placement.endpoint):
                if self._is_wanted(placement.endpoint):
                    send_by = self._gate.find_send_deadline(
                        placement.endpoint, asked_at
                    )
                    return placement._replace(send_by=send_by)
                continue
            self._router.metrics.limit_refusals.inc()
            self._record.limited.append(placement.endpoint.name)
            limited.append(placement.endpoint.name)
            if len(limited) >= MAX_QUOTA_QUESTIONS:
                limited += self._router.availability.list_needing_permission(
                    self._service, self._clock()
                )

    def _is_wanted(self, endpoint: Endpoint) -> bool:
        """Return whether a server that was chosen a moment ago still wants requests."""
        return self._router.availability.is_wanted(endpoint, self._clock())

    def find_objection(self, endpoint: Endpoint) -> str:
        """Return why a server that is connected may no longer get the request, or "".

        After a pause of the process this first waits for news of other hosts.
        """
        availability = self._router.availability
        hold_s = availability.delays.pauses.measure_hold(self._clock())
        if hold_s:
            gevent.sleep(min(hold_s, max(0.0, self._deadline - self._clock())))
            if self._clock() >= self._deadline:
                return "the time was over before it was sent"
        if availability.is_evacuated(endpoint):
            return "its data centre was evacuated before it was sent"
        return ""

    def _make_unplaced_error(self) -> RequestEndedError:
        service = self._service
        if self._router.availability.is_all_evacuated(service):
            return self.make_final_error(f"all servers of {service} are evacuated")
        wait_s = self._measure_wait()
        if wait_s is None:
            error = self.make_final_error(f"no server of {service} can be reached")
            # Another host may reach what this one can't.
            error.should_reconnect = True
            return error
        if self.may_have_run:
            return self.make_final_error(f"the servers of {service} take no more")
        return RequestEndedError(
            ErrorKind.OVERLOADED,
            f"the servers of {service} limit their requests, or want none now",
            retry_after_s=max(wait_s, self._router.suggest_retry_after()),
        )

    def _measure_wait(self) -> float | None:
        """Return the time in seconds until a server may want a request again.

        None if no server has stated a limit or a time.
        """
        now = self._clock()
        availability = self._router.availability
        limit_wait_s = availability.measure_limit_wait(
            self._service, exclude=self._excluded, now=now
        )
        retry_at = availability.find_retry_time(self._service, now)
        if retry_at is None:
            return limit_wait_s
        return min(retry_at - now, inf if limit_wait_s is None else limit_wait_s)

    def _check_prompt(self) -> None:
        """Check that servers don't crash on a part of the prompt.

        Raises
        ------
        RequestEndedError
            If they do.
        """
        now = self._clock()
        blocked = self._blocks.find_blocked(self._shared_parts, now)
        if blocked is None:
            return
        name = self._record.call.parts[self._shared_parts.index(blocked)].name
        reason = f"servers crash on the prompt part {name}"
        if self.may_have_run:
            raise self.make_final_error(reason)
        raise RequestEndedError(
            ErrorKind.BLOCKED_PROMPT,
            reason,
            retry_after_s=self._blocks.measure_left(blocked, now),
        )

    def record_not_run(self, *, sent: bool) -> None:
        """Record that the last server certainly has not run the request."""
        if sent:
            self._record.sends += 1
        else:
            self._unsent_attempts += 1

    def record_unknown_outcome(self) -> None:
        """Record that the last server may have run the request."""
        self._record.sends += 1
        self.may_have_run = True

    def check_retry(self, *, sent: bool, reason: str) -> None:
        """Check that another attempt is allowed, and count it as a retry.

        Raises
        ------
        RequestEndedError
            If it is not: the final error of the request.
        """
        if self.may_have_run and not self._route.is_repeatable:
            raise self.make_final_error(reason)
        if not sent:
            is_last = self._unsent_attempts >= MAX_UNSENT_ATTEMPTS
            if is_last and not self._try_again(self._clock()):
                raise self.make_final_error(reason)
            return
        is_over = self._clock() >= self._deadline
        if is_over or self._record.sends >= self._route.max_attempts:
            raise self.make_final_error(reason)
        if not self._router.take_retry(self._service):
            raise self.make_final_error(f"{reason}; the retry budget is used up")

    def make_final_error(self, reason: str) -> RequestEndedError:
        """Return the error with which the request ends."""
        is_over = self._clock() >= self._deadline
        if self.may_have_run:
            kind = ErrorKind.TIMED_OUT if is_over else ErrorKind.OUTCOME_UNKNOWN
            return RequestEndedError(kind, reason)
        return RequestEndedError(
            ErrorKind.NO_BACKEND,
            reason,
            retry_after_s=self._suggest_retry_after(),
        )

    def _suggest_retry_after(self) -> float:
        """Return the delay in seconds to advise, no less than all servers want."""
        now = self._clock()
        availability = self._router.availability
        retry_at = availability.find_retry_time(self._service, now)
        advised_s = self._router.suggest_retry_after()
        if availability.is_all_evacuated(self._service):
            return max(advised_s, EVACUATED_RETRY_S)
        if retry_at is None or availability.has_accepting(self._service, now):
            return advised_s
        return max(advised_s, retry_at - now)
