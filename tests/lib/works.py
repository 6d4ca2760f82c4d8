"""Requests as Python objects, for tests of the decisions."""

from rosemarystream._internal.models.request import ContextHint, Work


def make_work(number, *, hint=None, **fields):
    """Return a request; `fields` override the defaults."""
    work = Work(
        request_id=f"r{number:06d}",
        workspace="w",
        pool="lm",
        rank="standard",
        affinity_key="c",
        cost=100,
        context_tokens=0,
        deadline=1e9,
        idempotent=True,
        hint=None if hint is None else ContextHint(hint, 1),
        body=b"",
    )
    return work._replace(**fields)
