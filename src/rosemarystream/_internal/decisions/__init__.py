"""Decision services: pure logic without I/O, clocks or random numbers."""
