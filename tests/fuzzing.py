"""Settings of tests that draw their input."""

from __future__ import annotations

import os
from typing import Final

from hypothesis import HealthCheck, settings

EXAMPLES_VARIABLE: Final = "GYPSUMSAIL_FUZZ_EXAMPLES"
"""Number of examples of a long run by hand, whose input is drawn anew each time."""


DEFAULT_EXAMPLES: Final = 100
"""Number of examples of a test that names none."""
PROFILE: Final = "script-test"
"""Profile of all tests that draw their input, unless they set more themselves."""


def load_profile() -> None:
    """Draw the same input in each run of the tests."""
    settings.register_profile(PROFILE, fuzz_settings(DEFAULT_EXAMPLES))
    settings.load_profile(PROFILE)


def fuzz_settings(examples: int) -> settings:
    """Return settings for a number of examples, the same in each run of the CI."""
    found = os.environ.get(EXAMPLES_VARIABLE)
    return settings(
        max_examples=int(found) if found else examples,
        derandomize=found is None,
        database=None,
        deadline=None,
        print_blob=True,
        suppress_health_check=list(HealthCheck),
    )
