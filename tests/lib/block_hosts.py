"""Hosts in memory that tell each other of crashes, answers and blocked parts."""


def exchange_updates(hosts, now):
    """Let each host hear the updates of all others at once."""
    for host in hosts:
        updates = host.take_updates(now, repeats_blocks=False)
        for other in hosts:
            if updates is not None and other is not host:
                other.accept_updates(updates, now, is_forwarded=False)
