"""Small programs with the interfaces of the users' platform and targets, for tests and the demo.

Each does one job, listens on a loopback address, and accepts faults on a control port
(``standins.base``).  They aren't emulators: they implement only what the brief describes.
"""
