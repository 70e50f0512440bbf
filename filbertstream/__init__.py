"""filbertstream: a serving system for prompts that return after long gaps.

The package is a library with a thin daemon around it.  ``gateway`` takes the decisions and does no
I/O; ``gateway_events`` and ``request.call_events`` are the data it consumes and produces; the modules
under ``connection`` turn sockets into events and actions into sockets; ``gateway_process`` wires
the parts and ``cli`` is the command line.  The folders ``request``,
``connection``, ``version`` and ``process`` group the parts by how long their state lives.
"""

from typing import Final

__version__: Final = "0.1.0"
