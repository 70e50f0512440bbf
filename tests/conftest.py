"""Hypothesis runs the same examples every time, so that the verdict never varies."""

from hypothesis import HealthCheck, settings

settings.register_profile(
    "ci",
    derandomize=True,
    deadline=None,
    max_examples=60,
    stateful_step_count=40,
    suppress_health_check=list(HealthCheck),
)
settings.load_profile("ci")
