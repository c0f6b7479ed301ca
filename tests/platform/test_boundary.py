"""Only ``sablemount.platform`` uses the platform's names."""

from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[2] / "src" / "sablemount"
PLATFORM_PACKAGE = SOURCE / "platform"
PLATFORM_NAMES = (
    "ackedUpto",
    "antiAffinity",
    "cloudApi",
    "clockMs",
    "dependsOn",
    "Duty-Holder",
    "Expect-Instance",
    "Fence-Token",
    "holdMaxMs",
    "keyed.",
    "log-append",
    "log-newest",
    "log-read",
    "memMb",
    "nodeName",
    "/api/pace",
    "pathPrefix",
    "run-start",
    "run-stop",
    "SABLEMOUNT_BOOT",
    "untilMs",
    "validMs",
    "waitMs",
)
MAX_SHARE = 0.35
"""Maximum size of the platform package, as a fraction of the packages that it serves."""


def _other_modules() -> list[Path]:
    return [path for path in SOURCE.rglob("*.py") if PLATFORM_PACKAGE not in path.parents]


@pytest.mark.parametrize("name", PLATFORM_NAMES)
def test_no_name_of_the_platform_outside(name: str) -> None:
    modules = [str(path) for path in _other_modules() if name in path.read_text()]
    assert modules == []


def test_other_packages_do_not_import_the_platform_package() -> None:
    modules = [str(path) for path in _other_modules() if "sablemount.platform" in path.read_text()]
    assert modules == []


def test_the_platform_package_is_small() -> None:
    def count_lines(folder: str) -> int:
        paths = (SOURCE / folder).rglob("*.py")
        return sum(len(path.read_text().splitlines()) for path in paths)

    assert count_lines("platform") < MAX_SHARE * (count_lines("jobs") + count_lines("control"))
