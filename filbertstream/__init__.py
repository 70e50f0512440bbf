"""filbertstream: a serving system for prompts that return after long gaps.

The package is a library with a thin daemon around it.  ``core`` takes the decisions and does no
I/O; ``events`` and ``actions`` are the data it consumes and produces; ``process.host`` runs it in
an actor; the modules under ``connection`` turn sockets into events and actions into sockets;
``compose`` wires the parts and ``cli`` is the command line.  The folders ``request``,
``connection``, ``version`` and ``process`` group the parts by how long their state lives.
"""

from typing import Final

__version__: Final = "0.1.0"
