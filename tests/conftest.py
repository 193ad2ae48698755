"""The same examples in every run, with no limit on an example's time.

CI must give the same verdict every time.
"""

from collections.abc import Iterator
from pathlib import Path

import pytest
from hypothesis import settings

from tests.net.scenario import STAGES

settings.register_profile("steady", deadline=None, derandomize=True)
settings.load_profile("steady")


@pytest.fixture(autouse=True)
def own_tmpdir(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    """A limiter keeps its bans in $TMPDIR.

    Each test has its own, or one test's bans would be another's.
    """
    monkeypatch.setenv("TMPDIR", str(tmp_path))


@pytest.fixture(autouse=True)
def stages_end() -> Iterator[None]:
    yield
    while STAGES:
        STAGES.pop().close()
