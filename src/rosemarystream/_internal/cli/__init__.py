"""Commands of the ``rosemarystream`` program."""
