"""Ranges of the values that come from other processes.

msgspec checks them as it decodes; a value outside its range is an error of decoding.
"""

from typing import Annotated

from msgspec import Meta

MAX_NAME_CHARS = 256
# Largest whole number that a double holds exactly with all smaller ones.
MAX_COUNT = 2**53
MAX_SLOTS = 1_000_000
MAX_RANK = 2**31 - 1
MAX_ATTEMPTS = 1_000_000
MAX_TEXT_CHARS = 16_384
MAX_SIZE_BYTES = 2**40
# Longest timeout of a route or a connection: some weeks.
MAX_TIMEOUT_MS = 2**31
MAX_PART_TOKENS = 10_000_000
# Requests in progress at a server, and tokens that it has to prefill.
MAX_REQUESTS = 2**31
MAX_TOKENS = 2**53
MAX_SLOWNESS = 1e6
# Longest time that a document may state, and longest age of what hosts report.
MAX_MS = 10**13
MAX_DELAY_S = 10**10
# More requests a second than any fleet sends.
MAX_RATE_PER_S = 1e9

Name = Annotated[str, Meta(min_length=1, max_length=MAX_NAME_CHARS)]
# Revisions, versions and other numbers that only grow.
Count = Annotated[int, Meta(ge=0, le=MAX_COUNT)]
# Numbers of messages; they begin with the time of day, which may be set back.
Sequence = Annotated[int, Meta(ge=-MAX_COUNT, le=MAX_COUNT)]
Rank = Annotated[int, Meta(ge=0, le=MAX_RANK)]
Text = Annotated[str, Meta(max_length=MAX_TEXT_CHARS)]
Attempts = Annotated[int, Meta(ge=0, le=MAX_ATTEMPTS)]
Size = Annotated[int, Meta(ge=0, le=MAX_SIZE_BYTES)]
HeadSize = Annotated[int, Meta(ge=1, le=MAX_SIZE_BYTES)]
TimeoutMs = Annotated[float, Meta(gt=0, le=MAX_TIMEOUT_MS)]
ObjectiveMs = Annotated[float, Meta(ge=0, le=MAX_TIMEOUT_MS)]
# Hashes that identify servers (32 bits) and prompt parts (64 bits). MessagePack has no
# larger numbers, and msgspec checks no bound beyond 63 bits.
Number = Annotated[int, Meta(ge=0)]
Slots = Annotated[int, Meta(ge=1, le=MAX_SLOTS)]
AgeMs = Annotated[int, Meta(ge=0, le=MAX_MS)]
# The age of what has never been seen is -1.
AgeOrNeverMs = Annotated[int, Meta(ge=-1, le=MAX_MS)]
Requests = Annotated[int, Meta(ge=0, le=MAX_REQUESTS)]
Tokens = Annotated[int, Meta(ge=0, le=MAX_TOKENS)]
# NaN is in no range.
Slowness = Annotated[float, Meta(ge=0, le=MAX_SLOWNESS)]
# Requests a second; infinite without a limit.
LimitPerS = Annotated[float, Meta(ge=0)]
# Requests a second by the configuration.
RatePerS = Annotated[float, Meta(ge=0, le=MAX_RATE_PER_S)]
WaitMs = Annotated[float, Meta(ge=0, le=MAX_MS)]
DelayS = Annotated[float, Meta(ge=0, le=MAX_DELAY_S)]
EpochMs = Annotated[int, Meta(ge=0, le=MAX_MS)]
