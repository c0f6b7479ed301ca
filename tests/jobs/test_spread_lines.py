"""The log tells how more runs of a step than its spread came to a VM."""

import logging

import pytest

from sablemount.jobs.actions import RunReport
from sablemount.jobs.model import StepSpec
from tests.jobs.rig import CORE, Rig, spec

BEYOND = "more runs of a step than its spread"
NOT_WANTED = "run not wanted"


@pytest.fixture(autouse=True)
def _captured(caplog: pytest.LogCaptureFixture) -> None:
    caplog.set_level(logging.INFO, logger="sablemount.jobs")


def _lines(caplog: pytest.LogCaptureFixture, text: str) -> list[dict[str, object]]:
    return [vars(record) for record in caplog.records if record.getMessage() == text]


def test_a_run_found_beyond_the_spread_is_logged_by_what_is_known(
    caplog: pytest.LogCaptureFixture,
) -> None:
    rig = Rig(vms=1)
    causes: list[str] = []
    rig.scheduler.state.on_beyond_spread = causes.append
    rig.accept("job", spec(StepSpec(2, CORE, spread=1)))
    rig.start_and_hold_all()
    (start,) = rig.started()
    assert causes == []
    other = {"job.0.0.0": "job.0.0.1", "job.0.0.1": "job.0.0.0"}[start.task]
    rig.running["w0"].append(RunReport(other, 7, "", 0.0))
    rig.report_all()
    (line,) = _lines(caplog, BEYOND)
    assert (line["task"], line["run"], line["vm"], line["spread"]) == (other, 7, "w0", 1)
    assert (line["cause"], line["running"], line["found"]) == ("found", 1, 1)
    assert causes == ["found"]


def test_a_run_that_is_no_longer_wanted_is_logged_with_its_reason(
    caplog: pytest.LogCaptureFixture,
) -> None:
    rig = Rig(vms=1)
    rig.accept("job", spec(StepSpec(1, CORE)))
    rig.start_and_hold_all()
    rig.scheduler.cancel("job")
    rig.running["w0"].append(RunReport("other.0.0.0", 3, "", 0.0))
    rig.report_all()
    lines = _lines(caplog, NOT_WANTED)
    assert [(line["task"], line["vm"], line["was"], line["why"]) for line in lines] == [
        ("job.0.0.0", "w0", "running", "its job has ended"),
        ("other.0.0.0", "w0", "running", "found, and not wanted"),
    ]


@pytest.mark.parametrize("gang", [False, True])
def test_runs_whose_end_completes_their_job_are_not_logged_as_unwanted(
    caplog: pytest.LogCaptureFixture, gang: bool
) -> None:
    rig = Rig(vms=1)
    rig.accept("job", spec(StepSpec(2, CORE, gang=gang)))
    rig.start_and_hold_all()
    for start in rig.started():
        rig.complete(start, "done")
    rig.report_all()
    rig.tick(1.0)
    assert _lines(caplog, NOT_WANTED) == []
    assert rig.stopped() == []
    assert rig.scheduler.state.vms["w0"].runs == {}
