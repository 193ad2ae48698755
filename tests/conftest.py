"""Settings and fixtures of all tests.

Hypothesis draws the same examples in every run and has no time limit per example, so that CI gives
the same verdict every time.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

from hazelhollow.net.stream import Stream
from tests.net.scenario import STAGES

settings.register_profile("steady", deadline=None, derandomize=True)
settings.load_profile("steady")


@pytest.fixture(autouse=True)
def own_tmpdir(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """Gives each test its own $TMPDIR.

    A limiter stores its endpoint overrides there, and tests must not see those of other tests.
    """
    monkeypatch.setenv("TMPDIR", str(tmp_path))


@pytest.fixture(autouse=True)
def arrivals_by_the_clock_of_the_test(
    request: pytest.FixtureRequest, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Keeps the operating system's arrival times out of scenarios, whose clock stands still."""
    if "system_arrival_times" not in request.fixturenames:
        monkeypatch.setattr(Stream, "seconds_since_last_input", lambda _stream: 0.0)


@pytest.fixture
def system_arrival_times() -> None:
    """Lets a test use the arrival times that the operating system tells."""


@pytest.fixture(autouse=True)
def stages_end() -> Iterator[None]:
    yield
    while STAGES:
        STAGES.pop().close()
