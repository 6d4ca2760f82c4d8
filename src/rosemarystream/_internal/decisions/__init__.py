"""Decision code: no I/O, no clock, no random source."""
