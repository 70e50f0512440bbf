"""Hypothesis runs the same examples every time, so that the verdict never varies."""

import os

from hypothesis import HealthCheck, Phase, settings

# ``bench.guards`` only asks whether a check fails, not for the smallest failure.
PHASES = [Phase.explicit, Phase.generate] if "NO_SHRINK" in os.environ else list(Phase)

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    phases=PHASES,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")
