"""Assembly of the decision services of one host.

Creates the services, passes them to each other and registers them with the kernel.
"""

from typing import NamedTuple

from rosemarystream._internal.decisions.claims import Claims
from rosemarystream._internal.decisions.configuration import Configuration
from rosemarystream._internal.decisions.dispatching import Dispatching
from rosemarystream._internal.decisions.group_loads import GroupLoads
from rosemarystream._internal.decisions.leases import Lease
from rosemarystream._internal.decisions.membership import (
    Membership,
    MembershipTimes,
)
from rosemarystream._internal.decisions.ownership import Ownership
from rosemarystream._internal.decisions.recalls import Recalls
from rosemarystream._internal.decisions.reconciliation import Reconciliation
from rosemarystream._internal.decisions.replication import Replication
from rosemarystream._internal.decisions.routing import Routing
from rosemarystream._internal.kernel.kernel import Kernel
from rosemarystream._internal.models.messages import Heartbeat
from rosemarystream._internal.models.server import EntryHost

# Hosts of a data centre that try to hold its control lease.
LEASE_CANDIDATES = 2


class DecisionOptions(NamedTuple):
    """Limits and timeouts of the decision services.

    Attributes
    ----------
    seeds : tuple of str
        Control addresses of other hosts.
    times : MembershipTimes
        Intervals and timeouts of the failure detector.
    remote_bytes : int
        Limit on heartbeats to other data centres, in bytes per second.
    queue_limit : int
        Maximum number of waiting requests per rank and group.
    claim_shards : int
        Number of shards of the idempotency keys.
    claim_batch_seconds : float
        Time for which claims are collected before a write, in seconds.
    lease_span : float
        Time after the last renewal when the control lease expires, in seconds.
    order_flight : float
        Time after which a sent order can no longer arrive, in seconds.
    """

    seeds: tuple[str, ...]
    times: MembershipTimes
    remote_bytes: int
    queue_limit: int
    claim_shards: int
    claim_batch_seconds: float
    lease_span: float
    order_flight: float


class DecisionServices:
    """The decision services of one host, without any I/O service.

    Parameters
    ----------
    kernel : Kernel
        Routes the events; the I/O services are registered with it later.
    me : EntryHost
        This host.
    options : DecisionOptions
        Limits and timeouts.
    """

    def __init__(
        self, *, kernel: Kernel, me: EntryHost, options: DecisionOptions
    ) -> None:
        self.membership = Membership(
            me=me,
            seeds=options.seeds,
            times=options.times,
            budget=options.remote_bytes,
            complete_heartbeat=self._complete_heartbeat,
            has_load_change=self._has_load_change,
        )
        self.ownership = Ownership(membership=self.membership)
        self.configuration = Configuration()
        self.recalls = Recalls()
        self.loads = GroupLoads()
        self.routing = Routing(
            me=me,
            configuration=self.configuration,
            recalls=self.recalls,
            ownership=self.ownership,
            loads=self.loads,
        )
        self.dispatching = Dispatching(
            me=me,
            configuration=self.configuration,
            routing=self.routing,
            ownership=self.ownership,
            loads=self.loads,
            queue_limit=options.queue_limit,
        )
        self.replication = Replication(
            address=me.peer_address,
            configuration=self.configuration,
            recalls=self.recalls,
        )
        self.claims = Claims(
            shards=options.claim_shards, batch_seconds=options.claim_batch_seconds
        )
        self.lease = Lease(
            lease_name=f"control-{me.data_centre}",
            holder=f"{me.name}/{me.incarnation}",
            span=options.lease_span,
            is_candidate=lambda: self.membership.is_delegate(
                "control", LEASE_CANDIDATES
            ),
        )
        self.reconciliation = Reconciliation(
            data_centre=me.data_centre,
            lease=self.lease,
            configuration=self.configuration,
            recalls=self.recalls,
            routing=self.routing,
            flight=options.order_flight,
        )
        self._register(kernel)

    def _complete_heartbeat(self, heartbeat: Heartbeat, remote: bool) -> Heartbeat:
        return heartbeat._replace(
            generation=self.configuration.generation,
            recalls_digest=self.recalls.digest,
            hosts_version=self.configuration.hosts_version,
            loads=self.dispatching.report_loads(remote=remote),
        )

    def _has_load_change(self, remote: bool) -> bool:
        return self.dispatching.has_load_change(remote=remote)

    def _register(self, kernel: Kernel) -> None:
        # Events are delivered in this order: a service comes after those whose
        # state it reads, so that they have handled the event already.
        for service in (
            self.membership,
            self.ownership,
            self.configuration,
            self.recalls,
            self.loads,
            self.routing,
            self.dispatching,
            self.replication,
            self.claims,
            self.lease,
            self.reconciliation,
        ):
            kernel.register(service)
