"""Nothing outside the translators knows the platform's names."""

from pathlib import Path

import pytest

SOURCE = Path(__file__).parents[2] / "src" / "sablemount"
TRANSLATORS = SOURCE / "platform"
NAMES = (
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
MOST_SHARE = 0.35
"""The translators stay small beside the part of the product that they serve."""


def _product() -> list[Path]:
    return [path for path in SOURCE.rglob("*.py") if TRANSLATORS not in path.parents]


@pytest.mark.parametrize("name", NAMES)
def test_no_name_of_the_platform_outside(name: str) -> None:
    found = [str(path) for path in _product() if name in path.read_text()]
    assert found == []


def test_the_product_does_not_import_the_translators() -> None:
    found = [str(path) for path in _product() if "sablemount.platform" in path.read_text()]
    assert found == []


def test_the_translators_are_small() -> None:
    def lines(folder: str) -> int:
        paths = (SOURCE / folder).rglob("*.py")
        return sum(len(path.read_text().splitlines()) for path in paths)

    assert lines("platform") < MOST_SHARE * (lines("jobs") + lines("control"))
