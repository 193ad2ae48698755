"""The same examples in every run, with no limit on an example's time: CI must give the same verdict every time."""

from hypothesis import settings

settings.register_profile("steady", deadline=None, derandomize=True)
settings.load_profile("steady")
