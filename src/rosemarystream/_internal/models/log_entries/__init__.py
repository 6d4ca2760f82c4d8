"""All kinds of log entries that an entry host writes, by subject.

``docs/operators/logs.md`` is generated from these modules.
"""
