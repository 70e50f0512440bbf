"""Small programs that speak what the users' platform and targets speak, for tests and the demo.

Each does one job, listens on a loopback address, and takes faults on a control port
(``standins.base``).  They are no emulator: they behave as described by the brief and no more.
"""
