"""The components that the handling of calls shares."""

import random
from typing import NamedTuple

from filbertstream.fleet.cold_targets import ColdTargets
from filbertstream.fleet.crash_detector import CrashDetector
from filbertstream.fleet.crash_evidence import CrashEvidence
from filbertstream.fleet.crash_trials import CrashTrials
from filbertstream.fleet.quarantine import Quarantine
from filbertstream.process.burn import Burn
from filbertstream.process.counters import Counters
from filbertstream.process.latencies import Latencies
from filbertstream.process.request_rates import RequestRates
from filbertstream.process.roster import Roster
from filbertstream.request.admission import Admission
from filbertstream.request.authorization import Authorizer
from filbertstream.request.idempotency_keys import IdempotencyKeys
from filbertstream.request.prompt_placer import PromptPlacer
from filbertstream.request.rate_admission import RateAdmission
from filbertstream.request.regions import Regions
from filbertstream.request.retry_budget import SharedRetryBudget
from filbertstream.request.work_accounting import WorkAccounting
from filbertstream.version.config_freshness import ConfigFreshness
from filbertstream.version.weights_view import WeightsView


class ForwardingDependencies(NamedTuple):
    """The components that ``request.forwarding`` and the modules beneath it use."""

    data_center: str
    roster: Roster
    authorizer: Authorizer
    weights: WeightsView
    prompt_placer: PromptPlacer
    config_freshness: ConfigFreshness
    budget: SharedRetryBudget
    counters: Counters
    latencies: Latencies
    admission: Admission
    idempotency_keys: IdempotencyKeys
    burn: Burn
    request_rates: RequestRates
    rate_admission: RateAdmission
    cold_targets: ColdTargets
    crash_evidence: CrashEvidence
    crash_detector: CrashDetector
    crash_trials: CrashTrials
    quarantine: Quarantine
    rng: random.Random
    regions: Regions
    work: WorkAccounting
