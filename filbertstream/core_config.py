"""Makes the configuration of an entry's core from the deployment of its process."""

from filbertstream.connection.watched_kinds import WatchedKind
from filbertstream.gateway import GatewayConfig
from filbertstream.process.deployment import Deployment


def core_config(
    deployment: Deployment, incarnation: int, kinds: tuple[WatchedKind, ...]
) -> GatewayConfig:
    """Return the configuration of the core that watches ``kinds``."""
    return GatewayConfig(
        deployment.name,
        incarnation,
        deployment.data_center,
        deployment.bounds,
        "" if deployment.peers is None else f"tcp://{deployment.peers}",
        incarnation,
        tuple(watched.followed for watched in kinds),
        deployment.link_mbps,
        deployment.cores,
        regions=deployment.regions,
        fair_shares=deployment.fair_shares,
    )
