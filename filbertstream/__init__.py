"""filbertstream: a serving system for prompts that return after long gaps.

The package is a library with a thin daemon around it.  ``gateway`` makes the decisions and does no
I/O; ``gateway_events`` and ``request.call_events`` define the events that it consumes and the
actions that it returns; the modules under ``connection`` do the I/O, turning input into events and
carrying out actions; ``gateway_process`` connects the components; ``cli`` is the command line.
``platform`` is the adapter for the users' platform.  The folders ``request``, ``connection``,
``version`` and ``process`` group modules by the lifetime of their state.
"""

# Without imports, which would delay the start until signals are handled.
__version__ = "0.1.0"
